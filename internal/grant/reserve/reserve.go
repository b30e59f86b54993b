// Package reserve says which part of a holder's grant it may spend while it is out of
// contact with the ledger, as a function of time. Holder and ledger use the same
// function, each with its own clock, and the ledger's answer is never the smaller one.
//
// A grant has an open part, which its holder may spend at any time, and a reserve, which
// it may spend only while the ledger is out of reach: nothing of it for the first Hold,
// then more and more until after Span all of it. When a holder is lost without a word,
// what it may have spent counts as spent. With the reserve that is the open part and as
// much of the reserve as the time since its last contact allows; without it, all that it
// held. A fleet that lives through a partition of some seconds holds a large part of what
// is left of a budget, and the loss of all hosts at once would leave nothing of it.
//
// What makes it safe:
//
//   - The holder counts from the moment at which it received the acknowledgement of a
//     settlement batch. The ledger counts from the moment at which it applied the batch
//     before the last one: that the last one came shows that its acknowledgement was
//     received, and it was applied before that. So the ledger counts more time.
//   - A machine that is suspended counts less time than has passed, and spends less.
//   - The ledger's time is taken from the clocks of its leaders and of the host that
//     starts again, whichever says more, plus Margin. It would be too short only if all of
//     these clocks had been set back within the outage, by more than Margin.
package reserve

import "time"

const (
	// Hold is the time without contact in which nothing of the reserve may be spent. An
	// election of a leader, or a restart of the whole fleet, takes less.
	Hold = 3 * time.Second
	// Span is the time after Hold in which the whole reserve becomes usable.
	Span = 5 * time.Second
	// Margin is what the ledger adds to its own count of time.
	Margin = time.Second
	// scale keeps the arithmetic in whole numbers, the same on every machine.
	scale = 1000
)

// Usable is how much of a reserve may be spent after the time without contact.
func Usable(tokens uint64, without time.Duration) uint64 {
	after := without - Hold
	if after <= 0 {
		return 0
	}
	if after >= Span {
		return tokens
	}
	permille := uint64(after * scale / Span)
	return tokens/scale*permille + tokens%scale*permille/scale
}

// PerhapsSpent is how much of a reserve the ledger must count as spent when its holder is
// lost after the time without contact, as the ledger counts it.
func PerhapsSpent(tokens uint64, without time.Duration) uint64 {
	// One thousandth more: Usable rounds down, at another moment.
	return min(tokens, Usable(tokens, without+Margin)+tokens/scale+1)
}
