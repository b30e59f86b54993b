package grant

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/grant/reserve"
)

// outOfContact is what a holder may spend of a budget's reserve while the ledger is out
// of reach; see package reserve.
type outOfContact struct {
	// rate at which the reserve opens, in tokens a second, as the ledger knows it; asked is
	// the one in the outstanding acquire, if there is one.
	rate, asked uint64
	// reserve is what is left of it. Tokens that an outstanding acquire unlocks are taken
	// off when it is sent, so that they can't be taken a second time.
	reserve uint64
	// taken since the last contact.
	taken uint64
	// untold was taken and is not in a batch yet.
	untold uint64
}

// usable is how much may be taken now.
func (r *outOfContact) usable(without time.Duration) uint64 {
	limit := reserve.Usable(r.reserve+r.taken, r.opens(), without)
	return min(limit-min(limit, r.taken), r.reserve)
}

// opens is the rate that may be counted on: the lower one while an acquire that changes it is
// outstanding, as that may or may not have taken effect.
func (r *outOfContact) opens() uint64 { return min(r.rate, r.asked) }

// rateStep is the part of the rate, in thousandths, by which the demand has to differ from it
// before the ledger is told.
const rateStep = 200

// stale tells whether the rate that the ledger knows differs much from the wanted one.
func (r *outOfContact) stale(wanted uint64) bool {
	const whole = 1000
	return max(r.rate, wanted)-min(r.rate, wanted) > r.rate/whole*rateStep
}

// opensIn is when so many more tokens may be taken; ok is false if that is never.
func (r *outOfContact) opensIn(tokens uint64, without time.Duration) (in time.Duration, ok bool) {
	if r.reserve < tokens || r.opens() == 0 {
		return 0, false
	}
	return max(reserve.UsableAfter(r.taken+tokens, r.opens())-without, minOpensIn), true
}

// minOpensIn keeps those who wait for a reserve from asking all the time.
const minOpensIn = 20 * time.Millisecond

// take moves tokens out of the reserve.
func (r *outOfContact) take(tokens uint64) {
	r.reserve -= tokens
	r.taken += tokens
	r.untold += tokens
}

// RecordContact tells that the ledger's answer to a message of this holder was received, which
// shows that it was in reach at some moment after the message was sent. Call it once,
// with the answer to the registration; answers to batches are noted by SettleAnswered.
func (h *Holder) RecordContact(now time.Time) {
	h.contact = now
	for _, b := range h.budgets {
		b.out.taken = 0
	}
}

// withoutContact is the time since the last contact; 0 before the first.
func (h *Holder) withoutContact(now time.Time) time.Duration {
	if h.contact.IsZero() {
		return 0
	}
	return now.Sub(h.contact)
}

// drawReserve makes up what is missing for tokens out of the reserve, if it may.
func (h *Holder) drawReserve(now time.Time, b *budget, tokens uint64) bool {
	missing := tokens - min(tokens, b.free)
	if missing == 0 {
		return true
	}
	if b.out.usable(h.withoutContact(now)) < missing {
		return false
	}
	b.out.take(missing)
	b.free += missing
	h.settlement.touch(now)
	return true
}

// rateWanted is the rate at which the reserve should open, in tokens a second.
func (h *Holder) rateWanted(now time.Time, b *budget) uint64 {
	const whole = 1000
	return b.demand.tokens(now, b.policy, time.Second) * uint64(b.policy.ReserveRatePermille) / whole
}

// reserveWanted is how much is missing of the reserve that the policy asks for.
func (h *Holder) reserveWanted(now time.Time, b *budget) uint64 {
	target := b.demand.tokens(now, b.policy, b.policy.Reserve)
	if b.levelKnown {
		target = min(target, b.level)
	}
	return target - min(target, b.out.reserve)
}

// returnReserve gives back the part of the reserve by which all holders together hold
// more of what is left of the budget than the policy allows. Without it the last tokens
// of a budget would lie in reserves that nobody may spend while the ledger is in reach.
func (h *Holder) returnReserve(now time.Time, b *budget) {
	if b.out.reserve == 0 || b.policy.AtRiskPermille == 0 || !b.levelKnown || now.Sub(b.reserveReturned) < returnEvery {
		return
	}
	const whole = 1000
	most := b.left / whole * uint64(b.policy.AtRiskPermille)
	granted := b.left - min(b.left, b.level)
	if granted <= most+most/returnSlack {
		return
	}
	b.reserveReturned = now
	excess := uint64(float64(b.out.reserve) * float64(granted-most) / float64(granted))
	h.giveReserveBack(now, b, excess)
}

func (h *Holder) giveReserveBack(now time.Time, b *budget, tokens uint64) {
	if tokens == 0 {
		return
	}
	h.settlement.giveReserveBack(now, b.name, tokens)
	b.out.reserve -= tokens
	b.returning += tokens
}

const (
	// returnEvery spaces the returns of a reserve: the ledger's answer to the last one
	// has to show its effect first.
	returnEvery = time.Second
	// returnSlack is the part, one in so many, by which the bound may be passed before
	// anything is returned.
	returnSlack = 4
)

// keepContact has a batch sent, though there is nothing to settle, when the last contact
// was some time ago: the ledger counts the time from there if this holder is lost, and
// counts the more of its reserve as spent.
func (h *Holder) keepContact(now time.Time) {
	if h.settlement.busy() || h.withoutContact(now) < h.cfg.ContactInterval {
		return
	}
	for _, b := range h.budgets {
		if b.out.reserve > 0 {
			h.settlement.touch(now)
			return
		}
	}
}
