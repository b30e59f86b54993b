// Package retry decides whether a request may be tried again at another backend
// server: each team has an allowance in proportion to its first tries, and only
// what surely did not run or may run twice is tried again. It is pure.
package retry

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// Defaults and bounds.
const (
	defaultShare       = 0.1
	defaultMaxAttempts = 3
	// burst is how many retries a team may save up, and has at the start.
	burst = 10.0
	// idleForget is when a team's allowance is dropped from memory.
	idleForget = 10 * time.Minute
)

// Allowance holds the teams' token buckets. A first try adds the team's share of a
// token, a retry takes a whole one: over any stretch with n first tries a team has
// at most share*n + burst retries.
//
// Symptom this prevents: servers slow down, callers' requests fail, each is tried
// again, and the retries keep the servers overloaded after the cause is gone.
type Allowance struct {
	teams map[string]*bucket
	swept time.Time
}

type bucket struct {
	tokens float64
	share  float64
	used   time.Time
}

// NewAllowance makes an empty Allowance.
func NewAllowance() *Allowance { return &Allowance{teams: make(map[string]*bucket)} }

// First counts a first try of the team.
func (a *Allowance) First(now time.Time, team string) {
	a.sweep(now)
	b := a.bucket(team)
	b.used = now
	b.tokens = min(b.tokens+b.share, burst)
}

// Allow takes one retry from the team's allowance, or returns false. r gives the
// share from now on.
func (a *Allowance) Allow(now time.Time, team string, r settings.Retry) bool {
	b := a.bucket(team)
	b.used = now
	b.share = shareOf(r)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func shareOf(r settings.Retry) float64 {
	if r.Share == 0 {
		return defaultShare
	}
	return min(max(r.Share, 0), 1)
}

func (a *Allowance) bucket(team string) *bucket {
	b := a.teams[team]
	if b == nil {
		b = &bucket{tokens: burst, share: defaultShare}
		a.teams[team] = b
	}
	return b
}

// sweep drops teams that were idle for long, so that memory stays bounded.
func (a *Allowance) sweep(now time.Time) {
	if now.Sub(a.swept) < idleForget {
		return
	}
	a.swept = now
	for team, b := range a.teams {
		if now.Sub(b.used) >= idleForget {
			delete(a.teams, team)
		}
	}
}

// Attempt is a failed attempt at a backend server.
type Attempt struct {
	// Number of attempts made, this one included.
	Number int
	// NotRun: the server surely did not run the request.
	NotRun bool
	// Idempotent: the request may run twice.
	Idempotent bool
	// Started: part of the answer is already with the caller.
	Started bool
}

// Safe tells whether the rules allow another attempt, the allowance aside: it
// surely did not run or is idempotent, no part of an answer is with the caller,
// attempts are left and run, the predicted time of a run, fits before the deadline.
func Safe(now time.Time, at Attempt, r settings.Retry, deadline time.Time, run time.Duration) bool {
	most := r.MaxAttempts
	if most <= 0 {
		most = defaultMaxAttempts
	}
	if at.Number >= most || at.Started {
		return false
	}
	if !at.NotRun && !at.Idempotent {
		return false
	}
	return now.Add(run).Before(deadline)
}
