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
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/retry"
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
	Log     zerolog.Logger
}

// Balancer is safe for concurrent use. Its lock is always released by defer: whoever calls it
// recovers a panic, and a lock that stays held would have every later request wait for ever.
type Balancer struct {
	cfg Config

	mu      sync.Mutex
	reg     *instance.Registry
	core    *balance.Core
	retries *retry.Window
	swept   time.Time
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
		cfg: cfg, reg: reg, core: balance.New(balance.Config{Zone: cfg.Zone}, reg, rng),
		retries: retry.NewWindow(cfg.Retry),
	}
}

// Announce takes what a backend server says of itself to this host.
func (b *Balancer) Announce(a instance.Announcement) {
	if state, changed := b.announce(a); changed {
		b.changed(state)
	}
}

func (b *Balancer) announce(a instance.Announcement) (state *pb.ServerState, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	changed = b.reg.Announce(now, a)
	state = b.reg.State(now, a.ID)
	b.sweep(now)
	return state, changed
}

// End takes that a backend server ends.
func (b *Balancer) End(id string) {
	if state, changed := b.end(id); changed {
		b.changed(state)
	}
}

func (b *Balancer) end(id string) (state *pb.ServerState, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	changed = b.reg.End(now, id)
	return b.reg.State(now, id), changed
}

func (b *Balancer) changed(st *pb.ServerState) {
	b.logHeard(st, "server")
	b.cfg.Changed(st)
}

// logHeard writes a line for news of a server. from says who told: it or a peer.
func (b *Balancer) logHeard(st *pb.ServerState, from string) {
	b.cfg.Log.Info().Str("event", "server-heard").Str("server", st.GetId()).Strs("service", st.GetServices()).
		Str("address", st.GetAddress()).Bool("draining", st.GetLeaving()).Bool("gone", st.GetGone()).
		Str("from", from).Int64("age_ms", st.GetAgeMs()).Send()
}

// sweep drops forgotten instances now and then; b.mu is held.
func (b *Balancer) sweep(now time.Time) {
	if now.Sub(b.swept) >= sweepEvery {
		b.swept = now
		b.reg.Expire(now)
	}
}

// Acquire implements relay.Balancer.
func (b *Balancer) Acquire(_ context.Context, w *balance.Work) (relay.Lease, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	choice, err := b.core.Choose(time.Now(), w)
	if err != nil {
		return nil, err
	}
	return &lease{b: b, choice: choice}, nil
}

// First implements relay.Retries.
func (b *Balancer) First(service string) {
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

// Merge implements members.Registry.
func (b *Balancer) Merge(servers []*pb.ServerState, transit time.Duration) {
	for _, st := range b.merge(servers, transit) {
		b.logHeard(st, "peer")
	}
}

// merge returns the states that are news here.
func (b *Balancer) merge(servers []*pb.ServerState, transit time.Duration) []*pb.ServerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var news []*pb.ServerState
	for _, st := range servers {
		if b.reg.Merge(now, transit, st) {
			news = append(news, b.reg.State(now, st.GetId()))
		}
	}
	return news
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

// ShardOfServer is the service of an instance and the shard that it is in.
func (b *Balancer) ShardOfServer(id string) (service string, in balance.Shard, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.ShardOfServer(id)
}

// Usable tells whether an instance may get requests, as far as this host knows it.
func (b *Balancer) Usable(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i, known := b.reg.Get(id)
	return !known || i.Usable()
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

// First implements relay.Lease; only the first call counts.
func (l *lease) First() {
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
	l.b.core.Report(time.Now(), l.choice.Instance.ID, load)
}

// Wrong implements relay.Lease.
func (l *lease) Wrong() { l.b.End(l.choice.Instance.ID) }

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
