package routing

import (
	"math/rand"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/backend"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// registries holds the state of the servers as known to all routers but the oracle. There is one
// registry per host, updated by announcements and heartbeats.
type registries struct {
	sim  *sim
	regs []*backend.Registry
}

func newRegistries(m *sim) registries {
	r := registries{sim: m}
	for range m.site.hosts {
		r.regs = append(r.regs, backend.New(backend.Config{}))
	}
	return r
}

func (r *registries) announce(now time.Duration, host int, st *pb.ServerState) {
	r.regs[host].Announce(wallTime(now), st)
}

func (r *registries) heartbeat(now time.Duration) {
	for i, from := range r.regs {
		states := from.Snapshot(wallTime(now))
		for k, to := range r.regs {
			if k != i {
				to.Merge(wallTime(now), 2*r.sim.site.delay, states, "")
			}
		}
	}
}

func (r *registries) event(_ time.Duration, ev backend.CacheEvent) {
	for _, reg := range r.regs {
		reg.CacheEvent(ev)
	}
}

// direct sends every request immediately to one of the usable servers, and again to another one
// if that server is lost.
type direct struct {
	registries
	pick func(host int, usable []*backend.Server) *backend.Server
}

func (d *direct) arrive(now time.Duration, j *job) {
	reg := d.regs[j.host]
	var usable []*backend.Server
	for _, s := range reg.Serving(j.target) {
		if reg.UsableServer(wallTime(now), s) {
			usable = append(usable, s)
		}
	}
	if len(usable) == 0 {
		j.result = refused
		return
	}
	d.sim.dispatch(j, d.sim.byAddr[d.pick(j.host, usable).Address()])
}

func (d *direct) tick(time.Duration)                   {}
func (d *direct) ended(time.Duration, *job, bool)      {}
func (d *direct) firstToken(time.Duration, *job)       {}
func (d *direct) serverLost(now time.Duration, j *job) { d.arrive(now, j) }

// roundRobin returns a router whose hosts use the usable servers in turn.
func roundRobin(m *sim, seed int64) router {
	rng := rand.New(rand.NewSource(seed))
	next := make([]int, m.site.hosts)
	for i := range next {
		next[i] = rng.Intn(m.site.models)
	}
	return &direct{newRegistries(m), func(host int, usable []*backend.Server) *backend.Server {
		next[host]++
		return usable[next[host]%len(usable)]
	}}
}

// leastReported returns a router that uses the server with the lowest reported load, and a random
// one of them if there are several.
func leastReported(m *sim, seed int64) router {
	rng := rand.New(rand.NewSource(seed))
	return &direct{newRegistries(m), func(_ int, usable []*backend.Server) *backend.Server {
		best := usable[0]
		ties := 0
		for _, s := range usable {
			switch {
			case s.ReportedLoad() < best.ReportedLoad():
				best, ties = s, 1
			case s.ReportedLoad() == best.ReportedLoad():
				ties++
				if rng.Intn(ties) == 0 {
					best = s
				}
			}
		}
		return best
	}}
}
