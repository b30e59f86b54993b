package daemon

import (
	"context"
	"crypto/rand"
	"expvar"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/controller/assign"
	"github.com/bluebellsail/bluebellsail/internal/controller/balancer"
	"github.com/bluebellsail/bluebellsail/internal/controller/budgets"
	"github.com/bluebellsail/bluebellsail/internal/controller/grants"
	"github.com/bluebellsail/bluebellsail/internal/controller/loadviews"
	"github.com/bluebellsail/bluebellsail/internal/controller/members"
	"github.com/bluebellsail/bluebellsail/internal/controller/news"
	"github.com/bluebellsail/bluebellsail/internal/controller/origins"
	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	quarantinectl "github.com/bluebellsail/bluebellsail/internal/controller/quarantine"
	"github.com/bluebellsail/bluebellsail/internal/controller/ratelimits"
	routesctl "github.com/bluebellsail/bluebellsail/internal/controller/routes"
	"github.com/bluebellsail/bluebellsail/internal/controller/serverpaths"
	"github.com/bluebellsail/bluebellsail/internal/controller/slowreaders"
	"github.com/bluebellsail/bluebellsail/internal/controller/versions"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/httpserver"
	"github.com/bluebellsail/bluebellsail/internal/membership"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/peerservice"
	"github.com/bluebellsail/bluebellsail/internal/procconfig"
	"github.com/bluebellsail/bluebellsail/internal/procstat"
	"github.com/bluebellsail/bluebellsail/internal/relay/usage"
	"github.com/bluebellsail/bluebellsail/internal/rendezvous"
	"github.com/bluebellsail/bluebellsail/internal/retry"
	"github.com/bluebellsail/bluebellsail/internal/routes"
	"github.com/bluebellsail/bluebellsail/internal/surface"
)

// gateway is a process of a fleet that serves by a routing table. It serves callers, runs a
// replica, or both.
type gateway struct {
	d *Daemon
	// link is the daemon's.
	link     *link
	protocol surface.Protocol
	// run identifies this run of the process from its start, before it is registered. It is
	// unique.
	run  string
	self atomic.Pointer[pb.Holder]
	// joined is when this run was registered with the control group; nil before.
	joined  atomic.Pointer[time.Time]
	leaving atomic.Bool
	// requestsEnd is when a leaving host ends the requests that still run; nil while it stays.
	requestsEnd atomic.Pointer[time.Time]
	// seeds are the peer addresses of hosts that may run a replica.
	seeds atomic.Pointer[[]string]
	// applied is the revision of the routing table at this host's replica, if it has one.
	applied atomic.Uint64
	// view has what is derived from the view of the fleet.
	view derivedView

	routes   *routesctl.Controller
	balancer *balancer.Balancer
	limits   *ratelimits.Limiter
	members  *members.Controller
	news     *news.Broadcaster
	suspects *quarantinectl.Guard
	owners   *owners.Table
	budgets  *budgets.Reserver
	assigner *assign.Assigner
	origins  *origins.Keeper
	versions *versions.Keeper
	// grants is nil until this host is registered; then registered is closed.
	grants     atomic.Pointer[grants.Manager]
	registered chan struct{}
	client     *engineclient.Client
	paths      *serverpaths.Paths
	// slow is nil unless slow readers are bounded.
	slow *slowreaders.Keeper
	// usage counts the accounts' requests, processor what the process uses; loadViews tells both to operators.
	usage     usage.Filter
	processor procstat.Processor
	loadViews *loadviews.Asker

	metrics  *routedMetrics
	traffic  traffic
	requests *httpserver.Server
	others   []*httpserver.Server
}

// RunRouted starts the process that the settings file at path describes. It serves by a
// routing table in the given protocol until ctx ends, then shuts down gracefully. It reloads
// the file on SIGHUP and when the file changes.
func RunRouted(ctx context.Context, path string, p surface.Protocol, env Environment) error {
	// Installed first, since a SIGHUP without a handler would end the process.
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
	cfg.Routed.Overload = cfg.Routed.Overload.With(p.Overload(cfg.Routed.Features))
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

// reconfigure applies the settings that may change while the process runs: the seeds.
func (g *gateway) reconfigure(cfg *procconfig.Config) {
	g.setSeeds(cfg.SeedPeers())
	g.members.SetSeeds(cfg.SeedPeers())
	g.d.client.SetSeeds(cfg.SeedPeers())
}

func (g *gateway) setSeeds(addresses []string) { g.seeds.Store(&addresses) }

// useLimits sets the Go runtime's limits from those of the process.
func useLimits(l procconfig.Limits) {
	if l.Processors > 0 {
		runtime.GOMAXPROCS(int(l.Processors))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.MemoryBytes() * memoryShare / 100)
		debug.SetGCPercent(gcPercent)
	}
}

const (
	// dialServerTimeout bounds the opening of a connection to a backend server, which usually
	// takes a few milliseconds. After the timeout the next server is tried.
	dialServerTimeout = 400 * time.Millisecond
	// idleServerTimeout is below the 10 s after which backend servers close idle
	// connections: it is unknown whether a request that was sent while the server closed the
	// connection has run.
	idleServerTimeout = 8 * time.Second
	// unacknowledgedTimeout is how long a backend server may leave bytes unacknowledged. A sound
	// server may be silent for a second or so. While an answer is awaited, TCP aborts the
	// connection at the first of the keepalive timers, 2 s and 3 s after the server was last
	// heard, that comes after this time.
	unacknowledgedTimeout = 2250 * time.Millisecond
	// maxFirstSource bounds the index of the host that is asked first for a routing table.
	maxFirstSource = 1 << 16
	// followEvery is how often the replica is checked for a newer routing table.
	followEvery = 50 * time.Millisecond
	// gatewayNeighbors lets fleets of up to 17 hosts exchange heartbeats as a full mesh:
	// an update about a server or a routing table then reaches all hosts in one hop. It
	// costs a host 16 calls of about 0.1 ms per interval.
	gatewayNeighbors = 16
	// meshTurns halves the heartbeats of such a fleet. In larger fleets updates pass from
	// neighbor to neighbor, which needs heartbeats at each tick.
	meshTurns = 2
	// unlistAfter is the silence after which callers no longer get a host's address. It is longer than the pauses of a
	// process that has used up its processor time.
	unlistAfter = 4 * time.Second
	// memoryShare is the part of the memory limit, in percent, that is the Go runtime's
	// limit. The rest is for memory that the runtime does not count, such as socket buffers.
	memoryShare = 75
)

// startRouted starts the parts: the peer address first, as replicas need it to find each
// other. Callers' requests are rejected as host_not_ready until there is a routing table.
func (d *Daemon) startRouted(_ context.Context, p surface.Protocol) error {
	g := newGateway(d, p)
	d.gateway = g
	d.peers = newPeerServer(d)
	if err := d.peers.start(d.tasks); err != nil {
		return err
	}
	d.peers.setPeer(gatewayPeer{g: g, Shared: peerservice.Shared{Suspects: g.suspects, Updates: g.news, Permits: g.limits}})
	if d.replica != nil {
		d.tasks.run("maintain membership", d.maintainMembership)
		d.tasks.run("reconcile voters", g.reconcileVoters)
		d.tasks.run("follow replica", g.followReplica)
	}
	d.operators = newOperatorServer(d)
	if err := d.operators.start(); err != nil {
		return err
	}
	d.tasks.run("heartbeats", g.members.Run)
	d.tasks.run("paths to servers", g.paths.Run)
	if g.d.cfg.Limits.MemoryMB > 0 {
		d.tasks.run("pace of collections", paceGC)
	}
	d.tasks.run("processor use", func(ctx context.Context) { every(ctx, procstat.ProcessorPeriod, g.processor.Sample) })
	d.tasks.run("news", g.news.Run)
	d.tasks.run("suspects", g.suspects.Run)
	d.tasks.run("store suspects", g.suspects.RunStore)
	d.tasks.runUntilPanic("join", g.join)
	if g.servesCallers() {
		d.tasks.run("routes", g.routes.Run)
		d.tasks.run("budgets", g.budgets.Run)
		d.tasks.run("assignments", g.assigner.Run)
		d.tasks.run("origins of streams", g.origins.Run)
	}
	return g.serve()
}

// newRun returns a unique identifier of a run of a host.
func newRun(host string) string { return host + "/" + rand.Text() }

func newGateway(d *Daemon, p surface.Protocol) *gateway {
	cfg := d.cfg
	g := &gateway{d: d, link: d.link, protocol: p, run: newRun(cfg.Host), registered: make(chan struct{}), metrics: newRoutedMetrics()}
	client := engineclient.Config{
		DialTimeout: dialServerTimeout, IdleTimeout: idleServerTimeout, Unacknowledged: unacknowledgedTimeout, Source: cfg.Listen.Source,
		ObserveDial: d.observeRoundTrip,
	}
	g.boundSlowReaders(&client)
	g.paths = serverpaths.New(serverpaths.Config{
		Direct: d.link.servers(d.directDial(client)), Peers: g.tunnelPeers, Client: d.pool.Client, Known: g.knowsServerAt, HealthPath: g.healthPathAt, Seed: seedOf(cfg.Host), Log: d.tel.Log,
		// Connections from before a partition may no longer deliver anything.
		OnCutOff: func() { g.client.DropAllConnections() },
	})
	client.Dial = g.paths.DialContext
	g.client = engineclient.New(client)
	d.tel.Metrics.Set("server_paths", g.paths.Vars())
	g.setSeeds(cfg.SeedPeers())
	d.tel.Metrics.Set("routed", &g.metrics.vars)
	g.self.Store(&pb.Holder{Host: cfg.Host})
	g.routes = routesctl.New(routesctl.Config{
		Sources: g.sources, Fetch: g.fetchRoutes, OnChange: g.tableChanged, Missing: g.missing, Now: steady, Log: d.tel.Log,
		Evacuations: d.evacuations.Current, OnEvacuations: d.mergeEvacuations,
		Registered:  func() bool { return g.holder().GetIncarnation() > 0 },
		FirstSource: int(rendezvous.Hash(cfg.Host) % maxFirstSource),
	})
	d.client.SetAddresses(g.controlAddresses)
	retries := cfg.Routed.Retry
	g.owners = owners.New(owners.Config{
		Self: g.asOwner, Peers: func() []members.PeerInfo { return g.members.Peers() }, Capacity: capacityOf(cfg.Limits), Serves: g.servesCallers(),
	})
	g.limits = d.newLimiter(g.owners, g.routes.WarmupRate, func(l *pb.ServerLimit) { g.news.BroadcastLimit(l) })
	g.balancer = balancer.New(balancer.Config{
		Host: cfg.Host, Zone: cfg.Zone, Regions: cfg.Regions, Log: d.tel.Log,
		Retry:    retry.Bounds{Window: retries.Window.Std(), Share: retries.Share, Extra: int(retries.Extra)},
		Fleet:    g.retryingFleet,
		OnChange: g.serverChanged,
		Limits:   g.limits,
		Overload: g.overload(),
	})
	if cfg.Routed.Overload.Slots {
		d.tel.Metrics.Set("plain_slots", g.balancer.SlotMetrics())
	}
	if cfg.Routed.Overload.EngineMemory {
		d.tel.Metrics.Set("engine_memory", expvar.Func(func() any { return g.balancer.MemorySummary() }))
	}
	d.evacuations.OnChange(g.balancer.SetEvacuated)
	interval := cfg.Timing.Heartbeat.Std()
	g.members = members.New(members.Config{
		Membership: membership.Config{
			Self: membership.Self{
				Host: cfg.Host, Zone: cfg.Zone, CallerAddress: cfg.Routed.CallerAddress(), PeerAddress: cfg.PeerAddress(),
				Control: cfg.Has(procconfig.RoleControl), Capacity: capacityOf(cfg.Limits),
			},
			Seeds: cfg.SeedPeers(), Interval: interval, Neighbors: gatewayNeighbors, MeshPeriod: meshTurns,
			SuspectAfter: ticks(cfg.Timing.SuspectAfter.Std(), interval),
			DeadAfter:    ticks(cfg.Timing.DeadAfter.Std(), interval),
			UnlistAfter:  ticks(min(unlistAfter, cfg.Timing.DeadAfter.Std()), interval),
		},
		Seed: seedOf(cfg.Host), Peers: d.pool, Registry: g.balancer, Limits: g.limits, Evacuations: d.evacuations, Load: g.load,
		ViewDigest: g.owners.ViewDigest, OnViewDigest: g.owners.RecordViewDigest,
		Log: d.tel.Log, Metrics: d.tel.Metrics, OnTick: d.watch.Tick, OnView: g.routes.Wake,
	})
	d.tel.Metrics.Set("capacity", g.members.CapacityVars())
	g.loadViews = g.newLoadViews()
	d.tel.Metrics.Set("load_views", g.loadViews.Vars())
	g.suspects = g.newQuarantine()
	g.news = g.newBroadcaster()
	d.tel.Metrics.Set("replication", g.news.Metrics())
	g.budgets = g.newBudgets()
	g.origins = origins.New(origins.Config{Owners: g.owners, Controls: g.rankedControlHosts, Client: d.pool.Client, Log: d.tel.Log})
	d.tel.Metrics.Set("stream_origins", g.origins.Metrics())
	g.versions = versions.New(versions.Config{Local: g.balancer.Versions, Controls: g.controlGroup, Client: d.pool.Client, Now: steady, Log: d.tel.Log})
	d.tel.Metrics.Set("software_versions", g.versions.Metrics())
	g.assigner = assign.New(assign.Config{
		Incarnation: g.run, Self: g.holder, Local: g.balancer, Owners: g.owners, Client: d.pool.Client, Log: d.tel.Log,
		Queue: g.overload().Waits(),
	})
	if g.overload().Waits() {
		d.tel.Metrics.Set("queue", g.balancer.QueueVars())
		d.tel.Metrics.Set("assign", g.assigner.Vars())
	}
	return g
}

// overload returns the decisions about the room of backend servers that the settings call for.
func (g *gateway) overload() balance.Overload {
	o := g.d.cfg.Routed.Overload
	return balance.Overload{Queue: o.Queue, Memory: o.EngineMemory, Slots: o.Slots}
}

// holder returns this host with its incarnation, which is 0 before registration.
func (g *gateway) holder() *pb.Holder { return g.self.Load() }

// join registers this host with the control group, sets its incarnation and creates the
// grants of that incarnation.
func (g *gateway) join(ctx context.Context) {
	reg, err := g.d.register(ctx)
	if err != nil {
		return // this process is stopping
	}
	registered := time.Now()
	g.d.evacuations.Merge(reg.Evacuations, fromRegistration)
	g.joined.Store(&registered)
	g.self.Store(reg.Holder)
	g.members.SetIncarnation(reg.Holder.Incarnation)
	g.balancer.SetIncarnation(reg.Holder.Incarnation)
	g.members.MergeRegistered(reg.Hosts)
	if !g.largeFleet() {
		g.balancer.ReplicateAll()
	}
	manager := grants.New(grants.Config{
		Self: reg.Holder, Holder: gatewayHolder(g.d, g.minBatchWait),
		Proposer: group{g.d.client}, Asker: gatewayPeers{g}, Recorder: noTransferRecorder{},
		PolicyFor: g.policyFor,
		Log:       g.d.tel.Log, Seed: int64(reg.Holder.Incarnation), OnFailure: g.d.tasks.fail,
	})
	manager.RecordContact(registered)
	g.grants.Store(manager)
	close(g.registered)
	g.d.tasks.runUntilPanic("grants", manager.Run)
	g.d.tasks.run("learn hosts", func(ctx context.Context) { g.d.learnHosts(ctx, g.members.MergeRegistered) })
}

// servesCallers reports whether this host forwards callers' requests and so needs the
// routing table.
func (g *gateway) servesCallers() bool { return g.d.cfg.Has(procconfig.RoleGateway) }

// ownReplica is the source in log lines about a routing table that came from this host's own
// replica.
const ownReplica = "own replica"

// followReplica passes newer evacuated zones and each newer routing table that this host's replica
// applies to this host's gateway, if it serves callers, and notifies the other hosts at once. A host that
// serves no callers does not decode the table: for 150 routes that takes a millisecond of
// processor time.
func (g *gateway) followReplica(ctx context.Context) {
	every(ctx, followEvery, func() {
		g.followReplicaEvacuations()
		table, _ := g.d.replica.Routes()
		if table.GetRevision() <= g.applied.Load() {
			return
		}
		g.applied.Store(table.GetRevision())
		g.d.tel.Log.Info().Str("event", "routes-applied").Uint64("revision", table.GetRevision()).Send()
		if g.servesCallers() {
			g.routes.ApplyAnswer(ownReplica, steady(), routesctl.FromReplica(g.d.replica, &pb.FetchRoutesRequest{Have: g.routes.Revision()}))
		}
		g.members.Kick()
		if _, _, leads := g.d.replica.Leading(); leads {
			g.news.BroadcastTable(table.GetRevision())
		}
	})
}

// tableChanged notifies the peers of a newer routing table, and returns the free tokens of
// budgets whose prepaid amount was lowered.
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

// missing returns what this host, which has just started, does not know yet: a host that
// holds tokens, the requests that crash servers, or a server of one of the table's services.
// It returns an empty string if nothing is missing.
//
// The routing table arrives some milliseconds before the first heartbeats of hosts and
// servers. A host that became ready at once would reject requests that every other host
// could serve.
func (g *gateway) missing(x *routes.Index) string {
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

// ready returns nil while this host accepts callers' requests.
func (g *gateway) ready() error {
	if g.leaving.Load() {
		return errkind.New(errkind.HostLeaving, "this host is shutting down")
	}
	if err := g.link.ready(); err != nil {
		return err
	}
	_, err := g.routes.Current()
	return err
}

// load returns what this host reports about itself to its peers.
func (g *gateway) load() members.Load {
	const full = 1000
	limit, used := g.d.cfg.Limits.Streams, g.balancer.Running()
	spare := uint32(0)
	if used < limit && g.ready() == nil {
		spare = uint32(full * (limit - used) / limit)
	}
	return members.Load{SparePermille: spare, Traffic: g.traffic.rate(time.Now()), ConfigRevision: max(g.routes.Revision(), g.applied.Load())}
}
