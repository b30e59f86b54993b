// Package reserve says which part of a holder's grant it may spend while it is out of
// contact with the ledger, as a function of time. Holder and ledger use the same
// function, each with its own clock, and the ledger's answer is never the smaller one.
//
// A grant has an open part, which its holder may spend at any time, and a reserve, which
// it may spend only while the ledger is out of reach: nothing of it for the first Hold, then
// so many tokens a second. When a holder is lost without a word, what it may have spent counts
// as spent: the open part, and what of the reserve the time since its last contact allows. The
// rest is free again.
//
// The rate is that of the budget's demand or little more. A reserve that opens faster serves
// bursts in a partition, and costs all that it let the holder spend beyond what it did spend
// when all hosts are lost in or right after the partition. One that opens as fast as its
// callers ask costs little whenever that happens, however much is held.
//
// What makes it safe:
//
//   - The holder counts from the moment at which it received the acknowledgement of a
//     settlement batch. The ledger counts from the moment at which it applied the batch
//     before the last one: that the last one came shows that its acknowledgement was
//     received, and it was applied before that. So the ledger counts more time.
//   - The holder uses the lower of two rates while it does not know which is in force at the
//     ledger. The ledger counts by the highest that was in force at any moment since the one
//     it counts from.
//   - A machine that is suspended counts less time than has passed, and spends less.
//   - The ledger's time is taken from the clocks of its leaders and of the host that
//     starts again, whichever says more, plus Margin. It would be too short only if all of
//     these clocks had been set back within the outage, by more than Margin.
package reserve

import (
	"math/bits"
	"time"
)

const (
	// HoldPeriod is the time without contact in which nothing of the reserve may be spent. An
	// election of a leader, or a restart of the whole fleet, takes less.
	HoldPeriod = 2500 * time.Millisecond
	// Margin is what the ledger adds to its own count of time.
	Margin = time.Second
	// unit keeps the arithmetic in whole numbers, the same on every machine.
	unit = time.Millisecond
)

// Usable is how much of a reserve that opens at rate, in tokens a second, may be spent after
// the time without contact.
func Usable(tokens, rate uint64, without time.Duration) uint64 {
	after := without - HoldPeriod
	if after <= 0 {
		return 0
	}
	const unitsPerSecond = uint64(time.Second / unit)
	high, low := bits.Mul64(rate, uint64(after/unit))
	if high >= unitsPerSecond { // the quotient would overflow
		return tokens
	}
	opened, _ := bits.Div64(high, low, unitsPerSecond)
	return min(tokens, opened)
}

// UsableAfter is the time without contact after which so many tokens of a reserve may be spent.
// rate must not be 0.
func UsableAfter(tokens, rate uint64) time.Duration {
	const longest = 24 * time.Hour
	seconds := float64(tokens) / float64(rate)
	if seconds > longest.Seconds() {
		return longest
	}
	return HoldPeriod + time.Duration(seconds*float64(time.Second)) + unit
}

// CountedAsSpent is how much of a reserve the ledger must count as spent when its holder is
// lost after the time without contact, as the ledger counts it. Of a reserve whose rate is not
// known, 0, all counts.
func CountedAsSpent(tokens, rate uint64, without time.Duration) uint64 {
	if rate == 0 {
		return tokens
	}
	return Usable(tokens, rate, without+Margin)
}
