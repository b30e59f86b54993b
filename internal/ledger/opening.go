package ledger

// reserveRate is the rate at which a holder's reserve opens while it is out of contact, in tokens
// a second; see package reserve.
//
// What goes wrong when only the present rate is known: a holder spends from its reserve in a
// partition, asks for a lower rate before it has told what it spent, and is lost. The ledger
// would count by the lower rate, and free tokens that were used.
type reserveRate struct {
	Rate uint64 `json:"rate"`
	// HighestBefore is the highest rate that was in force before Changed and may still have been
	// when the holder had its last contact.
	HighestBefore uint64 `json:"before,omitempty"`
	// Changed is when Rate came into force, in Unix milliseconds.
	Changed int64 `json:"changed,omitempty"`
}

// set puts a rate in force. confirmed is a time at which the holder surely had not had its
// last contact.
func (o *reserveRate) set(rate uint64, now, confirmed int64) {
	if rate == o.Rate {
		return
	}
	o.HighestBefore, o.Changed = o.highestSince(confirmed), now
	o.Rate = rate
}

// highestSince is the highestSince rate in force at any moment since confirmed.
func (o *reserveRate) highestSince(confirmed int64) uint64 {
	if confirmed > o.Changed {
		return o.Rate
	}
	return max(o.Rate, o.HighestBefore)
}
