package daemon

import (
	"context"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/pb"
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
	wait(ctx, e.d.settings.Fleet().AddressTTL.Std()) // callers may keep an address answer so long
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

// deregister tells the control group that this run has ended in order. A run that
// could not settle does not say so: its grants stay locked until they are recovered.
func (e *entry) deregister(ctx context.Context) error {
	self := e.holder()
	_, err := e.d.client.Propose(ctx, &pb.Command{Actor: self.Host, Body: &pb.Command_RemoveHost{
		RemoveHost: &pb.RemoveHost{Host: self.Host, Incarnation: self.Incarnation}}})
	return err
}
