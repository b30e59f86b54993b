// Package routes holds the routing table in force at a host. Heartbeats name the
// revision that each host has; a host that sees a newer one than its own fetches it from
// there. So a table spreads from the control group's replicas over the hosts without a
// connection kept for it, also around a partition.
//
// A host never goes back to an older table within a run: a request must not be treated
// as an operator wanted it before the newest change that this host has seen.
package routes

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

const (
	// unconfirmedGrace is how long a starting host waits for a table that a quorum has
	// confirmed before it serves under one that another host holds. Whoever is in contact
	// with the quorum confirms within a second; after two it is out of reach for all hosts
	// heard of, and what they serve under is the best there is.
	unconfirmedGrace = 2 * time.Second
	// retryNotReady is when a caller may try a host again that has no table yet.
	retryNotReady = 500 * time.Millisecond
	// fetchTimeout bounds one fetch. The largest tables are some hundred kilobytes.
	fetchTimeout = time.Second
	// lookEvery is how often the hosts' revisions are looked at.
	lookEvery = 100 * time.Millisecond
)

// Source is a host that a table can be fetched from.
type Source struct {
	Address  string
	Revision uint64
	// Control: it runs a replica of the control group, and can confirm.
	Control bool
}

// Config of a Controller.
type Config struct {
	// Sources are the hosts that can be reached, with the revisions that they told.
	Sources func() []Source
	// Fetch asks the host at an address for its table.
	Fetch func(ctx context.Context, address string, req *pb.FetchRoutesRequest) (*pb.FetchRoutesReply, error)
	// Changed is called after each newer table; before is nil for the first.
	Changed func(before, after *routes.Index)
	// Now is the clock; nil: time.Now.
	Now func() time.Time
	Log zerolog.Logger
}

// Controller is safe for concurrent use.
type Controller struct {
	cfg     Config
	started time.Time

	current   atomic.Pointer[routes.Index]
	confirmed atomic.Bool

	mu    sync.Mutex
	table *pb.Routes
	next  int
}

// New makes a controller without a table.
func New(cfg Config) *Controller {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Controller{cfg: cfg, started: cfg.Now(), table: &pb.Routes{}}
}

// Run fetches newer tables until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		c.Reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Reconcile fetches once from the host that is best to ask, if any is.
func (c *Controller) Reconcile(ctx context.Context) {
	source, ok := c.choose(c.cfg.Sources())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := c.cfg.Fetch(ctx, source.Address, &pb.FetchRoutesRequest{Have: c.Revision()})
	if err != nil {
		c.cfg.Log.Debug().Str("event", "routes-not-fetched").Str("from", source.Address).
			Uint64("told", source.Revision).Uint64("have", c.Revision()).Err(err).Send()
		return
	}
	c.Take(reply)
}

// choose is a host that has a newer table or, until a table was confirmed, any control
// host in turn.
func (c *Controller) choose(sources []Source) (Source, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	have := c.table.GetRevision()
	var candidates []Source
	for _, s := range sources {
		if s.Revision > have || s.Control && !c.confirmed.Load() {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return Source{}, false
	}
	c.next++
	return candidates[c.next%len(candidates)], true
}

// Take takes the answer of a host, if it is newer or confirms what this one has.
func (c *Controller) Take(reply *pb.FetchRoutesReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	offered := reply.GetRoutes()
	if offered.GetTableJson() != nil && offered.GetRevision() > c.table.GetRevision() {
		c.advance(offered)
	}
	if reply.GetConfirmed() && offered.GetRevision() == c.table.GetRevision() && c.current.Load() != nil {
		c.confirmed.Store(true)
	}
}

// advance puts a newer table in force; c.mu is held.
func (c *Controller) advance(offered *pb.Routes) {
	next, err := routes.Decode(offered.GetRevision(), offered.GetTableJson())
	if err != nil {
		c.cfg.Log.Error().Str("event", "routes-unreadable").Uint64("revision", offered.GetRevision()).Err(err).Send()
		return
	}
	before := c.current.Load()
	c.table = offered
	c.current.Store(next)
	c.cfg.Log.Info().Str("event", "routes-in-force").Uint64("revision", next.Revision()).
		Int("routes", len(next.Table().Routes)).Int("accounts", len(next.Table().Accounts)).Send()
	c.cfg.Changed(before, next)
}

// HandleFetch answers another host from the table in force here.
func (c *Controller) HandleFetch(req *pb.FetchRoutesRequest) *pb.FetchRoutesReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &pb.FetchRoutesReply{Routes: newerThan(req.GetHave(), c.table)}
}

// newerThan is held without its document or, if it is not newer, its revision only.
func newerThan(have uint64, held *pb.Routes) *pb.Routes {
	if held.GetRevision() <= have {
		return &pb.Routes{Revision: held.GetRevision()}
	}
	return &pb.Routes{Revision: held.GetRevision(), TableJson: held.GetTableJson()}
}

// Current is the table in force, or the refusal while there is none to serve under.
func (c *Controller) Current() (*routes.Index, error) {
	x := c.current.Load()
	if x == nil {
		return nil, errkind.New(errkind.HostNotReady, "this host has no routing table yet").After(retryNotReady)
	}
	if !c.confirmed.Load() && c.cfg.Now().Sub(c.started) < unconfirmedGrace {
		return nil, errkind.New(errkind.HostNotReady, "the routing table is not confirmed by a quorum yet").After(retryNotReady)
	}
	return x, nil
}

// Revision of the table in force; 0: none.
func (c *Controller) Revision() uint64 {
	if x := c.current.Load(); x != nil {
		return x.Revision()
	}
	return 0
}

// Replica is the control group's state at this host.
type Replica interface {
	// Routes is the routing table that this replica has applied, and whether a quorum
	// confirmed lately that nothing newer was committed.
	Routes() (table *pb.Routes, confirmed bool)
}

// FromReplica answers another host from a replica.
func FromReplica(r Replica, req *pb.FetchRoutesRequest) *pb.FetchRoutesReply {
	held, confirmed := r.Routes()
	return &pb.FetchRoutesReply{Routes: newerThan(req.GetHave(), held), Confirmed: confirmed}
}
