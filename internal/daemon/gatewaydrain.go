package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// acceptDivisor bounds the time for which a leaving host accepts requests from callers that
	// already have its address: the drain timeout divided by acceptDivisor.
	acceptDivisor = 3
	// returnReserve is the part of the drain timeout that is kept to settle the last bills and
	// return the grants. That takes one or two batches of 100 ms.
	returnReserve = time.Second
	// exitReserve is what is left of the drain timeout when the drain gives up: a process that
	// is killed at the end of the timeout may not have written its last log lines.
	exitReserve = 300 * time.Millisecond
)

// drain stops serving callers without cutting off a request. First the directory no longer
// lists this host and its readiness check fails; callers that already have its address are
// still served, with one answer per connection, unless their requests might be cut off (package
// leaving). Then it waits for the running streams, and returns its grants.
//
// It does not accept requests for as long as callers may cache its address: the last of them
// would still run at the end of the drain timeout and be cut off. Later callers are sent to
// another host, which can complete their requests.
func (g *gateway) drain(ctx context.Context) error {
	g.leaving.Store(true)
	g.members.Leave()
	if g.requests == nil {
		return nil
	}
	whole := g.d.cfg.Limits.DrainTimeout.Std()
	end := time.Now().Add(whole - exitReserve)
	requestsEnd := end.Add(-returnReserve)
	g.requestsEnd.Store(&requestsEnd)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	g.requests.CloseAfterAnswers()
	wait(ctx, min(2*g.d.cfg.Routed.AddressTTL.Std(), whole/acceptDivisor))
	var handOver sync.WaitGroup // of what other hosts may need, while this host's requests end
	handOver.Go(func() { g.origins.HandOver(ctx) })
	defer handOver.Wait()
	streams, cancelStreams := context.WithDeadline(ctx, requestsEnd)
	defer cancelStreams()
	err := g.requests.Drain(streams)
	g.paths.Drain(streams)
	g.budgets.Drain(ctx)
	if manager := g.grants.Load(); manager != nil {
		if settleErr := manager.Drain(ctx); err == nil {
			err = settleErr
		}
	}
	return errors.Wrap(err, "drain")
}

// servesUntil returns when this host ends the requests that still run; ok is false unless it is leaving.
func (g *gateway) servesUntil() (end time.Time, ok bool) {
	if at := g.requestsEnd.Load(); at != nil {
		return *at, true
	}
	return time.Time{}, false
}

// wait returns after d or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
