package daemon

import (
	"context"
	"crypto/rand"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/controller/assign"
	"github.com/bluebellsail/bluebellsail/internal/controller/balancer"
	"github.com/bluebellsail/bluebellsail/internal/controller/budgets"
	"github.com/bluebellsail/bluebellsail/internal/controller/grants"
	"github.com/bluebellsail/bluebellsail/internal/controller/members"
	"github.com/bluebellsail/bluebellsail/internal/controller/news"
	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	quarantinectl "github.com/bluebellsail/bluebellsail/internal/controller/quarantine"
	"github.com/bluebellsail/bluebellsail/internal/controller/ratelimits"
	routesctl "github.com/bluebellsail/bluebellsail/internal/controller/routes"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/httpserver"
	"github.com/bluebellsail/bluebellsail/internal/membership"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/peerservice"
	"github.com/bluebellsail/bluebellsail/internal/procconfig"
	"github.com/bluebellsail/bluebellsail/internal/rendezvous"
	"github.com/bluebellsail/bluebellsail/internal/retry"
	"github.com/bluebellsail/bluebellsail/internal/routes"
	"github.com/bluebellsail/bluebellsail/internal/surface"
)

// gateway is a process of a fleet that serves by a routing table: one that serves
// callers, one with a replica only, or both.
type gateway struct {
	d        *Daemon
	protocol surface.Protocol
	// run names this run of the host from its start; no other run has the same.
	run     string
	self    atomic.Pointer[pb.Holder]
	leaving atomic.Bool
	// seeds are the peer addresses of hosts that may run a replica.
	seeds atomic.Pointer[[]string]
	// applied is the revision of the routing table at this host's replica, if it has one.
	applied atomic.Uint64

	routes   *routesctl.Controller
	balancer *balancer.Balancer
	limits   *ratelimits.Limiter
	members  *members.Controller
	news     *news.Broadcaster
	suspects *quarantinectl.Guard
	owners   *owners.Table
	budgets  *budgets.Reserver
	assigner *assign.Assigner
	// grants is nil until this run is registered; then registered is closed.
	grants     atomic.Pointer[grants.Manager]
	registered chan struct{}
	client     *engineclient.Client

	metrics  *routedMetrics
	traffic  traffic
	requests *httpserver.Server
	others   []*httpserver.Server
}

// RunRouted starts the process that the settings file at path describes, which serves by
// a routing table in the protocol given, until ctx ends; then it shuts down gracefully.
// SIGHUP, or a change of the file, has it read the file again.
func RunRouted(ctx context.Context, path string, p surface.Protocol, env Environment) error {
	// From the start: a signal without a handler would end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	cfg, err := procconfig.Load(path)
	if err != nil {
		return err
	}
	if cfg.Routed == nil {
		return errors.New("the settings have no part /routed")
	}
	useLimits(cfg.Limits)
	return run(ctx, cfg, env, func(d *Daemon, ctx context.Context) error {
		if err := d.startRouted(ctx, p); err != nil {
			return err
		}
		d.tasks.run("follow settings file", func(ctx context.Context) {
			procconfig.Follow(ctx, path, reload, d.tel.Log, d.gateway.reconfigure)
		})
		return nil
	})
}

// reconfigure takes what may change while the process runs: the seeds.
func (g *gateway) reconfigure(cfg *procconfig.Config) {
	g.setSeeds(cfg.SeedPeers())
	g.members.SetSeeds(cfg.SeedPeers())
	g.d.client.SetSeeds(cfg.SeedPeers())
}

func (g *gateway) setSeeds(addresses []string) { g.seeds.Store(&addresses) }

// useLimits keeps the Go runtime within the process's limits.
func useLimits(l procconfig.Limits) {
	if l.Processors > 0 {
		runtime.GOMAXPROCS(l.Processors)
	}
	if l.MemoryBytes > 0 {
		debug.SetMemoryLimit(l.MemoryBytes * memoryShare / 100)
		debug.SetGCPercent(gcPercent)
	}
}

const (
	// dialServerTimeout bounds the opening of a connection to a backend server, which takes
	// some milliseconds. The next server is tried after it.
	dialServerTimeout = 400 * time.Millisecond
	// idleServerTimeout is below the 10 s after which backend servers close idle
	// connections: a request sent as one closes may have run or not.
	idleServerTimeout = 8 * time.Second
	// lostServerTimeout is how long a backend server may leave bytes unacknowledged. Round
	// trips take milliseconds; a packet that is lost is sent again within this time.
	lostServerTimeout = 800 * time.Millisecond
	// maxFirst bounds the place in the list of hosts at which a host begins to ask.
	maxFirst = 1 << 16
	// followEvery is how often the replica's routing table is looked at.
	followEvery = 50 * time.Millisecond
	// gatewayNeighbours lets fleets of up to 17 hosts exchange heartbeats each with each:
	// what one host hears of a server or of a routing table then reaches all at once. It
	// costs a host 16 calls of about 0.1 ms per interval.
	gatewayNeighbours = 16
	// meshTurns halves the heartbeats of such a fleet. In larger ones word passes from
	// neighbour to neighbour and needs each tick.
	meshTurns = 2
	// memoryShare is the part of the memory limit, in percent, that the Go runtime keeps
	// to; the rest is for what it does not count, such as the sockets' buffers.
	memoryShare = 75
	// gcPercent lets the heap grow to four times what is live before it is collected: the
	// live heap of a process is a few megabytes, and collecting it costs processor time.
	gcPercent = 300
)

// startRouted brings the parts up: the peer address first, as replicas need it to find
// each other; callers' requests are refused as not ready until there is a routing table.
func (d *Daemon) startRouted(_ context.Context, p surface.Protocol) error {
	g := newGateway(d, p)
	d.gateway = g
	d.peers = newPeerServer(d)
	if err := d.peers.start(d.tasks); err != nil {
		return err
	}
	d.peers.setPeer(gatewayPeer{g: g, Shared: peerservice.Shared{Suspects: g.suspects, News: g.news, Limits: g.limits}})
	if d.replica != nil {
		d.tasks.run("keep in group", d.keepInGroup)
		d.tasks.run("keep voters", d.keepVoters)
		d.tasks.run("follow replica", g.followReplica)
	}
	d.operators = newOperatorServer(d)
	if err := d.operators.start(); err != nil {
		return err
	}
	d.tasks.run("heartbeats", g.members.Run)
	d.tasks.run("news", g.news.Run)
	d.tasks.run("suspects", g.suspects.Run)
	d.tasks.run("keep suspects", g.suspects.RunStore)
	d.tasks.runTrusted("join", g.join)
	if g.servesCallers() {
		d.tasks.run("routes", g.routes.Run)
		d.tasks.run("budgets", g.budgets.Run)
		d.tasks.run("assignments", g.assigner.Run)
	}
	return g.serve()
}

// newRun names a run of a host; no other run has the same.
func newRun(host string) string { return host + "/" + rand.Text() }

func newGateway(d *Daemon, p surface.Protocol) *gateway {
	cfg := d.cfg
	g := &gateway{d: d, protocol: p, run: newRun(cfg.Host), registered: make(chan struct{}), metrics: newRoutedMetrics(), client: engineclient.New(engineclient.Config{
		DialTimeout: dialServerTimeout, IdleTimeout: idleServerTimeout, Unacknowledged: lostServerTimeout, Source: cfg.Listen.Source,
	})}
	g.setSeeds(cfg.SeedPeers())
	d.tel.Metrics.Set("routed", &g.metrics.vars)
	g.self.Store(&pb.Holder{Host: cfg.Host})
	g.routes = routesctl.New(routesctl.Config{
		Sources: g.sources, Fetch: g.fetchRoutes, OnChange: g.tableChanged, Missing: g.lacks, Log: d.tel.Log,
		FirstSource: int(rendezvous.Hash(cfg.Host) % maxFirst),
	})
	d.client.SetAddresses(g.controlAddresses)
	retries := cfg.Routed.Retry
	g.owners = owners.New(owners.Config{Self: g.asOwner, Peers: func() []members.PeerInfo { return g.members.Peers() }})
	g.limits = d.newLimiter(g.owners, func(l *pb.ServerLimit) { g.news.BroadcastLimit(l) })
	g.balancer = balancer.New(balancer.Config{
		Host: cfg.Host, Zone: cfg.Zone, Log: d.tel.Log,
		Retry:    retry.Bounds{Window: retries.Window.Std(), Share: retries.Share, Extra: retries.Extra},
		Hosts:    g.gateways,
		OnChange: g.serverChanged,
		Limits:   g.limits,
	})
	interval := cfg.Timing.Heartbeat.Std()
	g.members = members.New(members.Config{
		Membership: membership.Config{
			Self: membership.Self{
				Host: cfg.Host, Zone: cfg.Zone, CallerAddress: cfg.Routed.CallerAddress(), PeerAddress: cfg.PeerAddress(),
				Control: cfg.Has(procconfig.RoleControl),
			},
			Seeds: cfg.SeedPeers(), Interval: interval, Neighbors: gatewayNeighbours, MeshPeriod: meshTurns,
			SuspectAfter: ticks(cfg.Timing.SuspectAfter.Std(), interval),
			DeadAfter:    ticks(cfg.Timing.DeadAfter.Std(), interval),
		},
		Seed: seedOf(cfg.Host), Peers: d.pool, Registry: g.balancer, Limits: g.limits, Load: g.load,
		Log: d.tel.Log, Metrics: d.tel.Metrics, OnTick: d.watch.Tick,
	})
	g.suspects = g.newSuspects()
	g.news = g.newNews()
	g.budgets = g.newBudgets()
	g.assigner = assign.New(assign.Config{
		Incarnation: g.run, Self: g.holder, Local: g.balancer, Owners: g.owners, Client: d.pool.Client, Log: d.tel.Log,
	})
	return g
}

// holder is this run; the incarnation is 0 before registration.
func (g *gateway) holder() *pb.Holder { return g.self.Load() }

// join registers this run with the control group and makes what belongs to its
// incarnation: its grants, and its place among the hosts.
func (g *gateway) join(ctx context.Context) {
	reg, err := g.d.register(ctx)
	if err != nil {
		return // this process stops
	}
	registered := time.Now()
	g.self.Store(reg.Holder)
	g.members.SetIncarnation(reg.Holder.Incarnation)
	g.members.MergeRegistered(reg.Hosts)
	manager := grants.New(grants.Config{
		Self: reg.Holder, Holder: gatewayHolder(g.d),
		Proposer: group{g.d.client}, Asker: gatewayPeers{g}, Recorder: noCopies{},
		PolicyFor: g.policyFor,
		Log:       g.d.tel.Log, Seed: int64(reg.Holder.Incarnation), OnFailure: g.d.tasks.fail,
	})
	manager.RecordContact(registered)
	g.grants.Store(manager)
	close(g.registered)
	g.d.tasks.runTrusted("grants", manager.Run)
	g.d.tasks.run("learn hosts", g.learnHosts)
}

// learnHosts reads the registered hosts now and then, so that a host finds peers which
// no seed and no heartbeat named.
func (g *gateway) learnHosts(ctx context.Context) {
	every(ctx, learnEvery, func() {
		readCtx, cancel := context.WithTimeout(ctx, learnTimeout)
		defer cancel()
		if hosts, err := (group{g.d.client}).Hosts(readCtx); err == nil {
			g.members.MergeRegistered(hosts)
		}
	})
}

// servesCallers tells whether this host passes requests on, and so needs the table.
func (g *gateway) servesCallers() bool { return g.d.cfg.Has(procconfig.RoleGateway) }

// ownReplica stands for this host's own replica where logs name the host that a table came from.
const ownReplica = "own replica"

// followReplica hands each newer routing table that this host's replica applies to its
// own gateway, if it is one, and tells the other hosts at once. Decoding a table of 150 routes
// takes a millisecond of processor time, so a host that serves no callers does not.
func (g *gateway) followReplica(ctx context.Context) {
	every(ctx, followEvery, func() {
		table, _ := g.d.replica.Routes()
		if table.GetRevision() <= g.applied.Load() {
			return
		}
		g.applied.Store(table.GetRevision())
		g.d.tel.Log.Info().Str("event", "routes-applied").Uint64("revision", table.GetRevision()).Send()
		if g.servesCallers() {
			g.routes.Apply(ownReplica, routesctl.FromReplica(g.d.replica, &pb.FetchRoutesRequest{Have: g.routes.Revision()}))
		}
		g.members.Kick()
		if _, _, leads := g.d.replica.Leading(); leads {
			g.news.BroadcastTable(table.GetRevision())
		}
	})
}

// tableChanged tells the peers of a newer table, and returns what this host holds of
// budgets whose funds were lowered.
func (g *gateway) tableChanged(before, after *routes.Index) {
	g.members.Kick()
	manager := g.grants.Load()
	if before == nil || manager == nil {
		return
	}
	for _, a := range after.Table().Accounts {
		old, known := before.AccountNamed(a.Name)
		if known && old.Prepaid != nil && a.Prepaid != nil && *a.Prepaid < *old.Prepaid {
			manager.ReturnFree(a.Name)
		}
	}
}

// lacks tells what this host, which has just started, does not know yet: a host that
// holds tokens, which requests crash servers, or a server of one of the table's services.
//
// What goes wrong without it: the table comes some milliseconds before the first
// heartbeats of hosts and servers, and a host that calls itself ready refuses what every
// other host could serve.
func (g *gateway) lacks(x *routes.Index) string {
	if g.grants.Load() == nil && len(g.owners.FirstRanked("", 1)) == 0 {
		return "a host that holds tokens"
	}
	if !g.suspects.Synced() {
		return "the requests that crash servers"
	}
	for _, s := range x.Table().Services {
		if !g.balancer.Serves(s.Name) {
			return "a backend server of " + s.Name
		}
	}
	return ""
}

// ready is nil while this host takes callers' requests.
func (g *gateway) ready() error {
	if g.leaving.Load() {
		return errkind.New(errkind.HostLeaving, "this host is shutting down")
	}
	_, err := g.routes.Current()
	return err
}

// load is what this host tells its peers of itself.
func (g *gateway) load() members.Load {
	const full = 1000
	limit, used := g.d.cfg.Limits.Streams, g.balancer.Running()
	spare := uint32(0)
	if used < limit && g.ready() == nil {
		spare = uint32(full * (limit - used) / limit)
	}
	return members.Load{SparePermille: spare, Traffic: g.traffic.rate(time.Now()), ConfigRevision: max(g.routes.Revision(), g.applied.Load())}
}
