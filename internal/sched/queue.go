package sched

import (
	"container/heap"
	"time"
)

// item is a waiting request.
type item struct {
	work   Work
	queued time.Time
	// slotTime is the expected time for which it holds a slot.
	slotTime time.Duration
	// latest is the last time at which it can start and still meet its deadline.
	latest time.Time
	pos    int
	pool   *pool
	queue  *accountQueue
}

// accountQueue holds one account's waiting requests of a class, earliest deadline first.
type accountQueue struct {
	account string
	weight  float64
	items   []*item
	// virtual is the account's virtual start time in seconds of slot time per weight.
	virtual float64
	backlog time.Duration
}

func (q *accountQueue) Len() int { return len(q.items) }
func (q *accountQueue) Less(i, j int) bool {
	a, b := q.items[i], q.items[j]
	if !a.work.Deadline.Equal(b.work.Deadline) {
		return a.work.Deadline.Before(b.work.Deadline)
	}
	return a.work.Ticket < b.work.Ticket
}
func (q *accountQueue) Swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	q.items[i].pos, q.items[j].pos = i, j
}

// Push implements heap.Interface.
func (q *accountQueue) Push(x any) {
	it := x.(*item)
	it.pos = len(q.items)
	q.items = append(q.items, it)
}

// Pop implements heap.Interface.
func (q *accountQueue) Pop() any {
	n := len(q.items) - 1
	it := q.items[n]
	q.items[n] = nil
	q.items = q.items[:n]
	return it
}

// classQueue shares a class between accounts by start-time fair queueing: the backlogged account
// with the least virtual time goes next, and each grant advances its virtual time by
// slot time / weight.
type classQueue struct {
	accounts map[string]*accountQueue
	// active are the accounts with waiting requests.
	active  []*accountQueue
	virtual float64
	backlog time.Duration
	waiting int
}

func (q *classQueue) account(name string, weight int) *accountQueue {
	if q.accounts == nil {
		q.accounts = make(map[string]*accountQueue)
	}
	a := q.accounts[name]
	if a == nil {
		a = &accountQueue{account: name}
		q.accounts[name] = a
	}
	a.weight = float64(max(weight, 1))
	return a
}

func (q *classQueue) push(it *item) {
	a := q.account(it.work.Account, it.work.Weight)
	if len(a.items) == 0 {
		a.virtual = max(a.virtual, q.virtual)
		q.active = append(q.active, a)
	}
	it.queue = a
	heap.Push(a, it)
	a.backlog += it.slotTime
	q.backlog += it.slotTime
	q.waiting++
}

// remove removes a request without charging its account.
func (q *classQueue) remove(it *item) {
	a := it.queue
	heap.Remove(a, it.pos)
	a.backlog -= it.slotTime
	q.backlog -= it.slotTime
	q.waiting--
	if len(a.items) > 0 {
		return
	}
	for i := range q.active {
		if q.active[i] == a {
			q.active = append(q.active[:i], q.active[i+1:]...)
			break
		}
	}
	q.forgetIdle()
}

// charge advances the account's virtual time for a granted request.
func (q *classQueue) charge(it *item) {
	a := q.account(it.work.Account, it.work.Weight)
	start := max(a.virtual, q.virtual)
	q.virtual = start
	a.virtual = start + it.slotTime.Seconds()/a.weight
}

// maxIdleAccounts bounds the accounts that are kept without a waiting request.
const maxIdleAccounts = 4096

func (q *classQueue) forgetIdle() {
	if len(q.accounts) <= maxIdleAccounts+len(q.active) {
		return
	}
	for name, a := range q.accounts {
		if len(a.items) == 0 && a.virtual <= q.virtual {
			delete(q.accounts, name)
		}
	}
}

// inOrder calls try with the first request of each backlogged account, in order of virtual time,
// until try returns true.
func (q *classQueue) inOrder(try func(*item) (stop bool)) {
	tried := 0
	after := -1.0
	for tried < len(q.active) {
		var next *accountQueue
		for _, a := range q.active {
			if a.virtual > after && (next == nil || a.virtual < next.virtual || (a.virtual == next.virtual && a.account < next.account)) {
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
			if try(a.items[0]) {
				return
			}
		}
		after = at
	}
}

// ahead returns the slot time that is granted before a new request of the account. By weighted
// fairness, each other account gets as much slot time per weight as this one.
func (q *classQueue) ahead(account string, weight int, deadline time.Time) time.Duration {
	own := time.Duration(0)
	virtual := q.virtual
	if a := q.accounts[account]; a != nil {
		virtual = max(virtual, a.virtual)
		for _, it := range a.items {
			if !it.work.Deadline.After(deadline) {
				own += it.slotTime
			}
		}
	}
	finish := virtual + own.Seconds()/float64(max(weight, 1))
	sum := own
	for _, a := range q.active {
		if a.account == account {
			continue
		}
		share := time.Duration(max(finish-a.virtual, 0) * a.weight * float64(time.Second))
		// Its first request also goes before if its virtual time is not later.
		if a.virtual <= finish {
			share += a.items[0].slotTime
		}
		sum += min(a.backlog, share)
	}
	return sum
}
