package linkshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// requestShare is the share of the link that requests may use. The rest is for traffic between hosts
	// and for the requests of callers that are rejected.
	requestShare = 0.8
	// requestBurst is how long an account may exceed its part of it.
	requestBurst = 250 * time.Millisecond
	// urgentShare is the part of an account's burst by which requests of rank 0 may exceed it further.
	urgentShare = 0.25
	// requestOverhead is what a request adds to the link beyond its body, in bytes: its headers and an
	// answer of usual size.
	requestOverhead = 2 << 10
	// smallRequest is the size in bytes, with overhead, below which requests always pass: they cost the
	// link less than rejecting them and receiving them again.
	smallRequest = 4 << 10
	// askedWindow is the time over which it is averaged what each account's callers send.
	askedWindow = time.Second
	// forgetAfter is the time after which an account that sends nothing is forgotten.
	forgetAfter = 30 * time.Second
	// Rejected callers come back after minReturn and up to maxSpread more: the further an account is
	// beyond its part, the more the returns are spread.
	minReturn = 500 * time.Millisecond
	minSpread = time.Second
	maxSpread = 4 * time.Second
)

// Request is what Shares needs to know of a request.
type Request struct {
	Account string
	// Weight of the account; 0 counts as 1.
	Weight uint64
	// Rank is the request's priority, 0 being the most urgent.
	Rank int
	// Body is the size of the body in bytes.
	Body int
}

// Shares divides a full link between client accounts: an account that asks for less than its part by
// weight gets all it asks for, and the others divide the rest. It is not safe for concurrent use.
type Shares struct {
	// rate is what requests may use of the link, in bytes a second.
	rate     float64
	accounts map[string]*account
	// left is what all accounts together have of the burst at time at: the parts follow what accounts
	// ask for with a delay, and may come to more than the rate for a while.
	left float64
	at   time.Time
}

// account is what is known of an account's requests; all in bytes, rates by second.
type account struct {
	weight float64
	// asked is the decaying sum of what its callers sent.
	asked float64
	// part is the rate that it may use while the others leave room, left what it has of its burst at time
	// at. fair is its part if all asked for more, sure what it has of that burst.
	part, left, fair, sure float64
	at                     time.Time
	// wanted is wants, and need wanted by weight, as of the last divide.
	wanted, need float64
}

// NewShares makes the shares of a link that carries the given bytes a second in each direction.
func NewShares(bytesPerSecond float64) *Shares {
	return &Shares{rate: requestShare * bytesPerSecond, left: math.Inf(1), accounts: make(map[string]*account)}
}

// Admit decides on a request. If it is rejected, its caller may come back after the returned time,
// which draw, a random number from 0 to 1, spreads.
func (s *Shares) Admit(now time.Time, r Request, draw float64) (ok bool, after time.Duration) {
	a := s.account(now, r)
	size := float64(max(r.Body, 0) + requestOverhead)
	a.refill(now)
	a.asked += size
	s.divide(now)
	s.left = min(s.left+s.rate*now.Sub(s.at).Seconds(), s.rate*requestBurst.Seconds())
	s.at = now
	a.left, a.sure = min(a.left, a.part*requestBurst.Seconds()), min(a.sure, a.fair*requestBurst.Seconds())
	spare := hasRoom(a.left, a.part, r.Rank) && hasRoom(s.left, s.rate, r.Rank)
	if size >= smallRequest && !spare && !hasRoom(a.sure, a.fair, r.Rank) {
		return false, a.returnAfter(draw)
	}
	a.left, a.sure, s.left = take(a.left, a.part, size), take(a.sure, a.fair, size), take(s.left, s.rate, size)
	return true, 0
}

// hasRoom reports whether a request of a rank fits into what is left of the burst of a rate.
func hasRoom(left, rate float64, rank int) bool {
	if rank <= 0 {
		return left > -urgentShare*rate*requestBurst.Seconds()
	}
	return left > 0
}

// take returns what is left of the burst of a rate after a request. Small requests can't use up more than
// the next burst as well.
func take(left, rate, size float64) float64 {
	return max(left-size, -max(rate*requestBurst.Seconds(), size))
}

func (s *Shares) account(now time.Time, r Request) *account {
	a := s.accounts[r.Account]
	if a == nil {
		a = &account{at: now, part: s.rate, left: math.Inf(1), sure: math.Inf(1)}
		s.accounts[r.Account] = a
	}
	a.weight = float64(max(r.Weight, 1))
	return a
}

// divide sets each account's part: what it asks for if all can have that, else its max-min fair part by
// weight.
func (s *Shares) divide(now time.Time) {
	active := make([]*account, 0, len(s.accounts))
	weights := 0.0
	for name, a := range s.accounts {
		idle := now.Sub(a.at)
		if idle > forgetAfter {
			delete(s.accounts, name)
			continue
		}
		a.wanted = a.wants(now)
		a.need = a.wanted / a.weight
		active = append(active, a)
		weights += a.weight
	}
	slices.SortFunc(active, func(a, b *account) int { return cmp.Compare(a.need, b.need) })
	left, sum := s.rate, weights
	for _, a := range active {
		a.fair = s.rate * a.weight / sum
		fair := left * a.weight / weights
		// An account may begin to send more at any time, so its part is never less than the fair one.
		a.part = fair
		left -= min(a.wanted, fair)
		weights -= a.weight
	}
}

// wants returns the rate at which the account's callers send.
func (a *account) wants(now time.Time) float64 {
	return a.asked * a.decay(now) / askedWindow.Seconds()
}

func (a *account) decay(now time.Time) float64 {
	return math.Exp(-now.Sub(a.at).Seconds() / askedWindow.Seconds())
}

// refill adds what the account may use for the time since its last request.
func (a *account) refill(now time.Time) {
	a.asked *= a.decay(now)
	passed := now.Sub(a.at).Seconds()
	a.left, a.sure = a.left+a.part*passed, a.sure+a.fair*passed
	a.at = now
}

// returnAfter returns when a rejected caller may come back.
func (a *account) returnAfter(draw float64) time.Duration {
	beyond := a.asked/askedWindow.Seconds()/max(a.part, 1) - 1
	spread := time.Duration(2 * beyond * float64(time.Second))
	spread = min(max(spread, minSpread), maxSpread)
	return minReturn + time.Duration(min(max(draw, 0), 1)*float64(spread))
}
