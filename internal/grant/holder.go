package grant

import (
	"math/rand"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Holder manages the tokens of one incarnation of a host. It is not safe for
// concurrent use.
type Holder struct {
	self  *pb.Holder
	cfg   Config
	rng   *rand.Rand
	peers []string

	budgets map[string]*budget
	// names are the keys of budgets in sorted order, so that every step is deterministic.
	names        []string
	reservations map[string]reservation

	settlement settlement
	transfers  transfers
	fenced     map[holderKey]struct{}
	draining   bool
	// lastContact is when the ledger's last answer to a batch, or to the registration, was
	// received.
	lastContact time.Time
}

// reservation is the maximum token usage of one dispatched request.
type reservation struct {
	budget *budget
	tokens uint64
}

// waiter is a request waiting for tokens.
type waiter struct {
	request string
	tokens  uint64
	// ledgerTried is true if an acquire that covered the waiter was granted less than it
	// needed, or the ledger is unreachable; the peers are asked next. refusalKind is the
	// kind of refusal if the peers can't supply the tokens either.
	ledgerTried bool
	refusalKind errkind.Kind
	// inRound is true if the current round of asks covers the waiter; peersTried is true
	// if a round that covered it did not supply the tokens. It is refused then, but not
	// before refuseAt.
	inRound, peersTried bool
	refuseAt            time.Time
}

// budget is the holder's state of one budget.
type budget struct {
	name   string
	policy Policy

	free, reserved, unsettled, returning uint64

	// receivedInBatch and receivedPending count tokens of accepted transfers that the
	// ledger does not know yet: those in the outstanding batch and those for the next one.
	// outgoing counts the tokens billed, spent and returned in the outstanding batch.
	receivedInBatch, receivedPending, outgoing uint64

	waiters []*waiter
	acquire acquire
	round   *round
	demand  demand
	lastUse time.Time

	// reserve is the part of the grant that can be spent only while the ledger is unreachable.
	reserve         reserveState
	reserveReturned time.Time

	// ledgerFree is how much the ledger could still grant according to its last answer;
	// unbilled is the part of the funds that was not billed by then.
	ledgerFree, unbilled uint64
	levelKnown           bool
	// lastPrefetch is when tokens were last requested ahead of need; lastShort is when the
	// ledger last granted less than was wanted.
	lastPrefetch, lastShort time.Time
}

type holderKey struct {
	host        string
	incarnation uint64
}

func keyOf(h *pb.Holder) holderKey {
	return holderKey{host: h.GetHost(), incarnation: h.GetIncarnation()}
}

// New returns a holder without tokens. rng shuffles the order in which peers are asked.
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

// Self returns the incarnation that holds the tokens.
func (h *Holder) Self() *pb.Holder { return h.self }

// SetPeers replaces the names of the hosts that can be asked for tokens.
func (h *Holder) SetPeers(peers []string) { h.peers = peers }

// Reserve sets aside the maximum number of tokens that a request can use, or queues the
// request. The decision is in this or a later Output and carries the same request id.
func (h *Holder) Reserve(now time.Time, request, budgetName string, tokens uint64, policy Policy) Output {
	var out Output
	if h.draining {
		out.refuse(request, errkind.New(errkind.HostLeaving, "this host is leaving and returns its grants"))
		return out
	}
	if _, twice := h.reservations[request]; twice {
		out.refuse(request, errkind.New(errkind.Internal, "request %s already has a reservation", request))
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

// Cancel removes a waiting request whose caller gave up. It reports false if the request
// isn't waiting: it may hold a reservation, which the caller must release.
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

// Release frees a whole reservation, for a request that certainly did not run. It reports
// false if there is no reservation, so that a second release frees nothing.
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

// Settle bills a request against its reservation and frees the rest. It reports false
// if there is no reservation, so that a second settlement bills nothing.
//
// A bill that exceeds the reservation is reduced to it: an engine that ignores its output
// limit would otherwise spend tokens that the budget may not have.
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
	h.settlement.addBill(now, bill)
	h.advance(now, r.budget, &out)
	h.sendBatch(now, &out)
	return out, true
}

// Spend bills tokens against a request's reservation without an identity and frees the
// rest. It is for requests that no other holder can bill as well: the ledger receives
// only their sum and remembers none of them individually. It reports false if there is no
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
		h.settlement.addSpend(now, r.budget.name, tokens)
	}
	h.advance(now, r.budget, &out)
	h.sendBatch(now, &out)
	return out, true
}

// SetPolicies updates the policy of each budget. Without it a host that is no longer a
// budget's owner, and so gets no requests for its tokens, would not learn of that.
func (h *Holder) SetPolicies(policyFor func(budget string) Policy) {
	for _, name := range h.names {
		h.budgets[name].policy = policyFor(name)
	}
}

// ReturnFree returns all free tokens of a budget to the ledger. It is called when the
// budget's funds are lowered and the ledger has to find out how many tokens are unspent.
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

// Tick resends unanswered messages, sends the settlement batch that is due, asks peers on
// behalf of requests whose acquire is unanswered, and returns idle tokens.
func (h *Holder) Tick(now time.Time) Output {
	var out Output
	for _, name := range slices.Clone(h.names) {
		b := h.budgets[name]
		h.resendAcquire(now, b, &out)
		h.advance(now, b, &out)
		h.returnExcessReserve(now, b)
		h.returnIdle(now, b)
		h.forget(now, b)
	}
	h.refreshContact(now)
	h.resendAsks(now, &out)
	h.transfers.prune(now)
	h.resendBatch(now, &out)
	h.sendBatch(now, &out)
	return out
}

// Flush sends the settlement batch if it is due; it is a cheap part of Tick.
func (h *Holder) Flush(now time.Time) Output {
	var out Output
	h.sendBatch(now, &out)
	return out
}

// Drain makes the holder refuse new requests and return all free tokens. Tokens that
// become free later are returned by Tick.
func (h *Holder) Drain(now time.Time) Output {
	h.draining = true
	var out Output
	for _, name := range h.names {
		b := h.budgets[name]
		h.refuseAll(b, errkind.New(errkind.HostLeaving, "this host is leaving and returns its grants"), &out)
	}
	tick := h.Tick(now)
	tick.Decisions = append(out.Decisions, tick.Decisions...)
	return tick
}

// Idle reports whether the holder has no tokens, no unsettled messages and no waiting
// requests, so that a draining host can exit.
func (h *Holder) Idle() bool {
	if h.settlement.busy() || len(h.reservations) > 0 || len(h.transfers.open) > 0 {
		return false
	}
	for _, b := range h.budgets {
		if b.held() > 0 || b.reserve.tokens > 0 || b.acquire.msg != nil || len(b.waiters) > 0 {
			return false
		}
	}
	return true
}

// Levels returns the tokens held of each budget, sorted by name.
func (h *Holder) Levels() []Level {
	levels := make([]Level, 0, len(h.budgets))
	for _, name := range h.names {
		b := h.budgets[name]
		levels = append(levels, Level{
			Budget: name, Free: b.free, Reserved: b.reserved,
			Unsettled: b.unsettled, Returning: b.returning, Reserve: b.reserve.tokens, Waiting: len(b.waiters),
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

// grantWaiters grants every waiter that the available tokens cover, in order of arrival.
func (h *Holder) grantWaiters(now time.Time, b *budget, out *Output) {
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

// returnIdle returns the free tokens of a budget that is idle or whose holder is draining.
func (h *Holder) returnIdle(now time.Time, b *budget) {
	if len(b.waiters) > 0 || !(b.idle(now) || h.draining) {
		return
	}
	h.returnAll(now, b)
}

// returnAll returns all tokens that are not reserved for a request.
func (h *Holder) returnAll(now time.Time, b *budget) {
	h.returnReserveTokens(now, b, b.reserve.tokens)
	if b.free == 0 {
		return
	}
	h.settlement.addReturn(now, b.name, b.free)
	b.returning += b.free
	b.free = 0
}

// idle reports whether the budget has not been used on this host for the policy's
// IdleReturn.
func (b *budget) idle(now time.Time) bool { return now.Sub(b.lastUse) >= b.policy.IdleReturn }

// forget drops the state of a budget that holds nothing and has been unused for long. The
// sequence numbers of acquires must not restart: the ledger would treat a reused number as
// a resend of an old acquire. So only a budget whose acquires were never answered with a
// grant is dropped.
func (h *Holder) forget(now time.Time, b *budget) {
	unused := b.held() == 0 && b.reserve.tokens == 0 && len(b.waiters) == 0 && b.round == nil
	if unused && b.acquire.msg == nil && b.acquire.seq == 0 && now.Sub(b.lastUse) > b.policy.IdleReturn {
		delete(h.budgets, b.name)
		i, _ := slices.BinarySearch(h.names, b.name)
		h.names = slices.Delete(h.names, i, i+1)
	}
}
