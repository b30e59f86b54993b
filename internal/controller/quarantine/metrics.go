package quarantine

import "expvar"

// metrics holds counters since the start of the process.
type metrics struct {
	// decisions on suspected and quarantined requests, by decision.
	decisions expvar.Map
	// crashes observed by this host, those of servers whose memory was known to be over its capacity, requests
	// cleared by this host, servers probed, failed saves.
	crashes, atFullMemory, cleared, probes, unsaved expvar.Int
	vars                                            expvar.Map
}

func (m *metrics) init() {
	m.vars.Set("decisions", &m.decisions)
	m.vars.Set("crashes", &m.crashes)
	m.vars.Set("crashes_at_full_memory", &m.atFullMemory)
	m.vars.Set("cleared", &m.cleared)
	m.vars.Set("probes", &m.probes)
	m.vars.Set("unsaved", &m.unsaved)
}

// Metrics returns the guard's counters.
func (g *Guard) Metrics() *expvar.Map { return &g.metrics.vars }
