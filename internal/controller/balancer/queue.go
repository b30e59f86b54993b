package balancer

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/balance/waiting"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/relay"
)

// queueState is the part of a Balancer that concerns waiting requests; b.mu guards it.
type queueState struct {
	// core is nil if no request waits for room.
	core *waiting.Core
	// results has the channel on which each waiting request gets its one result.
	results map[uint64]chan waiting.Result
	// timer wakes the Balancer at wakeAt; nil until it is first needed.
	timer  *time.Timer
	wakeAt time.Time
}

// queues reports whether requests wait for room.
func (b *Balancer) queues() bool { return b.queue.core != nil }

// await chooses a server for w and waits until one has room, at most w.MaxWait. *ticket is 0, or identifies
// the request if it has already waited; await updates it.
func (b *Balancer) await(ctx context.Context, w *balance.Work, ticket *uint64) (relay.Lease, error) {
	r, results := b.submit(w, *ticket)
	if r.Outcome == waiting.Waiting {
		b.metrics.count(b.metrics.queued, w.Service)
		select {
		case r = <-results:
		case <-ctx.Done():
			b.withdraw(r.Ticket, results)
			b.logWait(w, r.Ticket, "left", r.Ahead, nil)
			b.metrics.count(b.metrics.left, w.Service)
			*ticket = 0
			return nil, filter.ContextError(ctx).WithRan(errkind.RanNo)
		}
	}
	*ticket = r.Ticket
	b.logAbsurd(w)
	b.recordResult(w, r)
	if r.Err != nil {
		return nil, r.Err
	}
	return &lease{b: b, choice: r.Choice}, nil
}

// submit has a request decided on. results is the channel for its result if it waits.
func (b *Balancer) submit(w *balance.Work, ticket uint64) (r waiting.Result, results chan waiting.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var others []waiting.Result
	if ticket == 0 {
		r, others = b.queue.core.Submit(now, w)
	} else {
		r, others = b.queue.core.Resume(now, ticket, w)
	}
	if r.Outcome == waiting.Waiting {
		results = make(chan waiting.Result, 1)
		b.queue.results[r.Ticket] = results
	}
	b.deliver(others)
	b.rearm(now)
	return r, results
}

// step decides on the waiting requests after any change; b.mu is held.
func (b *Balancer) step(now time.Time) {
	if b.queue.core == nil || b.queue.core.Len() == 0 {
		return
	}
	b.deliver(b.queue.core.Step(now))
	b.rearm(now)
}

// deliver passes results to the requests that wait for them; b.mu is held.
func (b *Balancer) deliver(results []waiting.Result) {
	for _, r := range results {
		if c := b.queue.results[r.Ticket]; c != nil {
			delete(b.queue.results, r.Ticket)
			c <- r // it has room for the one result
		}
	}
}

// rearm sets the timer for the next step without news; b.mu is held.
func (b *Balancer) rearm(now time.Time) {
	next := b.queue.core.NextStep(now)
	if next.IsZero() || b.queue.wakeAt.After(now) && !next.Before(b.queue.wakeAt) {
		return
	}
	b.queue.wakeAt = next
	if b.queue.timer == nil {
		b.queue.timer = time.AfterFunc(next.Sub(now), b.wake)
		return
	}
	b.queue.timer.Reset(next.Sub(now))
}

func (b *Balancer) wake() {
	defer panics.Log(b.cfg.Log, "deciding on waiting requests")
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.queue.wakeAt = time.Time{}
	b.step(now)
}

// withdraw takes a request out of the queue whose caller has left. A server that it has got meanwhile is
// free again.
func (b *Balancer) withdraw(ticket uint64, results chan waiting.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	delete(b.queue.results, ticket)
	b.queue.core.Cancel(ticket)
	select {
	case r := <-results:
		if r.Err == nil {
			b.core.Done(now, r.Choice.Ticket, balance.Abandoned)
		}
	default:
	}
	b.step(now)
}

// cancelTicket gives up the place of a request that has one, in whatever way the choice ended.
func (b *Balancer) cancelTicket(ticket uint64) {
	if ticket == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue.core.Cancel(ticket)
}

// recordResult counts and logs what became of a request that found no room.
func (b *Balancer) recordResult(w *balance.Work, r waiting.Result) {
	if r.Outcome == waiting.Direct || needsFirst(r.Err) {
		return
	}
	b.metrics.result(w.Service, r)
	b.logWait(w, r.Ticket, string(r.Outcome), r.Ahead, func(e *event) { e.Dur("waited", r.Waited).Str("server", r.Choice.Instance.ID) })
}

// needsFirst reports whether err says that a request has to obtain something before it can be sent.
func needsFirst(err error) bool {
	switch err.(type) {
	case *balance.PermitNeeded, *balance.AdmissionNeeded:
		return true
	}
	return false
}

// View returns the room of the shards of a service for which this host chooses servers, and who waits for
// it; all services if service is empty. It is empty if no request waits for room.
func (b *Balancer) View(service string) []waiting.ShardView {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queue.core == nil {
		return nil
	}
	return b.queue.core.View(time.Now(), service)
}
