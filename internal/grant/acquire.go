package grant

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// When refused requests may come back.
const (
	// RetryAfterExhausted: a budget without tokens needs a top-up or the end of requests
	// whose worst case is set aside.
	RetryAfterExhausted = 5 * time.Second
	// RetryAfterUnreachable and MaxRetryUnreachable bound when a caller may come back whose
	// tokens are out of reach: a partition that has lasted for a time lasts as long again, as
	// far as anybody knows.
	RetryAfterUnreachable    = time.Second
	MaxRetryAfterUnreachable = 3 * time.Second
)

// acquire is the one outstanding request for tokens of a budget. All waiters share it.
type acquire struct {
	msg *pb.Acquire // nil: none outstanding
	seq uint64      // last number that the ledger answered
	// first is when it was first sent, last when it was last sent, next when it is sent
	// again, wait the present backoff.
	first, last, next time.Time
	wait              time.Duration
}

// advance moves a budget's waiters on: grant, ask the ledger, ask the peers, refuse.
func (h *Holder) advance(now time.Time, b *budget, out *Output) {
	h.serve(now, b, out)
	if h.draining {
		return
	}
	h.endRound(now, b, out)
	h.refuseHelpless(now, b, out)
	if len(b.waiters) == 0 {
		h.fetchAhead(now, b, out)
		return
	}
	if b.acquire.msg != nil && !b.ledgerSilent(now, h.cfg) {
		return
	}
	if b.acquire.msg != nil {
		h.giveUpOnLedger(now, b, out)
	}
	if b.untried() {
		h.sendAcquire(now, b, b.shortage(), out)
	}
	if b.round == nil {
		h.startRound(now, b, out)
	}
}

// ledgerSilent tells whether waiters should no longer wait for the outstanding acquire.
// Counted from its first send: one lost answer is made good by a resend before anybody is
// refused, and in a long cut nobody waits.
func (b *budget) ledgerSilent(now time.Time, cfg Config) bool {
	return now.Sub(b.acquire.first) >= cfg.LedgerTimeout
}

// giveUpOnLedger lets the new waiters look to the peers, and meanwhile sends the
// outstanding acquire once more: they are refused only if that isn't answered in time.
//
// Without this probe the end of a cut would be noticed at the end of a long backoff, and
// requests refused until then though the ledger has tokens.
func (h *Holder) giveUpOnLedger(now time.Time, b *budget, out *Output) {
	if !b.untried() {
		return
	}
	if now.Sub(b.acquire.last) >= h.cfg.ProbeTimeout {
		h.sendAgain(now, &b.acquire, out)
	}
	for _, w := range b.waiters {
		if !w.tried {
			w.tried, w.why, w.notBefore = true, errkind.BudgetUnreachable, now.Add(h.cfg.ProbeTimeout)
		}
	}
}

func (b *budget) untried() bool {
	for _, w := range b.waiters {
		if !w.tried {
			return true
		}
	}
	return false
}

// shortage is what is missing to grant every waiter.
func (b *budget) shortage() uint64 {
	var sum uint64
	for _, w := range b.waiters {
		sum += w.tokens
	}
	return sum - min(sum, b.free)
}

// sendAcquire asks the ledger for need and, if it has plenty, for the demand of the
// policy's horizon as well.
func (h *Holder) sendAcquire(now time.Time, b *budget, need uint64, out *Output) {
	a := &b.acquire
	want := need + h.ahead(now, b)
	unlock := b.unlock(want)
	b.out.reserve -= unlock
	b.out.asked = h.rateWanted(now, b)
	a.msg = &pb.Acquire{
		Holder: h.self, Budget: b.name, Seq: a.seq + 1,
		Unlock: unlock, Need: need - min(need, unlock), Want: want - unlock,
		Reserve: h.reserveWanted(now, b), AtRiskPermille: b.policy.AtRiskPermille,
		Rate: b.out.asked,
	}
	a.first, a.last = now, now
	a.wait = h.cfg.ResendAfter
	a.next = now.Add(a.wait)
	out.Acquires = append(out.Acquires, a.msg)
}

// unlock is how much of the reserve goes to the open part when want is asked for: what the
// ledger has not enough of.
func (b *budget) unlock(want uint64) uint64 {
	if !b.levelKnown {
		return 0
	}
	return min(want-min(want, b.level), b.out.reserve)
}

// ahead is how many tokens the host would hold beyond its present need, as far as the
// ledger has them. The ledger itself gives less as a budget runs low.
func (h *Holder) ahead(now time.Time, b *budget) uint64 {
	target := b.demand.tokens(now, b.policy, b.policy.Horizon)
	if b.levelKnown {
		target = min(target, b.level+b.out.reserve)
	}
	if b.levelKnown && b.policy.OpenPermille > 0 {
		const whole = 1000
		target = min(target, b.left/whole*uint64(b.policy.OpenPermille))
	}
	return target - min(target, b.free)
}

// fetchBelow has tokens fetched ahead when the part that is missing of the target is more
// than one in so many of what is free: at two thirds of the target.
const fetchBelow = 2

// shortPause is how long nothing is fetched ahead after the ledger gave less than was
// wanted. It keeps a part of what is left of a budget to itself, and what it gives changes
// with what is billed, a few times a second.
const shortPause = time.Second

// fetchAhead asks for tokens before the host runs short, so that requests don't wait
// for the ledger.
func (h *Holder) fetchAhead(now time.Time, b *budget, out *Output) {
	if b.acquire.msg != nil || !b.levelKnown || b.level+b.out.reserve == 0 {
		return
	}
	if now.Sub(b.fetched) < h.cfg.ResendAfter || now.Sub(b.short) < shortPause {
		return
	}
	if b.idle(now) { // else what an idle budget returned would be fetched again at once
		return
	}
	missing := h.ahead(now, b)
	short := missing > b.free/fetchBelow || h.reserveWanted(now, b) > b.out.reserve
	if short || b.out.reserve > 0 && b.out.stale(h.rateWanted(now, b)) {
		b.fetched = now
		h.sendAcquire(now, b, 1, out)
	}
}

// AcquireAnswered takes the ledger's grant. An answer to any but the outstanding
// number is a duplicate and is dropped: its tokens were counted before.
func (h *Holder) AcquireAnswered(now time.Time, budgetName string, seq uint64, r *pb.AcquireResult) Output {
	var out Output
	b, ok := h.outstanding(budgetName, seq)
	if !ok {
		return out
	}
	need, unlocked := b.acquire.msg.GetNeed(), b.acquire.msg.GetUnlock()
	b.out.rate = b.acquire.msg.GetRate()
	if r.GetAmount() < b.acquire.msg.GetWant() {
		b.short = now
	}
	b.acquire = acquire{seq: seq}
	b.free += r.GetAmount() + unlocked
	b.out.reserve += r.GetReserve()
	b.setLevel(r.GetFree(), r.GetFunded(), r.GetBilled())
	h.serve(now, b, &out)
	if r.GetAmount() < need {
		b.markExhausted()
	}
	h.advance(now, b, &out)
	return out
}

func (b *budget) markExhausted() {
	for _, w := range b.waiters {
		w.tried, w.why, w.notBefore = true, errkind.BudgetExhausted, time.Time{}
	}
}

// AcquireRefused takes the ledger's definite refusal: nothing was granted and the
// number is free again. All waiters are refused with kind.
func (h *Holder) AcquireRefused(now time.Time, budgetName string, seq uint64, kind errkind.Kind, message string) Output {
	var out Output
	b, ok := h.outstanding(budgetName, seq)
	if !ok {
		return out
	}
	b.out.reserve += b.acquire.msg.GetUnlock()
	b.out.asked = b.out.rate
	b.acquire = acquire{seq: seq - 1}
	h.refuseAll(b, errkind.New(kind, "budget %s: %s", budgetName, message), &out)
	return out
}

// AcquireFailed tells that the outstanding acquire got no answer: no quorum, or none in
// time. It may still have taken effect, so it is resent the same until it is answered:
// soon while waiters count on the ledger, then in longer and longer steps.
func (h *Holder) AcquireFailed(now time.Time, budgetName string, seq uint64) Output {
	var out Output
	b, ok := h.outstanding(budgetName, seq)
	if !ok {
		return out
	}
	a := &b.acquire
	if soon := now.Add(h.cfg.ResendAfter / 4); !b.ledgerSilent(now, h.cfg) && soon.Before(a.next) {
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
	if b.ledgerSilent(now, h.cfg) {
		a.wait = min(2*a.wait, h.cfg.ResendMax)
	}
	h.sendAgain(now, a, out)
}

func (h *Holder) sendAgain(now time.Time, a *acquire, out *Output) {
	a.last = now
	a.next = now.Add(a.wait)
	out.Acquires = append(out.Acquires, a.msg)
}
