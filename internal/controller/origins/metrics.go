package origins

import "expvar"

// Keys of metrics.found: who knew an origin that was asked for.
const (
	here    = "here"
	atPeer  = "peer"
	unknown = "unknown"
)

// metrics are the counters of a Keeper.
type metrics struct {
	// recorded counts streams that began here, conflicts origins that differ from the one held, unanswered
	// messages with copies that got no answer.
	recorded, conflicts, unanswered expvar.Int
	// found counts the questions of this host's callers by who knew the origin.
	found expvar.Map
	vars  expvar.Map
}

func (m *metrics) init(held func() int) {
	m.vars.Set("recorded", &m.recorded)
	m.vars.Set("conflicts", &m.conflicts)
	m.vars.Set("unanswered", &m.unanswered)
	m.vars.Set("found", &m.found)
	m.vars.Set("held", expvar.Func(func() any { return held() }))
}

// Metrics returns the counters, for publication.
func (k *Keeper) Metrics() *expvar.Map { return &k.metrics.vars }
