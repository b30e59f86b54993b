package grant

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/grant/reserve"
)

// reserveState is a holder's reserve of one budget, which it may spend while the ledger is
// unreachable; see package reserve.
type reserveState struct {
	// ledgerRate is the rate in tokens per second at which the reserve becomes usable, as
	// known to the ledger; requestedRate is the one in the outstanding acquire, if there is one.
	ledgerRate, requestedRate uint64
	// tokens is the remaining reserve. Tokens that an outstanding acquire unlocks are
	// deducted when it is sent, so that they can't be drawn a second time.
	tokens uint64
	// drawn counts the tokens drawn since the last contact with the ledger.
	drawn uint64
	// unreported counts the drawn tokens that are not in a batch yet.
	unreported uint64
}

// usable returns how many tokens may be drawn now.
func (r *reserveState) usable(unreachableFor time.Duration) uint64 {
	limit := reserve.Usable(r.tokens+r.drawn, r.effectiveRate(), unreachableFor)
	return min(limit-min(limit, r.drawn), r.tokens)
}

// effectiveRate returns the rate at which tokens may be drawn: the lower of the two while
// an acquire that changes it is outstanding, as that may or may not have taken effect.
func (r *reserveState) effectiveRate() uint64 { return min(r.ledgerRate, r.requestedRate) }

// rateTolerance is the difference between the wanted rate and the ledger's, in thousandths of
// the latter, above which the ledger is notified of the wanted rate.
const rateTolerance = 200

// rateStale reports whether the ledger's rate differs from the wanted one by more than
// rateTolerance.
func (r *reserveState) rateStale(wanted uint64) bool {
	const permille = 1000
	return max(r.ledgerRate, wanted)-min(r.ledgerRate, wanted) > r.ledgerRate/permille*rateTolerance
}

// usableIn returns the time until the given number of tokens may be drawn; ok is false if
// the reserve will never cover them.
func (r *reserveState) usableIn(tokens uint64, unreachableFor time.Duration) (in time.Duration, ok bool) {
	if r.tokens < tokens || r.effectiveRate() == 0 {
		return 0, false
	}
	return max(reserve.UsableAfter(r.drawn+tokens, r.effectiveRate())-unreachableFor, minUsableIn), true
}

// minUsableIn keeps callers that wait for a reserve from polling continuously.
const minUsableIn = 20 * time.Millisecond

// draw takes tokens out of the reserve.
func (r *reserveState) draw(tokens uint64) {
	r.tokens -= tokens
	r.drawn += tokens
	r.unreported += tokens
}

// RecordContact records that an answer of the ledger was received, which shows that the
// ledger was reachable at some moment after the message was sent. Callers call it once, with
// the answer to the registration; SettleAnswered records the answers to batches.
func (h *Holder) RecordContact(now time.Time) {
	h.lastContact = now
	for _, b := range h.budgets {
		b.reserve.drawn = 0
	}
}

// sinceContact returns the time since the last contact with the ledger; 0 before the first.
func (h *Holder) sinceContact(now time.Time) time.Duration {
	if h.lastContact.IsZero() {
		return 0
	}
	return now.Sub(h.lastContact)
}

// drawReserve makes sure that the given number of tokens is free, by drawing the missing ones
// from the reserve if necessary. It reports false if the reserve may not be used for them.
func (h *Holder) drawReserve(now time.Time, b *budget, tokens uint64) bool {
	missing := tokens - min(tokens, b.free)
	if missing == 0 {
		return true
	}
	if b.reserve.usable(h.sinceContact(now)) < missing {
		return false
	}
	b.reserve.draw(missing)
	b.free += missing
	h.settlement.markPending(now)
	return true
}

// rateWanted returns the rate at which the reserve should become usable, in tokens per second.
func (h *Holder) rateWanted(now time.Time, b *budget) uint64 {
	const permille = 1000
	return b.demand.tokens(now, b.policy, time.Second) * uint64(b.policy.ReserveRatePermille) / permille
}

// reserveWanted returns the number of tokens missing from the reserve required by the policy.
func (h *Holder) reserveWanted(now time.Time, b *budget) uint64 {
	target := b.demand.tokens(now, b.policy, b.policy.Reserve)
	if b.levelKnown {
		target = min(target, b.ledgerFree)
	}
	return target - min(target, b.reserve.tokens)
}

// returnExcessReserve returns this holder's part of the excess when all holders together hold
// more of the budget's unbilled tokens than the policy allows. Without it the last tokens of
// a budget would stay in reserves that nobody may spend while the ledger is reachable.
func (h *Holder) returnExcessReserve(now time.Time, b *budget) {
	if b.reserve.tokens == 0 || b.policy.AtRiskPermille == 0 || !b.levelKnown || now.Sub(b.reserveReturned) < reserveReturnInterval {
		return
	}
	const permille = 1000
	bound := b.unbilled / permille * uint64(b.policy.AtRiskPermille)
	granted := b.unbilled - min(b.unbilled, b.ledgerFree)
	if granted <= bound+bound/reserveReturnSlack {
		return
	}
	b.reserveReturned = now
	excess := uint64(float64(b.reserve.tokens) * float64(granted-bound) / float64(granted))
	h.returnReserveTokens(now, b, excess)
}

func (h *Holder) returnReserveTokens(now time.Time, b *budget, tokens uint64) {
	if tokens == 0 {
		return
	}
	h.settlement.addReserveReturn(now, b.name, tokens)
	b.reserve.tokens -= tokens
	b.returning += tokens
}

const (
	// reserveReturnInterval is the minimum time between returns of a reserve: the ledger's
	// answer to the previous return has to show its effect first.
	reserveReturnInterval = time.Second
	// reserveReturnSlack sets how far the bound may be exceeded before anything is returned:
	// by the bound divided by reserveReturnSlack.
	reserveReturnSlack = 4
)

// refreshContact makes a batch due even if there is nothing to settle when the last contact is
// older than ContactInterval: if this holder dies, the ledger counts its reserve as spent
// according to the time since the last contact.
func (h *Holder) refreshContact(now time.Time) {
	if h.settlement.busy() || h.sinceContact(now) < h.cfg.ContactInterval {
		return
	}
	for _, b := range h.budgets {
		if b.reserve.tokens > 0 {
			h.settlement.markPending(now)
			return
		}
	}
}
