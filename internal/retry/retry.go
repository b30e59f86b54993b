// Package retry decides whether a request may be tried again at another backend server. Each team
// has an allowance in proportion to its first attempts, and only requests that certainly did not
// run or that are idempotent are tried again. The package is pure: time is passed in.
package retry

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// Defaults and limits.
const (
	defaultShare       = 0.1
	defaultMaxAttempts = 3
	// burst is the maximum number of retries that a team can save up; a team starts with them.
	burst = 10.0
	// idleRetention is the idle time after which a team's allowance is dropped from memory.
	idleRetention = 10 * time.Minute
)

// Allowance holds the teams' token buckets. A first attempt adds the team's share of a token, and
// a retry takes a whole one: over any period with n first attempts a team has at most
// share*n + burst retries.
//
// Without it, when servers slow down and requests fail, the retries keep the servers overloaded
// after the cause is gone.
type Allowance struct {
	teams map[string]*bucket
	swept time.Time
}

type bucket struct {
	tokens float64
	share  float64
	used   time.Time
}

// NewAllowance returns an empty Allowance.
func NewAllowance() *Allowance { return &Allowance{teams: make(map[string]*bucket)} }

// CountFirst counts a first attempt of the team.
func (a *Allowance) CountFirst(now time.Time, team string) {
	a.sweep(now)
	b := a.bucket(team)
	b.used = now
	b.tokens = min(b.tokens+b.share, burst)
}

// Allow takes one retry from the team's allowance, or returns false if there is none. The share of r
// applies to the team's first attempts from now on.
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

// sweep drops teams that were idle for idleRetention, so that memory stays bounded.
func (a *Allowance) sweep(now time.Time) {
	if now.Sub(a.swept) < idleRetention {
		return
	}
	a.swept = now
	for team, b := range a.teams {
		if now.Sub(b.used) >= idleRetention {
			delete(a.teams, team)
		}
	}
}

// Attempt describes a failed attempt at a backend server.
type Attempt struct {
	// Number is the number of attempts made, this one included.
	Number int
	// NotRun: the server certainly did not run the request.
	NotRun bool
	// Idempotent: the request may run twice.
	Idempotent bool
	// AnswerStarted: part of the answer has already been sent to the caller.
	AnswerStarted bool
}

// MayRetry reports whether another attempt is allowed, apart from the allowance: the request
// certainly did not run or is idempotent, no part of an answer has been sent, the maximum number of
// attempts is not reached, and run, the predicted run time, fits before the deadline.
func MayRetry(now time.Time, at Attempt, r settings.Retry, deadline time.Time, run time.Duration) bool {
	most := r.MaxAttempts
	if most <= 0 {
		most = defaultMaxAttempts
	}
	if at.Number >= most || at.AnswerStarted {
		return false
	}
	if !at.NotRun && !at.Idempotent {
		return false
	}
	return now.Add(run).Before(deadline)
}
