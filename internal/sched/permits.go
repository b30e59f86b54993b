package sched

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/backend"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
)

// incarnationOf returns the incarnation of a server, whose address serves as its id.
func incarnationOf(s *backend.Server) instance.Incarnation {
	return instance.Incarnation{ID: s.Address(), Started: s.State().GetIncarnation()}
}

// permitted reports whether the rate limit of a server allows a request now. If not, it records the
// permit to request, or when one may be available.
func (c *Core) permitted(now time.Time, s *backend.Server) bool {
	if c.cfg.Permits == nil {
		return true
	}
	switch state, wait := c.cfg.Permits.Check(now, incarnationOf(s)); state {
	case ratelimit.MustRequest:
		c.permitRequests[incarnationOf(s)] = true
		return false
	case ratelimit.Exhausted:
		if due := now.Add(wait); c.permitDue.IsZero() || due.Before(c.permitDue) {
			c.permitDue = due
		}
		return false
	}
	return true
}

func (c *Core) usePermit(now time.Time, s *backend.Server) {
	if c.cfg.Permits != nil {
		c.cfg.Permits.Use(now, incarnationOf(s))
	}
}

// TakePermitRequests returns the servers for which permits have to be requested. The caller calls
// Step once they are answered.
func (c *Core) TakePermitRequests() []instance.Incarnation {
	var out []instance.Incarnation
	for inc := range c.permitRequests {
		out = append(out, inc)
		delete(c.permitRequests, inc)
	}
	return out
}

// permitWait predicts how long w waits for a permit behind the requests that already wait. It is
// zero if any eligible server is not rate limited. This host counts on its even part of each limit.
func (c *Core) permitWait(now time.Time, p *pool, w *Work) time.Duration {
	if c.cfg.Permits == nil {
		return 0
	}
	perSecond := 0.0
	for i := range p.members {
		m := &p.members[i]
		if !c.eligible(now, m.server, w) {
			continue
		}
		limit, limited := c.cfg.Permits.Limit(incarnationOf(m.server))
		if !limited {
			return 0
		}
		perSecond += limit / float64(max(m.cover, 1))
	}
	const longest = time.Minute
	return time.Duration(min(float64(p.waiting+1)/perSecond, longest.Seconds()) * float64(time.Second))
}
