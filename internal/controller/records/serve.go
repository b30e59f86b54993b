package records

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/inflight"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

// HandlePut stores copies for a peer. It tries to store every record; the reply has the first
// rejection.
func (c *Controller) HandlePut(req *pb.PutRecordsRequest) *pb.PutRecordsReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := &pb.PutRecordsReply{Self: c.self}
	for _, rec := range req.GetRecords() {
		err := c.storeFromPeer(rec, req.GetFrom())
		if err != nil && reply.Error == nil {
			reply.Error = wire.EncodeError(err)
		}
	}
	return reply
}

// storeFromPeer stores one record of a peer; c.mu is held. The receiver of a transfer also
// reports in this way to the sender that the ledger has recorded the transfer.
//
// A record that this host owns isn't stored. It is sent by a copy holder that took this host
// for dead during a network partition, and may be older than this host's own record. If it
// were stored as a copy after the request was abandoned, this host would confirm it as running:
// callers would be told forever that their request runs, and recoveries would wait for its end.
func (c *Controller) storeFromPeer(rec *pb.InflightRecord, from *pb.Holder) error {
	own := c.isOwn(rec)
	if t := rec.GetTransfer(); own && t != nil {
		c.store.MarkSettled(time.Now(), inflight.TransferIdentity(t.GetId()))
		if c.grants != nil {
			c.grants.MarkTransferSettled(t.GetId())
		}
		return nil
	}
	if own {
		return nil
	}
	return c.store.PutCopy(time.Now(), rec, from)
}

func (c *Controller) isOwn(rec *pb.InflightRecord) bool {
	return rec.GetHolder().GetHost() == c.self.GetHost() && rec.GetHolder().GetIncarnation() == c.self.GetIncarnation()
}

// HandleFind looks up an identity in this host's store.
func (c *Controller) HandleFind(req *pb.FindRecordRequest) *pb.FindRecordReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec, ok := c.store.Find(time.Now(), req.GetIdentity())
	return &pb.FindRecordReply{Record: rec, Found: ok}
}

// HandleGather fences the records and transfers of a dead holder and returns them.
func (c *Controller) HandleGather(req *pb.GatherRequest) *pb.GatherReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	dead := req.GetDead()
	if dead.GetHost() == c.self.GetHost() && dead.GetIncarnation() == c.self.GetIncarnation() {
		return &pb.GatherReply{Self: c.self, Error: wire.EncodeError(errkind.New(errkind.BadRequest, "holder %s/%d is alive", dead.GetHost(), dead.GetIncarnation()))}
	}
	reply := &pb.GatherReply{Self: c.self, Records: c.store.Gather(time.Now(), dead)}
	if c.grants != nil {
		reply.Transfers = c.grants.Fence(dead)
	}
	c.cfg.Log.Info().Str("event", "gathered").Str("dead", dead.GetHost()).Uint64("incarnation", dead.GetIncarnation()).
		Int("records", len(reply.Records)).Int("transfers", len(reply.Transfers)).Send()
	return reply
}
