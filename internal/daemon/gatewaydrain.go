package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// acceptShare of the drain timeout, one in so many, is how long a leaving host takes
	// requests at most, from callers that were told of it before.
	acceptShare = 3
	// returnTime is what a leaving host keeps of the drain timeout to settle its last bills
	// and return its grants. That takes one or two batches of 100 ms.
	returnTime = time.Second
	// exitTime is what is left of the drain timeout when the drain gives up: a process that
	// is killed at its end may not have written its last lines.
	exitTime = 300 * time.Millisecond
)

// drain lets this host go without cutting off a request: the directory and its readiness
// stop naming it first, and it serves on for those who were told of it before, one answer
// for each connection. Then it waits for the streams that run, and returns its grants.
//
// What goes wrong when it takes requests for as long as callers may keep its address: the
// last of them still run when the drain timeout ends, and are cut off. Callers who come
// later are told to go to another host, where they are served whole.
func (g *gateway) drain(ctx context.Context) error {
	g.leaving.Store(true)
	g.members.Leave()
	if g.requests == nil {
		return nil
	}
	whole := g.d.cfg.Limits.DrainTimeout.Std()
	end := time.Now().Add(whole - exitTime)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	g.requests.CloseAfterAnswers()
	wait(ctx, min(2*g.d.cfg.Routed.AddressTTL.Std(), whole/acceptShare))
	streams, cancelStreams := context.WithDeadline(ctx, end.Add(-returnTime))
	defer cancelStreams()
	err := g.requests.Drain(streams)
	g.budgets.Drain(ctx)
	if manager := g.grants.Load(); manager != nil {
		if settleErr := manager.Drain(ctx); err == nil {
			err = settleErr
		}
	}
	return errors.Wrap(err, "drain")
}

// wait returns after d or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
