package ledger

// reserveRate is the rate in tokens per second at which a holder's reserve becomes usable
// while the ledger is unreachable; see package reserve.
//
// The current rate alone is not enough: a holder may spend from its reserve during a
// partition, then request a lower rate before it has reported what it spent, and die. The
// ledger would use the lower rate and free tokens that were spent.
type reserveRate struct {
	Rate uint64 `json:"rate"`
	// HighestBefore is the highest rate that was in force before Changed and may still have
	// been in force at the holder's last contact.
	HighestBefore uint64 `json:"before,omitempty"`
	// Changed is when Rate took effect, in Unix milliseconds.
	Changed int64 `json:"changed,omitempty"`
}

// set changes the rate. confirmed is a time that is certainly before the holder's last
// contact.
func (o *reserveRate) set(rate uint64, now, confirmed int64) {
	if rate == o.Rate {
		return
	}
	o.HighestBefore, o.Changed = o.highestSince(confirmed), now
	o.Rate = rate
}

// highestSince returns the highest rate that was in force at any moment since confirmed.
func (o *reserveRate) highestSince(confirmed int64) uint64 {
	if confirmed > o.Changed {
		return o.Rate
	}
	return max(o.Rate, o.HighestBefore)
}
