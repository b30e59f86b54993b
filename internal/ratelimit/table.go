package ratelimit

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/instance"
)

// Table holds the rate limits that this host has observed or was notified of, and its permits.
type Table struct {
	observed Observations
	permits  map[instance.Incarnation]*permits
	warmups  map[instance.Incarnation]Warmup
	// warmupRate returns the requests per second that a cold server of a service accepts from all hosts
	// together; ok is false if it accepts any rate.
	warmupRate func(service string) (perSecond float64, ok bool)
}

// NewTable returns a table without limits. warmupRate returns the requests per second that a cold
// server of a service accepts from all hosts together; ok is false if it accepts any rate. It may be
// nil.
func NewTable(warmupRate func(service string) (perSecond float64, ok bool)) *Table {
	return &Table{
		observed: make(Observations), permits: make(map[instance.Incarnation]*permits),
		warmups: make(map[instance.Incarnation]Warmup), warmupRate: warmupRate,
	}
}

// Observe records an observation. It returns the former one and whether the limit has changed.
func (t *Table) Observe(inc instance.Incarnation, o Observation) (before Observation, changed bool) {
	before, changed = t.observed.Observe(inc, o)
	if changed {
		delete(t.permits, inc) // they were granted or refused under the former limit
	}
	return before, changed
}

// Observed returns the newest observation of an incarnation.
func (t *Table) Observed(inc instance.Incarnation) Observation { return t.observed[inc] }

// Expire drops the observations from before a time, and the warm-ups that ended before it.
func (t *Table) Expire(before time.Time) {
	for inc, w := range t.warmups {
		if w.Until.Before(before) {
			delete(t.warmups, inc)
			if !t.observed[inc].Limited() {
				delete(t.permits, inc)
			}
		}
	}
	for _, inc := range t.observed.Expire(before) {
		delete(t.permits, inc)
	}
}

// Limited returns the limited incarnations with their observations.
func (t *Table) Limited() map[instance.Incarnation]Observation { return t.observed.Limited() }
