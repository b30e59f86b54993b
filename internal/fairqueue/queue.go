// Package fairqueue orders waiting requests: start-time fair queueing between accounts by weight, and
// within an account by rank, with a bound on how long a lower rank is passed over. The package is pure: the
// caller passes in what requests cost, decides which of them can be granted, and serializes the calls.
package fairqueue

import (
	"slices"
	"time"
)

// maxIdleAccounts bounds the accounts that are kept without a waiting request.
const maxIdleAccounts = 4096

// Entry is a waiting request. Its fields must not change while it waits.
type Entry[T any] struct {
	Value   T
	Account string
	// Weight is the account's share relative to the others; values below 1 count as 1.
	Weight float64
	// Rank orders the requests of an account, 0 being the first.
	Rank int
	// Cost is the work of the request, as the time that it takes.
	Cost time.Duration

	account *account[T]
}

// Queue holds waiting requests.
type Queue[T any] struct {
	cfg      Config[T]
	accounts map[string]*account[T]
	// active are the accounts with waiting requests.
	active  []*account[T]
	virtual float64
	backlog time.Duration
	waiting int
}

// Config configures a Queue.
type Config[T any] struct {
	// Before reports whether a goes before b, of requests with the same account and rank. It must be a
	// total order.
	Before func(a, b T) bool
	// MaxPassed is the number of grants to higher ranks of its account for which a waiting rank is passed
	// over; 0: any number.
	MaxPassed int
}

// account holds one account's waiting requests.
type account[T any] struct {
	name   string
	weight float64
	// ranks are the ranks with waiting requests, in ascending order.
	ranks []*rank[T]
	// virtual is the account's virtual start time in seconds of work per weight.
	virtual float64
	backlog time.Duration
	waiting int
}

// rank holds an account's waiting requests of one rank in order.
type rank[T any] struct {
	Level
	rank    int
	entries []*Entry[T]
}

// New returns an empty queue.
func New[T any](cfg Config[T]) *Queue[T] {
	return &Queue[T]{cfg: cfg, accounts: make(map[string]*account[T])}
}

// Len returns the number of waiting requests, AccountLen that of one account.
func (q *Queue[T]) Len() int { return q.waiting }

// AccountLen returns the number of waiting requests of an account.
func (q *Queue[T]) AccountLen(name string) int {
	if a := q.accounts[name]; a != nil {
		return a.waiting
	}
	return 0
}

// Backlog returns the cost of all waiting requests.
func (q *Queue[T]) Backlog() time.Duration { return q.backlog }

func (q *Queue[T]) account(name string, weight float64) *account[T] {
	a := q.accounts[name]
	if a == nil {
		a = &account[T]{name: name}
		q.accounts[name] = a
	}
	a.weight = max(weight, 1)
	return a
}

// Push adds a request.
func (q *Queue[T]) Push(e *Entry[T]) {
	a := q.account(e.Account, e.Weight)
	if a.waiting == 0 {
		a.virtual = max(a.virtual, q.virtual)
		q.active = append(q.active, a)
	}
	e.account = a
	r := a.rankOf(e.Rank, q.cfg.MaxPassed)
	at, _ := slices.BinarySearchFunc(r.entries, e, q.compare)
	r.entries = slices.Insert(r.entries, at, e)
	r.Waiting++
	a.waiting++
	q.waiting++
	a.backlog += e.Cost
	q.backlog += e.Cost
}

// rankOf returns a rank of the account and creates it if necessary.
func (a *account[T]) rankOf(n, maxPassed int) *rank[T] {
	at, found := slices.BinarySearchFunc(a.ranks, n, func(r *rank[T], n int) int { return r.rank - n })
	if !found {
		a.ranks = slices.Insert(a.ranks, at, &rank[T]{rank: n, Level: Level{Bound: maxPassed}})
	}
	return a.ranks[at]
}

func (q *Queue[T]) compare(a, b *Entry[T]) int {
	switch {
	case q.cfg.Before(a.Value, b.Value):
		return -1
	case q.cfg.Before(b.Value, a.Value):
		return 1
	}
	return 0
}

// Remove removes a waiting request without charging its account.
func (q *Queue[T]) Remove(e *Entry[T]) {
	a := e.account
	i := a.indexOf(e.Rank)
	r := a.ranks[i]
	at, _ := slices.BinarySearchFunc(r.entries, e, q.compare)
	r.entries = slices.Delete(r.entries, at, at+1)
	if r.Waiting--; r.Waiting == 0 {
		a.ranks = slices.Delete(a.ranks, i, i+1)
	}
	a.waiting--
	q.waiting--
	a.backlog -= e.Cost
	q.backlog -= e.Cost
	if a.waiting > 0 {
		return
	}
	q.active = slices.DeleteFunc(q.active, func(x *account[T]) bool { return x == a })
	q.forgetIdle()
}

func (a *account[T]) indexOf(n int) int {
	return slices.IndexFunc(a.ranks, func(r *rank[T]) bool { return r.rank == n })
}

// Grant removes a waiting request that got what it waited for, and charges its account for it.
func (q *Queue[T]) Grant(e *Entry[T]) {
	a := e.account
	Granted(len(a.ranks), a.indexOf(e.Rank), a.level)
	q.Remove(e)
	q.charge(e)
}

func (a *account[T]) level(i int) *Level { return &a.ranks[i].Level }

// charge advances the account's virtual time for a granted request.
func (q *Queue[T]) charge(e *Entry[T]) {
	a := q.account(e.Account, e.Weight)
	start := max(a.virtual, q.virtual)
	q.virtual = start
	a.virtual = start + e.Cost.Seconds()/a.weight
}

func (q *Queue[T]) forgetIdle() {
	if len(q.accounts) <= maxIdleAccounts+len(q.active) {
		return
	}
	for name, a := range q.accounts {
		if a.waiting == 0 && a.virtual <= q.virtual {
			delete(q.accounts, name)
		}
	}
}

// Verdict is what to offer next.
type Verdict int

// Verdicts.
const (
	// Stop ends the offers.
	Stop Verdict = iota
	// NextAccount passes over the other requests of the account.
	NextAccount
	// NextEntry goes on with the next request of the account.
	NextEntry
)

// InOrder offers requests to try in the order in which they are to be granted: the account with the least
// virtual time first, and within it a rank that is due, then the others by rank. try must not change the
// queue.
func (q *Queue[T]) InOrder(try func(*Entry[T]) Verdict) {
	tried := 0
	after := -1.0
	for tried < len(q.active) {
		var next *account[T]
		for _, a := range q.active {
			if a.virtual > after && (next == nil || a.virtual < next.virtual || (a.virtual == next.virtual && a.name < next.name)) {
				next = a
			}
		}
		if next == nil {
			return
		}
		// Accounts at the same virtual time are tried together.
		at := next.virtual
		for _, a := range q.active {
			if a.virtual != at {
				continue
			}
			tried++
			if a.inOrder(try) == Stop {
				return
			}
		}
		after = at
	}
}

func (a *account[T]) inOrder(try func(*Entry[T]) Verdict) Verdict {
	first, due := Due(len(a.ranks), a.level)
	if due {
		if v := a.ranks[first].inOrder(try); v != NextEntry {
			return v
		}
	}
	for i, r := range a.ranks {
		if due && i == first {
			continue
		}
		if v := r.inOrder(try); v != NextEntry {
			return v
		}
	}
	return NextAccount
}

func (r *rank[T]) inOrder(try func(*Entry[T]) Verdict) Verdict {
	for _, e := range r.entries {
		if v := try(e); v != NextEntry {
			return v
		}
	}
	return NextEntry
}

// Each calls f with all waiting requests in no particular order. f must not change the queue.
func (q *Queue[T]) Each(f func(*Entry[T])) {
	for _, a := range q.active {
		for _, r := range a.ranks {
			for _, e := range r.entries {
				f(e)
			}
		}
	}
}

// Ahead returns the cost of what is granted before a request, which may be new or wait. By weighted fairness, each other account
// gets as much work per weight as the request's. Lower ranks of its own account are left out.
func (q *Queue[T]) Ahead(e *Entry[T]) time.Duration {
	own := time.Duration(0)
	virtual, weight := q.virtual, max(e.Weight, 1)
	if a := q.accounts[e.Account]; a != nil {
		virtual = max(virtual, a.virtual)
		own = a.before(q, e)
	}
	finish := virtual + own.Seconds()/weight
	sum := own
	for _, a := range q.active {
		if a.name == e.Account {
			continue
		}
		seconds := max(finish-a.virtual, 0) * a.weight
		if seconds >= a.backlog.Seconds() {
			sum += a.backlog
			continue
		}
		share := time.Duration(seconds * float64(time.Second))
		// Its first request also goes before if its virtual time is not later.
		if a.virtual <= finish {
			share += a.ranks[0].entries[0].Cost
		}
		sum += min(a.backlog, share)
	}
	return sum
}

// before returns the cost of the account's requests that go before e.
func (a *account[T]) before(q *Queue[T], e *Entry[T]) time.Duration {
	sum := time.Duration(0)
	for _, r := range a.ranks {
		if r.rank > e.Rank {
			break
		}
		for _, other := range r.entries {
			if other != e && (r.rank < e.Rank || !q.cfg.Before(e.Value, other.Value)) {
				sum += other.Cost
			}
		}
	}
	return sum
}

// Last returns the request of an account that would be granted last; nil if none waits.
func (q *Queue[T]) Last(name string) *Entry[T] {
	a := q.accounts[name]
	if a == nil || a.waiting == 0 {
		return nil
	}
	r := a.ranks[len(a.ranks)-1]
	return r.entries[len(r.entries)-1]
}

// Worst returns the last request of the account whose waiting requests would all be granted last; nil if
// none waits.
func (q *Queue[T]) Worst() *Entry[T] {
	var worst *account[T]
	for _, a := range q.active {
		if worst == nil || a.finish() > worst.finish() {
			worst = a
		}
	}
	if worst == nil {
		return nil
	}
	return q.Last(worst.name)
}

// finish is the account's virtual time after all its waiting requests.
func (a *account[T]) finish() float64 { return a.virtual + a.backlog.Seconds()/a.weight }

// Finish returns the virtual time at which all waiting requests of e's account, and e after them, are
// granted. It is comparable with that of other accounts.
func (q *Queue[T]) Finish(e *Entry[T]) float64 {
	virtual, weight, cost := q.virtual, max(e.Weight, 1), e.Cost
	if a := q.accounts[e.Account]; a != nil {
		virtual = max(virtual, a.virtual)
		if e.account == nil {
			cost += a.backlog
		} else {
			cost = a.backlog
		}
	}
	return virtual + cost.Seconds()/weight
}
