package balance

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
)

// permitted reports whether the rate limit of a server lets it be considered for w.
func (c *Core) permitted(now time.Time, w *Work, inc instance.Incarnation) bool {
	if c.cfg.Permits == nil {
		return true
	}
	state, _ := c.cfg.Permits.Check(now, inc)
	return state != ratelimit.Exhausted && (state != ratelimit.MustRequest || !w.HeldPermitsOnly)
}

// usePermit takes the permit for a request to a server.
func (c *Core) usePermit(now time.Time, inc instance.Incarnation) error {
	if c.cfg.Permits == nil {
		return nil
	}
	if state, _ := c.cfg.Permits.Check(now, inc); state == ratelimit.MustRequest {
		return &PermitNeeded{Incarnation: inc}
	}
	c.cfg.Permits.Use(now, inc)
	return nil
}

// permitWait returns the time during which no permit for a server is available.
func (c *Core) permitWait(now time.Time, inc instance.Incarnation) time.Duration {
	if c.cfg.Permits == nil {
		return 0
	}
	state, wait := c.cfg.Permits.Check(now, inc)
	if state != ratelimit.Exhausted {
		return 0
	}
	return wait
}
