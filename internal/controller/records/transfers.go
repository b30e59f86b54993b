package records

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/inflight"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// transferCopies is the number of third hosts that should hold a transfer before it is
// answered.
const transferCopies = 1

// CopyTransfer implements grants.TransferRecorder: a third host holds the copy, or none
// can be reached.
//
// Then giver and receiver alone know the transfer, and the loss of one of them is covered
// by the other. The loss of both isn't: what the receiver began once it reached a third host
// again is billed, while the tokens that it spent on that are released with the giver's.
func (c *Controller) CopyTransfer(ctx context.Context, t *pb.Transfer) error {
	request := inflight.TransferIdentity(t.GetId())
	rec, err := c.transferRecord(t)
	if err != nil {
		return err
	}
	if rec.GetState() == pb.InflightState_INFLIGHT_STATE_ABANDONED {
		return errkind.New(errkind.Internal, "transfer %s is being undone", t.GetId())
	}
	c.replicate(ctx, request)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.store.Copies(request) < transferCopies {
		metrics.Add("transfers_without_third_host", 1)
		c.cfg.Log.Warn().Str("event", "transfer-without-third-host").Str("id", t.GetId()).Send()
	}
	return nil
}

// transferRecord returns the own record of a transfer and makes it the first time.
func (c *Controller) transferRecord(t *pb.Transfer) (*pb.InflightRecord, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := inflight.TransferIdentity(t.GetId())
	if rec, ok := c.store.Record(time.Now(), request); ok {
		return rec, nil
	}
	rec := &pb.InflightRecord{
		Identity: request, RequestId: request, Transfer: t,
		State: pb.InflightState_INFLIGHT_STATE_RUNNING,
	}
	return rec, c.store.Adopt(time.Now(), rec, transferCopies)
}

// AbandonTransfer implements grants.TransferRecorder.
func (c *Controller) AbandonTransfer(ctx context.Context, t *pb.Transfer) error {
	request := inflight.TransferIdentity(t.GetId())
	c.Abandon("", request)
	c.replicate(ctx, request)
	c.mu.Lock()
	defer c.mu.Unlock()
	rec, ok := c.store.Record(time.Now(), request)
	if ok && rec.GetState() != pb.InflightState_INFLIGHT_STATE_ABANDONED {
		return errkind.New(errkind.Internal, "transfer %s is counted by its receiver's recovery", t.GetId())
	}
	if !c.store.Complete(request) {
		return errkind.New(errkind.Internal, "a host that may hold the copy of transfer %s can't be reached", t.GetId())
	}
	return nil
}

// TransferSettled implements grants.TransferRecorder: it tells the giver, which tells its
// copies. If it can't be told, giver and copies keep the transfer until their windows end.
func (c *Controller) TransferSettled(t *pb.Transfer) {
	client, ok := c.cfg.Peers.Dial(t.GetFrom().GetHost())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), settledTimeout)
	defer cancel()
	request := inflight.TransferIdentity(t.GetId())
	rec := &pb.InflightRecord{
		Identity: request, RequestId: request, Holder: t.GetFrom(), Transfer: t,
		State: pb.InflightState_INFLIGHT_STATE_DONE, Settled: true,
	}
	if _, err := client.PutRecords(ctx, &pb.PutRecordsRequest{Records: []*pb.InflightRecord{rec}, From: c.self}); err != nil {
		metrics.Add("transfers_settled_untold", 1)
	}
}
