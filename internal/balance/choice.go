package balance

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/instance"
)

// best returns the server with the least cost for w, and the wait predicted at the preferred server of its
// shared parts; 0: none.
func (c *Core) best(now time.Time, w *Work, eligible []*instance.Instance) (best *candidate, preferredWait time.Duration, err error) {
	if c.dividesSlots(w) {
		best, err = c.leastLoaded(now, w, eligible)
		return best, 0, err
	}
	preferred := c.preferredServer(w)
	for i, inst := range eligible {
		cand := c.predict(now, w, inst, c.server(inst.Incarnation()), inst.ID == preferred)
		if inst.ID == preferred {
			preferredWait = cand.wait
		}
		if w.Admission.For(inst.Incarnation()) {
			best = &cand
			break
		}
		if best == nil || cand.cost < best.cost || cand.cost == best.cost && c.rng.IntN(i+1) == 0 {
			best = &cand
		}
	}
	return best, preferredWait, nil
}

// detour returns by how much a server ranks behind others for where it is and what is heard of it.
func (c *Core) detour(now time.Time, inst *instance.Instance, s *server) time.Duration {
	d := time.Duration(0)
	if inst.Zone != c.cfg.Zone {
		d += zonePenalty
	}
	if !c.reg.Fresh(now, inst) && now.Sub(s.lastServed) > servedRecently || now.Before(s.remoteCooldownUntil) {
		d += stalePenalty
	}
	return d
}
