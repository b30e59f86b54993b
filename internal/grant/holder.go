package grant

import (
	"math/rand"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Holder holds the tokens of one incarnation of a host. It is not safe for
// concurrent use.
type Holder struct {
	self  *pb.Holder
	cfg   Config
	rng   *rand.Rand
	peers []string

	budgets map[string]*budget
	// names are the keys of budgets in order, so that steps are repeatable.
	names        []string
	reservations map[string]reservation

	settlement settlement
	transfers  transfers
	fenced     map[holderKey]struct{}
	draining   bool
	// contact is when an answer of the ledger to a batch, or to the registration, last came.
	contact time.Time
}

// reservation is the worst case of one dispatched request.
type reservation struct {
	budget *budget
	tokens uint64
}

// waiter is a request that waits for tokens.
type waiter struct {
	request string
	tokens  uint64
	// tried tells that an acquire that covered the waiter was answered short, or that the
	// ledger is out of reach; the waiter then looks to the peers. why is the refusal to
	// come if they can't help either.
	tried bool
	why   errkind.Kind
	// asked tells that the present round of asks covers the waiter, helpless that a round
	// did in vain. It is refused then, but not before notBefore.
	asked, helpless bool
	notBefore       time.Time
}

// budget is the holder's part of one budget.
type budget struct {
	name   string
	policy Policy

	free, reserved, unsettled, returning uint64

	// received counts tokens of accepted transfers that the ledger doesn't know yet:
	// those in the outstanding batch and those for the next one. leaving counts the bills
	// and returns in the outstanding batch.
	receivedSent, receivedNext, leaving uint64

	waiters []*waiter
	acquire acquire
	round   *round
	demand  demand
	lastUse time.Time

	// out is the part of the grant for times without contact.
	out             outOfContact
	reserveReturned time.Time

	// level is how much the ledger could still grant when it last said so, left what was
	// not yet billed.
	level, left uint64
	levelKnown  bool
	// fetched is when tokens were last asked for ahead of need, short when the ledger last
	// gave less than was wanted.
	fetched, short time.Time
}

type holderKey struct {
	host        string
	incarnation uint64
}

func keyOf(h *pb.Holder) holderKey {
	return holderKey{host: h.GetHost(), incarnation: h.GetIncarnation()}
}

// New makes a holder without tokens. rng orders the peers that are asked.
func New(self *pb.Holder, cfg Config, rng *rand.Rand) *Holder {
	return &Holder{
		self:         self,
		cfg:          cfg.withDefaults(),
		rng:          rng,
		budgets:      make(map[string]*budget),
		reservations: make(map[string]reservation),
		transfers:    newTransfers(),
		fenced:       make(map[holderKey]struct{}),
	}
}

// Self is the incarnation that holds the tokens.
func (h *Holder) Self() *pb.Holder { return h.self }

// SetPeers replaces the names of the hosts that can be asked for tokens.
func (h *Holder) SetPeers(peers []string) { h.peers = peers }

// Reserve sets tokens aside for the worst case of a request, or makes it wait. The
// decision comes in this or a later Output, always with the same request id.
func (h *Holder) Reserve(now time.Time, request, budgetName string, tokens uint64, policy Policy) Output {
	var out Output
	if h.draining {
		out.refuse(request, errkind.New(errkind.HostLeaving, "this host returns its grants"))
		return out
	}
	if _, twice := h.reservations[request]; twice {
		out.refuse(request, errkind.New(errkind.Internal, "request %s has a reservation already", request))
		return out
	}
	b := h.budget(budgetName)
	b.policy = policy
	b.lastUse = now
	b.demand.add(now, tokens, policy)
	b.waiters = append(b.waiters, &waiter{request: request, tokens: tokens})
	h.advance(now, b, &out)
	return out
}

// Cancel ends the wait of a request whose caller gave up. It reports false if the
// request doesn't wait: it may hold a reservation, which the caller must release.
func (h *Holder) Cancel(request, budgetName string) bool {
	b, ok := h.budgets[budgetName]
	if !ok {
		return false
	}
	i := slices.IndexFunc(b.waiters, func(w *waiter) bool { return w.request == request })
	if i < 0 {
		return false
	}
	b.waiters = slices.Delete(b.waiters, i, i+1)
	return true
}

// Release gives a reservation back whole: the request surely did not run. It reports
// false if there is none, so that a second release frees nothing.
func (h *Holder) Release(now time.Time, request string) (Output, bool) {
	var out Output
	r, ok := h.reservations[request]
	if !ok {
		return out, false
	}
	delete(h.reservations, request)
	r.budget.reserved -= r.tokens
	r.budget.free += r.tokens
	h.advance(now, r.budget, &out)
	return out, true
}

// Settle bills a request out of its reservation and frees the rest. It reports false
// if there is no reservation, so that a second settlement bills nothing.
//
// A bill above the reservation is cut to it: an engine that ignores its output cap
// would otherwise spend tokens that the budget may not have.
func (h *Holder) Settle(now time.Time, bill *pb.Bill) (Output, bool) {
	var out Output
	r, ok := h.reservations[bill.GetRequestId()]
	if !ok {
		return out, false
	}
	delete(h.reservations, bill.GetRequestId())
	bill.Budget = r.budget.name
	bill.Tokens = min(bill.GetTokens(), r.tokens)
	r.budget.reserved -= r.tokens
	r.budget.unsettled += bill.GetTokens()
	r.budget.free += r.tokens - bill.GetTokens()
	h.settlement.add(now, bill)
	h.advance(now, r.budget, &out)
	h.sendBatch(now, &out)
	return out, true
}

// Spend bills tokens out of a request's reservation without an identity and frees the
// rest. It is for requests that no other holder can bring a second time: the ledger gets
// only their sum, and remembers nothing of each. It reports false if there is no
// reservation.
func (h *Holder) Spend(now time.Time, request string, tokens uint64) (Output, bool) {
	var out Output
	r, ok := h.reservations[request]
	if !ok {
		return out, false
	}
	delete(h.reservations, request)
	tokens = min(tokens, r.tokens)
	r.budget.reserved -= r.tokens
	r.budget.free += r.tokens - tokens
	if tokens > 0 {
		r.budget.unsettled += tokens
		h.settlement.spend(now, r.budget.name, tokens)
	}
	h.advance(now, r.budget, &out)
	h.sendBatch(now, &out)
	return out, true
}

// SetPolicies asks anew how each budget is held. A host learns that it is no more the one
// that should hold a budget when nobody asks it for tokens.
func (h *Holder) SetPolicies(policyFor func(budget string) Policy) {
	for _, name := range h.names {
		h.budgets[name].policy = policyFor(name)
	}
}

// ReturnFree puts all free tokens of a budget on their way back: its funds were lowered,
// and the ledger has to know what is left of them.
func (h *Holder) ReturnFree(now time.Time, budgetName string) Output {
	var out Output
	b, ok := h.budgets[budgetName]
	if !ok {
		return out
	}
	h.returnAll(now, b)
	h.sendBatch(now, &out)
	return out
}

// Tick resends what was not answered, settles what has waited long enough, looks to
// the peers for requests whose acquire goes unanswered, and returns idle tokens.
func (h *Holder) Tick(now time.Time) Output {
	var out Output
	for _, name := range slices.Clone(h.names) {
		b := h.budgets[name]
		h.resendAcquire(now, b, &out)
		h.advance(now, b, &out)
		h.returnReserve(now, b)
		h.returnIdle(now, b)
		h.forget(now, b)
	}
	h.keepContact(now)
	h.resendAsks(now, &out)
	h.transfers.prune(now)
	h.resendBatch(now, &out)
	h.sendBatch(now, &out)
	return out
}

// Flush settles what has waited long enough; a cheap part of Tick.
func (h *Holder) Flush(now time.Time) Output {
	var out Output
	h.sendBatch(now, &out)
	return out
}

// Drain makes the holder refuse new requests and return all free tokens; tokens that
// become free later go back too. Tick carries it on.
func (h *Holder) Drain(now time.Time) Output {
	h.draining = true
	var out Output
	for _, name := range h.names {
		b := h.budgets[name]
		h.refuseAll(b, errkind.New(errkind.HostLeaving, "this host returns its grants"), &out)
	}
	tick := h.Tick(now)
	tick.Decisions = append(out.Decisions, tick.Decisions...)
	return tick
}

// Idle tells whether nothing is held, owed or waited for, so that a draining host can exit.
func (h *Holder) Idle() bool {
	if h.settlement.busy() || len(h.reservations) > 0 || len(h.transfers.open) > 0 {
		return false
	}
	for _, b := range h.budgets {
		if b.held() > 0 || b.out.reserve > 0 || b.acquire.msg != nil || len(b.waiters) > 0 {
			return false
		}
	}
	return true
}

// Levels lists what is held of each budget, by name.
func (h *Holder) Levels() []Level {
	levels := make([]Level, 0, len(h.budgets))
	for _, name := range h.names {
		b := h.budgets[name]
		levels = append(levels, Level{
			Budget: name, Free: b.free, Reserved: b.reserved,
			Unsettled: b.unsettled, Returning: b.returning, Reserve: b.out.reserve, Waiting: len(b.waiters),
		})
	}
	return levels
}

func (h *Holder) budget(name string) *budget {
	b, ok := h.budgets[name]
	if !ok {
		b = &budget{name: name, policy: PolicyFrom(nil)}
		h.budgets[name] = b
		i, _ := slices.BinarySearch(h.names, name)
		h.names = slices.Insert(h.names, i, name)
	}
	return b
}

func (b *budget) held() uint64 { return b.free + b.reserved + b.unsettled + b.returning }

// serve grants every waiter that fits, in order of arrival.
func (h *Holder) serve(now time.Time, b *budget, out *Output) {
	kept := b.waiters[:0]
	for _, w := range b.waiters {
		if !h.drawReserve(now, b, w.tokens) {
			kept = append(kept, w)
			continue
		}
		b.free -= w.tokens
		b.reserved += w.tokens
		h.reservations[w.request] = reservation{budget: b, tokens: w.tokens}
		out.grant(w.request)
	}
	clear(b.waiters[len(kept):])
	b.waiters = kept
}

func (h *Holder) refuseAll(b *budget, err *errkind.Error, out *Output) {
	for _, w := range b.waiters {
		out.refuse(w.request, err)
	}
	b.waiters = nil
	b.round = nil
}

// returnIdle puts free tokens that nobody used for a while on their way back.
func (h *Holder) returnIdle(now time.Time, b *budget) {
	if len(b.waiters) > 0 || !(b.idle(now) || h.draining) {
		return
	}
	h.returnAll(now, b)
}

// returnAll puts everything that no request has on its way back.
func (h *Holder) returnAll(now time.Time, b *budget) {
	h.giveReserveBack(now, b, b.out.reserve)
	if b.free == 0 {
		return
	}
	h.settlement.giveBack(now, b.name, b.free)
	b.returning += b.free
	b.free = 0
}

// idle tells whether nobody used the budget here for so long that its tokens go back.
func (b *budget) idle(now time.Time) bool { return now.Sub(b.lastUse) >= b.policy.IdleReturn }

// forget drops the state of a budget that holds nothing and was long unused. The
// numbering of acquires must outlive it: the ledger would take a number that starts
// again for a resend of an old acquire. So only a budget that was never granted any
// token is dropped.
func (h *Holder) forget(now time.Time, b *budget) {
	unused := b.held() == 0 && b.out.reserve == 0 && len(b.waiters) == 0 && b.round == nil
	if unused && b.acquire.msg == nil && b.acquire.seq == 0 && now.Sub(b.lastUse) > b.policy.IdleReturn {
		delete(h.budgets, b.name)
		i, _ := slices.BinarySearch(h.names, b.name)
		h.names = slices.Delete(h.names, i, i+1)
	}
}
