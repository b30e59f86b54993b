package retry

import (
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/settings"
)

var t0 = time.Unix(1000, 0)

// Guards against retries that multiply the load on failing servers. Every attempt fails and is
// retried as often as allowed, so a limit per request alone is not enough.
func TestRetriesStayWithinTheAllowanceWhenAllAttemptsFail(t *testing.T) {
	for _, share := range []float64{0.05, 0.1, 1} {
		a := NewAllowance()
		r := settings.Retry{Share: share, MaxAttempts: 5}
		const firstAttempts = 10000
		retries := 0
		for i := range firstAttempts {
			now := t0.Add(time.Duration(i) * time.Millisecond)
			a.CountFirst(now, "team")
			at := Attempt{Number: 1, NotRun: true}
			for MayRetry(now, at, r, now.Add(time.Minute), time.Second) && a.Allow(now, "team", r) {
				retries++
				at.Number++
			}
		}
		most := int(share*firstAttempts) + 2*int(burst)
		if retries > most || retries < most/2 {
			t.Errorf("share %v: %d retries for %d first attempts, at most %d allowed", share, retries, firstAttempts, most)
		}
	}
}

func TestTeamsHaveSeparateAllowances(t *testing.T) {
	a := NewAllowance()
	for range 1000 {
		a.Allow(t0, "greedy", settings.Retry{})
	}
	if !a.Allow(t0, "other", settings.Retry{}) {
		t.Error("one team's retries used up another's allowance")
	}
}

// Guards against retries of attempts that may have run or whose answer has begun, which post a
// ledger entry twice or begin an answer anew in its middle.
func TestOnlySafeAttemptsAreRetried(t *testing.T) {
	left := t0.Add(time.Second)
	for _, c := range []struct {
		name string
		at   Attempt
		run  time.Duration
		want bool
	}{
		{"surely not run", Attempt{Number: 1, NotRun: true}, 0, true},
		{"idempotent", Attempt{Number: 1, Idempotent: true}, 0, true},
		{"may have run", Attempt{Number: 1}, 0, false},
		{"answer begun", Attempt{Number: 1, Idempotent: true, AnswerStarted: true}, 0, false},
		{"attempts used up", Attempt{Number: 3, NotRun: true}, 0, false},
		{"no time left for a run", Attempt{Number: 1, NotRun: true}, 2 * time.Second, false},
	} {
		if got := MayRetry(t0, c.at, settings.Retry{}, left, c.run); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
