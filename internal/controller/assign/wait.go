package assign

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

const (
	// holdTime is how long a call is held open while its request waits. What is left of callTimeout covers a
	// pause of either host.
	holdTime = 60 * time.Millisecond
	// keepTime is how long a waiting request keeps its place after it was last asked for: two calls.
	keepTime = 2 * callTimeout
	// maxOwners is how many hosts are asked in turn for a server of one shard if they don't answer.
	maxOwners = 3
)

// pending is a request of another host that waits for a server. Assigner.mu guards it until done is closed,
// except dropped.
type pending struct {
	// done is closed once lease or err is set.
	done   chan struct{}
	lease  relay.Lease
	err    error
	cancel context.CancelCauseFunc
	// expiry drops the request if it is not asked for again.
	expiry *time.Timer
	// dropped is set once nobody will ask for the request any more.
	dropped bool
}

// handleWaiting assigns a server to another host's attempt, or lets it wait for one. The call is held open
// until there is a server, at most for hold. A further call with the same key finds the request in its place.
func (a *Assigner) handleWaiting(ctx context.Context, k attemptKey, w *balance.Work, hold time.Duration) *pb.AssignReply {
	p, l := a.pendingOf(k, w)
	if l != nil {
		return assignReply(l.Choice())
	}
	timer := time.NewTimer(min(hold, holdTime))
	defer timer.Stop()
	select {
	case <-p.done:
		return a.collect(k, p, w.Lifetime)
	case <-timer.C:
	case <-ctx.Done():
	}
	return &pb.AssignReply{Queued: true}
}

// pendingOf returns a waiting request, which it begins if it is new, or the lease that the attempt has.
func (a *Assigner) pendingOf(k attemptKey, w *balance.Work) (*pending, relay.Lease) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if as, ok := a.assigned[k]; ok {
		return nil, as.lease
	}
	if p := a.waiting[k]; p != nil {
		p.expiry.Reset(keepTime)
		a.metrics.askedAgain.Add(1)
		return p, nil
	}
	// The request outlives the calls that ask for it.
	ctx, cancel := context.WithCancelCause(context.Background())
	p := &pending{done: make(chan struct{}), cancel: cancel}
	p.expiry = time.AfterFunc(keepTime, func() { a.drop(k, p, "not asked for again") })
	a.waiting[k] = p
	go func() {
		defer panics.Log(a.cfg.Log, "choosing a server for another host")
		l, err := a.cfg.Local.Acquire(ctx, w)
		a.decided(p, l, err)
	}()
	return p, nil
}

// decided records the result of a waiting request. The server of one that was dropped is free again.
func (a *Assigner) decided(p *pending, l relay.Lease, err error) {
	if a.recordDecision(p, l, err) && err == nil {
		l.Done(balance.Abandoned)
	}
}

func (a *Assigner) recordDecision(p *pending, l relay.Lease, err error) (dropped bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer close(p.done)
	p.lease, p.err = l, err
	return p.dropped
}

// collect passes the result of a waiting request to the host that asks for it.
func (a *Assigner) collect(k attemptKey, p *pending, lifetime time.Duration) *pb.AssignReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	p.expiry.Stop()
	first := a.waiting[k] == p
	if first {
		delete(a.waiting, k)
	}
	switch {
	case p.dropped:
		return &pb.AssignReply{Error: wire.EncodeError(errkind.New(errkind.Overloaded, "the request has lost its place among those that wait").After(callTimeout))}
	case p.err != nil:
		return &pb.AssignReply{Error: wire.EncodeError(p.err)}
	case first:
		a.assigned[k] = assignment{lease: p.lease, until: time.Now().Add(lifetime)}
	}
	return assignReply(p.lease.Choice())
}

// drop ends the wait of a request that nobody asks for any more.
func (a *Assigner) drop(k attemptKey, p *pending, why string) {
	l, waited := a.forget(k, p)
	if !waited {
		return
	}
	p.cancel(errkind.New(errkind.CallerGone, "%s", why))
	if l != nil {
		l.Done(balance.Abandoned)
	}
	a.metrics.dropped.Add(1)
	a.cfg.Log.Info().Str("event", "waiting-request-dropped").Str("run", k.incarnation).Uint64("attempt", k.attempt).Str("why", why).Send()
}

// forget removes a waiting request. It returns the lease that nobody has collected, if there is one.
func (a *Assigner) forget(k attemptKey, p *pending) (l relay.Lease, waited bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting[k] != p {
		return nil, false
	}
	delete(a.waiting, k)
	p.expiry.Stop()
	p.dropped = true
	return p.lease, true
}

// dropWaiting ends the wait of a request if it waits.
func (a *Assigner) dropWaiting(k attemptKey, why string) {
	a.mu.Lock()
	p := a.waiting[k]
	a.mu.Unlock()
	if p != nil {
		a.drop(k, p, why)
	}
}

// awaitInShard acquires a server of one shard, and waits for one if none has room. An owner that does not
// answer is replaced by the next host in rank, for what is left of the wait.
func (a *Assigner) awaitInShard(ctx context.Context, w *balance.Work) (relay.Lease, error) {
	in := *w
	in.Exclude = a.excludedServers(w)
	latest := time.Now().Add(w.MaxWait)
	unanswered, unusable := map[string]bool{}, 0
	for len(unanswered) < maxOwners && unusable < maxOwnerAsks {
		h, ok := a.nextOwner(w, unanswered)
		if !ok {
			break
		}
		in.MaxWait = max(time.Until(latest), 0)
		l, err := a.askOwner(ctx, h, &in)
		if _, refused := err.(*errkind.Error); refused {
			if unusable > 0 && errkind.Is(err, errkind.NoBackendServer) {
				break // this host may know servers that the owner does not know
			}
			return nil, err
		}
		if err != nil {
			if err := a.ownerUnanswered(ctx, w, h, err); err != nil {
				return nil, err
			}
			unanswered[h.Name] = true
			continue
		}
		inc := l.choice.Instance.Incarnation()
		if a.cfg.Local.Usable(inc) && a.cfg.Local.Allowed(w, inc) {
			return l, nil
		}
		l.Done(balance.Abandoned)
		in.Exclude = append(in.Exclude[:len(in.Exclude):len(in.Exclude)], inc)
		unusable++
	}
	in = *w
	in.MaxWait = max(time.Until(latest), 0)
	if len(unanswered) == 0 && unusable == 0 {
		return a.cfg.Local.Acquire(ctx, &in) // this host is the owner, or there is none
	}
	return a.acquireAlone(ctx, &in)
}
