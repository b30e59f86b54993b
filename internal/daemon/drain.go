package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// drain lets this host go without cutting off a request.
//
// What goes wrong without the order: callers keep addresses for a while and connect
// by themselves, so a host that closes its listener as soon as it is told to refuses
// callers that were sent to it a moment ago, seen as connection errors. And grants
// returned before the last stream has settled would leave its bill without tokens.
func (e *entry) drain(ctx context.Context) error {
	e.members.Leave()
	e.leaving.Store(true)
	if e.http == nil {
		return nil
	}
	e.waitKeptAddresses(ctx)
	err := e.http.Drain(ctx)
	e.api.Wait()
	if settleErr := e.grants.Drain(ctx); err == nil {
		err = settleErr
	}
	e.sched.Close()
	return errors.Wrap(err, "drain")
}

// waitKeptAddresses waits as long as callers may keep an address answer.
func (e *entry) waitKeptAddresses(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(e.d.settings.Fleet().AddressTTL.Std()):
	}
}
