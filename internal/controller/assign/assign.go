// Package assign chooses the server for each attempt of a routed request by asking the
// owner of its shard.
//
// The choice depends on the queue and the cache of each engine. A host that knows only
// its own requests knows little of either in a large fleet: each of 58 hosts sends one
// request in 20 s to each of 60 engines. Broadcasting every request to all hosts costs
// more than the requests themselves. The servers of a service are therefore divided into
// shards, and one host, the owner of the shard, assigns all requests for its servers.
// This costs one call of a few milliseconds before each request and one after it.
//
// If an owner does not answer, this host skips it and chooses a server itself from what
// it knows. It also does so for plain services, whose requests take about as long as
// the call, unless their slots are divided and they have less room than their callers want.
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
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/outbox"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/telemetry"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

const (
	// callTimeout bounds one Assign call. The call takes a few milliseconds; a host that
	// has used up its CPU quota is paused for up to 80 ms.
	callTimeout = 150 * time.Millisecond
	// reportTimeout bounds one call that reports the results of attempts.
	reportTimeout = 500 * time.Millisecond
	// reportDelay is how long a report waits for others to be sent with it. An engine prefills
	// a short prompt in 30 ms; a later report no longer describes its queue.
	reportDelay = 15 * time.Millisecond
	// reportLifetime is how long a report is worth sending.
	reportLifetime = 3 * time.Second
	// lifetimeMargin is how long an assignment is kept after its attempt's deadline. An
	// attempt whose end was not reported by then belongs to a host that has failed.
	lifetimeMargin = 2 * time.Second
	// maxOwnerAsks is how often an owner is asked in all if it chooses servers that this
	// host knows to be unusable.
	maxOwnerAsks = 2
	// maxShards is how many shards are tried before a request is rejected.
	maxShards = 3
)

// Local chooses among the servers that this host knows; *balancer.Balancer implements it.
type Local interface {
	relay.Balancer
	ShardOf(w *balance.Work) balance.Shard
	Usable(inc instance.Incarnation) bool
	Allowed(w *balance.Work, inc instance.Incarnation) bool
	Version(chosen instance.Announcement) (version string, known bool)
	CoolDown(inc instance.Incarnation, d time.Duration, requestID string)
	CooldownUnreadable(inc instance.Incarnation, requestID string)
	CooldownLeft(inc instance.Incarnation) time.Duration
	CoolDownForPeer(inc instance.Incarnation, d time.Duration)
	Cooling(service string) (incarnations []instance.Incarnation, shortest time.Duration, all bool)
	End(inc instance.Incarnation) error
	Drain(inc instance.Incarnation)
	TakeCacheUpdates() []balance.CachedParts
	CacheContents(service string, in balance.Shard) []balance.CachedParts
	MergeCaches([]balance.CachedParts)
	ShardOfServer(inc instance.Incarnation) (service string, in balance.Shard, ok bool)
	// Owned reports whether requests for a plain service go through the owner of its servers.
	Owned(service string) bool
	// ReportLoad records the load of a plain server that another host assigned, ReportRefusal that no
	// server of a plain service had room.
	ReportLoad(inc instance.Incarnation, load balance.Load)
	ReportRefusal(service string)
}

// Owners finds the owners of shards; *owners.Table implements it.
type Owners interface {
	FirstRanked(key string, n int) []owners.Host
	MarkUnanswered(host string)
	MarkAnswered(host string)
}

// Config configures an Assigner.
type Config struct {
	// Incarnation identifies this incarnation of the host; it is unique.
	Incarnation string
	Self        func() *pb.Holder
	Local       Local
	Owners      Owners
	Client      func(address string) pb.PeerClient
	// Queue makes requests without room wait at the owner of their shard.
	Queue bool
	Log   zerolog.Logger
}

// Assigner implements relay.Balancer. It is safe for concurrent use.
type Assigner struct {
	cfg     Config
	attempt atomic.Uint64

	mu sync.Mutex
	// reports holds the reports to send about this host's attempts at servers that other hosts
	// assigned.
	reports *outbox.Outbox[*pb.RunReport]
	// reportDue wakes Run when there is something to report.
	reportDue chan struct{}
	// assigned holds the attempts of other hosts at servers of this host's shards.
	assigned map[attemptKey]assignment
	// waiting holds the attempts of other hosts that wait for a server.
	waiting map[attemptKey]*pending
	// full holds the newest attempts at whose end the memory of their engine was over its capacity.
	full recentAttempts
	// unacknowledged holds the shards for which a ShareParts call failed.
	unacknowledged []shardKey
	sends          sync.WaitGroup

	// shares is used by Run only.
	shares map[shardKey]*shareState

	metrics metrics
	// badHints holds the runs of hosts whose requests had fields out of range; each is logged once.
	badHints telemetry.FirstSeen[string]
}

var _ relay.Balancer = (*Assigner)(nil)

// New returns an Assigner. It sends reports only while Run runs.
func New(cfg Config) *Assigner {
	a := &Assigner{
		cfg: cfg, reports: outbox.New[*pb.RunReport](), reportDue: make(chan struct{}, 1),
		assigned: make(map[attemptKey]assignment), waiting: make(map[attemptKey]*pending), shares: make(map[shardKey]*shareState),
	}
	a.metrics.init()
	return a
}

// Acquire implements relay.Balancer.
func (a *Assigner) Acquire(ctx context.Context, w *balance.Work) (relay.Lease, error) {
	if !w.Engine {
		return a.acquirePlain(ctx, w)
	}
	return a.acquireFromOwners(ctx, w)
}

// acquireFromOwners asks the owners of the service's shards one after the other.
func (a *Assigner) acquireFromOwners(ctx context.Context, w *balance.Work) (relay.Lease, error) {
	in := *w
	in.Shard = a.cfg.Local.ShardOf(w)
	latest := time.Now().Add(w.MaxWait)
	var err, noRoom error
	for range min(maxShards, max(in.Shard.Of, 1)) {
		var l relay.Lease
		l, err = a.acquireInShard(ctx, &in)
		full := a.cfg.Queue && errkind.Is(err, errkind.Overloaded)
		if err == nil || !full && !errkind.Is(err, errkind.NoBackendServer) {
			return l, err
		}
		in.Shard, in.MaxWait = in.Shard.Next(), max(time.Until(latest), 0)
		if full && noRoom == nil {
			noRoom = err
		}
		if noRoom != nil {
			in.MaxWait = 0 // it has waited once; another shard may have room now
		}
	}
	if w.Restricted() {
		// The few servers that may get it may all be in other shards.
		in.Shard, in.MaxWait = balance.Shard{}, 0
		if l, localErr := a.cfg.Local.Acquire(ctx, &in); localErr == nil {
			return l, nil
		}
	}
	if noRoom != nil {
		return nil, noRoom
	}
	return nil, a.withCooldownRetryAfter(err, w.Service)
}

// withCooldownRetryAfter adapts the Retry-After of a refusal by shard owners to the cooldowns at this
// host, which the owners do not know.
func (a *Assigner) withCooldownRetryAfter(err error, service string) error {
	cooling, shortest, all := a.cfg.Local.Cooling(service)
	refusal, ok := err.(*errkind.Error)
	if !ok || len(cooling) == 0 {
		return err
	}
	if all || shortest < refusal.RetryAfter {
		return refusal.After(shortest + rand.N(min(shortest, balance.ReturnSpread)))
	}
	return err
}

// acquireInShard acquires a server of one shard.
func (a *Assigner) acquireInShard(ctx context.Context, w *balance.Work) (relay.Lease, error) {
	if a.cfg.Queue {
		return a.awaitInShard(ctx, w)
	}
	hosts := a.cfg.Owners.FirstRanked(Key(w.Service, w.Shard), 1)
	if len(hosts) == 0 || hosts[0].Self() {
		return a.cfg.Local.Acquire(ctx, w)
	}
	in := *w
	in.Exclude = a.excludedServers(w)
	for asked := range maxOwnerAsks {
		l, err := a.askOwner(ctx, hosts[0], &in)
		if asked > 0 && errkind.Is(err, errkind.NoBackendServer) {
			break // this host may know servers that the owner does not know
		}
		if err != nil {
			return a.acquireWithoutOwner(ctx, w, hosts[0], err)
		}
		inc := l.choice.Instance.Incarnation()
		if a.cfg.Local.Usable(inc) && a.cfg.Local.Allowed(w, inc) {
			return l, nil
		}
		l.Done(balance.Abandoned)
		in.Exclude = append(in.Exclude[:len(in.Exclude):len(in.Exclude)], inc)
	}
	return a.acquireAlone(ctx, w)
}

// excludedServers returns the servers that must not get w: those that had it already, and those that
// are cooling down for this host, of which the owner does not know.
func (a *Assigner) excludedServers(w *balance.Work) []instance.Incarnation {
	cooling, _, _ := a.cfg.Local.Cooling(w.Service)
	return append(slices.Clip(w.Exclude), cooling...)
}

// acquireWithoutOwner returns the owner's refusal if err is one. If the owner did not answer, it
// chooses among the servers that this host knows.
func (a *Assigner) acquireWithoutOwner(ctx context.Context, w *balance.Work, h owners.Host, err error) (relay.Lease, error) {
	if refusal, ok := err.(*errkind.Error); ok {
		return nil, refusal
	}
	if err := a.ownerUnanswered(ctx, w, h, err); err != nil {
		return nil, err
	}
	return a.acquireAlone(ctx, w)
}

// ownerUnanswered records that an owner did not answer. It returns an error if the request has ended.
func (a *Assigner) ownerUnanswered(ctx context.Context, w *balance.Work, h owners.Host, err error) error {
	if ctx.Err() != nil {
		return filter.ContextError(ctx).WithRan(errkind.RanNo)
	}
	a.cfg.Owners.MarkUnanswered(h.Name)
	a.metrics.ownersUnanswered.Add(1)
	a.cfg.Log.Warn().Str("event", "shard-owner-unanswered").Str("owner", h.Name).Str("service", w.Service).
		Uint32("shard", w.Shard.Index).Err(err).Send()
	return nil
}

// nextOwner returns the first host in rank for w's shard that is not among those that did not answer; ok is
// false if it is this host, or there is none.
func (a *Assigner) nextOwner(w *balance.Work, unanswered map[string]bool) (h owners.Host, ok bool) {
	for _, h := range a.cfg.Owners.FirstRanked(Key(w.Service, w.Shard), maxOwners) {
		if !unanswered[h.Name] {
			return h, !h.Self()
		}
	}
	return owners.Host{}, false
}

// askOwner asks an owner to assign a server. Any error other than an *errkind.Error means that the
// owner did not answer.
func (a *Assigner) askOwner(ctx context.Context, h owners.Host, w *balance.Work) (*remoteLease, error) {
	l := &remoteLease{a: a, owner: h, attempt: a.attempt.Add(1), plain: !w.Engine}
	reply, err := a.askUntilDecided(ctx, h, a.request(ctx, l.attempt, w))
	if err != nil {
		l.Done(balance.Abandoned) // the owner may have assigned a server, or keeps a place for the request
		return nil, err
	}
	if err := wire.DecodeError(reply.GetError()); err != nil {
		return nil, err
	}
	l.choice = balance.Choice{
		Instance: instance.Announcement{ID: reply.GetServer(), Started: reply.GetIncarnation(), Address: reply.GetAddress(), Version: reply.GetVersion()},
		Wait:     time.Duration(reply.GetWaitUs()) * time.Microsecond, Cached: reply.GetCached(), Shared: balance.SharedTokens(w.Prompt),
		PreferredWait: time.Duration(reply.GetHomeWaitUs()) * time.Microsecond, Running: int(reply.GetRunning()),
		Waited: time.Duration(reply.GetWaitedUs()) * time.Microsecond, Ahead: int(reply.GetAhead()),
		MemoryPermille: reply.GetMemoryPermille(),
	}
	if a.cfg.Queue {
		l.choice.Owner = h.Name
	}
	l.choice.CooldownLeft = a.cfg.Local.CooldownLeft(l.choice.Instance.Incarnation())
	return l, nil
}

// askUntilDecided asks an owner again under the same attempt as long as the request waits there. Between two
// calls the request keeps its place.
func (a *Assigner) askUntilDecided(ctx context.Context, h owners.Host, req *pb.AssignRequest) (*pb.AssignReply, error) {
	latest := time.Now().Add(time.Duration(req.GetWaitMs()) * time.Millisecond)
	for {
		reply, err := a.askOnce(ctx, h, req)
		if err != nil {
			return nil, err
		}
		a.cfg.Owners.MarkAnswered(h.Name)
		if !reply.GetQueued() {
			return reply, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		left := time.Until(latest)
		if left < -holdTime {
			return nil, errkind.New(errkind.Overloaded, "no backend server of %s had room for the request in time", req.GetService()).After(callTimeout)
		}
		req.WaitMs = max(left, 0).Milliseconds()
	}
}

func (a *Assigner) askOnce(ctx context.Context, h owners.Host, req *pb.AssignRequest) (*pb.AssignReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return a.cfg.Client(h.Address).Assign(ctx, req)
}

func (a *Assigner) request(ctx context.Context, attempt uint64, w *balance.Work) *pb.AssignRequest {
	lifetime := lifetimeMargin
	if deadline, ok := ctx.Deadline(); ok {
		lifetime += time.Until(deadline)
	}
	hold, outputCap := time.Duration(0), uint64(0)
	if a.cfg.Queue {
		hold, outputCap = holdTime, w.OutputCap
	}
	return &pb.AssignRequest{
		Run: a.cfg.Incarnation, Attempt: attempt, Service: w.Service, Shard: w.Shard.Index, Shards: w.Shard.Of, Engine: w.Engine,
		PromptTokens: w.PromptTokens, CacheTokens: w.CacheTokens, ObjectiveMs: w.Objective.Milliseconds(),
		Exclude: encodeIncarnations(w.Exclude), LifetimeMs: lifetime.Milliseconds(), Prompt: encodeParts(w.Prompt),
		Regions: w.Regions, Versions: w.Versions, Account: w.Account, Weight: w.Weight, Rank: uint32(max(w.Rank, 0)),
		OutputTokens: w.OutputTokens, OutputCap: outputCap, WaitMs: w.MaxWait.Milliseconds(), HoldMs: hold.Milliseconds(),
	}
}

func encodeIncarnations(incarnations []instance.Incarnation) []*pb.ServerRun {
	out := make([]*pb.ServerRun, 0, len(incarnations))
	for _, inc := range incarnations {
		out = append(out, &pb.ServerRun{Id: inc.ID, Incarnation: inc.Started})
	}
	return out
}

func decodeIncarnations(incarnations []*pb.ServerRun) []instance.Incarnation {
	out := make([]instance.Incarnation, 0, len(incarnations))
	for _, inc := range incarnations {
		out = append(out, instance.Incarnation{ID: inc.GetId(), Started: inc.GetIncarnation()})
	}
	return out
}
