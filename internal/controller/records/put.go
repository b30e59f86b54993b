package records

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/inflight"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// putOutcome is the outcome of sending records to a host.
type putOutcome int

const (
	putDone putOutcome = iota
	putUnanswered
	putRefused
	// putExists means that the host has a record of the identity for another request.
	putExists
	// putConflict means that the host has a record of the identity with another body.
	putConflict
)

// put sends records to a host and marks the outcome in the store.
func (c *Controller) put(ctx context.Context, host inflight.Host, records []*pb.InflightRecord) putOutcome {
	c.markSending(host, records)
	reply, err := c.call(ctx, host.Name, records)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		metrics.Add("puts_unanswered", 1)
		c.store.MarkUnreachable(time.Now(), host.Name)
		return putUnanswered
	}
	if e := reply.GetError(); e != nil {
		metrics.Add("puts_refused_"+e.GetKind(), 1)
		if len(records) == 1 {
			c.store.MarkDeclined(records[0].GetRequestId(), host.Name)
		}
		return refusalOutcome(e)
	}
	metrics.Add("puts", 1)
	for _, rec := range records {
		c.store.MarkAcked(rec.GetRequestId(), host.Name, reply.GetSelf().GetIncarnation(), rec.GetVersion())
	}
	return putDone
}

func refusalOutcome(e *pb.Error) putOutcome {
	switch errkind.Kind(e.GetKind()) {
	case errkind.AlreadyExists:
		return putExists
	case errkind.KeyConflict:
		return putConflict
	}
	return putRefused
}

func (c *Controller) markSending(host inflight.Host, records []*pb.InflightRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, rec := range records {
		c.store.MarkSending(rec.GetRequestId(), host)
	}
}

func (c *Controller) call(ctx context.Context, host string, records []*pb.InflightRecord) (*pb.PutRecordsReply, error) {
	client, ok := c.cfg.Peers.Dial(host)
	if !ok {
		return nil, errkind.New(errkind.NotFound, "no connection to %s", host)
	}
	return client.PutRecords(ctx, &pb.PutRecordsRequest{Records: records, From: c.self})
}

// replicateResult is the result of replicate.
type replicateResult struct {
	// exists names a host that has a record of the identity for another request, conflict
	// one that has it with another body; each is empty if there is none.
	exists, conflict string
}

// replicate sends a record of this host to the hosts that should hold it, until it has its
// copies, no host is left, or ctx ends. Hosts that fail are replaced by the next ones in
// rendezvous order.
func (c *Controller) replicate(ctx context.Context, requestID string) replicateResult {
	var result replicateResult
	tried := make(map[string]bool)
	for ctx.Err() == nil {
		targets, rec := c.targets(requestID, tried)
		if len(targets) == 0 {
			return result
		}
		outcomes := make([]putOutcome, len(targets))
		var wg sync.WaitGroup
		for i, host := range targets {
			tried[host.Name] = true
			wg.Go(func() {
				callCtx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
				defer cancel()
				outcomes[i] = c.put(callCtx, host, []*pb.InflightRecord{rec})
			})
		}
		wg.Wait()
		for i, outcome := range outcomes {
			result.add(targets[i].Name, outcome)
		}
		if result.exists != "" || result.conflict != "" {
			return result
		}
	}
	return result
}

func (r *replicateResult) add(host string, outcome putOutcome) {
	switch outcome {
	case putExists:
		r.exists = host
	case putConflict:
		r.conflict = host
	}
}

func (c *Controller) targets(requestID string, tried map[string]bool) ([]inflight.Host, *pb.InflightRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	rec, ok := c.store.Record(now, requestID)
	if !ok {
		return nil, nil
	}
	return c.store.Targets(now, requestID, tried), rec
}
