package daemon

import (
	"context"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// drain stops serving callers without cutting off a request.
//
// The order matters. Callers cache addresses and connect on their own, so if a host closed
// its listener at once, callers that were just sent to it would get connection errors. And
// if grants were returned before the last stream has settled, there would be no tokens left
// to bill it.
func (e *entry) drain(ctx context.Context) error {
	e.members.Leave()
	e.leaving.Store(true)
	if e.http == nil {
		return nil
	}
	wait(ctx, e.d.settings.Fleet().AddressTTL.Std()) // callers may cache an address for this long
	err := e.http.Drain(ctx)
	e.api.Wait()
	if settleErr := e.grants.Drain(ctx); err == nil {
		err = settleErr
	}
	e.sched.Close()
	if err == nil {
		err = e.deregister(ctx)
	}
	return errors.Wrap(err, "drain")
}

// deregister reports to the control group that this incarnation has stopped cleanly. It is
// not called if settlement failed: the grants then stay locked until they are recovered.
func (e *entry) deregister(ctx context.Context) error {
	self := e.holder()
	_, err := e.d.client.Propose(ctx, &pb.Command{Actor: self.Host, Body: &pb.Command_RemoveHost{
		RemoveHost: &pb.RemoveHost{Host: self.Host, Incarnation: self.Incarnation}}})
	return err
}
