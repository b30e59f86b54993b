package serverpaths

import "expvar"

// metrics counts connections to servers by path.
type metrics struct {
	// direct and tunnel count the connections that opened on each path, failed those that opened on
	// none. served counts the tunnels that this host opened for others.
	// silenced counts how often direct connections were found to deliver nothing.
	direct, tunnel, failed, served, silenced expvar.Int
	vars                                     expvar.Map
}

func (m *metrics) init(t *tunnels) {
	m.vars.Set("direct", &m.direct)
	m.vars.Set("tunnel", &m.tunnel)
	m.vars.Set("failed", &m.failed)
	m.vars.Set("silenced", &m.silenced)
	m.vars.Set("tunnels_served", &m.served)
	m.vars.Set("tunnels_open", expvar.Func(func() any { return t.count() }))
}

// Vars returns the counters of connections by path.
func (p *Paths) Vars() expvar.Var { return &p.metrics.vars }
