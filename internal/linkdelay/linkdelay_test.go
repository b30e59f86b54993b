package linkdelay

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var t0 = time.Unix(1000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func TestDelayIsTheShortestRoundTrip(t *testing.T) {
	var e Estimator
	for i, took := range []int{900, 720, 715, 1100} {
		if got := e.Delay(at(i * 10)); got != 0 {
			t.Errorf("after %d round trips: %s", i, got)
		}
		e.Observe(at(i*10), ms(took))
	}
	if got := e.Delay(at(40)); got != ms(715) {
		t.Errorf("got %s", got)
	}
	// A server that answers late is no sign of a full link while another one answers at once.
	e.Observe(at(50), ms(3))
	if got := e.Delay(at(60)); got != ms(3) {
		t.Errorf("after a short round trip: %s", got)
	}
	if got := e.Delay(at(50).Add(window + 1)); got != 0 {
		t.Errorf("after a time without round trips: %s", got)
	}
}

// Checks the estimate against the definition, over all recorded round trips.
func TestDelayMatchesItsDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Estimator
		var all []sample
		now := t0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(ms(rapid.IntRange(0, 200).Draw(t, "pause")))
			if rapid.Bool().Draw(t, "observe") {
				took := ms(rapid.IntRange(1, 20).Draw(t, "took"))
				e.Observe(now, took)
				all = append(all, sample{now, took})
			}
			if got, want := e.Delay(now), shortest(all, now); got != want {
				t.Fatalf("got %s, want %s", got, want)
			}
		}
	})
}

func shortest(all []sample, now time.Time) time.Duration {
	count, least := 0, time.Duration(0)
	for _, s := range all {
		if now.Sub(s.end) > window {
			continue
		}
		count++
		if least == 0 || s.took < least {
			least = s.took
		}
	}
	if count < minSamples {
		return 0
	}
	return least
}
