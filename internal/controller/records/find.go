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

// Begin implements filter.Records. The record is put to its copies first; only then are
// the hosts asked that could know the identity. Done at the same time, two hosts that
// begin one identity at once could each miss the other's record; this way the one that
// asks last sees the other's. It costs one round trip between availability zones.
//
// The store numbers the versions. Were the caller's number counted on, the first record of
// a request would look like a takeover's to a peer that knows the identity: the peer would
// take it in place of refusing it, and a retry at another host would run a second time.
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

// beginKnown answers a Begin whose identity this host knows, unless the owner says that
// the record is void.
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
	spread := c.replicate(ctx, request)
	if spread.conflict != "" {
		c.Abandon(identity, request)
		return nil, false, errkind.New(errkind.KeyConflict, "the idempotency key was used with another body")
	}
	found := c.queryAll(ctx, identity, c.hostsToQuery(identity, request, copies))
	if spread.exists != "" {
		found = append(found, c.query(ctx, spread.exists, identity))
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
// Two hosts that begin the same identity at once may each see the other's record, or only
// one may see the other's, so neither can go by its own view alone. A host that has not
// decided says so: the one with the greater request id yields at once, the other waits
// for its decision. Then exactly one goes on, unless one of them stops answering.
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

// asRunning hides from the request chain that the owner hasn't decided yet.
func asRunning(rec *pb.InflightRecord) *pb.InflightRecord {
	if rec.GetState() == pb.InflightState_INFLIGHT_STATE_NONE {
		rec.State = pb.InflightState_INFLIGHT_STATE_RUNNING
	}
	return rec
}

// yieldTo takes our record back in favour of an existing one.
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

// Takeover makes this host the owner of a request whose owner died: rec carries the new
// request id, the reservation here and the backend server's stream that is resumed.
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

// hostsToQuery are the hosts that may know another record of the identity. A host that took ours
// knew no other, and refuses any that comes later.
func (c *Controller) hostsToQuery(identity, request string, copies int) []inflight.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := c.store.Lookup(identity, copies)
	return slices.DeleteFunc(hosts, func(h inflight.Host) bool { return c.store.HeldBy(request, h.Name) })
}

// OwnerAlive tells whether the incarnation that owns rec is among the live hosts.
func (c *Controller) OwnerAlive(rec *pb.InflightRecord) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	host, ok := c.store.Host(rec.GetHolder().GetHost())
	return ok && host.Incarnation == rec.GetHolder().GetIncarnation()
}

// confirmWithOwner asks the record's owner, if it lives, for its present state. A running copy
// that its living owner doesn't know is void: the owner abandoned the request. What else
// the owner knows of the identity may itself be such a copy and doesn't count.
func (c *Controller) confirmWithOwner(ctx context.Context, rec *pb.InflightRecord) (*pb.InflightRecord, bool) {
	if rec == nil {
		return nil, false
	}
	owner := rec.GetHolder().GetHost()
	runs := rec.GetState() == pb.InflightState_INFLIGHT_STATE_RUNNING || rec.GetState() == pb.InflightState_INFLIGHT_STATE_NONE
	if runs && c.isOwn(rec) {
		return c.ownRecord(rec)
	}
	if !runs || owner == c.self.GetHost() || !c.OwnerAlive(rec) {
		return rec, true
	}
	reply, err := c.findAt(ctx, owner, rec.GetIdentity())
	if err != nil {
		return rec, true
	}
	same := reply.GetFound() && reply.GetRecord().GetRequestId() == rec.GetRequestId()
	return reply.GetRecord(), same
}

// ownRecord is what this host knows of a running record of its own, of which a peer may hold
// an old copy.
func (c *Controller) ownRecord(rec *pb.InflightRecord) (*pb.InflightRecord, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	here, ok := c.store.Find(time.Now(), rec.GetIdentity())
	return here, ok && here.GetRequestId() == rec.GetRequestId()
}

// queryAll looks an identity up at several hosts, the most telling record first. One answer isn't
// enough: a host may still know a record that its owner has given up.
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

// conclusive tells whether a record here needs no look elsewhere: a running one of a dead
// owner may have been taken over.
func (c *Controller) conclusive(rec *pb.InflightRecord) bool {
	return rec.GetState() == pb.InflightState_INFLIGHT_STATE_DONE || c.OwnerAlive(rec)
}

// sortByAuthority puts finished records first, then running ones of living owners.
func (c *Controller) sortByAuthority(found []*pb.InflightRecord) {
	truth := func(rec *pb.InflightRecord) int {
		switch {
		case rec.GetState() == pb.InflightState_INFLIGHT_STATE_DONE:
			return 0
		case c.OwnerAlive(rec):
			return 1
		}
		return 2
	}
	slices.SortStableFunc(found, func(a, b *pb.InflightRecord) int { return truth(a) - truth(b) })
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
