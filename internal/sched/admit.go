package sched

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/backend"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// minRetryAfter is the minimum Retry-After of a refusal.
const minRetryAfter = 50 * time.Millisecond

// returnSpread is the range of the jitter in the Retry-After of callers that are refused while all
// servers cool down.
const returnSpread = 500 * time.Millisecond

// usable counts the servers of this host's subset that may run w.
func (c *Core) usable(now time.Time, p *pool, w *Work) int {
	n := 0
	for i := range p.members {
		if c.eligible(now, p.members[i].server, w) {
			n++
		}
	}
	return n
}

// bestRunTime returns the shortest unqueued run time of w among the usable servers.
func (c *Core) bestRunTime(now time.Time, p *pool, w *Work) time.Duration {
	best := time.Duration(-1)
	for i := range p.members {
		s := p.members[i].server
		if !c.eligible(now, s, w) {
			continue
		}
		if d := c.minRunTime(s, w); best < 0 || d < best {
			best = d
		}
	}
	return best
}

// refuse returns the refusal of a request that would have to wait, or nil if it may wait.
func (c *Core) refuse(now time.Time, p *pool, w *Work, minRun time.Duration) error {
	wait := max(c.waitFor(now, p, w), c.permitWait(now, p, w))
	if now.Add(wait + minRun).After(w.Deadline) {
		over := now.Add(wait + minRun).Sub(w.Deadline)
		return errkind.New(errkind.DeadlineUnreachable,
			"a predicted wait of about %v for a backend server plus a run of up to %v exceeds the %v left before the deadline",
			wait.Round(time.Millisecond), minRun.Round(time.Millisecond), w.Deadline.Sub(now).Round(time.Millisecond)).
			After(max(over, minRetryAfter))
	}
	full := p.waiting >= c.cfg.QueuePerTarget
	if p.classes[w.Class].AccountLen(w.Account) >= c.cfg.QueuePerAccount {
		full = true
	}
	if full {
		return errkind.New(errkind.Overloaded, "the queue of the account or of %q is full", w.Target.Name).
			After(max(wait, minRetryAfter))
	}
	return nil
}

// waitFor predicts the queue wait of w: the slot time that is granted before it, divided by the
// slots that this host has.
func (c *Core) waitFor(now time.Time, p *pool, w *Work) time.Duration {
	slots := c.ownSlots(now, p)
	if slots == 0 {
		return 0
	}
	ahead := time.Duration(0)
	for k := Urgent; k < w.Class; k++ {
		ahead += p.classes[k].Backlog()
	}
	ahead += p.classes[w.Class].Ahead(entryOf(&item{work: *w}, 0))
	return time.Duration(p.usage * float64(ahead) / float64(slots))
}

// ownSlots returns the number of slots that this host can count on.
func (c *Core) ownSlots(now time.Time, p *pool) int {
	n := 0
	for i := range p.members {
		m := &p.members[i]
		if c.reg.UsableServer(now, m.server) {
			n += max(m.share(m.server.Slots()), m.server.OwnInFlight())
		}
	}
	return n
}

func unknownTarget(t backend.Target) error {
	if t.Kind == backend.Service {
		return errkind.New(errkind.UnknownService, "no backend server has announced service %q", t.Name)
	}
	return errkind.New(errkind.UnknownModel, "no backend server has announced model %q", t.Name)
}

// noServer returns the refusal of a request that no server may get, because none is in service or all
// of them cool down for this host.
func (c *Core) noServer(now time.Time, p *pool) error {
	after := c.reg.Lapse()
	cooldown := time.Duration(0)
	for i := range p.members {
		s := p.members[i].server
		if left := s.CooldownLeft(now); c.reg.UsableServer(now, s) && left > 0 && (cooldown == 0 || left < cooldown) {
			cooldown = left
		}
	}
	if cooldown > 0 {
		after = cooldown + time.Duration(c.rng.Int63n(int64(min(cooldown, returnSpread))))
	}
	return errkind.New(errkind.NoBackendServer, "no backend server for %q is in service", p.target.Name).After(after)
}

// SetEvacuated replaces the set of evacuated availability zones, whose servers get no new requests. The
// next Step decides on waiting requests that no other server can run.
func (c *Core) SetEvacuated(zones map[string]bool) {
	c.reg.SetEvacuated(zones)
	c.recheckWaiting()
}

// recheckWaiting has the next Step check for each waiting request whether a server is left for it.
func (c *Core) recheckWaiting() {
	for _, p := range c.order {
		p.nextExpiry = time.Time{}
	}
}

// StartCooldown starts a cooldown: the server at an address gets no request from this host for d.
// It returns whether the server was not cooling down before. The next Step decides on waiting
// requests that no other server can run.
func (c *Core) StartCooldown(now time.Time, address string, d time.Duration) (began bool) {
	s, known := c.reg.Server(address)
	if !known {
		return false
	}
	c.recheckWaiting()
	return s.StartCooldown(now, now.Add(d))
}

func tooLong(run, left time.Duration) error {
	return errkind.New(errkind.DeadlineUnreachable,
		"a run takes up to %v on a server without a queue, but only %v are left before the deadline",
		run.Round(time.Millisecond), left.Round(time.Millisecond))
}
