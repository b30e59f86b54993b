package sched

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/backend"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/fairqueue"
)

// lastStartWindow is the time before its latest start in which a waiting request may use
// reserved slots.
const lastStartWindow = 3 * time.Second

// Submit decides on a new request. It returns a result if the request is granted or refused at
// once; otherwise the request waits and Step returns the result later.
func (c *Core) Submit(now time.Time, w Work) (Result, bool) {
	if len(c.reg.Serving(w.Target)) == 0 {
		return Result{Ticket: w.Ticket, Err: unknownTarget(w.Target)}, true
	}
	p := c.pool(w.Target)
	if c.usable(now, p, &w) == 0 {
		return Result{Ticket: w.Ticket, Err: c.noServer(now, p)}, true
	}
	minRun := c.withMargin(c.bestRunTime(now, p, &w))
	if now.Add(minRun).After(w.Deadline) {
		return Result{Ticket: w.Ticket, Err: tooLong(minRun, w.Deadline.Sub(now))}, true
	}
	if p.waiting == 0 || c.isFirst(p, &w) {
		if r, ok := c.tryGrant(now, p, &w, now, time.Time{}); ok {
			return r, true
		}
	}
	if err := c.refuse(now, p, &w, minRun); err != nil {
		p.notePressure(now, w.Class)
		return Result{Ticket: w.Ticket, Err: err}, true
	}
	c.enqueue(now, p, w, minRun)
	return Result{}, false
}

// isFirst reports whether w would be the first to be offered room: no request of its class or a
// higher priority class waits, and no lower priority class has reached its starvation bound.
func (c *Core) isFirst(p *pool, w *Work) bool {
	if p.classOrder()[0] > w.Class {
		return false
	}
	for k := Urgent; k <= w.Class; k++ {
		if p.classes[k].Len() > 0 {
			return false
		}
	}
	return true
}

func (c *Core) enqueue(now time.Time, p *pool, w Work, minRun time.Duration) {
	it := &item{work: w, queued: now, latest: w.Deadline.Add(-minRun), pool: p}
	e := entryOf(it, minRun)
	p.classes[w.Class].Push(e)
	p.waiting++
	c.queued[w.Ticket] = e
	if p.nextExpiry.IsZero() || it.latest.Before(p.nextExpiry) {
		p.nextExpiry = it.latest
	}
}

// dequeue forgets a waiting request; remove takes it out of its queue.
func (c *Core) dequeue(e *entry, remove func(*entry)) {
	remove(e)
	e.Value.pool.waiting--
	delete(c.queued, e.Value.work.Ticket)
}

// cancel takes a waiting request out of its queue without charging its account.
func (c *Core) cancel(e *entry) { c.dequeue(e, e.Value.pool.classes[e.Value.work.Class].Remove) }

// tryGrant grants w if a server has room for it.
func (c *Core) tryGrant(now time.Time, p *pool, w *Work, queued, latest time.Time) (Result, bool) {
	useReserved := w.Class > Urgent && p.classOrder()[0] == w.Class && p.levels[w.Class].Passed >= maxNormalSkips
	// A request close to its latest start may use slots reserved for higher priority classes,
	// unless requests of these are being refused because no server has room for them.
	if !latest.IsZero() && latest.Sub(now) < lastStartWindow && !now.Before(p.pressureUntil) {
		useReserved = true
	}
	ch, considered := c.choose(now, p, w, useReserved)
	if ch.server == nil {
		return Result{}, false
	}
	prompt := uint64(float64(w.PromptTokens) * (1 - ch.cached))
	c.usePermit(now, ch.server)
	ch.server.Begin(now, w.Ticket, prompt)
	ch.server.AssumeCached(w.PromptHashes)
	c.attempts[w.Ticket] = &attempt{work: *w, server: ch.server, started: now}
	p.granted(w.Class)
	return Result{Ticket: w.Ticket, Grant: &Grant{
		State: ch.server.State(), Finish: ch.finish, Waited: now.Sub(queued),
		Cached: ch.cached, Load: ch.load, Considered: considered,
	}}, true
}

// Step returns the results of waiting requests that can be decided now.
func (c *Core) Step(now time.Time) []Result {
	var out []Result
	c.permitDue = time.Time{}
	for _, p := range c.order {
		if p.waiting == 0 {
			continue
		}
		c.pool(p.target)
		out = c.expire(now, p, out)
		for p.waiting > 0 {
			r, ok := c.grantNext(now, p)
			if !ok {
				break
			}
			out = append(out, r)
		}
	}
	return out
}

// grantNext grants the next waiting request of p for which there is room.
func (c *Core) grantNext(now time.Time, p *pool) (Result, bool) {
	for _, class := range p.classOrder() {
		q := p.classes[class]
		if q.Len() == 0 || !c.someRoom(now, p, class) {
			continue
		}
		var granted *entry
		var result Result
		q.InOrder(func(e *entry) fairqueue.Verdict {
			r, ok := c.tryGrant(now, p, &e.Value.work, e.Value.queued, e.Value.latest)
			if !ok {
				return fairqueue.NextAccount
			}
			granted, result = e, r
			return fairqueue.Stop
		})
		if granted != nil {
			c.dequeue(granted, q.Grant)
			return result, true
		}
	}
	return Result{}, false
}

// someRoom reports whether any server may have room for the class at all. If not, no waiting
// request of the class needs to be tried.
func (c *Core) someRoom(now time.Time, p *pool, class Class) bool {
	for _, m := range p.members {
		if c.reg.UsableServer(now, m.server) && c.hasRoom(now, p, m, class, true) {
			return true
		}
	}
	return false
}

// expire refuses the waiting requests that can no longer end in time, or for which no server is
// left.
func (c *Core) expire(now time.Time, p *pool, out []Result) []Result {
	if len(p.members) > 0 && now.Before(p.nextExpiry) {
		return out
	}
	p.nextExpiry = time.Time{}
	var expired []*entry
	for k := range p.classes {
		p.classes[k].Each(func(e *entry) {
			it := e.Value
			if !now.Before(it.latest) || c.usable(now, p, &it.work) == 0 {
				expired = append(expired, e)
			} else if p.nextExpiry.IsZero() || it.latest.Before(p.nextExpiry) {
				p.nextExpiry = it.latest
			}
		})
	}
	for _, e := range expired {
		c.cancel(e)
		it := e.Value
		p.notePressure(now, it.work.Class)
		err := c.noServer(now, p)
		if c.usable(now, p, &it.work) > 0 {
			err = errkind.New(errkind.DeadlineUnreachable,
				"no backend server had room within %v and a run takes up to %v",
				now.Sub(it.queued).Round(time.Millisecond), e.Cost.Round(time.Millisecond)).
				After(max(c.waitFor(now, p, &it.work), minRetryAfter))
		}
		out = append(out, Result{Ticket: it.work.Ticket, Err: err})
	}
	return out
}

// NextWake returns the latest time for the next call of Step; zero: not before another input.
func (c *Core) NextWake(now time.Time) time.Time {
	var next time.Time
	for _, p := range c.order {
		if p.waiting > 0 && (next.IsZero() || p.nextExpiry.Before(next)) {
			next = p.nextExpiry
		}
	}
	if !next.IsZero() && !c.permitDue.IsZero() && c.permitDue.Before(next) {
		next = c.permitDue
	}
	return next
}

// Cancel withdraws a waiting request; it returns false if the request does not wait.
func (c *Core) Cancel(ticket uint64) bool {
	e := c.queued[ticket]
	if e == nil {
		return false
	}
	c.cancel(e)
	return true
}

// FirstToken records that a granted request got its first token d after its dispatch.
func (c *Core) FirstToken(ticket uint64, d time.Duration) {
	if r := c.attempts[ticket]; r != nil {
		r.firstToken = d
		r.server.PrefillDone(ticket)
	}
}

// End is the outcome of a granted request.
type End struct {
	// Completed reports that the request ran to its end.
	Completed bool
	// Output is the number of tokens generated.
	Output uint64
}

// Release frees the slot of a granted request and updates the server's measured speed.
func (c *Core) Release(now time.Time, ticket uint64, end End) {
	r := c.attempts[ticket]
	if r == nil {
		return
	}
	delete(c.attempts, ticket)
	r.server.End(now, ticket)
	if !end.Completed {
		return
	}
	took := now.Sub(r.started)
	if r.work.Target.Kind == backend.Service {
		r.server.RecordServiceCall(took)
	} else {
		r.server.RecordModelRun(r.firstToken, took, end.Output)
	}
	p := c.pool(r.work.Target)
	planned := c.withMargin(c.minRunTime(r.server, &r.work))
	if planned <= 0 {
		return
	}
	share := took.Seconds() / planned.Seconds()
	p.usage += usageWeight * (min(max(share, minUsage), 1) - p.usage)
}

// Waiting returns the number of waiting requests.
func (c *Core) Waiting() int { return len(c.queued) }

// Running returns the number of granted requests not yet released.
func (c *Core) Running() int { return len(c.attempts) }
