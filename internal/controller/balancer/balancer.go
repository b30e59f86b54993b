// Package balancer runs the registry of instances and the choice of backend servers for
// routed requests: it binds packages instance and balance to a host's clock and
// goroutines, forwards announcements to the peers, and limits retries.
package balancer

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/admission"
	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/balance/waiting"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/retry"
	"github.com/bluebellsail/bluebellsail/internal/telemetry"
)

// expireEvery is how often instances without a recent announcement are removed.
const expireEvery = 10 * time.Second

// Config configures a Balancer.
type Config struct {
	Host, Zone string
	// Regions has the region of each availability zone.
	Regions   map[string]string
	Instances instance.Config
	Retry     retry.Bounds
	// Fleet returns the hosts that share the retry allowance.
	Fleet func() retry.Fleet
	// Now is the clock of the bounds of retries; the default is time.Now.
	Now func() time.Time
	// OnChange is called with the state of an instance after a change that the peers must
	// know at once. It must not call the Balancer.
	OnChange func(*pb.ServerState)
	// Limits provides the permits for rate-limited servers; nil if no server is limited.
	Limits Limits
	// Overload switches on decisions for load beyond the servers' room.
	Overload balance.Overload
	Log      zerolog.Logger
}

// Limits provides the permits for rate-limited servers and the admissions to brittle ones;
// *ratelimits.Limiter implements it.
type Limits interface {
	ratelimit.Permits
	// RequestPermits requests permits for a server. Check returns the outcome.
	RequestPermits(ctx context.Context, inc instance.Incarnation)
	balance.Admissions
	// RequestAdmission asks to have a request admitted to a brittle server that runs slots requests at
	// once; the request has ended after lifetime. The result is the zero value if it is not admitted.
	RequestAdmission(ctx context.Context, inc instance.Incarnation, slots int, lifetime time.Duration) admission.Admission
	// SetWarmup records the warm-up that a server announced last.
	SetWarmup(inc instance.Incarnation, w ratelimit.Warmup)
}

// Balancer is safe for concurrent use. Its lock is always released by defer: callers recover panics,
// and a lock that stayed held would block every later request for ever.
type Balancer struct {
	cfg Config

	mu         sync.Mutex
	reg        *instance.Registry
	core       *balance.Core
	retries    *retry.Window
	lastExpiry time.Time
	// unreadable holds the incarnations whose Retry-After could not be parsed; each is logged once.
	unreadable telemetry.FirstSeen[instance.Incarnation]
	// implausible holds the incarnations that reported a load that can't be true; each is logged once.
	implausible telemetry.FirstSeen[instance.Incarnation]
	queue       queueState
	metrics     queueMetrics
	// absurd holds the client accounts whose requests had a senseless expected size; each is logged once.
	absurd telemetry.FirstSeen[string]
}

var (
	_ relay.Balancer = (*Balancer)(nil)
	_ relay.Retries  = (*Balancer)(nil)
)

// New returns a Balancer that knows no server.
func New(cfg Config) *Balancer {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(cfg.Host))
	cfg.Instances.Host = cfg.Host
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	reg := instance.New(cfg.Instances)
	rng := rand.New(rand.NewPCG(seed.Sum64(), 0))
	b := &Balancer{
		cfg: cfg, reg: reg, core: balance.New(balance.Config{
			Zone: cfg.Zone, Regions: cfg.Regions, Permits: permitsOf(cfg.Limits), Admissions: admissionsOf(cfg.Limits),
			Overload: cfg.Overload,
		}, reg, rng),
		retries: retry.NewWindow(cfg.Retry, cfg.Now()),
	}
	b.metrics.init(b.waitingNow)
	if cfg.Overload.Waits() {
		b.queue = queueState{core: waiting.New(waiting.Config{}, b.core, rng), results: make(map[uint64]chan waiting.Result)}
	}
	return b
}

// permitsOf converts l and keeps nil as an untyped nil.
func permitsOf(l Limits) ratelimit.Permits {
	if l == nil {
		return nil
	}
	return l
}

// admissionsOf is permitsOf for admissions.
func admissionsOf(l Limits) balance.Admissions {
	if l == nil {
		return nil
	}
	return l
}

// Announce applies an announcement that a backend server sent to this host. An announcement
// that does not describe a usable server returns an error and changes nothing.
func (b *Balancer) Announce(a instance.Announcement) error { return b.announce(a, b.reg.Announce) }

// AnnounceRedirected is like Announce for a server that is told to announce itself to another host; see
// instance.Registry.
func (b *Balancer) AnnounceRedirected(a instance.Announcement) error {
	return b.announce(a, b.reg.AnnounceRedirected)
}

func (b *Balancer) announce(a instance.Announcement, apply func(time.Time, instance.Announcement) bool) error {
	if err := a.Check(); err != nil {
		return errkind.New(errkind.BadRequest, "invalid server announcement: %v", err)
	}
	b.update(a.ID, func(now time.Time) bool { return apply(now, a) })
	return nil
}

// ReplicateAll has peers told of all servers; see instance.Registry.ReplicateAll.
func (b *Balancer) ReplicateAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reg.ReplicateAll()
}

// End records that an incarnation of a backend server has stopped.
func (b *Balancer) End(inc instance.Incarnation) error {
	if err := instance.CheckID(inc.ID); err != nil {
		return errkind.New(errkind.BadRequest, "invalid server ID: %v", err)
	}
	b.update(inc.ID, func(now time.Time) bool { return b.reg.End(now, inc) })
	return nil
}

// EndCurrent records that a backend server has stopped, in the incarnation that this host knows.
func (b *Balancer) EndCurrent(id string) error {
	if err := instance.CheckID(id); err != nil {
		return errkind.New(errkind.BadRequest, "invalid server ID: %v", err)
	}
	b.update(id, func(now time.Time) bool { return b.reg.EndCurrent(now, id) })
	return nil
}

// Drain records that an incarnation of a backend server accepts no new requests, as it reported in an
// answer.
func (b *Balancer) Drain(inc instance.Incarnation) {
	b.update(inc.ID, func(time.Time) bool { return b.reg.Drain(inc) })
}

// update applies a change that this host observed to the registry, and notifies the peers if the
// change is new.
func (b *Balancer) update(id string, apply func(now time.Time) bool) {
	if state, changed := b.updateRegistry(id, apply); changed {
		b.notify(state)
	}
}

func (b *Balancer) updateRegistry(id string, apply func(now time.Time) bool) (state *pb.ServerState, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	changed = apply(now)
	b.recordWarmup(id)
	state = b.reg.State(now, id)
	b.expire(now)
	b.step(now)
	return state, changed
}

// warmupSlack is how much later than announced a server may become warm as seen from here: the time of
// an announcement that came through other hosts is estimated to be up to this much too early.
const warmupSlack = 500 * time.Millisecond

// recordWarmup has the rate of a cold server limited until it is warm; b.mu is held.
func (b *Balancer) recordWarmup(id string) {
	i, known := b.reg.Get(id)
	if !known || b.cfg.Limits == nil {
		return
	}
	w := ratelimit.Warmup{Service: i.Service}
	if i.WarmupLeft > 0 {
		w.Until = i.LastAnnounced.Add(i.WarmupLeft + warmupSlack)
	}
	b.cfg.Limits.SetWarmup(i.Incarnation(), w)
}

func (b *Balancer) notify(st *pb.ServerState) {
	b.logUpdate(st, "server")
	b.cfg.OnChange(st)
}

// logUpdate logs an update about a server. from is its source: the server or the name of a peer.
func (b *Balancer) logUpdate(st *pb.ServerState, from string) {
	b.cfg.Log.Info().Str("event", "server-heard").Str("server", st.GetId()).Uint64("incarnation", st.GetIncarnation()).Strs("service", st.GetServices()).
		Str("address", st.GetAddress()).Str("version", st.GetVersion()).Bool("draining", st.GetLeaving()).Bool("gone", st.GetGone()).
		Bool("silent", st.GetSilent()).Str("receiver", st.GetReceiver().GetHost()).Str("from", from).Int64("age_ms", st.GetAgeMs()).Send()
}

// expire removes instances without a recent announcement every expireEvery; b.mu is held.
func (b *Balancer) expire(now time.Time) {
	if now.Sub(b.lastExpiry) >= expireEvery {
		b.lastExpiry = now
		b.reg.Expire(now)
		b.core.Expire()
		b.core.ExpirePlain(now)
		b.unreadable.Forget()
		b.implausible.Forget()
		b.absurd.Forget()
	}
}

// choose chooses a server for w, after a wait for room if requests wait; see await.
func (b *Balancer) choose(ctx context.Context, w *balance.Work, ticket *uint64) (relay.Lease, error) {
	if b.queues() {
		in := *w // allocated only here: a request that may wait escapes
		return b.await(ctx, &in, ticket)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	choice, err := b.core.Choose(time.Now(), w)
	if err != nil {
		return nil, err
	}
	return &lease{b: b, choice: choice}, nil
}

// Running returns the number of requests at backend servers.
func (b *Balancer) Running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Running()
}

// RecentWork implements members.Registry. There is nothing to report: the owner of a shard
// of servers assigns all requests for them.
func (b *Balancer) RecentWork() []*pb.RecentWork { return nil }

// MergeWork implements members.Registry.
func (b *Balancer) MergeWork(*pb.Holder, []*pb.RecentWork) {}

// ShardOf returns the shard of a service's servers to which w belongs.
func (b *Balancer) ShardOf(w *balance.Work) balance.Shard {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.ShardOf(w)
}

// Serves reports whether any instance of a service is known that accepts requests, in an evacuated
// zone or not.
func (b *Balancer) Serves(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reg.ServingCount(service) > 0 || b.reg.Evacuated(service) > 0
}

// ServerAt reports whether a known instance that has not ended has the address.
func (b *Balancer) ServerAt(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reg.AtAddress(address)
}

// ServiceAt returns the service of the known instance at an address.
func (b *Balancer) ServiceAt(address string) (service string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reg.ServiceAt(address)
}

// SetEvacuated replaces the set of evacuated availability zones, whose servers get no requests.
func (b *Balancer) SetEvacuated(zones map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reg.SetEvacuated(zones)
	b.step(time.Now())
}

// TakeCacheUpdates returns the prompt parts sent to instances since the last call.
func (b *Balancer) TakeCacheUpdates() []balance.CachedParts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.TakeDispatched()
}

// CacheContents returns what this host knows of the caches of a service's instances in a shard.
func (b *Balancer) CacheContents(service string, shard balance.Shard) []balance.CachedParts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.ShardCaches(service, shard)
}

// MergeCaches merges another host's knowledge of instances' caches.
func (b *Balancer) MergeCaches(known []balance.CachedParts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.MergeCaches(time.Now(), known)
}

// ShardOfServer returns the service and the shard of an incarnation of a server.
func (b *Balancer) ShardOfServer(inc instance.Incarnation) (service string, shard balance.Shard, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.ShardOfServer(inc)
}

// CoolDown records that a server is cooling down for this host for d, as observed in an answer.
func (b *Balancer) CoolDown(inc instance.Incarnation, d time.Duration, requestID string) {
	if b.cooldown(inc, d) {
		b.cfg.Log.Info().Str("event", "server-cooldown").Str("server", inc.ID).Uint64("incarnation", inc.Started).
			Dur("cooldown", d).Str("request", requestID).Send()
	}
}

func (b *Balancer) cooldown(inc instance.Incarnation, d time.Duration) (began bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.StartCooldown(time.Now(), inc, d)
}

// CoolDownForPeer records that a server is cooling down for d for another host whose requests this
// host assigns.
func (b *Balancer) CoolDownForPeer(inc instance.Incarnation, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.StartRemoteCooldown(time.Now(), inc, d)
}

// Cooling returns the servers of a service that are cooling down for this host; see balance.Core.
func (b *Balancer) Cooling(service string) (incarnations []instance.Incarnation, shortest time.Duration, all bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.CoolingDown(time.Now(), service)
}

// CooldownUnreadable records that a server sent a Retry-After that can't be parsed. An earlier cooldown
// of the server stays in force.
func (b *Balancer) CooldownUnreadable(inc instance.Incarnation, requestID string) {
	if b.unreadable.First(inc) {
		b.cfg.Log.Warn().Str("event", "server-cooldown-unreadable").Str("server", inc.ID).Uint64("incarnation", inc.Started).
			Str("request", requestID).Send()
	}
}

// CooldownLeft returns how much longer a server is cooling down for this host.
func (b *Balancer) CooldownLeft(inc instance.Incarnation) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.CooldownLeft(time.Now(), inc)
}

// Usable reports whether an incarnation of a server may get requests, as far as this host knows.
func (b *Balancer) Usable(inc instance.Incarnation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i, known := b.reg.Get(inc.ID)
	if !known || i.Started < inc.Started {
		return true
	}
	return i.Started == inc.Started && i.Usable() && b.core.CooldownLeft(time.Now(), inc) == 0
}

// Allowed reports whether regions and software versions allow a request at a server; see balance.Core.
func (b *Balancer) Allowed(w *balance.Work, inc instance.Incarnation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Allowed(w, inc)
}

// Version returns the software version of the chosen incarnation of a server; see balance.Core.
func (b *Balancer) Version(chosen instance.Announcement) (version string, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Version(chosen)
}

// Versions returns the software versions of a service's servers that this host knows or has known lately, in order.
func (b *Balancer) Versions(service string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reg.Versions(time.Now(), service)
}

// lease implements relay.Lease.
type lease struct {
	b      *Balancer
	choice balance.Choice
	// firstReported is set once First has been called. It is guarded by b.mu because another
	// host's report about an attempt may arrive twice at the same time.
	firstReported bool
	// memoryFull is set if the engine's memory was over its capacity at the end; guarded by b.mu.
	memoryFull bool
}

// Choice implements relay.Lease.
func (l *lease) Choice() balance.Choice { return l.choice }

// Version implements relay.Lease.
func (l *lease) Version() (version string, known bool) { return l.b.Version(l.choice.Instance) }

// FirstByte implements relay.Lease; only the first call counts.
func (l *lease) FirstByte() {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	if l.firstReported {
		return
	}
	l.firstReported = true
	now := time.Now()
	l.b.core.FirstPart(now, l.choice.Ticket)
	l.b.step(now)
}

// Report implements relay.Lease.
func (l *lease) Report(load balance.Load) {
	l.b.ReportLoad(l.choice.Instance.Incarnation(), load)
}

// CoolDown implements relay.Lease.
func (l *lease) CoolDown(d time.Duration, requestID string) {
	l.b.CoolDown(l.choice.Instance.Incarnation(), d, requestID)
}

// Leaving implements relay.Lease.
func (l *lease) Leaving() { l.b.Drain(l.choice.Instance.Incarnation()) }

// CooldownUnreadable implements relay.Lease.
func (l *lease) CooldownUnreadable(requestID string) {
	l.b.CooldownUnreadable(l.choice.Instance.Incarnation(), requestID)
}

// WrongInstance implements relay.Lease. Only the incarnation to which the request was sent has lost the
// address.
func (l *lease) WrongInstance() { _ = l.b.End(l.choice.Instance.Incarnation()) }

// Done implements relay.Lease.
func (l *lease) Done(r balance.Result) {
	s := l.done(r)
	if !s.Lost && !s.Regained {
		return
	}
	event := "server-lost"
	if s.Regained {
		event = "server-regained"
	}
	l.b.cfg.Log.Info().Str("event", event).Str("server", l.choice.Instance.ID).Str("address", l.choice.Instance.Address).
		Int("failures", s.Failures).Dur("pause", s.Pause).Send()
}

func (l *lease) done(r balance.Result) balance.HealthChange {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	now := time.Now()
	change := l.b.core.Done(now, l.choice.Ticket, r)
	l.memoryFull = change.MemoryFull
	l.b.step(now)
	return change
}
