// Package scheduler binds the registry of backend servers, the scheduling core and
// the retry allowances to a host's clock and goroutines. It implements
// filter.Scheduler and filter.Retries.
package scheduler

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/backend"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
	"github.com/bluebellsail/bluebellsail/internal/retry"
	"github.com/bluebellsail/bluebellsail/internal/sched"
	"github.com/bluebellsail/bluebellsail/internal/settings"
	"github.com/bluebellsail/bluebellsail/internal/telemetry"
)

// expireEvery is the minimum time between two removals of servers without a recent announcement.
// Announcements trigger them.
const expireEvery = 10 * time.Second

// Options configures a Scheduler.
type Options struct {
	Sched   sched.Config
	Backend backend.Config
	// Now is the clock; default time.Now.
	Now func() time.Time
	// Seed of the random choice of servers to compare; it should differ between hosts.
	Seed int64
	// Metrics of the process; if nil, they are counted but not published.
	Metrics *telemetry.Metrics
	// Limits provides the permits for rate-limited servers; nil if no server is limited.
	Limits Limits
	Log    zerolog.Logger
}

// Limits holds the rate limits of servers; *ratelimits.Limiter implements it.
type Limits interface {
	ratelimit.Permits
	// RequestPermits requests permits for a server. Check returns the outcome.
	RequestPermits(ctx context.Context, inc instance.Incarnation)
	// Observe records the rate limit observed in an answer of a server, RecordUnreadable that the
	// limit could not be parsed.
	Observe(inc instance.Incarnation, obs ratelimit.Observation, requestID string)
	RecordUnreadable(inc instance.Incarnation, requestID string)
}

// Scheduler is safe for concurrent use. It must be closed when the host shuts down.
type Scheduler struct {
	now     func() time.Time
	metrics Metrics
	process *telemetry.Metrics
	limits  Limits
	log     zerolog.Logger

	mu         sync.Mutex
	reg        *backend.Registry
	core       *sched.Core
	retries    *retry.Allowance
	waiters    map[uint64]chan sched.Result
	ticket     uint64
	timer      *time.Timer
	wakeAt     time.Time
	lastExpiry time.Time
	closed     bool
	// unreadable holds the addresses of servers whose Retry-After could not be parsed; each is
	// logged once.
	unreadable telemetry.FirstSeen[string]
}

var (
	_ filter.Scheduler = (*Scheduler)(nil)
	_ filter.Retries   = (*Scheduler)(nil)
)

// New returns a Scheduler without servers.
func New(o Options) *Scheduler {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Limits != nil {
		o.Sched.Permits = o.Limits
	}
	if o.Metrics == nil {
		o.Metrics = telemetry.NewMetrics()
	}
	reg := backend.New(o.Backend)
	return &Scheduler{
		now:     o.Now,
		process: o.Metrics,
		limits:  o.Limits,
		log:     o.Log,
		reg:     reg,
		core:    sched.New(o.Sched, reg, rand.New(rand.NewSource(o.Seed))),
		retries: retry.NewAllowance(),
		waiters: make(map[uint64]chan sched.Result),
	}
}

// Close rejects all waiting requests and later ones.
func (s *Scheduler) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.timer != nil {
		s.timer.Stop()
	}
	for ticket, ch := range s.waiters {
		s.core.Cancel(ticket)
		delete(s.waiters, ticket)
		ch <- sched.Result{Ticket: ticket, Err: errShuttingDown()}
	}
}

func errShuttingDown() error { return errkind.New(errkind.HostLeaving, "this host is shutting down") }

// Waiting returns the number of requests that wait for a free slot.
func (s *Scheduler) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Waiting()
}

// Running returns the number of leases that are not done.
func (s *Scheduler) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Running()
}

// CountRequest counts a first attempt of the team.
func (s *Scheduler) CountRequest(team string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.CountFirst(s.now(), team)
}

// Allow takes one retry from the team's allowance. It returns false if none is left.
func (s *Scheduler) Allow(team string, r settings.Retry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := s.retries.Allow(s.now(), team, r)
	if !ok {
		s.process.RetriesDenied.Add(1)
	}
	return ok
}

// Acquire implements filter.Scheduler. It returns at the latest when ctx is done or
// the request can no longer be finished before its deadline.
func (s *Scheduler) Acquire(ctx context.Context, w filter.Work) (filter.ServerLease, error) {
	ticket, ch, res, decided := s.submit(w)
	if !decided {
		select {
		case res = <-ch:
		case <-ctx.Done():
			res = s.abandon(ctx, ticket, ch)
		}
	}
	if res.Err != nil {
		s.metrics.refused(res.Err)
		return nil, res.Err
	}
	s.metrics.Granted.Add(1)
	s.process.QueueWait.Observe(res.Grant.Waited)
	return &lease{scheduler: s, ticket: ticket, server: res.Grant.State, reason: reason(res.Grant)}, nil
}

func (s *Scheduler) submit(w filter.Work) (uint64, chan sched.Result, sched.Result, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, nil, sched.Result{Err: errShuttingDown()}, true
	}
	s.ticket++
	ticket := s.ticket
	now := s.now()
	res, decided := s.core.Submit(now, workOf(ticket, w))
	if decided {
		return ticket, nil, res, true
	}
	// The buffer of one result keeps step from blocking on a waiter.
	ch := make(chan sched.Result, 1)
	s.waiters[ticket] = ch
	s.askPermits()
	s.arm(now)
	return ticket, ch, sched.Result{}, false
}

func workOf(ticket uint64, w filter.Work) sched.Work {
	kind := backend.Model
	if w.Kind == filter.WorkService {
		kind = backend.Service
	}
	return sched.Work{
		Ticket: ticket, Account: w.Account, Weight: w.Weight, Class: sched.ClassOf(w.Priority),
		Target: backend.Target{Kind: kind, Name: w.Target}, Adapter: w.Adapter,
		PromptTokens: w.PromptTokens, OutputCap: w.OutputCap, PromptHashes: w.PromptHashes,
		Deadline: w.Deadline, Exclude: w.Exclude, Prefer: w.Prefer,
	}
}

// abandon withdraws a request whose context is done. If a slot was granted at the same
// moment, it is released.
func (s *Scheduler) abandon(ctx context.Context, ticket uint64, ch chan sched.Result) sched.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, ticket)
	if !s.core.Cancel(ticket) {
		if res := <-ch; res.Grant == nil {
			return res
		}
		now := s.now()
		s.core.Release(now, ticket, sched.End{})
		s.step(now)
	}
	if ctx.Err() == context.DeadlineExceeded {
		err := errkind.New(errkind.DeadlineUnreachable, "the deadline passed while the request waited for a backend server")
		return sched.Result{Ticket: ticket, Err: err}
	}
	err := errkind.New(errkind.CallerGone, "the caller disconnected while the request waited for a backend server").WithRan(errkind.RanNo)
	return sched.Result{Ticket: ticket, Err: err}
}

// step runs the scheduling core and delivers its results; mu is held.
func (s *Scheduler) step(now time.Time) {
	for _, res := range s.core.Step(now) {
		ch := s.waiters[res.Ticket]
		delete(s.waiters, res.Ticket)
		if ch != nil {
			ch <- res
		}
	}
	s.askPermits()
	s.arm(now)
}

// arm sets the timer to the time at which the core has to run again; mu is held.
func (s *Scheduler) arm(now time.Time) {
	at := s.core.NextWake(now)
	if at.IsZero() || s.closed || at.Equal(s.wakeAt) {
		return
	}
	s.wakeAt = at
	d := max(at.Sub(now), 0)
	if s.timer == nil {
		s.timer = time.AfterFunc(d, s.wake)
		return
	}
	s.timer.Reset(d)
}

func (s *Scheduler) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeAt = time.Time{}
	if !s.closed {
		s.step(s.now())
	}
}

func reason(g *sched.Grant) string {
	return fmt.Sprintf("of %d servers compared: load %d of %d, %.0f%% of the prompt cached, waited %v, expected to end by %s",
		g.Considered, g.Load, g.State.GetSlots(), 100*g.Cached, g.Waited.Round(time.Millisecond),
		g.Finish.Format("15:04:05.000"))
}
