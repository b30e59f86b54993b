// Package records runs an inflight.Store: it implements the request chain's Records
// port, copies records to peers over gRPC, and answers the peers' calls about records.
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

// metrics counts records, copies and what went wrong with them in this process.
var metrics = expvar.NewMap("records")

// Dialer finds the connection to a peer.
type Dialer interface {
	// Dial returns a client of the host's Peer service; false if there is no such host.
	Dial(host string) (pb.PeerClient, bool)
}

// Grants is the holder of tokens beside the records; a dead holder's transfers are
// fenced together with its records.
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
	// lookupCopies is the greatest number of copies a team may set; a lookup without
	// knowledge of the team asks the hosts of so many.
	lookupCopies = 2
	// racePollInterval is how long to wait before asking again whether another host that began the
	// same identity has decided.
	racePollInterval = 2 * time.Millisecond
)

// Config of a Controller. Zero durations mean the defaults.
type Config struct {
	Store inflight.Config
	Peers Dialer
	Log   zerolog.Logger
	// BeginTimeout bounds how long Begin and Find wait for peers, CallWait one call of theirs.
	BeginTimeout time.Duration
	CallTimeout  time.Duration
	// SyncInterval is how often updates are sent to copies.
	SyncInterval time.Duration
}

// Controller keeps the records of one incarnation. Its methods are safe for concurrent use.
type Controller struct {
	// syncSoon asks for a round of updates before the next regular one.
	syncSoon chan struct{}

	cfg  Config
	self *pb.Holder

	mu    sync.Mutex
	store *inflight.Store
	// grants may be nil.
	grants Grants
}

var _ filter.Records = (*Controller)(nil)

// New makes a controller without records; it copies nothing until SetHosts.
func New(cfg Config) *Controller {
	defaults.Set(&cfg.BeginTimeout, defaultBeginTimeout)
	defaults.Set(&cfg.CallTimeout, defaultCallTimeout)
	defaults.Set(&cfg.SyncInterval, defaultSyncInterval)
	return &Controller{syncSoon: make(chan struct{}, 1), cfg: cfg, self: cfg.Store.Self, store: inflight.New(cfg.Store)}
}

// SetGrants names the holder that Gather fences together with the records.
func (c *Controller) SetGrants(g Grants) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grants = g
}

// SetHosts replaces the live hosts, this one included: those that take copies.
func (c *Controller) SetHosts(hosts []inflight.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.SetHosts(hosts)
}

// Size is the number of records kept and their estimated bytes.
func (c *Controller) Size() (records, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Len(), c.store.Bytes()
}

// Run sends updates to copies until ctx ends.
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

// sync sends one round of updates, to all hosts at once. A host that doesn't answer holds
// up the next round by CallWait x 4 at most.
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

// sendBatch puts records to one host, one by one if the host refuses one of them.
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

// MarkSettled marks records whose bills the ledger acknowledged; grants.Config.OnSettled.
func (c *Controller) MarkSettled(bills []*pb.Bill) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, bill := range bills {
		c.store.MarkSettled(now, bill.GetRequestId())
	}
}

// Update implements filter.Records. Up to a rate of rounds, what a recovery must know is
// sent to the copies at once: which server runs the request, and how it ended.
//
// What goes wrong otherwise: a host is killed right behind an answer, its copies name no
// server that could be asked for the usage, and its grant stays locked until the request
// can't run any more.
func (c *Controller) Update(rec *pb.InflightRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.store.Update(time.Now(), rec) {
		metrics.Add("late_updates", 1)
		return
	}
	select {
	case c.syncSoon <- struct{}{}:
	default: // a round is due already and takes this update along
	}
}

// Abandon implements filter.Records.
func (c *Controller) Abandon(_, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.Abandon(time.Now(), requestID)
}
