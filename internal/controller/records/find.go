package records

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/inflight"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Begin implements filter.Records. The record is copied to its hosts first, and only then are
// the hosts queried that could know the identity. If both were done concurrently, two hosts
// that begin the same identity at once could each miss the other's record; in this order, the
// host that queries last sees the other's record. The price is one round trip between
// availability zones.
//
// The store assigns the version numbers. If the caller's number were used, a peer that knows
// the identity could take the first record of a request for that of a takeover and store it
// instead of rejecting it, and a retry at another host would run a second time.
func (c *Controller) Begin(ctx context.Context, rec *pb.InflightRecord, copies int) (*pb.InflightRecord, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.BeginTimeout)
	defer cancel()
	rec = proto.CloneOf(rec)
	rec.Version = 0
	c.mu.Lock()
	known, err := c.store.Begin(time.Now(), rec, copies)
	c.mu.Unlock()
	if err != nil {
		return nil, false, err
	}
	if known != nil {
		return c.beginKnown(ctx, rec, known, copies)
	}
	return c.beginNew(ctx, rec, copies)
}

// beginKnown completes a Begin whose identity this host knows. If the owner of the known
// record no longer has it, the record is void and the request begins as a new one.
func (c *Controller) beginKnown(ctx context.Context, rec, known *pb.InflightRecord, copies int) (*pb.InflightRecord, bool, error) {
	if fresh, ok := c.confirmWithOwner(ctx, known); ok {
		metrics.Add("existing_here", 1)
		return asRunning(fresh), false, nil
	}
	c.mu.Lock()
	err := c.store.Adopt(time.Now(), rec, copies)
	c.mu.Unlock()
	if err != nil {
		return nil, false, err
	}
	return c.beginNew(ctx, rec, copies)
}

func (c *Controller) beginNew(ctx context.Context, rec *pb.InflightRecord, copies int) (*pb.InflightRecord, bool, error) {
	request, identity := rec.GetRequestId(), rec.GetIdentity()
	replicated := c.replicate(ctx, request)
	if replicated.conflict != "" {
		c.Abandon(identity, request)
		return nil, false, errkind.New(errkind.KeyConflict, "the idempotency key was used with another body")
	}
	found := c.queryAll(ctx, identity, c.hostsToQuery(identity, request, copies))
	if replicated.exists != "" {
		found = append(found, c.query(ctx, replicated.exists, identity))
	}
	for _, other := range found {
		if existing := c.findWinner(ctx, rec, other); existing != nil {
			return c.yieldTo(rec, existing)
		}
	}
	c.confirmBegin(request, copies)
	return nil, true, nil
}

// findWinner returns the other host's record if ours has to yield to it.
//
// If two hosts begin the same identity at once, each may see the other's record, or only one
// of them may, so neither can decide from its own view alone. A host that has not decided
// reports that in the record's state: the host with the greater request id yields at once, the
// other waits for that decision. Exactly one of them proceeds, unless one stops answering.
func (c *Controller) findWinner(ctx context.Context, ours, found *pb.InflightRecord) *pb.InflightRecord {
	for {
		fresh, ok := c.confirmWithOwner(ctx, found)
		if !ok || fresh.GetRequestId() == ours.GetRequestId() {
			return nil
		}
		decided := fresh.GetState() != pb.InflightState_INFLIGHT_STATE_NONE
		if decided || ours.GetRequestId() > fresh.GetRequestId() {
			return asRunning(fresh)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(racePollInterval):
		}
	}
}

// asRunning returns rec as running if its owner hasn't decided yet; the request chain doesn't
// know that state.
func asRunning(rec *pb.InflightRecord) *pb.InflightRecord {
	if rec.GetState() == pb.InflightState_INFLIGHT_STATE_NONE {
		rec.State = pb.InflightState_INFLIGHT_STATE_RUNNING
	}
	return rec
}

// yieldTo abandons our record in favor of an existing one.
func (c *Controller) yieldTo(ours, existing *pb.InflightRecord) (*pb.InflightRecord, bool, error) {
	c.Abandon(ours.GetIdentity(), ours.GetRequestId())
	metrics.Add("existing_at_peer", 1)
	if existing.GetBodyHash() != ours.GetBodyHash() {
		return nil, false, errkind.New(errkind.KeyConflict, "the idempotency key was used with another body")
	}
	return existing, false, nil
}

func (c *Controller) confirmBegin(request string, copies int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.ConfirmBegin(request)
	metrics.Add("begun", 1)
	if missing := copies - c.store.Copies(request); missing > 0 {
		metrics.Add("begun_with_copies_missing", 1)
		c.cfg.Log.Warn().Str("event", "copies-missing").Str("request", request).Int("missing", missing).Send()
	}
}

// Takeover makes this host the owner of a request whose owner died. rec has the new request
// id, the reservation at this host and the backend server's stream to resume.
func (c *Controller) Takeover(ctx context.Context, rec *pb.InflightRecord, copies int) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.BeginTimeout)
	defer cancel()
	c.mu.Lock()
	err := c.store.Adopt(time.Now(), rec, copies)
	c.mu.Unlock()
	if err != nil {
		return err
	}
	c.replicate(ctx, rec.GetRequestId())
	c.confirmBegin(rec.GetRequestId(), copies)
	return nil
}

// Find implements filter.Records.
func (c *Controller) Find(ctx context.Context, identity string) (*pb.InflightRecord, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.BeginTimeout)
	defer cancel()
	c.mu.Lock()
	here, _ := c.store.Find(time.Now(), identity)
	c.mu.Unlock()
	found := []*pb.InflightRecord{here}
	if here == nil || !c.conclusive(here) {
		found = append(c.queryAll(ctx, identity, c.lookup(identity, lookupCopies)), here)
		c.sortByAuthority(found)
	}
	for _, rec := range found {
		if fresh, ok := c.confirmWithOwner(ctx, rec); ok {
			return asRunning(fresh), true, nil
		}
	}
	return nil, false, nil
}

func (c *Controller) lookup(identity string, copies int) []inflight.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Lookup(identity, copies)
}

// hostsToQuery returns the hosts that may know another record of the identity. A host that
// stored ours knew no other record, and rejects any later one.
func (c *Controller) hostsToQuery(identity, request string, copies int) []inflight.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := c.store.Lookup(identity, copies)
	return slices.DeleteFunc(hosts, func(h inflight.Host) bool { return c.store.HeldBy(request, h.Name) })
}

// OwnerAlive reports whether the incarnation that owns rec is among the live hosts.
func (c *Controller) OwnerAlive(rec *pb.InflightRecord) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	host, ok := c.store.Host(rec.GetHolder().GetHost())
	return ok && host.Incarnation == rec.GetHolder().GetIncarnation()
}

// confirmWithOwner returns the current state of a record, as known to its owner if that is
// alive; ok is false if the record is void. A running copy that its live owner doesn't know is
// void, because the owner abandoned the request. If the owner returns another record of the
// identity, that may itself be such a copy and doesn't count.
func (c *Controller) confirmWithOwner(ctx context.Context, rec *pb.InflightRecord) (*pb.InflightRecord, bool) {
	if rec == nil {
		return nil, false
	}
	owner := rec.GetHolder().GetHost()
	running := rec.GetState() == pb.InflightState_INFLIGHT_STATE_RUNNING || rec.GetState() == pb.InflightState_INFLIGHT_STATE_NONE
	if running && c.isOwn(rec) {
		return c.ownRecord(rec)
	}
	if !running || owner == c.self.GetHost() || !c.OwnerAlive(rec) {
		return rec, true
	}
	reply, err := c.findAt(ctx, owner, rec.GetIdentity())
	if err != nil {
		return rec, true
	}
	same := reply.GetFound() && reply.GetRecord().GetRequestId() == rec.GetRequestId()
	return reply.GetRecord(), same
}

// ownRecord returns the current state of a running record that this host owns, given a copy
// of it that may be old; false if this host no longer has the record.
func (c *Controller) ownRecord(rec *pb.InflightRecord) (*pb.InflightRecord, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	here, ok := c.store.Find(time.Now(), rec.GetIdentity())
	return here, ok && here.GetRequestId() == rec.GetRequestId()
}

// queryAll looks up an identity at several hosts and returns the records found, the most
// authoritative first. One answer isn't enough, because a host may still hold a record that
// its owner has abandoned.
func (c *Controller) queryAll(ctx context.Context, identity string, hosts []inflight.Host) []*pb.InflightRecord {
	found := make([]*pb.InflightRecord, len(hosts))
	var wg sync.WaitGroup
	for i, host := range hosts {
		wg.Go(func() { found[i] = c.query(ctx, host.Name, identity) })
	}
	wg.Wait()
	found = slices.DeleteFunc(found, func(rec *pb.InflightRecord) bool { return rec == nil })
	c.sortByAuthority(found)
	return found
}

// conclusive reports whether a record found at this host needs no query at other hosts. A
// running record of a dead owner does, because the request may have been taken over.
func (c *Controller) conclusive(rec *pb.InflightRecord) bool {
	return rec.GetState() == pb.InflightState_INFLIGHT_STATE_DONE || c.OwnerAlive(rec)
}

// sortByAuthority sorts finished records first, then running ones whose owners are alive.
func (c *Controller) sortByAuthority(found []*pb.InflightRecord) {
	rank := func(rec *pb.InflightRecord) int {
		switch {
		case rec.GetState() == pb.InflightState_INFLIGHT_STATE_DONE:
			return 0
		case c.OwnerAlive(rec):
			return 1
		}
		return 2
	}
	slices.SortStableFunc(found, func(a, b *pb.InflightRecord) int { return rank(a) - rank(b) })
}

func (c *Controller) query(ctx context.Context, host, identity string) *pb.InflightRecord {
	reply, err := c.findAt(ctx, host, identity)
	if err != nil || !reply.GetFound() {
		return nil
	}
	return reply.GetRecord()
}

func (c *Controller) findAt(ctx context.Context, host, identity string) (*pb.FindRecordReply, error) {
	client, ok := c.cfg.Peers.Dial(host)
	if !ok {
		return nil, errkind.New(errkind.NotFound, "no connection to %s", host)
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	return client.FindRecord(ctx, &pb.FindRecordRequest{Identity: identity})
}
