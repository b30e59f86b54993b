// Package routes holds the routing table in force at a host. Heartbeats carry the revision
// of each host's table. A host that sees a newer revision than its own fetches the table
// from a host that has it. A table therefore spreads from the control group's replicas to
// all hosts without dedicated connections, and also around a partition.
//
// A host never goes back to an older table while its process runs: once it has seen a
// change by an operator, it must not handle requests by the rules before that change.
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
	// unconfirmedGrace is how long no control host in contact with a quorum must have answered
	// before a starting host serves under a table that no quorum confirmed. A control host is
	// asked every 100 ms and answers within 400 ms, so by then the quorum is unreachable, and
	// the table of the other hosts is the best available.
	//
	// The time since the start can't be used instead: after a power failure of the whole fleet
	// the quorum is reachable but has no leader yet. Hosts then served under a table older than
	// the newest confirmed one and rejected as unknown what the newest one allows.
	unconfirmedGrace = 2 * time.Second
	// typicalStart is how long a host takes until it serves after a power failure of the
	// fleet: replicas open their files, elect a leader and confirm the table. A caller that
	// retries sooner is rejected again.
	typicalStart = 1100 * time.Millisecond
	// retryNotReady is the retry time for callers of a host whose start takes longer than that.
	retryNotReady = 400 * time.Millisecond
	// startGrace is how long after its start a host waits for what is Missing. Servers announce
	// themselves, and hosts exchange heartbeats, more often than that.
	startGrace = 2 * time.Second
	// awaitTimeout is how long a request waits at a host that can't serve, and startAwaitTimeout
	// at one whose typical start has not ended. A request that is rejected then comes back later
	// than it would have been served, and many callers come back only once.
	awaitTimeout      = 250 * time.Millisecond
	startAwaitTimeout = 600 * time.Millisecond
	// awaitPollInterval is how often a waiting request checks for the table.
	awaitPollInterval = 10 * time.Millisecond
	// reconcileEvery is how often the revisions of the other hosts are checked while a table is being fetched, and
	// idleReconcileEvery otherwise: a host that hears of a newer one calls Wake.
	reconcileEvery     = 100 * time.Millisecond
	idleReconcileEvery = time.Second
	// confirmEvery is how often a host without a confirmed table asks a control host. A
	// starting fleet of 75 hosts sends each of five control hosts 150 calls per second, which
	// cost a sixtieth of a core.
	confirmEvery = 100 * time.Millisecond
)

// Source is a host from which a table can be fetched.
type Source struct {
	Address  string
	Revision uint64
	// Control is set if the host runs a replica of the control group and can confirm tables.
	Control bool
}

// Config configures a Controller.
type Config struct {
	// Sources returns the reachable hosts with the revisions that they reported.
	Sources func() []Source
	// Fetch requests the table of the host at an address.
	Fetch func(ctx context.Context, address string, req *pb.FetchRoutesRequest) (*pb.FetchRoutesReply, error)
	// Evacuations returns the evacuated zones that this host knows, and OnEvacuations is called with
	// those in each reply from the host at an address. Both may be nil.
	Evacuations   func() *pb.Evacuations
	OnEvacuations func(e *pb.Evacuations, from string)
	// OnChange is called after each change to a newer table; before is nil for the first table.
	OnChange func(before, after *routes.Index)
	// Missing is called while this host starts. It returns what this host does not know yet but
	// needs for requests under the table, or "". If Missing is nil, the table is enough.
	Missing func(*routes.Index) string
	// FirstSource is the index of the source that this host asks first. It should differ between
	// hosts, so that those that start together don't ask the same one.
	FirstSource int
	// Registered reports whether this host is registered. Before that it can hardly serve and asks control
	// hosts less often. Nil: it is.
	Registered func() bool
	// Now is the clock by which confirmations age; the default is time.Now. It must go on while the machine is suspended.
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
	// started; 0 if it never did.
	confirmedAt atomic.Int64
	// quorumSeenAt is when a control host in contact with a quorum last answered, in nanoseconds
	// since started.
	quorumSeenAt atomic.Int64
	// confirmUntil is until when control hosts are asked to confirm the table again.
	// unconfirmableUntil is until when Newest returns its error at once, after one call has waited
	// in vain. Both are in nanoseconds since started.
	confirmUntil, unconfirmableUntil atomic.Int64
	// wake makes Run call Reconcile at once.
	wake chan struct{}
	// servingLogged is set once it has been logged that this host serves.
	servingLogged atomic.Bool

	fetches sync.WaitGroup

	mu         sync.Mutex
	table      *pb.Routes
	nextSource int
	// timeouts holds the timeout of the next fetch from a host; fetchTimeout if it has no entry.
	timeouts map[string]time.Duration
	// fetching holds the fetches that run, by the address of the host.
	fetching map[string]fetch
	// reportedRevisions holds the revisions that hosts reported when they were asked to confirm.
	reportedRevisions map[string]uint64
	// confirming holds the control hosts that are being asked for a confirmation.
	confirming        map[string]bool
	nextControlSource int
	// confirmations paces the questions to control hosts.
	confirmations pacer
}

// New returns a Controller without a table.
func New(cfg Config) *Controller {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Controller{
		cfg: cfg, started: cfg.Now(), table: &pb.Routes{}, wake: make(chan struct{}, 1),
		timeouts: make(map[string]time.Duration), fetching: make(map[string]fetch), nextSource: cfg.FirstSource,
		reportedRevisions: make(map[string]uint64), confirming: make(map[string]bool), nextControlSource: cfg.FirstSource,
	}
}

// Run fetches newer tables until ctx is done.
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

// pause returns the time until the next call of Reconcile.
func (c *Controller) pause() time.Duration {
	if !c.confirmed.Load() || int64(c.uptime()) < c.confirmUntil.Load() {
		return confirmEvery
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.fetching) > 0 {
		return reconcileEvery
	}
	return idleReconcileEvery
}

// Wake has Run check the revisions of the other hosts now, because some of them may have changed.
func (c *Controller) Wake() {
	select {
	case c.wake <- struct{}{}:
	default: // Run has been woken already
	}
}

// Reconcile fetches the table from a host that has a newer one. Until a table has been
// confirmed, it also asks the control hosts in turn for a confirmation.
//
// It does not wait for the answers of control hosts. After a power failure some of them are
// not back or have been replaced, and each of these would cost its timeout while callers are
// rejected.
//
// Control hosts are asked for the revision only. The table itself is requested from one host,
// and from a second one if that does not answer soon. Otherwise, after a failure of all of 70
// hosts, each asked five control hosts at once for a table of 300 KB. No answer came through a
// host's link of 10 Mbit/s in time, all asked again, and tables filled the control hosts'
// links: their heartbeats came late, no leader lasted, and the fleet served nobody any more.
func (c *Controller) Reconcile(ctx context.Context) {
	sources := c.cfg.Sources()
	if source, ok := c.nextNewer(sources); ok {
		c.fetches.Go(func() {
			defer panics.Log(c.cfg.Log, "fetching routes")
			defer c.endFetch(source.Address)
			c.fetchFrom(ctx, source)
		})
	}
	if c.confirmed.Load() && int64(c.uptime()) >= c.confirmUntil.Load() {
		return
	}
	if s, ok := c.nextControl(sources); ok {
		c.fetches.Go(func() {
			defer panics.Log(c.cfg.Log, "confirming routes")
			c.endConfirm(s.Address, c.askToConfirm(ctx, s))
		})
	}
}

// Apply applies a reply to Fetch from the host at an address: a newer table is put in force, and a
// confirmation of the table in force is recorded.
//
// The evacuated zones in the reply are applied first: once a confirmation is recorded, this host
// serves, and the confirmation covers both.
func (c *Controller) Apply(from string, reply *pb.FetchRoutesReply) {
	c.ApplyAnswer(from, c.cfg.Now(), reply)
}

// ApplyAnswer is Apply for the answer to a request that was sent at asked.
func (c *Controller) ApplyAnswer(from string, asked time.Time, reply *pb.FetchRoutesReply) {
	if c.cfg.OnEvacuations != nil {
		c.cfg.OnEvacuations(reply.GetEvacuations(), from)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	offered := reply.GetRoutes()
	if offered.GetTableJson() != nil && offered.GetRevision() > c.table.GetRevision() {
		c.advance(from, offered)
	}
	if reply.GetConfirmed() && offered.GetRevision() == c.table.GetRevision() && c.current.Load() != nil {
		c.confirm(from, asked)
	}
}

// uptime returns how long ago this host started.
func (c *Controller) uptime() time.Duration { return c.cfg.Now().Sub(c.started) }

// advance puts a newer table in force; c.mu is held.
func (c *Controller) advance(from string, offered *pb.Routes) {
	next, err := routes.Decode(offered.GetRevision(), offered.GetTableJson())
	if err != nil {
		c.cfg.Log.Error().Str("event", "routes-unreadable").Uint64("revision", offered.GetRevision()).Err(err).Send()
		return
	}
	before := c.current.Load()
	if before == nil {
		c.confirmations.hasTable()
	}
	c.table = offered
	c.current.Store(next)
	c.cfg.Log.Info().Str("event", "routes-in-force").Uint64("revision", next.Revision()).Str("from", from).
		Int("routes", len(next.Table().Routes)).Int("accounts", len(next.Table().Accounts)).Send()
	c.cfg.OnChange(before, next)
}

// HandleFetch answers another host's request with the table in force at this host.
func (c *Controller) HandleFetch(req *pb.FetchRoutesRequest) *pb.FetchRoutesReply {
	reply := &pb.FetchRoutesReply{WithoutQuorum: true} // this host has no replica
	if c.cfg.Evacuations != nil {
		reply.Evacuations = c.cfg.Evacuations()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	reply.Routes = replyRoutes(req, c.table)
	return reply
}

// replyRoutes returns the revision and the JSON form of held; only the revision if held is not newer
// than the other host's table or that host asks for no more.
func replyRoutes(req *pb.FetchRoutesRequest, held *pb.Routes) *pb.Routes {
	if held.GetRevision() <= req.GetHave() || req.GetRevisionOnly() {
		return &pb.Routes{Revision: held.GetRevision()}
	}
	return &pb.Routes{Revision: held.GetRevision(), TableJson: held.GetTableJson()}
}

// Current returns the table in force, or an error while this host can't serve under one.
func (c *Controller) Current() (*routes.Index, error) {
	x, uptime := c.current.Load(), c.uptime()
	if x == nil {
		return nil, errkind.New(errkind.HostNotReady, "this host has no routing table yet").After(retryAfter(uptime))
	}
	if !c.confirmed.Load() && uptime-time.Duration(c.quorumSeenAt.Load()) < unconfirmedGrace {
		return nil, errkind.New(errkind.HostNotReady, "the routing table is not confirmed by a quorum yet").After(retryAfter(uptime))
	}
	if c.cfg.Missing == nil || uptime > startGrace {
		c.logServing(x, uptime)
		return x, nil
	}
	if missing := c.cfg.Missing(x); missing != "" {
		return nil, errkind.New(errkind.HostNotReady, "this host has just started and does not know %s yet", missing).After(retryAfter(uptime))
	}
	c.logServing(x, uptime)
	return x, nil
}

// logServing logs once that this host begins to serve, and whether its table is confirmed.
func (c *Controller) logServing(x *routes.Index, uptime time.Duration) {
	if !c.servingLogged.Swap(true) {
		c.cfg.Log.Info().Str("event", "table-served").Uint64("revision", x.Revision()).Bool("confirmed", c.confirmed.Load()).
			Dur("after", uptime).Send()
	}
}

// retryAfter returns the retry time for callers of a host that is still starting.
func retryAfter(uptime time.Duration) time.Duration { return max(typicalStart-uptime, retryNotReady) }

// awaitBound returns how long a request may wait at a host that started uptime ago.
func awaitBound(uptime time.Duration) time.Duration {
	return max(awaitTimeout, min(typicalStart-uptime, startAwaitTimeout))
}

// Await returns Current, and waits up to awaitBound for the host's start to end.
func (c *Controller) Await(ctx context.Context) (*routes.Index, error) {
	x, err := c.Current()
	if err == nil {
		return x, nil
	}
	timeout := time.NewTimer(awaitBound(c.uptime()))
	defer timeout.Stop()
	poll := time.NewTicker(awaitPollInterval)
	defer poll.Stop()
	for err != nil {
		select {
		case <-ctx.Done():
			return nil, err
		case <-timeout.C:
			return nil, err
		case <-poll.C:
			x, err = c.Current()
		}
	}
	return x, nil
}

// WarmupRate returns the rate of a service's cold servers by the table in force; see routes.Index.
func (c *Controller) WarmupRate(service string) (perSecond float64, ok bool) {
	x := c.current.Load()
	if x == nil {
		return 0, false
	}
	return x.WarmupRate(service)
}

// Revision returns the revision of the table in force; 0 if there is none.
func (c *Controller) Revision() uint64 {
	if x := c.current.Load(); x != nil {
		return x.Revision()
	}
	return 0
}

// Accounts returns the number of client accounts in the table in force; 0 if there is none.
func (c *Controller) Accounts() int {
	if x := c.current.Load(); x != nil {
		return len(x.Table().Accounts)
	}
	return 0
}

// Replica is this host's replica of the control group's state.
type Replica interface {
	// Routes returns the routing table that this replica has applied, and whether a quorum
	// confirmed recently that no newer one was committed.
	Routes() (table *pb.Routes, confirmed bool)
	// Evacuations returns the evacuated zones that this replica has applied. After Routes they are as
	// new as the table that Routes returned.
	Evacuations() *pb.Evacuations
	// HeardFromQuorum reports whether this replica is in contact with enough others to elect a leader.
	HeardFromQuorum() bool
}

// FromReplica answers another host's request with the table of a replica.
func FromReplica(r Replica, req *pb.FetchRoutesRequest) *pb.FetchRoutesReply {
	held, confirmed := r.Routes()
	return &pb.FetchRoutesReply{
		Routes: replyRoutes(req, held), Confirmed: confirmed, WithoutQuorum: !r.HeardFromQuorum(), Evacuations: r.Evacuations(),
	}
}
