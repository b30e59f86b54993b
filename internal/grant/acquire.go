package grant

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Times after which the caller of a refused request may retry.
const (
	// RetryAfterExhausted applies to a budget without free tokens: it needs a top-up, or the
	// end of requests that hold reservations.
	RetryAfterExhausted = 5 * time.Second
	// RetryAfterUnreachable and MaxRetryAfterUnreachable bound the retry time while the ledger
	// is unreachable. The retry time is the duration of the outage so far, as the best
	// estimate of the time that it will go on.
	RetryAfterUnreachable    = time.Second
	MaxRetryAfterUnreachable = 3 * time.Second
)

// acquire is the one outstanding request for tokens of a budget. All waiters share it.
type acquire struct {
	msg *pb.Acquire // nil: none outstanding
	seq uint64      // last sequence number that the ledger answered
	// first is when the message was first sent, last when it was last sent, next when it is
	// to be resent, and wait the current backoff.
	first, last, next time.Time
	wait              time.Duration
}

// advance processes a budget's waiters: it grants them tokens, asks the ledger, asks the
// peers, or refuses them.
func (h *Holder) advance(now time.Time, b *budget, out *Output) {
	h.grantWaiters(now, b, out)
	if h.draining {
		return
	}
	h.endRound(now, b, out)
	h.refuseUnserved(now, b, out)
	if len(b.waiters) == 0 {
		h.prefetch(now, b, out)
		return
	}
	if b.acquire.msg != nil && !b.ledgerTimedOut(now, h.cfg) {
		return
	}
	if b.acquire.msg != nil {
		h.giveUpOnLedger(now, b, out)
	}
	if b.hasUntried() {
		h.sendAcquire(now, b, b.shortage(), out)
	}
	if b.round == nil {
		h.startRound(now, b, out)
	}
}

// ledgerTimedOut reports whether waiters should no longer wait for the outstanding acquire.
// The timeout counts from the first send: a lost answer is compensated by a resend before
// any request is refused, and during a long outage no request waits.
func (b *budget) ledgerTimedOut(now time.Time, cfg Config) bool {
	return now.Sub(b.acquire.first) >= cfg.LedgerTimeout
}

// giveUpOnLedger makes the new waiters ask the peers, and resends the outstanding acquire:
// the waiters are refused only if it isn't answered within ProbeTimeout.
//
// Without this probe the end of an outage would be noticed only after a long backoff, and
// requests would be refused until then although the ledger has tokens.
func (h *Holder) giveUpOnLedger(now time.Time, b *budget, out *Output) {
	if !b.hasUntried() {
		return
	}
	if now.Sub(b.acquire.last) >= h.cfg.ProbeTimeout {
		h.resend(now, &b.acquire, out)
	}
	for _, w := range b.waiters {
		if w.ledgerTried {
			continue
		}
		w.ledgerTried, w.refusalKind, w.refuseAt = true, errkind.BudgetUnreachable, now.Add(h.cfg.ProbeTimeout)
		if b.usedUpFor(w.tokens) {
			w.refusalKind = errkind.BudgetExhausted
		}
	}
}

// usedUpFor reports whether neither this holder nor the ledger, by its last answer, has enough tokens for
// a request. The ledger would refuse the request as well unless the budget was topped up, or holders
// returned tokens, since then.
func (b *budget) usedUpFor(tokens uint64) bool {
	return b.levelKnown && b.free+b.reserve.tokens+b.acquire.msg.GetUnlock()+b.returning+b.ledgerFree < tokens
}

func (b *budget) hasUntried() bool {
	for _, w := range b.waiters {
		if !w.ledgerTried {
			return true
		}
	}
	return false
}

// shortage returns the number of tokens missing to grant every waiter.
func (b *budget) shortage() uint64 {
	var sum uint64
	for _, w := range b.waiters {
		sum += w.tokens
	}
	return sum - min(sum, b.free)
}

// sendAcquire asks the ledger for need tokens, and for the demand of the policy's horizon
// as far as the ledger has enough.
func (h *Holder) sendAcquire(now time.Time, b *budget, need uint64, out *Output) {
	a := &b.acquire
	want := need + h.ahead(now, b)
	unlock := b.unlock(want)
	b.reserve.tokens -= unlock
	b.reserve.requestedRate = h.rateWanted(now, b)
	a.msg = &pb.Acquire{
		Holder: h.self, Budget: b.name, Seq: a.seq + 1,
		Unlock: unlock, Need: need - min(need, unlock), Want: want - unlock,
		Reserve: h.reserveWanted(now, b), AtRiskPermille: b.policy.AtRiskPermille,
		Rate: b.reserve.requestedRate,
	}
	a.first, a.last = now, now
	a.wait = h.cfg.ResendAfter
	a.next = now.Add(a.wait)
	out.Acquires = append(out.Acquires, a.msg)
}

// unlock returns how much of the reserve moves to the open part when want tokens are
// requested: the part of want that exceeds the ledger's free tokens.
func (b *budget) unlock(want uint64) uint64 {
	if !b.levelKnown {
		return 0
	}
	return min(want-min(want, b.ledgerFree), b.reserve.tokens)
}

// ahead returns how many more tokens the host should hold beyond its current need, at most
// what the ledger has. The ledger itself grants less as a budget runs low.
func (h *Holder) ahead(now time.Time, b *budget) uint64 {
	target := b.demand.tokens(now, b.policy, b.policy.Horizon)
	if b.levelKnown {
		target = min(target, b.ledgerFree+b.reserve.tokens)
	}
	if b.levelKnown && b.policy.OpenPermille > 0 {
		const permille = 1000
		target = min(target, b.unbilled/permille*uint64(b.policy.OpenPermille))
	}
	return target - min(target, b.free)
}

// prefetchDivisor sets when tokens are prefetched: when more is missing of the target than
// the free tokens divided by prefetchDivisor, that is, below two thirds of the target.
const prefetchDivisor = 2

// prefetchPause is how long nothing is prefetched after the ledger granted less than was
// wanted. The ledger keeps back a part of a budget's remaining tokens, and the amount that it
// grants changes with every batch of bills, a few times a second.
const prefetchPause = time.Second

// prefetch requests tokens before the host runs out, so that requests don't wait for the
// ledger.
func (h *Holder) prefetch(now time.Time, b *budget, out *Output) {
	if b.acquire.msg != nil || !b.levelKnown || b.ledgerFree+b.reserve.tokens == 0 {
		return
	}
	if now.Sub(b.lastPrefetch) < h.cfg.ResendAfter || now.Sub(b.lastShort) < prefetchPause {
		return
	}
	if b.idle(now) { // otherwise the tokens that an idle budget returned would be fetched again immediately
		return
	}
	missing := h.ahead(now, b)
	short := missing > b.free/prefetchDivisor || h.reserveWanted(now, b) > b.reserve.tokens
	if short || b.reserve.tokens > 0 && b.reserve.rateStale(h.rateWanted(now, b)) {
		b.lastPrefetch = now
		h.sendAcquire(now, b, 1, out)
	}
}

// AcquireAnswered processes the ledger's grant. An answer whose sequence number is not the
// outstanding one is a duplicate and is dropped: its tokens were already counted.
func (h *Holder) AcquireAnswered(now time.Time, budgetName string, seq uint64, r *pb.AcquireResult) Output {
	var out Output
	b, ok := h.outstanding(budgetName, seq)
	if !ok {
		return out
	}
	need, unlocked := b.acquire.msg.GetNeed(), b.acquire.msg.GetUnlock()
	b.reserve.ledgerRate = b.acquire.msg.GetRate()
	if r.GetAmount() < b.acquire.msg.GetWant() {
		b.lastShort = now
	}
	b.acquire = acquire{seq: seq}
	b.free += r.GetAmount() + unlocked
	b.reserve.tokens += r.GetReserve()
	b.setLevel(r.GetFree(), r.GetFunded(), r.GetBilled())
	h.grantWaiters(now, b, &out)
	if r.GetAmount() < need {
		b.markExhausted()
	}
	h.advance(now, b, &out)
	return out
}

func (b *budget) markExhausted() {
	for _, w := range b.waiters {
		w.ledgerTried, w.refusalKind, w.refuseAt = true, errkind.BudgetExhausted, time.Time{}
	}
}

// AcquireRefused processes a definite refusal by the ledger: nothing was granted and the
// sequence number can be used again. All waiters are refused with kind.
func (h *Holder) AcquireRefused(now time.Time, budgetName string, seq uint64, kind errkind.Kind, message string) Output {
	var out Output
	b, ok := h.outstanding(budgetName, seq)
	if !ok {
		return out
	}
	b.reserve.tokens += b.acquire.msg.GetUnlock()
	b.reserve.requestedRate = b.reserve.ledgerRate
	b.acquire = acquire{seq: seq - 1}
	h.refuseAll(b, errkind.New(kind, "budget %s: %s", budgetName, message), &out)
	return out
}

// AcquireFailed reports that the outstanding acquire got no answer: there was no quorum, or
// the call timed out. The acquire may have taken effect, so it is resent unchanged until it
// is answered: soon while waiters still wait for the ledger, then with increasing backoff.
func (h *Holder) AcquireFailed(now time.Time, budgetName string, seq uint64) Output {
	var out Output
	b, ok := h.outstanding(budgetName, seq)
	if !ok {
		return out
	}
	a := &b.acquire
	if soon := now.Add(h.cfg.ResendAfter / 4); !b.ledgerTimedOut(now, h.cfg) && soon.Before(a.next) {
		a.next = soon
	}
	h.advance(now, b, &out)
	return out
}

func (h *Holder) outstanding(budgetName string, seq uint64) (*budget, bool) {
	b, ok := h.budgets[budgetName]
	if !ok || b.acquire.msg == nil || b.acquire.msg.GetSeq() != seq {
		return nil, false
	}
	return b, true
}

func (h *Holder) resendAcquire(now time.Time, b *budget, out *Output) {
	a := &b.acquire
	if a.msg == nil || now.Before(a.next) {
		return
	}
	if b.ledgerTimedOut(now, h.cfg) {
		a.wait = min(2*a.wait, h.cfg.ResendMax)
	}
	h.resend(now, a, out)
}

func (h *Holder) resend(now time.Time, a *acquire, out *Output) {
	a.last = now
	a.next = now.Add(a.wait)
	out.Acquires = append(out.Acquires, a.msg)
}
