package versions

import "expvar"

// metrics are the counters of a Keeper.
type metrics struct {
	// asked counts the streams for which the only version of a service was asked for, unanswered those for which no quorum
	// answered.
	asked, unanswered expvar.Int
	// notShared counts the attempts in which no quorum of the control hosts learned a version.
	notShared expvar.Int
	// dropped counts the versions of other hosts that were not kept.
	dropped expvar.Int
	vars    expvar.Map
}

func (m *metrics) init() {
	m.vars.Set("asked", &m.asked)
	m.vars.Set("unanswered", &m.unanswered)
	m.vars.Set("not_shared", &m.notShared)
	m.vars.Set("dropped", &m.dropped)
}

// Metrics returns the counters, for publication.
func (k *Keeper) Metrics() *expvar.Map { return &k.metrics.vars }
