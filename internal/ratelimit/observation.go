package ratelimit

import (
	"math"
	"time"
)

// Observation is the rate limit observed in one answer of a server. The zero value is no observation.
type Observation struct {
	// Limit is the number of requests a second that the server accepts from all hosts together.
	// None: the server advertises no limit.
	Limit float64
	// At orders the observations of an incarnation: the latest one counts. For an answer without a
	// limit it is the time at which the request was sent: the server may have written the answer
	// before another one that advertises a limit, and must not lift that limit. Zero: no observation.
	At time.Time
}

// None is the Limit of a server that advertises none.
const None = -1

// MaxLimit is the largest effective limit, in requests a second; a larger one counts as None.
const MaxLimit = 1e6

// Valid reports whether a number can be a limit.
func Valid(limit float64) bool { return limit >= 0 && !math.IsNaN(limit) && !math.IsInf(limit, 0) }

// normalized returns the observation with a Limit of None in place of one that is negative or above
// MaxLimit.
func (o Observation) normalized() Observation {
	if o.Limit < 0 || o.Limit > MaxLimit {
		o.Limit = None
	}
	return o
}

// Limited reports whether the server advertises a limit.
func (o Observation) Limited() bool { return !o.At.IsZero() && o.Limit >= 0 && o.Limit <= MaxLimit }
