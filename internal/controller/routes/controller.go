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
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

const (
	// unconfirmedGrace is how long no control host that hears a quorum has answered when a
	// starting host begins to serve under a table that no quorum confirmed: one is asked every
	// 100 ms, and gives its answer within 400. The quorum is out of reach then, and what other
	// hosts serve under is the best there is.
	//
	// What goes wrong if the time since the start counts in place of that: the quorum is in
	// reach and has no leader yet, as after a loss of power of the whole fleet. Hosts served
	// under a table from before the newest that was confirmed, and refused as unknown what
	// this one allows.
	unconfirmedGrace = 2 * time.Second
	// usualStart is how long a host of a fleet that lost power takes until it serves:
	// replicas open their files, elect a leader and confirm the table. A caller that comes
	// back sooner than that has come in vain.
	usualStart = 1500 * time.Millisecond
	// retryNotReady is when a caller may try a host again whose start takes longer.
	retryNotReady = 400 * time.Millisecond
	// startGrace is how old a host is at most that waits for what it Lacks. Servers announce
	// themselves, and hosts exchange heartbeats, more often than that.
	startGrace = 2 * time.Second
	// startWait is how long a request waits at a host that has no table yet. It is part of
	// the shortest objectives, and as long as the last steps of a start take.
	startWait = 250 * time.Millisecond
	// startLook is how often a waiting request looks for the table.
	startLook = 10 * time.Millisecond
	// lookEvery is how often the hosts' revisions are looked at.
	lookEvery = 100 * time.Millisecond
	// confirmEvery is how often a host that serves nobody yet asks a control host. A fleet
	// of 75 hosts that starts sends each of five control hosts 150 calls a second, which
	// cost a sixtieth of a core.
	confirmEvery = 100 * time.Millisecond
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
	// Lacks is asked while this host starts: what it does not know yet that requests under
	// the table need; empty: nothing. nil: it needs nothing but the table.
	Lacks func(*routes.Index) string
	// First is the place among the sources at which this host begins to ask. It should be
	// another one at each host: those that start together then don't ask the same one.
	First int
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
	// confirmedAt is when a quorum last confirmed the table in force, in nanoseconds since
	// started; 0: never.
	confirmedAt atomic.Int64
	// quorumAt is when a control host that hears a quorum last answered, in nanoseconds since
	// started.
	quorumAt atomic.Int64
	// wanted is until when control hosts are asked to confirm the table again, and hopeless
	// until when refusals don't wait for that, as one has in vain; both in nanoseconds since
	// started.
	wanted, hopeless atomic.Int64
	// wake has Run look at once.
	wake chan struct{}
	// served: the ground on which this host serves was told.
	served atomic.Bool

	fetches sync.WaitGroup

	mu    sync.Mutex
	table *pb.Routes
	next  int
	// patience is the timeout of the next fetch from a host; fetchTimeout if it is not there.
	patience map[string]time.Duration
	// fetching are the hosts that are being asked for a table, and since when.
	fetching map[string]time.Time
	// offers are hosts that told a revision when they were asked to confirm.
	offers map[string]uint64
	// asking are the control hosts that are being asked for a confirmation.
	asking    map[string]bool
	nextAsked int
}

// New makes a controller without a table.
func New(cfg Config) *Controller {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Controller{
		cfg: cfg, started: cfg.Now(), table: &pb.Routes{}, wake: make(chan struct{}, 1),
		patience: make(map[string]time.Duration), fetching: make(map[string]time.Time), next: cfg.First,
		offers: make(map[string]uint64), asking: make(map[string]bool), nextAsked: cfg.First,
	}
}

// Run fetches newer tables until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	defer c.fetches.Wait()
	for {
		c.Reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.pause()):
		case <-c.wake:
		}
	}
}

// pause until the next look.
func (c *Controller) pause() time.Duration {
	if c.confirmed.Load() {
		return lookEvery
	}
	return confirmEvery
}

// Reconcile fetches from a host that has a newer table. Until a table was confirmed it
// asks the control hosts in turn as well, and does not wait for their answers.
//
// What goes wrong when it does: after a loss of power some of them are not back, or were
// replaced, and each of these costs its timeout while callers are refused.
//
// They are asked for the revision alone, and one host for the table, a second one if it does
// not answer soon. What goes wrong otherwise: after the loss of all of 70 hosts each asked
// five control hosts at once for a table of 300 KB. No answer came through its link of 10
// Mbit/s in time, all asked again, and the control hosts' links were full of tables: their
// heartbeats came late, no leader lasted, and the fleet served nobody any more.
func (c *Controller) Reconcile(ctx context.Context) {
	sources := c.cfg.Sources()
	if source, ok := c.newer(sources); ok {
		c.fetches.Go(func() {
			defer panics.Log(c.cfg.Log, "fetching routes")
			defer c.fetched(source.Address)
			c.fetch(ctx, source)
		})
	}
	if c.confirmed.Load() && int64(c.age()) >= c.wanted.Load() {
		return
	}
	if s, ok := c.nextControl(sources); ok {
		c.fetches.Go(func() {
			defer panics.Log(c.cfg.Log, "confirming routes")
			defer c.end(s.Address)
			c.ask(ctx, s)
		})
	}
}

// Take takes the answer of a host at an address, if it is newer or confirms what this one
// has.
func (c *Controller) Take(from string, reply *pb.FetchRoutesReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	offered := reply.GetRoutes()
	if offered.GetTableJson() != nil && offered.GetRevision() > c.table.GetRevision() {
		c.advance(from, offered)
	}
	if reply.GetConfirmed() && offered.GetRevision() == c.table.GetRevision() && c.current.Load() != nil {
		c.confirm(from)
	}
}

// age is how long ago this host started.
func (c *Controller) age() time.Duration { return c.cfg.Now().Sub(c.started) }

// advance puts a newer table in force; c.mu is held.
func (c *Controller) advance(from string, offered *pb.Routes) {
	next, err := routes.Decode(offered.GetRevision(), offered.GetTableJson())
	if err != nil {
		c.cfg.Log.Error().Str("event", "routes-unreadable").Uint64("revision", offered.GetRevision()).Err(err).Send()
		return
	}
	before := c.current.Load()
	c.table = offered
	c.current.Store(next)
	c.cfg.Log.Info().Str("event", "routes-in-force").Uint64("revision", next.Revision()).Str("from", from).
		Int("routes", len(next.Table().Routes)).Int("accounts", len(next.Table().Accounts)).Send()
	c.cfg.Changed(before, next)
}

// HandleFetch answers another host from the table in force here.
func (c *Controller) HandleFetch(req *pb.FetchRoutesRequest) *pb.FetchRoutesReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &pb.FetchRoutesReply{Routes: wanted(req, c.table)}
}

// wanted is held without its document or, if it is not newer than what the other host has
// or that one asks for no more, its revision only.
func wanted(req *pb.FetchRoutesRequest, held *pb.Routes) *pb.Routes {
	if held.GetRevision() <= req.GetHave() || req.GetRevisionOnly() {
		return &pb.Routes{Revision: held.GetRevision()}
	}
	return &pb.Routes{Revision: held.GetRevision(), TableJson: held.GetTableJson()}
}

// Current is the table in force, or the refusal while there is none to serve under.
func (c *Controller) Current() (*routes.Index, error) {
	x, age := c.current.Load(), c.age()
	if x == nil {
		return nil, errkind.New(errkind.HostNotReady, "this host has no routing table yet").After(retryAt(age))
	}
	if !c.confirmed.Load() && age-time.Duration(c.quorumAt.Load()) < unconfirmedGrace {
		return nil, errkind.New(errkind.HostNotReady, "the routing table is not confirmed by a quorum yet").After(retryAt(age))
	}
	if c.cfg.Lacks == nil || age > startGrace {
		c.noteServing(x, age)
		return x, nil
	}
	if lacks := c.cfg.Lacks(x); lacks != "" {
		return nil, errkind.New(errkind.HostNotReady, "this host has just started and does not know %s yet", lacks).After(retryAt(age))
	}
	c.noteServing(x, age)
	return x, nil
}

// noteServing tells once on which ground this host begins to serve.
func (c *Controller) noteServing(x *routes.Index, age time.Duration) {
	if !c.served.Swap(true) {
		c.cfg.Log.Info().Str("event", "table-served").Uint64("revision", x.Revision()).Bool("confirmed", c.confirmed.Load()).
			Dur("after", age).Send()
	}
}

// retryAt is when a caller may come back to a host that started so long ago.
func retryAt(age time.Duration) time.Duration { return max(usualStart-age, retryNotReady) }

// Await is Current for a request: it waits a moment for a host's start to end.
func (c *Controller) Await(ctx context.Context) (*routes.Index, error) {
	x, err := c.Current()
	if err == nil {
		return x, nil
	}
	end := time.NewTimer(startWait)
	defer end.Stop()
	look := time.NewTicker(startLook)
	defer look.Stop()
	for err != nil {
		select {
		case <-ctx.Done():
			return nil, err
		case <-end.C:
			return nil, err
		case <-look.C:
			x, err = c.Current()
		}
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
	// HeardFromQuorum tells whether a leader may be elected among the replicas that this one hears.
	HeardFromQuorum() bool
}

// FromReplica answers another host from a replica.
func FromReplica(r Replica, req *pb.FetchRoutesRequest) *pb.FetchRoutesReply {
	held, confirmed := r.Routes()
	return &pb.FetchRoutesReply{Routes: wanted(req, held), Confirmed: confirmed, WithoutQuorum: !r.HeardFromQuorum()}
}
