package daemon

import (
	"context"
	"expvar"
	"hash/fnv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/backend"
	"github.com/bluebellsail/bluebellsail/internal/callerapi"
	"github.com/bluebellsail/bluebellsail/internal/controller/grants"
	"github.com/bluebellsail/bluebellsail/internal/controller/members"
	"github.com/bluebellsail/bluebellsail/internal/controller/news"
	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/controller/placement"
	quarantinectl "github.com/bluebellsail/bluebellsail/internal/controller/quarantine"
	"github.com/bluebellsail/bluebellsail/internal/controller/ratelimits"
	"github.com/bluebellsail/bluebellsail/internal/controller/records"
	"github.com/bluebellsail/bluebellsail/internal/controller/scheduler"
	settingsctl "github.com/bluebellsail/bluebellsail/internal/controller/settings"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter/dispatch"
	"github.com/bluebellsail/bluebellsail/internal/grant"
	"github.com/bluebellsail/bluebellsail/internal/httpserver"
	"github.com/bluebellsail/bluebellsail/internal/inflight"
	"github.com/bluebellsail/bluebellsail/internal/membership"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/peerservice"
	"github.com/bluebellsail/bluebellsail/internal/sched"
	"github.com/bluebellsail/bluebellsail/internal/silence"
	"github.com/bluebellsail/bluebellsail/internal/telemetry/explain"
)

const (
	// maxExplanations is the number of finished requests for which a host keeps an explanation.
	maxExplanations = 4096
	// announceEvery is the interval at which backend servers are asked to announce themselves.
	announceEvery = 500 * time.Millisecond
	// fleetEvery is how often lists of hosts are passed to the parts that use them.
	fleetEvery = 100 * time.Millisecond
	// learnEvery is how often the registered hosts are read from the control group.
	learnEvery = 5 * time.Second
	// manyHosts is the number of hosts in an answer after which there may be more, and learnMorePause half of the longest
	// time until they are read.
	manyHosts      = 128
	learnMorePause = time.Second
	// learnTimeout bounds one such read.
	learnTimeout = time.Second
	// minDiscoveryWait and maxDiscoveryWait bound how long a host that has started waits for
	// announcements of backend servers before it serves: for at least two announcement
	// intervals, and not forever in a fleet that has no servers.
	minDiscoveryWait = 2 * announceEvery
	maxDiscoveryWait = 3 * time.Second
)

// entry holds the parts that serve callers. Controllers that belong to one incarnation are
// created once the host is registered.
type entry struct {
	d       *Daemon
	self    atomic.Pointer[pb.Holder]
	leaving atomic.Bool
	// discovered is true once this host knows the fleet's backend servers and suspects, or has
	// waited for them long enough.
	discovered atomic.Bool

	sched   *scheduler.Scheduler
	members *members.Controller
	explain *explain.Store

	placement *placement.Controller

	owners   *owners.Table
	limits   *ratelimits.Limiter
	suspects *quarantinectl.Guard
	news     *news.Broadcaster
	client   *engineclient.Client

	grants  *grants.Manager
	records *records.Controller
	api     *callerapi.API
	http    *httpserver.Server
}

// newEntry creates the parts that need no incarnation.
func newEntry(d *Daemon) *entry {
	cfg := d.cfg
	e := &entry{d: d}
	e.self.Store(&pb.Holder{Host: cfg.Host})
	e.explain = explain.New(cfg.Host, cfg.Zone, maxExplanations)
	e.owners = owners.New(owners.Config{
		Self: e.asOwner, Peers: func() []members.PeerInfo { return e.members.Peers() }, Capacity: capacityOf(cfg.Limits), Serves: true,
	})
	e.limits = d.newLimiter(e.owners, nil, func(l *pb.ServerLimit) { e.news.BroadcastLimit(l) })
	e.sched = scheduler.New(scheduler.Options{
		Sched:   sched.Config{Host: cfg.Host, Zone: cfg.Zone},
		Backend: backend.Config{Lapse: cfg.Timing.ServerLapse.Std()},
		Seed:    int64(seedOf(cfg.Host)),
		Metrics: d.tel.Metrics,
		Limits:  e.limits,
		Log:     d.tel.Log,
	})
	d.evacuations.OnChange(e.sched.SetEvacuated)
	interval := cfg.Timing.Heartbeat.Std()
	e.members = members.New(members.Config{
		Membership: membership.Config{
			Self: membership.Self{
				Host: cfg.Host, Zone: cfg.Zone, CallerAddress: cfg.Listen.Callers, PeerAddress: cfg.PeerAddress(),
				Capacity: capacityOf(cfg.Limits),
			},
			Seeds: e.seeds(), Interval: interval,
			SuspectAfter: ticks(cfg.Timing.SuspectAfter.Std(), interval),
			DeadAfter:    ticks(cfg.Timing.DeadAfter.Std(), interval),
		},
		Seed: seedOf(cfg.Host), Peers: d.pool, Registry: registry{e.sched}, Limits: e.limits, Evacuations: d.evacuations, Load: e.load,
		Log: d.tel.Log, Metrics: d.tel.Metrics, OnTick: d.watch.Tick,
	})
	d.tel.Metrics.Set("capacity", e.members.CapacityVars())
	e.client = engineclient.New(engineclient.Config{Observe: e.sched.Observe})
	e.makeQuarantine()
	e.placement = e.newPlacement()
	d.tel.Metrics.Set("scheduler", e.sched.Metrics().Map())
	d.tel.Metrics.Set("late_answers_dropped", expvar.Func(func() any { return engineclient.CrossedAnswers.Load() }))
	return e
}

// ticks returns the number of whole intervals in d, at least one.
func ticks(d, interval time.Duration) int64 { return max(1, int64(d/interval)) }

// seedOf derives a random seed from the host's name: it differs between hosts and is the
// same after a restart.
func seedOf(host string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host))
	return h.Sum64()
}

// seeds returns the peer addresses to contact first, without this host's own.
func (e *entry) seeds() []string {
	var out []string
	for _, p := range e.d.cfg.Peers {
		if p.Address != e.d.cfg.PeerAddress() {
			out = append(out, p.Address)
		}
	}
	return out
}

// holder returns this host with its incarnation, which is 0 before registration.
func (e *entry) holder() *pb.Holder { return e.self.Load() }

// start registers this host, creates the controllers of its incarnation and opens the
// callers' address.
func (e *entry) start(ctx context.Context) error {
	reg, err := e.d.register(ctx)
	if err != nil {
		return err
	}
	e.d.evacuations.Merge(reg.Evacuations, fromRegistration)
	e.self.Store(reg.Holder)
	e.members.SetIncarnation(reg.Holder.Incarnation)
	e.members.MergeRegistered(reg.Hosts)
	e.makeControllers(reg.Holder)
	e.d.peers.setPeer(peerservice.New(peerservice.Controllers{
		Records: e.records, Grants: e.grants, Members: e.members, Explain: e,
		Shared: peerservice.Shared{Suspects: e.suspects, Updates: e.news, Permits: e.limits},
	}))
	t := e.d.tasks
	t.run("heartbeats", e.members.Run)
	t.run("news", e.news.Run)
	t.run("suspects", e.suspects.Run)
	t.run("store suspects", e.suspects.RunStore)
	t.runUntilPanic("records", e.records.Run)
	t.runUntilPanic("grants", e.grants.Run)
	t.run("follow fleet", e.followFleet)
	t.run("learn hosts", func(ctx context.Context) { e.d.learnHosts(ctx, e.members.MergeRegistered) })
	e.startRepair(t)
	if err := e.http.Start(); err != nil {
		return errors.Wrap(err, "callers' address")
	}
	return e.awaitDiscovery(ctx)
}

// awaitDiscovery waits until this host knows the fleet's backend servers and the requests that crash
// them. Otherwise a restarted host, whose registry is still empty, would reject requests as
// unknown_model, an error that callers do not retry.
func (e *entry) awaitDiscovery(ctx context.Context) error {
	begun := time.Now()
	ticker := time.NewTicker(fleetEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		waited := time.Since(begun)
		if waited >= maxDiscoveryWait || waited >= minDiscoveryWait && len(e.sched.Servers()) > 0 && e.suspects.Synced() {
			e.discovered.Store(true)
			return nil
		}
	}
}

// chainSettings are the settings as the request chain sees them: not ready before this host
// knows the backend servers. A leaving host still serves callers that were sent to it.
type chainSettings struct {
	*settingsctl.Controller
	e *entry
}

// Ready implements filter.Settings.
func (c chainSettings) Ready() error {
	if !c.e.discovered.Load() {
		return errNotDiscovered()
	}
	return c.Controller.Ready()
}

func errNotDiscovered() error {
	return errkind.New(errkind.HostNotReady, "this host has just started and is still discovering the backend servers").After(time.Second)
}

// makeControllers creates the controllers of one incarnation and the callers' API on top of
// them.
func (e *entry) makeControllers(self *pb.Holder) {
	cfg := e.d.cfg
	e.records = records.New(records.Config{
		Store: inflight.Config{Self: self, Zone: cfg.Zone, Retention: e.d.settings.Fleet().IdempotencyWindow.Std()},
		Peers: peers{e}, Log: e.d.tel.Log,
	})
	e.grants = grants.New(grants.Config{
		Self: self, Holder: grant.Config{BatchWait: cfg.Timing.SettleEvery.Std()},
		Proposer: group{e.d.client}, Asker: peers{e}, Recorder: e.records,
		PolicyFor: e.policyFor, OnSettled: e.records.MarkSettled, Log: e.d.tel.Log, Seed: int64(self.Incarnation), OnFailure: e.d.tasks.fail,
	})
	e.records.SetGrants(e.grants)
	e.api = callerapi.New(callerapi.Deps{
		Settings: chainSettings{e.d.settings, e}, Budget: e.grants, Records: e.records, Hosts: hosts{e},
		Claims: claims{client: e.d.client, self: self}, Scheduler: e.sched, Retries: e.sched, Quarantine: e.suspects,
		Explainer: outcomes{next: e.explain, metrics: e.d.tel.Metrics, log: e.d.tel.Log}, Registry: e.sched, Addresses: addresses{e}, Models: models{e.sched},
		Health:           e.ready,
		Dispatch:         e.dispatch(),
		AnnounceInterval: announceEvery,
	})
	e.http = httpserver.New(httpserver.Config{
		Name: "callers", Address: cfg.Listen.Callers, TLS: serverTLS(e.d.tls.callers), Handler: e.api,
		MaxBodyBytes: cfg.Limits.MaxBodyBytes, Streams: cfg.Limits.Streams, NeverShed: callerapi.NeverShed,
	})
	e.d.countConnections("callers", e.http)
}

func (e *entry) dispatch() *dispatch.Filter {
	return &dispatch.Filter{
		Client:  e.client,
		Silence: dispatch.NewLearnedSilence(silence.Config{}),
	}
}

// policyFor returns the grant policy of the team whose accounts draw on the budget.
func (e *entry) policyFor(budget string) grant.Policy {
	team, ok := e.d.settings.View().TeamOfBudget(budget)
	if ok {
		return grant.PolicyFrom(team.Grant)
	}
	return grant.PolicyFrom(nil)
}

// ready returns nil while this host accepts new requests from callers.
func (e *entry) ready() error {
	if e.holder().GetIncarnation() == 0 {
		return errkind.New(errkind.HostNotReady, "this host is not registered with the control group yet").After(time.Second)
	}
	if !e.discovered.Load() {
		return errNotDiscovered()
	}
	if e.leaving.Load() {
		return errkind.New(errkind.HostLeaving, "this host is shutting down")
	}
	return e.d.settings.Ready()
}

// load returns what this host reports about itself to its peers.
func (e *entry) load() members.Load {
	const full = 1000
	spare := uint32(0)
	limit, used := e.d.cfg.Limits.Streams, e.sched.Running()+e.sched.Waiting()
	if used < limit && e.discovered.Load() {
		spare = uint32(full * (limit - used) / limit)
	}
	return members.Load{SparePermille: spare, ConfigRevision: e.d.settings.Revision()}
}
