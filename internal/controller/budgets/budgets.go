// Package budgets reserves the tokens of routed requests at the owner of their budget.
//
// If every host held its own grant, a budget would be split into as many parts as there
// are hosts. With 58 hosts and 24 budgets most parts are smaller than one request, tokens
// are held where they are not needed, and the control group settles with every host several
// times per second. Therefore a single host, the owner, holds a budget's grant, and the other
// hosts reserve tokens there for each request with one call of a few milliseconds. During a
// partition between hosts and control group they go on with the tokens that the owner holds.
//
// If the owner does not answer, or can't reach the control group and has no tokens left, the
// next host in rank is asked. This host uses its own grant only if neither answers. Each host
// spends from its own grant, so a budget is not overspent even if hosts disagree about its
// owner.
//
// Hosts don't simply fall back to their own grants in a partition because each would ask the
// control group for tokens of each budget, and repeat the call until it is answered, since
// the ledger may have granted them. 70 hosts and 24 budgets had 1,600 such calls open when a
// partition ended. They made the control group change its leader again and again, and the
// tokens that it granted were held by hosts that did not need them.
package budgets

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/grant/book"
	"github.com/bluebellsail/bluebellsail/internal/outbox"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// maxOwners is how many hosts are asked for a reservation: the owner, and the next one in
	// rank while a failure of the owner has not been detected.
	maxOwners = 2
	// reserveTimeout bounds one call for a reservation. An owner that can't reach the control
	// group answers within 250 ms. If this host's link is full, answers take half a second and
	// more, and a late answer is still better than none.
	reserveTimeout = 800 * time.Millisecond
	// spendTimeout bounds one call that settles reservations.
	spendTimeout = 500 * time.Millisecond
	// lifetimeMargin is how long a reservation is kept after the deadline of its request. A
	// host that has not ended the reservation by then has failed.
	lifetimeMargin = 3 * time.Second
	// flushInterval is how often the ends of requests are sent to owners. The control group
	// must get the bill within 1.5 s.
	flushInterval = 100 * time.Millisecond
)

// Local spends from this host's own grants; *grants.Manager implements it.
type Local interface {
	Reserve(ctx context.Context, budget, requestID string, tokens uint64) error
	Spend(requestID string, tokens uint64)
	Release(requestID string)
}

// Owners finds the owners of budgets; *owners.Table implements it.
type Owners interface {
	FirstRanked(key string, n int) []owners.Host
	Owner(key string) (owners.Host, bool)
	MarkUnanswered(host string)
	MarkAnswered(host string)
}

// Config configures a Reserver.
type Config struct {
	// Incarnation identifies this incarnation of the host; it is unique.
	Incarnation string
	// Self returns this host with its incarnation, as owner of its own grants.
	Self func() *pb.Holder
	// Local returns nil until this incarnation holds grants.
	Local func() Local
	// Await waits for Local while this host starts. It returns nil if ctx is done first.
	Await  func(ctx context.Context) Local
	Owners Owners
	Client func(address string) pb.PeerClient
	Log    zerolog.Logger
	// HoldsTokens reports whether this host holds tokens of a budget ahead of need, whoever owns it, so
	// that requests are reserved here first. It is called once for each request. Nil: it never does.
	HoldsTokens func(budget string) bool
	// Exhausted is called when this host could get no more tokens of such a budget.
	Exhausted func(budget string)
}

// Reserver reserves tokens at the owners of budgets, and for other hosts at this one. It is safe for
// concurrent use.
type Reserver struct {
	cfg Config

	mu     sync.Mutex
	book   *book.Book
	outbox *outbox.Outbox[*pb.SpentTokens]
	// reservations holds the owner at which the tokens of each of this host's requests are
	// reserved.
	reservations map[string]reservation
	sends        sync.WaitGroup
	// work is signaled when Run has something to do after a time without.
	work chan struct{}
}

// reservation is where tokens are reserved, and until when.
type reservation struct {
	owner owners.Host
	until time.Time
}

// New returns a Reserver. It sends the ends of requests to owners only while Run runs.
func New(cfg Config) *Reserver {
	return &Reserver{
		cfg: cfg, book: book.New(), outbox: outbox.New[*pb.SpentTokens](),
		reservations: make(map[string]reservation), work: make(chan struct{}, 1),
	}
}

// signalWork has Run go on if it has nothing to do.
func (r *Reserver) signalWork() {
	select {
	case r.work <- struct{}{}:
	default: // it has been told already
	}
}

// Reserve reserves tokens of a budget for a request, and returns the name of the host that
// holds them, or that refused them. It returns when ctx is done at the latest.
func (r *Reserver) Reserve(ctx context.Context, budget, request string, tokens uint64) (holder string, err error) {
	if !r.begin(request) {
		return "", errkind.New(errkind.Internal, "request %s already has a reservation", request)
	}
	defer func() {
		if err != nil {
			r.forget(request)
		}
	}()
	if self, ok := r.reserveAhead(ctx, budget, request, tokens); ok {
		return self, nil
	}
	var first *reserveClosed
	for _, h := range r.ownersOf(budget) {
		answer := r.reserveAt(ctx, h, budget, request, tokens)
		if answer == nil {
			return h.Name, nil
		}
		if errors.Is(answer, errUnanswered) {
			continue
		}
		holder, err = h.Name, answer
		if first == nil {
			first = asReserveClosed(h, answer)
		}
		if ctx.Err() != nil || !mayHaveTokensElsewhere(err) {
			break
		}
		r.cfg.Log.Info().Str("event", "budget-holder-refused").Str("request", request).Str("budget", budget).Str("holder", h.Name).
			Uint64("tokens", tokens).Err(err).Send()
	}
	switch {
	case first != nil:
		return r.awaitReserve(ctx, first, budget, request, tokens)
	case err != nil:
		return holder, err
	}
	self := owners.Host{Name: r.cfg.Self().GetHost()}
	return self.Name, r.reserveAt(ctx, self, budget, request, tokens)
}

// reserveAhead reserves tokens that this host holds ahead of need; false if it holds none. The owner is
// then asked as usual: a host that holds some tokens must not refuse for the budget.
func (r *Reserver) reserveAhead(ctx context.Context, budget, request string, tokens uint64) (holder string, ok bool) {
	if r.cfg.HoldsTokens == nil || !r.cfg.HoldsTokens(budget) {
		return "", false
	}
	self := owners.Host{Name: r.cfg.Self().GetHost()}
	if err := r.reserveAt(ctx, self, budget, request, tokens); err != nil {
		r.cfg.Exhausted(budget)
		r.cfg.Log.Info().Str("event", "tokens-ahead-exhausted").Str("request", request).Str("budget", budget).
			Uint64("tokens", tokens).Err(err).Send()
		return "", false
	}
	return self.Name, true
}

// ownersOf returns the hosts to ask for tokens of a budget: those that rank first, or the owner
// if none of them answered recently.
//
// The owner is asked even then because a host whose link was full for a moment considers all of
// them failed, and would reject requests although the owner has enough tokens.
func (r *Reserver) ownersOf(budget string) []owners.Host {
	hosts := r.cfg.Owners.FirstRanked(Key(budget), maxOwners)
	if len(hosts) > 0 {
		return hosts
	}
	if owner, ok := r.cfg.Owners.Owner(Key(budget)); ok {
		return []owners.Host{owner}
	}
	return nil
}

// errUnanswered is returned if an owner did not answer.
var errUnanswered = errors.New("budgets: the owner did not answer")

// begin records that a reservation is being made for a request. It returns false if the request has one
// already.
func (r *Reserver) begin(request string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, twice := r.reservations[request]; twice {
		return false
	}
	r.reservations[request] = reservation{}
	return true
}

func (r *Reserver) forget(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reservations, request)
}

// Key returns the key by which hosts are ranked as owners of a budget.
func Key(budget string) string { return "budget/" + budget }

// mayHaveTokensElsewhere reports whether another host may still have tokens after this refusal.
func mayHaveTokensElsewhere(err error) bool {
	switch errkind.From(err).Kind {
	case errkind.BudgetUnreachable, errkind.HostNotReady, errkind.HostLeaving, errkind.DeadlineExceeded:
		return true
	}
	return false
}

func (r *Reserver) reserveAt(ctx context.Context, h owners.Host, budget, request string, tokens uint64) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return errkind.New(errkind.Internal, "request %s has no deadline", request)
	}
	until := deadline.Add(lifetimeMargin)
	var err error
	if h.Self() {
		err = r.reserveLocally(ctx, budget, request, tokens)
	} else {
		err = r.reserveRemotely(ctx, h, budget, request, tokens, until)
	}
	if err == nil {
		r.mu.Lock()
		r.reservations[request] = reservation{owner: h, until: until}
		r.mu.Unlock()
	}
	return err
}

func (r *Reserver) reserveLocally(ctx context.Context, budget, request string, tokens uint64) error {
	local := r.cfg.Await(ctx)
	if local == nil {
		return errkind.New(errkind.BudgetUnreachable, "this host is not registered with the control group yet").After(time.Second)
	}
	return local.Reserve(ctx, budget, request, tokens)
}

// reserveRemotely reserves tokens at another host. A call that was not answered may have made a
// reservation, so its end is sent.
func (r *Reserver) reserveRemotely(ctx context.Context, h owners.Host, budget, request string, tokens uint64, until time.Time) error {
	callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reply, err := r.cfg.Client(h.Address).ReserveTokens(callCtx, &pb.ReserveTokensRequest{
		Run: r.cfg.Incarnation, Request: request, Budget: budget, Tokens: tokens, LifetimeMs: time.Until(until).Milliseconds(),
	})
	if err == nil {
		r.cfg.Owners.MarkAnswered(h.Name)
		return decodeRefusal(reply)
	}
	r.queueSpend(h, request, 0, until)
	if ctx.Err() != nil {
		return errkind.New(errkind.DeadlineExceeded, "the deadline passed before tokens of budget %s were reserved", budget).WithRan(errkind.RanNo)
	}
	r.cfg.Owners.MarkUnanswered(h.Name)
	r.cfg.Log.Warn().Str("event", "budget-owner-unanswered").Str("owner", h.Name).Str("budget", budget).
		Str("request", request).Err(err).Send()
	return errUnanswered
}

// Spend bills tokens out of a request's reservation and frees the rest.
func (r *Reserver) Spend(request string, tokens uint64) {
	r.mu.Lock()
	p, ok := r.reservations[request]
	delete(r.reservations, request)
	r.mu.Unlock()
	switch {
	case !ok:
		r.cfg.Log.Error().Str("event", "spend-without-reservation").Str("request", request).Uint64("tokens", tokens).Send()
	case p.owner.Self():
		r.cfg.Local().Spend(request, tokens)
	default:
		r.queueSpend(p.owner, request, tokens, p.until)
	}
}

// queueSpend queues the end of a request for its owner.
func (r *Reserver) queueSpend(h owners.Host, request string, tokens uint64, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outbox.Add(h.Receiver(), &pb.SpentTokens{Request: request, Tokens: tokens}, until)
	r.signalWork()
}
