package assign

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/relay"
)

// waitPart divides the time that a caller still waits: a request of a pressed plain service may wait for
// room that long, and the rest is for its run.
const waitPart = 2

// acquirePlain acquires a server of a plain service. This host chooses it, unless the service is pressed:
// then one host has to see the requests of all, so that each account gets its share of the slots.
func (a *Assigner) acquirePlain(ctx context.Context, w *balance.Work) (relay.Lease, error) {
	if !a.cfg.Local.Owned(w.Service) {
		return a.cfg.Local.Acquire(ctx, w)
	}
	in := *w
	if deadline, ok := ctx.Deadline(); ok && in.MaxWait == 0 {
		in.MaxWait = max(time.Until(deadline), 1) / waitPart
	}
	l, err := a.acquireFromOwners(ctx, &in)
	if errkind.Is(err, errkind.Overloaded) {
		a.cfg.Local.ReportRefusal(w.Service)
	}
	return l, err
}

// acquireAlone acquires a server without the owner's choice. This host does not see the requests of others:
// it does not count those for plain services against the slots.
func (a *Assigner) acquireAlone(ctx context.Context, w *balance.Work) (relay.Lease, error) {
	if w.Engine {
		return a.cfg.Local.Acquire(ctx, w)
	}
	in := *w
	in.Shard = balance.Shard{}
	return a.cfg.Local.Acquire(ctx, &in)
}
