// Package waiting holds the requests for which no backend server has room, and decides which of them gets
// room when there is some. Requests of one shard of a service wait together: fair between client accounts by
// weight, within an account by rank and then by latest start. The package is pure: time and randomness are
// passed in, and the caller serializes the calls.
package waiting

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/fairqueue"
)

// Chooser chooses servers; *balance.Core implements it.
type Chooser interface {
	// Choose assigns a server to w. It fails with *balance.NoRoom if no server that may get w has room.
	Choose(now time.Time, w *balance.Work) (balance.Choice, error)
	// Effort returns the work of a request, as a time.
	Effort(w *balance.Work) time.Duration
	// DrainTime predicts how long the servers of a shard without room take to make room for requests of the
	// given effort; 0 if that is not known.
	DrainTime(service string, in balance.Shard, effort time.Duration) time.Duration
	// Load returns the room of the servers of a shard.
	Load(service string, in balance.Shard) balance.ShardLoad
}

// Config configures a Core; zero fields get the defaults.
type Config struct {
	// PerAccount bounds the waiting requests of a client account in a shard; default 64.
	PerAccount int
	// PerShard bounds the waiting requests of a shard; default 256.
	PerShard int
}

// Default values of Config.
const (
	DefaultPerAccount = 64
	DefaultPerShard   = 256
)

const (
	// maxPassed is the number of grants to requests of higher ranks of the same account for which a waiting
	// rank is passed over. It also bounds the grants to smaller requests for which a request is passed over
	// that fits into no server's room.
	maxPassed = 8
	// maxTries bounds the choices that fail in one step before requests that only some servers may get, and
	// those behind accounts beyond their share, are left for the next one.
	maxTries = 16
	// predictionMargin determines how much longer than predicted a request is assumed to wait, 1/predictionMargin
	// of the time: requests that come later may go before it, and servers may be lost.
	predictionMargin = 2
	// recheckEvery is how often waiting requests are decided on again without any news, since servers'
	// backoffs and cooldowns end.
	recheckEvery = 100 * time.Millisecond
	// minRetryAfter is the minimum Retry-After of a refusal, and the least range of the jitter that is
	// added to it.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter bounds the time after which a refused caller is told to return, without the jitter.
	maxRetryAfter = 10 * time.Second
	// idleRetention is how long the state of a shard without waiting requests is kept.
	idleRetention = time.Minute
)

// Outcome is what became of a request that found no room. The list is closed.
type Outcome string

// Outcomes.
const (
	// Direct: the request did not have to wait.
	Direct Outcome = "direct"
	// Waiting: it waits; a later result tells what becomes of it.
	Waiting Outcome = "waiting"
	// Granted: it got a server after it had waited.
	Granted Outcome = "granted"
	// Refused: by the predicted drain rate it could not have begun in time, or it may not wait.
	Refused Outcome = "refused"
	// Full: too many others waited, none of them worse.
	Full Outcome = "full"
	// PushedOut: too many waited, and a better one came.
	PushedOut Outcome = "pushed_out"
	// Expired: its latest start passed.
	Expired Outcome = "expired"
	// Failed: the choice of a server failed in another way, with the error of the chooser. If that is
	// something the request needs first, it keeps its place until Resume or Cancel.
	Failed Outcome = "failed"
)

// Result is the decision on a request.
type Result struct {
	// Ticket identifies the request; 0 if it did not have to wait.
	Ticket  uint64
	Outcome Outcome
	Choice  balance.Choice
	// Err is an *errkind.Error, or an error of the chooser for Failed and Direct.
	Err error
	// Waited is how long it has waited. Ahead is the number of requests that waited when it came.
	Waited time.Duration
	Ahead  int
}

// Core is the state of all waiting requests of a host.
type Core struct {
	cfg      Config
	chooser  Chooser
	rng      *rand.Rand
	queues   map[key]*queue
	requests map[uint64]*request
	ticket   uint64
}

// key identifies the servers for which requests wait.
type key struct {
	service string
	shard   balance.Shard
}

func keyOf(w *balance.Work) key { return key{w.Service, w.Shard} }

// queue holds the waiting requests of a shard.
type queue struct {
	key
	fair *fairqueue.Queue[*request]
	// nextExpiry is the earliest latest start, smallest the least size of a request since the queue was
	// last empty.
	nextExpiry time.Time
	smallest   uint64
	lastUsed   time.Time
	refused    refusals
}

// request is one waiting request.
type request struct {
	ticket  uint64
	work    balance.Work
	arrived time.Time
	latest  time.Time
	ahead   int
	queue   *queue
	entry   *fairqueue.Entry[*request]
	// restriction is a hash of the servers that may not get it; 0 if all may.
	restriction uint64
	// size is what it needs of an engine's memory; see sizeOf.
	size uint64
	// passed counts the grants to others behind it while it fitted into no server's room.
	passed int
	// suspended is set while its host obtains what the server chosen for it requires.
	suspended bool
}

// New returns a Core without waiting requests.
func New(cfg Config, chooser Chooser, rng *rand.Rand) *Core {
	defaults.Set(&cfg.PerAccount, DefaultPerAccount)
	defaults.Set(&cfg.PerShard, DefaultPerShard)
	return &Core{cfg: cfg, chooser: chooser, rng: rng, queues: make(map[key]*queue), requests: make(map[uint64]*request)}
}

// Submit decides on a new request. If others wait for the same servers, it gets its place among them first.
// It returns the results of all requests on which it decided, that of the new one first.
func (c *Core) Submit(now time.Time, w *balance.Work) (Result, []Result) {
	q := c.queue(now, keyOf(w))
	if q.fair.Len() == 0 || w.IgnoreRoom {
		if choice, err := c.chooser.Choose(now, w); !isNoRoom(err) {
			return Result{Outcome: Direct, Choice: choice, Err: err}, nil
		}
	}
	c.ticket++
	r := &request{
		ticket: c.ticket, work: *w, arrived: now, latest: now.Add(max(w.MaxWait, 0)), queue: q, ahead: q.fair.Len(),
		restriction: restriction(w), size: sizeOf(w),
	}
	r.entry = &fairqueue.Entry[*request]{
		Value: r, Account: w.Account, Weight: float64(w.Weight), Rank: max(w.Rank, 0), Cost: c.chooser.Effort(w),
	}
	c.requests[r.ticket] = r
	q.push(r)
	var out []Result
	if r.ahead > 0 {
		out = c.grant(now, q, nil)
	}
	if !r.decided(c) {
		out = c.bound(now, r, out)
	}
	return takeOwn(r, out)
}

// decided reports whether the request has got a result.
func (r *request) decided(c *Core) bool { return c.requests[r.ticket] == nil || r.suspended }

// takeOwn separates the result of a request from those of others.
func takeOwn(r *request, out []Result) (Result, []Result) {
	for i, res := range out {
		if res.Ticket == r.ticket {
			return res, append(out[:i:i], out[i+1:]...)
		}
	}
	return Result{Ticket: r.ticket, Outcome: Waiting, Ahead: r.ahead}, out
}

// Resume decides on a request that has obtained what the server chosen for it required. It has its turn
// before all others. w may differ from the request's work in what was obtained.
func (c *Core) Resume(now time.Time, ticket uint64, w *balance.Work) (Result, []Result) {
	r := c.requests[ticket]
	if r == nil {
		return c.Submit(now, w)
	}
	r.work = *w
	choice, err := c.chooser.Choose(now, &r.work)
	if isNoRoom(err) && now.Before(r.latest) {
		r.requeue()
		return Result{Ticket: ticket, Outcome: Waiting, Ahead: r.ahead}, nil
	}
	if isNoRoom(err) {
		return c.refuse(now, r, Expired), nil
	}
	if needsFirst(err) {
		return r.result(now, Failed, err), nil
	}
	r.requeue()
	return c.finish(now, r, choice, err), nil
}

// requeue puts a suspended request back into its queue.
func (r *request) requeue() {
	r.suspended = false
	r.queue.push(r)
}

// Cancel withdraws a request. It returns false if the request has had its result.
func (c *Core) Cancel(ticket uint64) bool {
	r := c.requests[ticket]
	if r == nil {
		return false
	}
	c.drop(r)
	return true
}

// drop removes a request without charging its account.
func (c *Core) drop(r *request) {
	delete(c.requests, r.ticket)
	if !r.suspended {
		r.queue.fair.Remove(r.entry)
	}
}

// Step decides on waiting requests after any news: a request has ended, or servers have changed.
func (c *Core) Step(now time.Time) []Result {
	var out []Result
	for k, q := range c.queues {
		if q.fair.Len() > 0 {
			out = c.grant(now, q, out)
		} else if now.Sub(q.lastUsed) > idleRetention {
			delete(c.queues, k)
		}
	}
	return out
}

// NextStep returns the latest time for the next call of Step; zero: not before there is news.
func (c *Core) NextStep(now time.Time) time.Time {
	var next time.Time
	for _, q := range c.queues {
		if q.fair.Len() == 0 {
			continue
		}
		if next.IsZero() {
			next = now.Add(recheckEvery)
		}
		if q.nextExpiry.Before(next) {
			next = q.nextExpiry
		}
	}
	return next
}

// Len returns the number of waiting requests.
func (c *Core) Len() int { return len(c.requests) }

func (c *Core) queue(now time.Time, k key) *queue {
	q := c.queues[k]
	if q == nil {
		q = &queue{key: k, fair: fairqueue.New(fairqueue.Config[*request]{Before: before, MaxPassed: maxPassed})}
		c.queues[k] = q
	}
	q.lastUsed = now
	return q
}

// before orders requests of one account and rank.
func before(a, b *request) bool {
	if !a.latest.Equal(b.latest) {
		return a.latest.Before(b.latest)
	}
	return a.ticket < b.ticket
}

func (q *queue) push(r *request) {
	if q.fair.Len() == 0 {
		q.nextExpiry, q.smallest = r.latest, r.size
	}
	q.fair.Push(r.entry)
	q.smallest = min(q.smallest, r.size)
	if r.latest.Before(q.nextExpiry) {
		q.nextExpiry = r.latest
	}
}

func isNoRoom(err error) bool {
	var noRoom *balance.NoRoom
	return errors.As(err, &noRoom)
}

// needsFirst reports whether err says that a request has to obtain something before it can be sent.
func needsFirst(err error) bool {
	switch err.(type) {
	case *balance.PermitNeeded, *balance.AdmissionNeeded:
		return true
	}
	return false
}

// result returns the result of a request at a time.
func (r *request) result(now time.Time, o Outcome, err error) Result {
	return Result{Ticket: r.ticket, Outcome: o, Err: err, Waited: now.Sub(r.arrived), Ahead: r.ahead}
}

// finish ends the wait of a request in the queue with the result of its choice.
func (c *Core) finish(now time.Time, r *request, choice balance.Choice, err error) Result {
	res := r.result(now, Granted, nil)
	switch {
	case needsFirst(err):
		r.queue.fair.Remove(r.entry)
		r.suspended = true
		res.Outcome, res.Err = Failed, err
	case err != nil:
		c.drop(r)
		res.Outcome, res.Err = Failed, err
	default:
		delete(c.requests, r.ticket)
		r.queue.fair.Grant(r.entry)
		choice.Waited, choice.Ahead = res.Waited, res.Ahead
		res.Choice = choice
	}
	return res
}

// refuse ends the wait of a request with a refusal.
func (c *Core) refuse(now time.Time, r *request, o Outcome) Result {
	c.drop(r)
	r.queue.refused.add(now, r.work.Account)
	return r.result(now, o, errkind.New(errkind.Overloaded, "%s", refusalText(r, o)).After(c.retryAfter(r)))
}

func refusalText(r *request, o Outcome) string {
	text := "no backend server of " + r.work.Service + " has room for the request"
	switch o {
	case Full:
		return text + ", and too many others wait for it"
	case PushedOut:
		return text + ", and more urgent ones wait for it"
	case Expired:
		return text + " and none had while it could still begin in time"
	}
	return text + " in time"
}

// retryAfter returns when room for a request is predicted, with a jitter so that those who are refused
// together do not return together.
func (c *Core) retryAfter(r *request) time.Duration {
	room := c.chooser.DrainTime(r.queue.service, r.queue.shard, r.queue.fair.Backlog()+r.entry.Cost)
	wait := min(max(room, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(c.rng.Int64N(int64(max(wait, balance.ReturnSpread))))
}
