package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var windowStart = time.Unix(1000, 0)

func TestWindowForgets(t *testing.T) {
	w := NewWindow(Bounds{Window: 10 * time.Second, Share: 0.5, Extra: 1})
	w.First(windowStart, "s")
	w.First(windowStart, "s")
	for i, want := range []bool{true, true, false} {
		if got := w.Allow(windowStart, "s", 1); got != want {
			t.Errorf("attempt %d: %t", i+1, got)
		}
	}
	later := windowStart.Add(10*time.Second + 1)
	if !w.Allow(later, "s", 1) || w.Allow(later, "s", 1) {
		t.Error("after the window only the extra attempt is left")
	}
}

func TestServicesHaveAllowancesOfTheirOwn(t *testing.T) {
	w := NewWindow(Bounds{Window: time.Second, Share: 0, Extra: 1})
	if !w.Allow(windowStart, "a", 1) || !w.Allow(windowStart, "b", 1) || w.Allow(windowStart, "a", 1) {
		t.Error("one service takes from another's")
	}
}

// TestFleetKeepsTheBounds: in no span of the window do all hosts together make more
// further attempts than the share of the requests there plus the extra ones, though no
// host knows of the others' attempts.
//
// A request counts for the window in which it came and for the one before: an attempt
// may follow it some time later.
func TestFleetKeepsTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts, extra, share, span = 3, 7, 0.25, 1000
		fleet := make([]*Window, hosts)
		for i := range fleet {
			fleet[i] = NewWindow(Bounds{Window: span * time.Millisecond, Share: share, Extra: extra})
		}
		var first, again []int
		now := 0
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now += rapid.IntRange(0, 40).Draw(t, "ms")
			at := windowStart.Add(time.Duration(now) * time.Millisecond)
			w := fleet[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			if rapid.Bool().Draw(t, "first") {
				w.First(at, "s")
				first = append(first, now)
			} else if w.Allow(at, "s", hosts) {
				again = append(again, now)
			}
		}
		for _, from := range again {
			firsts, agains := within(first, from-span, from+span), within(again, from, from+span-1)
			if float64(agains) > share*float64(firsts)+extra {
				t.Fatalf("%d further attempts in the span from %d ms, with %d requests in it and the one before", agains, from, firsts)
			}
		}
	})
}

func within(times []int, from, to int) int {
	n := 0
	for _, at := range times {
		if at >= from && at <= to {
			n++
		}
	}
	return n
}
