package quarantine

import "expvar"

// metrics count since the start of the process.
type metrics struct {
	// decisions on requests that something is held against, by decision.
	decisions expvar.Map
	// crashes seen here, requests cleared here, servers probed, saves that failed.
	crashes, cleared, probes, unsaved expvar.Int
	vars                              expvar.Map
}

func (m *metrics) init() {
	m.vars.Set("decisions", &m.decisions)
	m.vars.Set("crashes", &m.crashes)
	m.vars.Set("cleared", &m.cleared)
	m.vars.Set("probes", &m.probes)
	m.vars.Set("unsaved", &m.unsaved)
}

// Metrics of the guard.
func (g *Guard) Metrics() *expvar.Map { return &g.metrics.vars }
