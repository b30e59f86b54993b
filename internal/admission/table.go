package admission

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
)

// Admission allows one request to a brittle server. The zero value stands for a request that needs none.
type Admission struct {
	Incarnation instance.Incarnation
	ID          uint64
	// Owner is the peer address of the host that issued it; empty: this host.
	Owner string
}

// For reports whether a is an admission for an incarnation of a server.
func (a Admission) For(inc instance.Incarnation) bool { return a.ID != 0 && a.Incarnation == inc }

// Result is how far a request has come.
type Result int

// Results of a request.
const (
	// Accepted: the server has accepted it.
	Accepted Result = iota
	// Finished: it has ended, or was never sent.
	Finished
	// Left: its caller has left.
	Left
	// Rejected: the server has rejected it without running it.
	Rejected
)

// Table holds the brittle servers that this host knows.
type Table struct {
	// observed has in Limit the rejections in a second that a server tolerates.
	observed ratelimit.Observations
	// denied has the time before which a server's owner is not asked again.
	denied map[instance.Incarnation]time.Time
}

// NewTable returns a table without servers.
func NewTable() *Table {
	return &Table{observed: make(ratelimit.Observations), denied: make(map[instance.Incarnation]time.Time)}
}

// Observe records how many rejections in a second a server tolerates, or that it is not brittle. It
// returns the former observation and whether that has changed.
func (t *Table) Observe(inc instance.Incarnation, o ratelimit.Observation) (before ratelimit.Observation, changed bool) {
	return t.observed.Observe(inc, o)
}

// Observed returns the newest observation of an incarnation.
func (t *Table) Observed(inc instance.Incarnation) ratelimit.Observation { return t.observed[inc] }

// Brittle returns the brittle incarnations with their observations.
func (t *Table) Brittle() map[instance.Incarnation]ratelimit.Observation { return t.observed.Limited() }

// Tolerated returns how many rejections in a second a server tolerates; ok is false if it is not brittle.
func (t *Table) Tolerated(inc instance.Incarnation) (n int, ok bool) {
	o := t.observed[inc]
	return int(o.Limit), o.Limited()
}

// Check returns whether a request to a server needs no admission (Free), has to request one
// (MustRequest), or gets none for the returned time (Exhausted).
func (t *Table) Check(now time.Time, inc instance.Incarnation) (ratelimit.State, time.Duration) {
	if !t.observed[inc].Limited() {
		return ratelimit.Free, 0
	}
	if until := t.denied[inc]; now.Before(until) {
		return ratelimit.Exhausted, until.Sub(now)
	}
	return ratelimit.MustRequest, 0
}

// Denied records that no admission is available before until.
func (t *Table) Denied(until time.Time, inc instance.Incarnation) { t.denied[inc] = until }

// Empty reports whether the table holds no observation.
func (t *Table) Empty() bool { return len(t.observed) == 0 }

// Expire drops the observations from before a time.
func (t *Table) Expire(before time.Time) {
	t.observed.Expire(before)
	for inc := range t.denied {
		if !t.observed[inc].Limited() {
			delete(t.denied, inc)
		}
	}
}
