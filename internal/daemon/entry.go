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
	// explained is how many finished requests a host can explain.
	explained = 4096
	// announceEvery is what backend servers are told to announce in.
	announceEvery = 500 * time.Millisecond
	// fleetEvery is how often lists of hosts are passed to the parts that use them.
	fleetEvery = 100 * time.Millisecond
	// learnEvery is how often the registered hosts are read from the control group.
	learnEvery = 5 * time.Second
	// learnTimeout bounds one such read.
	learnTimeout = time.Second
	// settleLeast and settleMost bound how long a started host learns of backend
	// servers before it serves: two announcements at least, and not for ever in a
	// fleet that has none.
	settleLeast = 2 * announceEvery
	settleMost  = 3 * time.Second
)

// entry is what serves callers. Its controllers that belong to one incarnation are
// made once the host is registered.
type entry struct {
	d       *Daemon
	self    atomic.Pointer[pb.Holder]
	leaving atomic.Bool
	// settled tells that this run has heard of the fleet's backend servers.
	settled atomic.Bool

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

// newEntry makes the parts that need no incarnation.
func newEntry(d *Daemon) *entry {
	cfg := d.cfg
	e := &entry{d: d}
	e.self.Store(&pb.Holder{Host: cfg.Host})
	e.explain = explain.New(cfg.Host, cfg.Zone, explained)
	e.owners = owners.New(owners.Config{Self: e.asOwner, Peers: func() []members.PeerInfo { return e.members.Peers() }})
	e.limits = d.newLimiter(e.owners, func(l *pb.ServerLimit) { e.news.BroadcastLimit(l) })
	e.sched = scheduler.New(scheduler.Options{
		Sched:   sched.Config{Host: cfg.Host, Zone: cfg.Zone},
		Backend: backend.Config{Lapse: cfg.Timing.ServerLapse.Std()},
		Seed:    int64(seedOf(cfg.Host)),
		Metrics: d.tel.Metrics,
		Limits:  e.limits,
		Log:     d.tel.Log,
	})
	interval := cfg.Timing.Heartbeat.Std()
	e.members = members.New(members.Config{
		Membership: membership.Config{
			Self: membership.Self{
				Host: cfg.Host, Zone: cfg.Zone, CallerAddress: cfg.Listen.Callers, PeerAddress: cfg.PeerAddress()},
			Seeds: e.seeds(), Interval: interval,
			SuspectAfter: ticks(cfg.Timing.SuspectAfter.Std(), interval),
			DeadAfter:    ticks(cfg.Timing.DeadAfter.Std(), interval),
		},
		Seed: seedOf(cfg.Host), Peers: d.pool, Registry: registry{e.sched}, Limits: e.limits, Load: e.load,
		Log: d.tel.Log, Metrics: d.tel.Metrics, OnTick: d.watch.Tick,
	})
	e.client = engineclient.New(engineclient.Config{Heard: e.sched.Observe})
	e.makeSuspects()
	e.placement = e.newPlacement()
	d.tel.Metrics.Set("scheduler", e.sched.Metrics().Map())
	d.tel.Metrics.Set("late_answers_dropped", expvar.Func(func() any { return engineclient.CrossedAnswers.Load() }))
	return e
}

// ticks is how many whole intervals d lasts, at least one.
func ticks(d, interval time.Duration) int64 { return max(1, int64(d/interval)) }

// seedOf gives each host a seed of its own, the same after a restart.
func seedOf(host string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host))
	return h.Sum64()
}

// seeds are the peer addresses to contact first, without this host's own.
func (e *entry) seeds() []string {
	var out []string
	for _, p := range e.d.cfg.Peers {
		if p.Address != e.d.cfg.PeerAddress() {
			out = append(out, p.Address)
		}
	}
	return out
}

// holder is this run; the incarnation is 0 before registration.
func (e *entry) holder() *pb.Holder { return e.self.Load() }

// start registers this run, makes what belongs to it and opens the callers' address.
func (e *entry) start(ctx context.Context) error {
	reg, err := e.d.register(ctx)
	if err != nil {
		return err
	}
	e.self.Store(reg.Holder)
	e.members.SetIncarnation(reg.Holder.Incarnation)
	e.members.MergeRegistered(reg.Hosts)
	e.makeControllers(reg.Holder)
	e.d.peers.setPeer(peerservice.New(peerservice.Parts{
		Records: e.records, Grants: e.grants, Members: e.members, Explain: e,
		Shared: peerservice.Shared{Suspects: e.suspects, News: e.news, Limits: e.limits},
	}))
	t := e.d.tasks
	t.run("heartbeats", e.members.Run)
	t.run("news", e.news.Run)
	t.run("suspects", e.suspects.Run)
	t.run("keep suspects", e.suspects.RunStore)
	t.runTrusted("records", e.records.Run)
	t.runTrusted("grants", e.grants.Run)
	t.run("follow fleet", e.followFleet)
	t.run("learn hosts", e.learnHosts)
	e.serveRepair(t)
	if err := e.http.Start(); err != nil {
		return errors.Wrap(err, "callers' address")
	}
	return e.settle(ctx)
}

// settle waits until this run has heard of the fleet's backend servers, and of the requests that
// crash them. Without it a restarted host refuses work as unknown_model, which tells callers not
// to come back, because its registry is still empty.
func (e *entry) settle(ctx context.Context) error {
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
		if waited >= settleMost || waited >= settleLeast && len(e.sched.Servers()) > 0 && e.suspects.Synced() {
			e.settled.Store(true)
			return nil
		}
	}
}

// chainSettings are the settings as the request chain sees them: not ready before
// this run has settled. A leaving host still serves who was sent to it.
type chainSettings struct {
	*settingsctl.Controller
	e *entry
}

// Ready implements filter.Settings.
func (c chainSettings) Ready() error {
	if !c.e.settled.Load() {
		return errNotSettled()
	}
	return c.Controller.Ready()
}

func errNotSettled() error {
	return errkind.New(errkind.HostNotReady, "this host has just started and is still learning of the backend servers").After(time.Second)
}

// makeControllers makes the controllers of one incarnation and the callers' API on them.
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
		MaxBodyBytes: cfg.Limits.MaxBodyBytes, Streams: cfg.Limits.Streams, Always: callerapi.Always,
	})
	e.d.countConnections("callers", e.http)
}

func (e *entry) dispatch() *dispatch.Filter {
	return &dispatch.Filter{
		Client:  e.client,
		Silence: dispatch.NewLearnedSilence(silence.Config{}),
	}
}

// policyFor is the grant policy of the team whose accounts draw on the budget.
func (e *entry) policyFor(budget string) grant.Policy {
	team, ok := e.d.settings.View().TeamOfBudget(budget)
	if ok {
		return grant.PolicyFrom(team.Grant)
	}
	return grant.PolicyFrom(nil)
}

// ready is nil while this host takes new work from callers.
func (e *entry) ready() error {
	if e.holder().GetIncarnation() == 0 {
		return errkind.New(errkind.HostNotReady, "not registered with the control group yet").After(time.Second)
	}
	if !e.settled.Load() {
		return errNotSettled()
	}
	if e.leaving.Load() {
		return errkind.New(errkind.HostLeaving, "this host is shutting down")
	}
	return e.d.settings.Ready()
}

// load is what this host tells its peers of itself.
func (e *entry) load() members.Load {
	const full = 1000
	spare := uint32(0)
	limit, used := e.d.cfg.Limits.Streams, e.sched.Running()+e.sched.Waiting()
	if used < limit && e.settled.Load() {
		spare = uint32(full * (limit - used) / limit)
	}
	return members.Load{SparePermille: spare, ConfigRevision: e.d.settings.Revision()}
}
