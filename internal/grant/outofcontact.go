package grant

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/grant/reserve"
)

// outOfContact is what a holder may spend of a budget's reserve while the ledger is out
// of reach; see package reserve.
type outOfContact struct {
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
	limit := reserve.Usable(r.reserve+r.taken, without)
	return min(limit-min(limit, r.taken), r.reserve)
}

// take moves tokens out of the reserve.
func (r *outOfContact) take(tokens uint64) {
	r.reserve -= tokens
	r.taken += tokens
	r.untold += tokens
}

// Contact tells that the ledger's answer to a message of this holder was received, which
// shows that it was in reach at some moment after the message was sent. Call it once,
// with the answer to the registration; answers to batches are noted by SettleAnswered.
func (h *Holder) Contact(now time.Time) {
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
	if h.settlement.busy() || h.withoutContact(now) < h.cfg.ContactEvery {
		return
	}
	for _, b := range h.budgets {
		if b.out.reserve > 0 {
			h.settlement.touch(now)
			return
		}
	}
}
