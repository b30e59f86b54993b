// Package records runs an inflight.Store: it implements the request chain's Records
// port, copies in-flight records to peers over gRPC, and answers the peers' calls about
// records.
package records

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/inflight"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// metrics counts the records and copies of this process and their failures.
var metrics = expvar.NewMap("records")

// Dialer returns connections to peers.
type Dialer interface {
	// Dial returns a client of the host's Peer service, or false if there is no such host.
	Dial(host string) (pb.PeerClient, bool)
}

// Grants manages this host's tokens. A dead holder's transfers are fenced together with its
// records.
type Grants interface {
	Fence(dead *pb.Holder) []*pb.Transfer
	MarkTransferSettled(id string)
}

// Defaults of Config, and bounds.
const (
	defaultBeginTimeout = 60 * time.Millisecond
	defaultCallTimeout  = 25 * time.Millisecond
	defaultSyncInterval = 25 * time.Millisecond
	sweepInterval       = time.Second
	settledTimeout      = time.Second
	maxSyncRecords      = 512
	// lookupCopies is the largest number of copies that a team may set. A lookup that doesn't
	// know the team queries the hosts that would hold that many copies.
	lookupCopies = 2
	// racePollInterval is the time between two queries that check whether another host that
	// began the same identity has decided.
	racePollInterval = 2 * time.Millisecond
)

// Config configures a Controller. Zero durations are replaced by the defaults.
type Config struct {
	Store inflight.Config
	Peers Dialer
	Log   zerolog.Logger
	// BeginTimeout bounds the time that Begin and Find wait for peers, CallTimeout that of
	// one call to a peer.
	BeginTimeout time.Duration
	CallTimeout  time.Duration
	// SyncInterval is how often updates are sent to the hosts that hold copies.
	SyncInterval time.Duration
}

// Controller manages the in-flight records of one incarnation. Its methods are safe for
// concurrent use.
type Controller struct {
	// syncSoon requests a round of updates before the next regular one.
	syncSoon chan struct{}

	cfg  Config
	self *pb.Holder

	mu    sync.Mutex
	store *inflight.Store
	// grants may be nil.
	grants Grants
}

var _ filter.Records = (*Controller)(nil)

// New returns a Controller without records. It makes no copies until SetHosts is called.
func New(cfg Config) *Controller {
	defaults.Set(&cfg.BeginTimeout, defaultBeginTimeout)
	defaults.Set(&cfg.CallTimeout, defaultCallTimeout)
	defaults.Set(&cfg.SyncInterval, defaultSyncInterval)
	return &Controller{syncSoon: make(chan struct{}, 1), cfg: cfg, self: cfg.Store.Self, store: inflight.New(cfg.Store)}
}

// SetGrants sets the manager of this host's tokens, whose transfers HandleGather fences
// together with the records.
func (c *Controller) SetGrants(g Grants) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grants = g
}

// SetHosts replaces the live hosts, this one included. Copies are sent to these hosts.
func (c *Controller) SetHosts(hosts []inflight.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.SetHosts(hosts)
}

// Size returns the number of stored records and their estimated size in bytes.
func (c *Controller) Size() (records, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Len(), c.store.Bytes()
}

// Run sends updates to the hosts that hold copies until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(c.cfg.SyncInterval)
	defer ticker.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	var early pacer
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.sync(ctx)
		case <-c.syncSoon:
			if early.allow(time.Now()) {
				c.sync(ctx)
			}
		case <-sweep.C:
			c.mu.Lock()
			c.store.Tick(time.Now())
			c.mu.Unlock()
		}
	}
}

// sync sends one round of updates to all hosts concurrently. A host that doesn't answer
// delays the next round by at most 4 x CallTimeout.
func (c *Controller) sync(ctx context.Context) {
	c.mu.Lock()
	sends := c.store.Plan(time.Now(), maxSyncRecords)
	c.mu.Unlock()
	var wg sync.WaitGroup
	for _, send := range sends {
		wg.Go(func() { c.sendBatch(ctx, send) })
	}
	wg.Wait()
}

// sendBatch sends records to one host. If the host rejects one of them, they are sent again
// one by one.
func (c *Controller) sendBatch(ctx context.Context, send inflight.CopyBatch) {
	ctx, cancel := context.WithTimeout(ctx, 4*c.cfg.CallTimeout)
	defer cancel()
	if len(send.Records) > 1 {
		outcome := c.put(ctx, send.Host, send.Records)
		if outcome == putDone || outcome == putUnanswered {
			return
		}
	}
	for _, rec := range send.Records {
		c.put(ctx, send.Host, []*pb.InflightRecord{rec})
	}
}

// MarkSettled marks the records whose bills the ledger acknowledged. It is used as
// grants.Config.OnSettled.
func (c *Controller) MarkSettled(bills []*pb.Bill) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, bill := range bills {
		c.store.MarkSettled(now, bill.GetRequestId())
	}
}

// Update implements filter.Records. Within the pacer's rate, it has the update sent to the
// copies at once, because a recovery needs to know which server runs the request and how it
// ended. If a host is killed right after an answer and its copies name no server to ask for
// the usage, its grant stays locked until the request can no longer be running.
func (c *Controller) Update(rec *pb.InflightRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.store.Update(time.Now(), rec) {
		metrics.Add("late_updates", 1)
		return
	}
	select {
	case c.syncSoon <- struct{}{}:
	default: // a round is already due and will include this update
	}
}

// Abandon implements filter.Records.
func (c *Controller) Abandon(_, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.Abandon(time.Now(), requestID)
}
