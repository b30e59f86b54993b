package balance

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/instance"
)

// StartCooldown starts a cooldown: the server gets no request from this host for d. A cooldown that
// is still running is never shortened. It returns whether the server was not cooling down before.
func (c *Core) StartCooldown(now time.Time, inc instance.Incarnation, d time.Duration) (began bool) {
	s := c.server(inc)
	began = !now.Before(s.cooldownUntil)
	if until := now.Add(d); until.After(s.cooldownUntil) {
		s.cooldownUntil = until
		c.cooling[inc] = true
	}
	return began
}

// CooldownLeft returns the rest of a server's cooldown for this host.
func (c *Core) CooldownLeft(now time.Time, inc instance.Incarnation) time.Duration {
	s := c.servers[inc]
	if s == nil {
		return 0
	}
	return max(s.cooldownUntil.Sub(now), 0)
}

// StartRemoteCooldown records that a server cools down for d for another host, whose requests this
// host assigns.
func (c *Core) StartRemoteCooldown(now time.Time, inc instance.Incarnation, d time.Duration) {
	s := c.server(inc)
	if until := now.Add(d); until.After(s.remoteCooldownUntil) {
		s.remoteCooldownUntil = until
	}
}

// CoolingDown returns the servers of a service that cool down for this host, and the time until the
// first of these cooldowns ends. all reports whether every serving server of the service cools down.
func (c *Core) CoolingDown(now time.Time, service string) (incs []instance.Incarnation, first time.Duration, all bool) {
	for inc := range c.cooling {
		left := c.CooldownLeft(now, inc)
		if left == 0 {
			delete(c.cooling, inc)
			continue
		}
		inst, known := c.reg.Get(inc.ID)
		if !known || inst.Started != inc.Started || inst.Service != service || !inst.Usable() {
			continue
		}
		if incs = append(incs, inc); len(incs) == 1 || left < first {
			first = left
		}
	}
	return incs, first, len(incs) > 0 && len(incs) == c.reg.ServingCount(service)
}
