// Package budgets sets the tokens of routed requests aside at the owner of their budget.
//
// A grant that every host holds for itself is split into as many parts as there are
// hosts. With 58 of them and 24 budgets most parts are smaller than one request: tokens
// lie where nobody needs them, and the control group settles with every host several
// times a second. So of all hosts one, the owner, holds a budget's grant, and the others
// ask it for each request: one call of some milliseconds. In a partition between hosts
// and control group they go on with what the owner holds.
//
// When the owner gives no answer, or can't reach the control group and has nothing left,
// the next host in rank is asked, and this host goes by its own grant only if neither gives
// an answer. Each spends from a grant of its own, so no agreement about who owns a budget is
// needed for it not to be overspent.
//
// What goes wrong when every host turns to its own grant in a partition: each asks the
// control group for tokens of each budget, and goes on asking until it is answered, since
// the ledger may have granted them. 70 hosts and 24 budgets had 1,600 such calls open when
// a partition ended; the leader lost its office over them, again and again, and what it
// granted lay at hosts that had no use for it.
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
	// ranks is how many hosts are asked for a reservation: the owner, and the next one for
	// the time in which the owner's loss is not known.
	ranks = 2
	// reserveTimeout bounds one call for a reservation. An owner that is cut off from the
	// control group answers after a quarter of a second at the latest; where this host's link
	// is full, answers wait for half a second and more, and are still better than none.
	reserveTimeout = 800 * time.Millisecond
	// spendTimeout bounds one call that ends reservations.
	spendTimeout = 500 * time.Millisecond
	// lifetimeMargin is what a reservation outlives the deadline of its request by: the
	// request's host ends it in that time, or has been lost.
	lifetimeMargin = 3 * time.Second
	// tick is how long the end of a request waits for others to be told with it. The bill
	// has to be with the control group within a second and a half.
	tick = 100 * time.Millisecond
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

// Config of a Desk.
type Config struct {
	// Incarnation names this run of the host; no other run has the same.
	Incarnation string
	// Self is this host with its incarnation, as owner of its own grants.
	Self func() *pb.Holder
	// Local is nil until this run holds grants.
	Local func() Local
	// Await waits for Local while this host starts; nil: it has none in time.
	Await  func(ctx context.Context) Local
	Owners Owners
	Client func(address string) pb.PeerClient
	Log    zerolog.Logger
}

// Reserver is safe for concurrent use.
type Reserver struct {
	cfg Config

	mu     sync.Mutex
	book   *book.Book
	outbox *outbox.Outbox[*pb.SpentTokens]
	// placed says where the tokens of this host's requests are set aside.
	placed map[string]place
	sends  sync.WaitGroup
}

// place of a reservation.
type place struct {
	owner owners.Host
	until time.Time
}

// New makes a desk; Run must be called for the ends of requests to be told.
func New(cfg Config) *Reserver {
	return &Reserver{
		cfg: cfg, book: book.New(), outbox: outbox.New[*pb.SpentTokens](),
		placed: make(map[string]place),
	}
}

// Reserve sets tokens of a budget aside for a request, at the latest when ctx ends. It
// returns the name of the host that holds them.
func (d *Reserver) Reserve(ctx context.Context, budget, request string, tokens uint64) (holder string, err error) {
	if !d.begin(request) {
		return "", errkind.New(errkind.Internal, "request %s has a reservation already", request)
	}
	defer func() {
		if err != nil {
			d.forget(request)
		}
	}()
	var first *closed
	for _, h := range d.ask(budget) {
		answer := d.reserveAt(ctx, h, budget, request, tokens)
		if answer == nil {
			return h.Name, nil
		}
		if errors.Is(answer, errUnanswered) {
			continue
		}
		holder, err = h.Name, answer
		if first == nil {
			first = asClosed(h, answer)
		}
		if ctx.Err() != nil || !elsewhere(err) {
			break
		}
	}
	switch {
	case first != nil:
		return d.awaitReserve(ctx, first, budget, request, tokens)
	case err != nil:
		return holder, err
	}
	self := owners.Host{Name: d.cfg.Self().GetHost()}
	return self.Name, d.reserveAt(ctx, self, budget, request, tokens)
}

// ask lists the hosts to ask for tokens of a budget: those that rank first, or the owner if
// none of them gave an answer lately.
//
// What goes wrong when nobody is asked then: a host whose link was full for a moment takes
// all of them for lost, and refuses what it holds no tokens for though the owner has enough.
func (d *Reserver) ask(budget string) []owners.Host {
	hosts := d.cfg.Owners.FirstRanked(Key(budget), ranks)
	if len(hosts) > 0 {
		return hosts
	}
	if owner, ok := d.cfg.Owners.Owner(Key(budget)); ok {
		return []owners.Host{owner}
	}
	return nil
}

// errUnanswered tells that an owner gave no answer.
var errUnanswered = errors.New("budgets: no answer")

// begin notes that a request is about to get tokens; false: one of its name has some.
func (d *Reserver) begin(request string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, twice := d.placed[request]; twice {
		return false
	}
	d.placed[request] = place{}
	return true
}

func (d *Reserver) forget(request string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.placed, request)
}

// Key is a budget's name among the keys that hosts own.
func Key(budget string) string { return "budget/" + budget }

// elsewhere tells whether another host may still have tokens after a refusal.
func elsewhere(err error) bool {
	switch errkind.From(err).Kind {
	case errkind.BudgetUnreachable, errkind.HostNotReady, errkind.HostLeaving, errkind.DeadlineExceeded:
		return true
	}
	return false
}

func (d *Reserver) reserveAt(ctx context.Context, h owners.Host, budget, request string, tokens uint64) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return errkind.New(errkind.Internal, "request %s has no deadline", request)
	}
	until := deadline.Add(lifetimeMargin)
	var err error
	if h.Self() {
		err = d.reserveHere(ctx, budget, request, tokens)
	} else {
		err = d.reserveThere(ctx, h, budget, request, tokens, until)
	}
	if err == nil {
		d.mu.Lock()
		d.placed[request] = place{owner: h, until: until}
		d.mu.Unlock()
	}
	return err
}

func (d *Reserver) reserveHere(ctx context.Context, budget, request string, tokens uint64) error {
	local := d.cfg.Await(ctx)
	if local == nil {
		return errkind.New(errkind.BudgetUnreachable, "this host is not registered with the control group yet").After(time.Second)
	}
	return local.Reserve(ctx, budget, request, tokens)
}

// reserveThere asks another host. A call without an answer may have made a reservation:
// it is ended, in case it was made.
func (d *Reserver) reserveThere(ctx context.Context, h owners.Host, budget, request string, tokens uint64, until time.Time) error {
	callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reply, err := d.cfg.Client(h.Address).ReserveTokens(callCtx, &pb.ReserveTokensRequest{
		Run: d.cfg.Incarnation, Request: request, Budget: budget, Tokens: tokens, LifetimeMs: time.Until(until).Milliseconds(),
	})
	if err == nil {
		d.cfg.Owners.MarkAnswered(h.Name)
		return decodeRefusal(reply)
	}
	d.tell(h, request, 0, until)
	if ctx.Err() != nil {
		return errkind.New(errkind.DeadlineExceeded, "no tokens of budget %s in time", budget).WithRan(errkind.RanNo)
	}
	d.cfg.Owners.MarkUnanswered(h.Name)
	d.cfg.Log.Warn().Str("event", "budget-owner-unanswered").Str("owner", h.Name).Str("budget", budget).
		Str("request", request).Err(err).Send()
	return errUnanswered
}

// Spend bills tokens out of a request's reservation and frees the rest.
func (d *Reserver) Spend(request string, tokens uint64) {
	d.mu.Lock()
	p, ok := d.placed[request]
	delete(d.placed, request)
	d.mu.Unlock()
	switch {
	case !ok:
		d.cfg.Log.Error().Str("event", "spend-without-reservation").Str("request", request).Uint64("tokens", tokens).Send()
	case p.owner.Self():
		d.cfg.Local().Spend(request, tokens)
	default:
		d.tell(p.owner, request, tokens, p.until)
	}
}

// tell puts the end of a request into the outbox.
func (d *Reserver) tell(h owners.Host, request string, tokens uint64, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outbox.Add(h.Receiver(), &pb.SpentTokens{Request: request, Tokens: tokens}, until)
}
