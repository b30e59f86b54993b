package linkshare

import (
	"math"
	"time"
)

const (
	// busyRate is the number of requests a second of one account from which a host holds the account's
	// tokens itself while its link is busy.
	busyRate = 20.0
	// quietRate is the rate below which it no longer does.
	quietRate = 10.0
	// rateWindow is the time over which the rate is averaged.
	rateWindow = 2 * time.Second
	// exhaustedPause is how long the tokens of a budget are reserved at its owner after this host could
	// get no more of them.
	exhaustedPause = 5 * time.Second
)

// Ahead decides for which client accounts a host holds tokens itself, so that their requests need no
// call over a busy link. It is not safe for concurrent use.
type Ahead struct {
	accounts map[string]*aheadAccount
}

type aheadAccount struct {
	sum         float64
	at          time.Time
	holds       bool
	pausedUntil time.Time
}

// NewAhead returns an Ahead without accounts.
func NewAhead() *Ahead { return &Ahead{accounts: make(map[string]*aheadAccount)} }

// Request counts a request of an account and reports whether this host holds tokens for it. busy tells
// that the link is busy.
func (a *Ahead) Request(now time.Time, account string, busy bool) bool {
	x := a.accounts[account]
	if x == nil {
		x = &aheadAccount{at: now}
		a.accounts[account] = x
	}
	x.decay(now)
	x.sum++
	rate := x.sum / rateWindow.Seconds()
	switch {
	case busy && rate >= busyRate:
		x.holds = true
	case rate < quietRate:
		x.holds = false
	}
	return x.holds && !now.Before(x.pausedUntil)
}

// Holds reports whether this host holds tokens of an account.
func (a *Ahead) Holds(now time.Time, account string) bool {
	x := a.accounts[account]
	if x == nil {
		return false
	}
	x.decay(now)
	if x.sum/rateWindow.Seconds() < quietRate {
		x.holds = false
	}
	return x.holds && !now.Before(x.pausedUntil)
}

// Exhausted records that this host could get no more tokens of an account.
func (a *Ahead) Exhausted(now time.Time, account string) {
	if x := a.accounts[account]; x != nil {
		x.pausedUntil = now.Add(exhaustedPause)
	}
}

func (x *aheadAccount) decay(now time.Time) {
	x.sum *= math.Exp(-now.Sub(x.at).Seconds() / rateWindow.Seconds())
	x.at = now
}
