// Package assign finds the server for each attempt of a routed request by asking the
// owner of its shard.
//
// The choice needs to know what waits at each engine and what each keeps in its cache. A
// host that knows only its own requests knows little of that in a large fleet: of 58
// hosts each sends one request in twenty seconds to one of 60 engines. Telling all hosts
// of all requests costs more than the requests. So the servers of a service are divided
// into shards, and one host, the owner of a shard, places all requests for its servers. A
// request costs one call of some milliseconds before, and one after it.
//
// An owner that gives no answer is passed over; this host then chooses by itself, by what
// it knows. Plain services, whose requests take about as long as the call, are always
// served so.
package assign

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/outbox"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

const (
	// callTimeout bounds one call for a place. It takes a few milliseconds; a host that
	// has used up its processor time pauses for up to 80 ms.
	callTimeout = 150 * time.Millisecond
	// reportTimeout bounds one call that reports how attempts went.
	reportTimeout = 500 * time.Millisecond
	// reportWait is how long a report waits for others to go with it. What is reported
	// later than an engine reads a short prompt, in 30 ms, tells nothing of its queue.
	reportWait = 15 * time.Millisecond
	// reportUse is how long a report is worth sending.
	reportUse = 3 * time.Second
	// lifetimeMargin is what an assignment outlives its attempt's deadline by: its end
	// is reported in that time, or its host was lost.
	lifetimeMargin = 2 * time.Second
	// maxStale is how often an owner is asked again that names a server which this host
	// knows to leave.
	maxStale = 2
	// maxShards is how many shards are asked for a place before a request is refused.
	maxShards = 3
)

// Local chooses among the servers that this host knows; *balancer.Balancer implements it.
type Local interface {
	relay.Balancer
	ShardOf(w *balance.Work) balance.Shard
	Usable(run instance.Incarnation) bool
	CoolDown(run instance.Incarnation, d time.Duration, requestID string)
	CooldownUnreadable(run instance.Incarnation, requestID string)
	CooldownLeft(run instance.Incarnation) time.Duration
	CoolDownElsewhere(run instance.Incarnation, d time.Duration)
	Cooling(service string) (runs []instance.Incarnation, first time.Duration, all bool)
	End(run instance.Incarnation) error
	Drain(run instance.Incarnation)
	Touched() []balance.CachedParts
	Knowledge(service string, in balance.Shard) []balance.CachedParts
	Learn([]balance.CachedParts)
	ShardOfServer(run instance.Incarnation) (service string, in balance.Shard, ok bool)
}

// Owners finds the owners of shards; *owners.Table implements it.
type Owners interface {
	Of(key string, n int) []owners.Host
	Unanswered(host string)
	Answered(host string)
}

// Config of an Assigner.
type Config struct {
	// Run names this run of the host; no other run has the same.
	Run    string
	Self   func() *pb.Holder
	Local  Local
	Owners Owners
	Client func(address string) pb.PeerClient
	Log    zerolog.Logger
}

// Assigner implements relay.Balancer. It is safe for concurrent use.
type Assigner struct {
	cfg     Config
	attempt atomic.Uint64

	mu sync.Mutex
	// reports on attempts that other hosts have assigned.
	reports *outbox.Outbox[*pb.RunReport]
	// due wakes Run: there is something to report.
	due chan struct{}
	// assigned are the attempts of other hosts at servers of this host's shards.
	assigned map[attemptKey]assignment
	// untold are shards of which a message was not answered.
	untold []shardKey
	sends  sync.WaitGroup

	// shares belong to Run.
	shares map[shardKey]*shared
}

var _ relay.Balancer = (*Assigner)(nil)

// New makes an assigner; Run must be called for reports to be sent.
func New(cfg Config) *Assigner {
	return &Assigner{
		cfg: cfg, reports: outbox.New[*pb.RunReport](), due: make(chan struct{}, 1),
		assigned: make(map[attemptKey]assignment), shares: make(map[shardKey]*shared),
	}
}

// Acquire implements relay.Balancer.
func (a *Assigner) Acquire(ctx context.Context, w *balance.Work) (relay.Lease, error) {
	if !w.Engine {
		return a.cfg.Local.Acquire(ctx, w)
	}
	in := *w
	in.Shard = a.cfg.Local.ShardOf(w)
	var err error
	for range min(maxShards, max(in.Shard.Of, 1)) {
		var l relay.Lease
		if l, err = a.acquireIn(ctx, &in); err == nil || !errkind.Is(err, errkind.NoBackendServer) {
			return l, err
		}
		in.Shard = in.Shard.Next()
	}
	return nil, a.untilCooled(err, w.Service)
}

// untilCooled is a refusal by the owners of shards, who do not know how long servers want nothing
// from this host.
func (a *Assigner) untilCooled(err error, service string) error {
	cooling, first, all := a.cfg.Local.Cooling(service)
	refusal, ok := err.(*errkind.Error)
	if !ok || len(cooling) == 0 {
		return err
	}
	if all || first < refusal.RetryAfter {
		return refusal.After(first + rand.N(min(first, balance.ReturnSpread)))
	}
	return err
}

// acquireIn finds a place in one shard.
func (a *Assigner) acquireIn(ctx context.Context, w *balance.Work) (relay.Lease, error) {
	hosts := a.cfg.Owners.Of(Key(w.Service, w.Shard), 1)
	if len(hosts) == 0 || hosts[0].Self() {
		return a.cfg.Local.Acquire(ctx, w)
	}
	in := *w
	in.Exclude = a.withCooling(w)
	for stale := range maxStale {
		l, err := a.ask(ctx, hosts[0], &in)
		if stale > 0 && errkind.Is(err, errkind.NoBackendServer) {
			break // the owner knows less than this host
		}
		if err != nil {
			return a.withoutOwner(ctx, w, hosts[0], err)
		}
		if a.cfg.Local.Usable(l.choice.Instance.Incarnation()) {
			return l, nil
		}
		l.Done(balance.Abandoned)
		in.Exclude = append(in.Exclude[:len(in.Exclude):len(in.Exclude)], l.choice.Instance.Incarnation())
	}
	return a.cfg.Local.Acquire(ctx, w)
}

// withCooling are the servers that must not get w: those that had it, and those that want nothing
// from this host, which the owner does not know of.
func (a *Assigner) withCooling(w *balance.Work) []instance.Incarnation {
	cooling, _, _ := a.cfg.Local.Cooling(w.Service)
	return append(slices.Clip(w.Exclude), cooling...)
}

// withoutOwner takes an owner's refusal, or goes on without an owner that gave no answer.
func (a *Assigner) withoutOwner(ctx context.Context, w *balance.Work, h owners.Host, err error) (relay.Lease, error) {
	if refusal, ok := err.(*errkind.Error); ok {
		return nil, refusal
	}
	if ctx.Err() != nil {
		return nil, errkind.New(errkind.DeadlineExceeded, "no server was found in time").WithRan(errkind.RanNo)
	}
	a.cfg.Owners.Unanswered(h.Name)
	a.cfg.Log.Warn().Str("event", "shard-owner-unanswered").Str("owner", h.Name).Str("service", w.Service).
		Uint32("shard", w.Shard.Index).Err(err).Send()
	return a.cfg.Local.Acquire(ctx, w)
}

// ask asks an owner for a place. An error that is no *errkind.Error is a missing answer.
func (a *Assigner) ask(ctx context.Context, h owners.Host, w *balance.Work) (*remoteLease, error) {
	l := &remoteLease{a: a, owner: h, attempt: a.attempt.Add(1)}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := a.cfg.Client(h.Address).Assign(callCtx, a.request(ctx, l.attempt, w))
	if err != nil {
		l.Done(balance.Abandoned) // it may have been assigned
		return nil, err
	}
	a.cfg.Owners.Answered(h.Name)
	if err := wire.DecodeError(reply.GetError()); err != nil {
		return nil, err
	}
	l.choice = balance.Choice{
		Instance: instance.Announcement{ID: reply.GetServer(), Started: reply.GetIncarnation(), Address: reply.GetAddress()},
		Wait:     time.Duration(reply.GetWaitUs()) * time.Microsecond, Cached: reply.GetCached(), Shared: balance.SharedTokens(w.Prompt),
		PreferredWait: time.Duration(reply.GetHomeWaitUs()) * time.Microsecond, Running: int(reply.GetRunning()),
	}
	l.choice.CooldownLeft = a.cfg.Local.CooldownLeft(l.choice.Instance.Incarnation())
	return l, nil
}

func (a *Assigner) request(ctx context.Context, attempt uint64, w *balance.Work) *pb.AssignRequest {
	lifetime := lifetimeMargin
	if deadline, ok := ctx.Deadline(); ok {
		lifetime += time.Until(deadline)
	}
	return &pb.AssignRequest{
		Run: a.cfg.Run, Attempt: attempt, Service: w.Service, Shard: w.Shard.Index, Shards: w.Shard.Of, Engine: w.Engine,
		PromptTokens: w.PromptTokens, CacheTokens: w.CacheTokens, ObjectiveMs: w.Objective.Milliseconds(),
		Exclude: encodeRuns(w.Exclude), LifetimeMs: lifetime.Milliseconds(), Prompt: encodeParts(w.Prompt),
	}
}

func encodeRuns(runs []instance.Incarnation) []*pb.ServerRun {
	out := make([]*pb.ServerRun, 0, len(runs))
	for _, run := range runs {
		out = append(out, &pb.ServerRun{Id: run.ID, Incarnation: run.Started})
	}
	return out
}

func decodeRuns(runs []*pb.ServerRun) []instance.Incarnation {
	out := make([]instance.Incarnation, 0, len(runs))
	for _, run := range runs {
		out = append(out, instance.Incarnation{ID: run.GetId(), Started: run.GetIncarnation()})
	}
	return out
}
