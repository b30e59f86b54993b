package balance

import "time"

const (
	// activeFor is how long after its last request an account counts when room is divided.
	activeFor = 2 * time.Second
	// useWindow is the time over which an account's requests are counted.
	useWindow = 2 * time.Second
	// maxAccountUses bounds the accounts that are remembered per service; accounts beyond it are not
	// told apart.
	maxAccountUses = 4096
	// keptForOthers divides the room: an account beyond its share leaves that part of it to others.
	keptForOthers = 6
	// shareTolerance is by how much an account's requests may exceed its share, as a factor: few requests
	// vary much.
	shareTolerance = 1.25
)

// accountUse is an account's use of a plain service.
type accountUse struct {
	weight  float64
	running int
	// started counts the requests that got a server, with a weight that decays within useWindow, as of
	// startedAt.
	started            float64
	startedAt, askedAt time.Time
}

func (u *accountUse) active(now time.Time) bool {
	return u.running > 0 || now.Sub(u.askedAt) < activeFor
}

func (u *accountUse) begin(now time.Time) {
	u.running++
	u.started, u.startedAt = u.recent(now)+1, now
}

// recent returns the number of requests that got a server recently.
func (u *accountUse) recent(now time.Time) float64 {
	return u.started * decayed(now.Sub(u.startedAt), useWindow)
}

// accountUses holds the accounts of a service by name.
type accountUses map[string]*accountUse

// ask returns the use of an account that wants a server.
func (a accountUses) ask(now time.Time, account string, weight uint64) *accountUse {
	u := a[account]
	if u == nil && len(a) >= maxAccountUses {
		a.expire(now)
		if len(a) >= maxAccountUses {
			account = ""
			u = a[account]
		}
	}
	if u == nil {
		u = &accountUse{}
		a[account] = u
	}
	u.weight, u.askedAt = float64(max(weight, 1)), now
	return u
}

// expire drops accounts that have not been used for useWindow.
func (a accountUses) expire(now time.Time) {
	for name, u := range a {
		if u.running == 0 && now.Sub(u.askedAt) > useWindow {
			delete(a, name)
		}
	}
}

// share returns the part of scarce room that is due to an account, 1 if no other account is active, and
// the part of the recent requests that were its own.
func (a accountUses) share(now time.Time, of *accountUse) (due, used float64) {
	weights, recent := 0.0, 0.0
	for _, u := range a {
		if u == of || u.active(now) {
			weights, recent = weights+u.weight, recent+u.recent(now)
		}
	}
	return of.weight / weights, of.recent(now) / max(recent, 1)
}

// mayBegin reports whether an account may have one more request at servers with room for limit requests,
// of which taken are taken. Beyond its share it leaves a part of the room free, so that other accounts
// find room at once.
func (a accountUses) mayBegin(now time.Time, u *accountUse, taken, limit int) bool {
	if taken+1 <= limit-limit/keptForOthers {
		return true
	}
	due, used := a.share(now, u)
	return used <= due*shareTolerance
}
