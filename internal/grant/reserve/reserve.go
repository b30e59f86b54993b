// Package reserve computes which part of its grant a holder may spend while the ledger is
// unreachable, as a function of time. Holder and ledger use the same function, each with
// its own clock, and the ledger's result is never smaller than the holder's.
//
// A grant has an open part, which its holder may spend at any time, and a reserve, which
// it may spend only while the ledger is unreachable: nothing during the first HoldPeriod,
// then at a fixed rate in tokens per second. When a holder dies, all that it may have spent
// counts as spent: the open part, and the part of the reserve that became usable in the time
// since its last contact. The rest is free again.
//
// The rate is that of the budget's demand, or slightly higher. A higher rate would allow
// bursts during a partition, but if all hosts die during or right after the partition, the
// difference between what it allowed and what the holders spent is lost. With a rate close to
// the demand that difference is small, however large the reserve is.
//
// It is safe for these reasons:
//
//   - The holder measures the time from the moment at which it received the acknowledgement
//     of a settlement batch. The ledger measures it from the moment at which it applied the
//     batch before the last one: the last batch proves that the holder received the
//     acknowledgement of the one before, which was applied even earlier. So the ledger
//     measures a longer time.
//   - The holder uses the lower of two rates while it does not know which one is in force at
//     the ledger. The ledger uses the highest rate that was in force at any moment since the
//     start of its measurement.
//   - A suspended machine measures less time than has passed, and spends less.
//   - The ledger's time is the longer of those measured by the clocks of its leaders and by
//     the clock of the restarting host, plus Margin. It would be too short only if all of
//     these clocks had been set back during the outage by more than Margin.
package reserve

import (
	"math/bits"
	"time"
)

const (
	// HoldPeriod is the time after the last contact in which none of the reserve may be
	// spent. A leader election, or a restart of the whole fleet, takes less time.
	HoldPeriod = 2500 * time.Millisecond
	// Margin is added by the ledger to the time that it measures.
	Margin = time.Second
	// unit is the resolution of the integer arithmetic, which gives the same results on
	// every machine.
	unit = time.Millisecond
)

// Usable returns how much of a reserve may be spent when the ledger has been unreachable for
// the given time. rate is in tokens per second.
func Usable(tokens, rate uint64, unreachableFor time.Duration) uint64 {
	after := unreachableFor - HoldPeriod
	if after <= 0 {
		return 0
	}
	const unitsPerSecond = uint64(time.Second / unit)
	high, low := bits.Mul64(rate, uint64(after/unit))
	if high >= unitsPerSecond { // the quotient would overflow
		return tokens
	}
	usable, _ := bits.Div64(high, low, unitsPerSecond)
	return min(tokens, usable)
}

// UsableAfter returns how long the ledger must have been unreachable until the given number of
// tokens of a reserve may be spent. rate must not be 0.
func UsableAfter(tokens, rate uint64) time.Duration {
	const longest = 24 * time.Hour
	seconds := float64(tokens) / float64(rate)
	if seconds > longest.Seconds() {
		return longest
	}
	return HoldPeriod + time.Duration(seconds*float64(time.Second)) + unit
}

// CountedAsSpent returns how much of a reserve the ledger must count as spent when its holder
// died after it had been without contact for the given time, as measured by the ledger. If the
// rate is unknown (0), all of the reserve counts as spent.
func CountedAsSpent(tokens, rate uint64, unreachableFor time.Duration) uint64 {
	if rate == 0 {
		return tokens
	}
	return Usable(tokens, rate, unreachableFor+Margin)
}
