// Package balancer runs the registry of instances and the choice of backend servers for
// routed requests: it binds packages instance and balance to a host's clock and
// goroutines, hands announcements on to the peers, and bounds repeated attempts.
package balancer

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/retry"
	"github.com/bluebellsail/bluebellsail/internal/telemetry"
)

// sweepEvery is how often forgotten instances are dropped.
const sweepEvery = 10 * time.Second

// Config of a Balancer.
type Config struct {
	Host, Zone string
	Instances  instance.Config
	Retry      retry.Bounds
	// Hosts counts the hosts that share the allowance for repeated attempts.
	Hosts func() int
	// Changed is called with the state of an instance of which this host has heard
	// something that its peers must know at once; it must not call the Balancer.
	Changed func(*pb.ServerState)
	// Limits has the permits for servers that limit their rate; nil: no server does.
	Limits Limits
	Log    zerolog.Logger
}

// Limits has the permits for servers that limit their rate; *ratelimits.Limiter implements it.
type Limits interface {
	ratelimit.Permits
	// Ask asks for permits for a server. Check tells the outcome.
	Ask(ctx context.Context, run instance.Incarnation)
}

// maxAsks is for how many servers a request asks for permits before it does with those at hand.
const maxAsks = 3

// Balancer is safe for concurrent use. Its lock is always released by defer: whoever calls it
// recovers a panic, and a lock that stays held would have every later request wait for ever.
type Balancer struct {
	cfg Config

	mu      sync.Mutex
	reg     *instance.Registry
	core    *balance.Core
	retries *retry.Window
	swept   time.Time
	// unreadable are runs whose cooldowns can't be read, each logged once.
	unreadable telemetry.Firsts[instance.Incarnation]
}

var (
	_ relay.Balancer = (*Balancer)(nil)
	_ relay.Retries  = (*Balancer)(nil)
)

// New makes a balancer that knows no server.
func New(cfg Config) *Balancer {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(cfg.Host))
	reg := instance.New(cfg.Instances)
	rng := rand.New(rand.NewPCG(seed.Sum64(), 0))
	return &Balancer{
		cfg: cfg, reg: reg, core: balance.New(balance.Config{Zone: cfg.Zone, Permits: permitsOf(cfg.Limits)}, reg, rng),
		retries: retry.NewWindow(cfg.Retry),
	}
}

// permitsOf keeps an absent Limits absent.
func permitsOf(l Limits) ratelimit.Permits {
	if l == nil {
		return nil
	}
	return l
}

// Announce takes what a backend server says of itself to this host. An announcement that
// names no server to use is an error and changes nothing.
func (b *Balancer) Announce(a instance.Announcement) error {
	if err := a.Check(); err != nil {
		return errkind.New(errkind.BadRequest, "the announcement names no server: %v", err)
	}
	b.hear(a.ID, func(now time.Time) bool { return b.reg.Announce(now, a) })
	return nil
}

// End takes that a run of a backend server ends.
func (b *Balancer) End(run instance.Incarnation) error {
	if err := instance.CheckID(run.ID); err != nil {
		return errkind.New(errkind.BadRequest, "no server: %v", err)
	}
	b.hear(run.ID, func(now time.Time) bool { return b.reg.End(now, run) })
	return nil
}

// EndKnown takes that a backend server ends, in the run that this host knows.
func (b *Balancer) EndKnown(id string) error {
	if err := instance.CheckID(id); err != nil {
		return errkind.New(errkind.BadRequest, "no server: %v", err)
	}
	b.hear(id, func(now time.Time) bool { return b.reg.EndKnown(now, id) })
	return nil
}

// Drain takes that a run of a backend server takes no new requests, which it said in an answer.
func (b *Balancer) Drain(run instance.Incarnation) {
	b.hear(run.ID, func(time.Time) bool { return b.reg.Drain(run) })
}

// hear has the registry take word of a server that came to this host. The peers are told
// if it is news.
func (b *Balancer) hear(id string, take func(now time.Time) bool) {
	if state, news := b.take(id, take); news {
		b.changed(state)
	}
}

func (b *Balancer) take(id string, take func(now time.Time) bool) (state *pb.ServerState, news bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	news = take(now)
	state = b.reg.State(now, id)
	b.sweep(now)
	return state, news
}

func (b *Balancer) changed(st *pb.ServerState) {
	b.logHeard(st, "server")
	b.cfg.Changed(st)
}

// logHeard writes a line for news of a server. from says who told: it or a peer.
func (b *Balancer) logHeard(st *pb.ServerState, from string) {
	b.cfg.Log.Info().Str("event", "server-heard").Str("server", st.GetId()).Uint64("incarnation", st.GetIncarnation()).Strs("service", st.GetServices()).
		Str("address", st.GetAddress()).Bool("draining", st.GetLeaving()).Bool("gone", st.GetGone()).
		Str("from", from).Int64("age_ms", st.GetAgeMs()).Send()
}

// sweep drops forgotten instances now and then; b.mu is held.
func (b *Balancer) sweep(now time.Time) {
	if now.Sub(b.swept) >= sweepEvery {
		b.swept = now
		b.reg.Expire(now)
		b.core.Expire()
		b.unreadable.Forget()
	}
}

// Acquire implements relay.Balancer.
func (b *Balancer) Acquire(ctx context.Context, w *balance.Work) (relay.Lease, error) {
	in := *w
	for asked := 0; ; asked++ {
		in.PermitsAtHand = asked == maxAsks
		l, err := b.choose(&in)
		need, ok := err.(*balance.PermitNeeded)
		if !ok {
			return l, err
		}
		b.cfg.Limits.Ask(ctx, need.Run)
	}
}

func (b *Balancer) choose(w *balance.Work) (relay.Lease, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	choice, err := b.core.Choose(time.Now(), w)
	if err != nil {
		return nil, err
	}
	return &lease{b: b, choice: choice}, nil
}

// CountRequest implements relay.Retries.
func (b *Balancer) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.First(time.Now(), service)
}

// Allow implements relay.Retries.
func (b *Balancer) Allow(service string) bool {
	hosts := b.cfg.Hosts()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retries.Allow(time.Now(), service, hosts)
}

// Running is the number of requests at backend servers.
func (b *Balancer) Running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Running()
}

// Servers implements members.Registry.
func (b *Balancer) Servers() []*pb.ServerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reg.Snapshot(time.Now())
}

// Merge implements members.Registry. A state that names no server is passed over; the
// others hold.
func (b *Balancer) Merge(servers []*pb.ServerState, transit time.Duration) {
	news, untold := b.merge(servers, transit)
	for _, st := range news {
		b.logHeard(st, "peer")
	}
	for _, st := range untold {
		b.changed(st)
	}
}

// merge returns the states that are news here. Of those that are untold no peer knows that
// they ended: this host heard so before it knew the run.
func (b *Balancer) merge(servers []*pb.ServerState, transit time.Duration) (news, untold []*pb.ServerState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, st := range servers {
		changed, err := b.reg.Merge(now, transit, st)
		if err != nil {
			b.cfg.Log.Debug().Str("event", "server-state-refused").Str("server", st.GetId()).Err(err).Send()
		}
		if !changed {
			continue
		}
		state := b.reg.State(now, st.GetId())
		if state.GetGone() && !st.GetGone() {
			untold = append(untold, state)
		} else {
			news = append(news, state)
		}
	}
	return news, untold
}

// RecentWork implements members.Registry. There is nothing to tell: the owner of a shard
// of servers places all requests for them.
func (b *Balancer) RecentWork() []*pb.RecentWork { return nil }

// MergeWork implements members.Registry.
func (b *Balancer) MergeWork(*pb.Holder, []*pb.RecentWork) {}

// ShardOf is the shard of a service's servers in which w belongs.
func (b *Balancer) ShardOf(w *balance.Work) balance.Shard {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.ShardOf(w)
}

// Serves tells whether any instance of a service is known.
func (b *Balancer) Serves(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.reg.Serving(service)) > 0
}

// Touched takes the prompt parts that were sent to instances since the last call.
func (b *Balancer) Touched() []balance.Known {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Touched()
}

// Knowledge is what this host knows of the caches of a service's instances in a shard.
func (b *Balancer) Knowledge(service string, in balance.Shard) []balance.Known {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Knowledge(service, in)
}

// Learn takes what another host knows of instances' caches.
func (b *Balancer) Learn(known []balance.Known) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Learn(known)
}

// ShardOfServer is the service of a run of a server and the shard that it is in.
func (b *Balancer) ShardOfServer(run instance.Incarnation) (service string, in balance.Shard, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.ShardOfServer(run)
}

// CoolDown takes that a server wants nothing from this host for so long, by its answer to a request.
func (b *Balancer) CoolDown(run instance.Incarnation, d time.Duration, requestID string) {
	if b.cooldown(run, d) {
		b.cfg.Log.Info().Str("event", "server-cooldown").Str("server", run.ID).Uint64("incarnation", run.Started).
			Dur("cooldown", d).Str("request", requestID).Send()
	}
}

func (b *Balancer) cooldown(run instance.Incarnation, d time.Duration) (began bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.CoolDown(time.Now(), run, d)
}

// CoolDownElsewhere takes that a server wants nothing for so long from a host whose requests this one
// places.
func (b *Balancer) CoolDownElsewhere(run instance.Incarnation, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.CoolDownElsewhere(time.Now(), run, d)
}

// Cooling are the servers of a service that want nothing from this host; see balance.Core.
func (b *Balancer) Cooling(service string) (runs []instance.Incarnation, first time.Duration, all bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Cooling(time.Now(), service)
}

// CooldownUnreadable takes that a server asked for a cooldown in a way that can't be read. What it asked
// for before holds.
func (b *Balancer) CooldownUnreadable(run instance.Incarnation, requestID string) {
	if b.unreadable.First(run) {
		b.cfg.Log.Warn().Str("event", "server-cooldown-unreadable").Str("server", run.ID).Uint64("incarnation", run.Started).
			Str("request", requestID).Send()
	}
}

// CooldownLeft is how much longer a server wants nothing from this host.
func (b *Balancer) CooldownLeft(run instance.Incarnation) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.CooldownLeft(time.Now(), run)
}

// Usable tells whether a run of a server may get requests, as far as this host knows it.
func (b *Balancer) Usable(run instance.Incarnation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i, known := b.reg.Get(run.ID)
	if !known || i.Started < run.Started {
		return true
	}
	return i.Started == run.Started && i.Usable() && b.core.CooldownLeft(time.Now(), run) == 0
}

// lease implements relay.Lease.
type lease struct {
	b      *Balancer
	choice balance.Choice
	// first: First was called; b.mu guards it, as reports of another host on one attempt may
	// come twice at the same time.
	first bool
}

// Choice implements relay.Lease.
func (l *lease) Choice() balance.Choice { return l.choice }

// FirstByte implements relay.Lease; only the first call counts.
func (l *lease) FirstByte() {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	if l.first {
		return
	}
	l.first = true
	l.b.core.First(time.Now(), l.choice.Ticket)
}

// Report implements relay.Lease.
func (l *lease) Report(load balance.Load) {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	l.b.core.Report(time.Now(), l.choice.Instance.Incarnation(), load)
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

// WrongInstance implements relay.Lease. Only the run that was asked for has lost its address.
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

func (l *lease) done(r balance.Result) balance.Standing {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	return l.b.core.Done(time.Now(), l.choice.Ticket, r)
}
