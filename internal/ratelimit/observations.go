package ratelimit

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/instance"
)

// Observations holds the newest observation of each incarnation. Incarnations that never advertised a
// limit have none.
type Observations map[instance.Incarnation]Observation

// Observe records an observation. It returns the former one and whether the limit has changed.
func (s Observations) Observe(inc instance.Incarnation, o Observation) (before Observation, changed bool) {
	o = o.normalized()
	before, known := s[inc]
	if o.At.IsZero() || known && !o.At.After(before.At) || !known && !o.Limited() {
		return before, false
	}
	s[inc] = o
	return before, before.Limited() != o.Limited() || o.Limited() && before.Limit != o.Limit
}

// Expire drops the observations from before a time and returns their incarnations.
func (s Observations) Expire(before time.Time) (expired []instance.Incarnation) {
	for inc, o := range s {
		if o.At.Before(before) {
			delete(s, inc)
			expired = append(expired, inc)
		}
	}
	return expired
}

// Limited returns the limited incarnations with their observations.
func (s Observations) Limited() map[instance.Incarnation]Observation {
	out := make(map[instance.Incarnation]Observation)
	for inc, o := range s {
		if o.Limited() {
			out[inc] = o
		}
	}
	return out
}
