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

// CopyTransfer implements grants.TransferRecorder. It returns nil if a third host holds the
// copy, or if none can be reached.
//
// In the latter case only sender and receiver know the transfer, and if one of them dies, the
// other still knows it. If both die, requests that the receiver began after it reached a third
// host again are billed, although the tokens that it spent on them are released with the
// sender's.
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

// transferRecord returns this host's record of a transfer; the first call creates it.
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
		return errkind.New(errkind.Internal, "transfer %s can't be undone: the recovery of its receiver has counted it", t.GetId())
	}
	if !c.store.Complete(request) {
		return errkind.New(errkind.Internal, "a host that may hold a copy of transfer %s is unreachable", t.GetId())
	}
	return nil
}

// TransferSettled implements grants.TransferRecorder: it notifies the sender, which updates
// its copies. If the sender can't be notified, it and the copy holders keep the transfer until
// their retention windows end.
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
