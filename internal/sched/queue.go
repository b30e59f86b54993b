package sched

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/fairqueue"
)

// item is a waiting request.
type item struct {
	work   Work
	queued time.Time
	// latest is the last time at which it can start and still meet its deadline.
	latest time.Time
	pool   *pool
}

// entry is a waiting request in its queue. Its cost is the expected time for which it holds a slot.
type entry = fairqueue.Entry[*item]

// newQueue returns the queue of a class. An account's requests go in the order of their deadlines.
func newQueue() *fairqueue.Queue[*item] {
	return fairqueue.New(fairqueue.Config[*item]{Before: func(a, b *item) bool {
		if !a.work.Deadline.Equal(b.work.Deadline) {
			return a.work.Deadline.Before(b.work.Deadline)
		}
		return a.work.Ticket < b.work.Ticket
	}})
}

// entryOf returns the entry of a request with the expected slot time.
func entryOf(it *item, slotTime time.Duration) *entry {
	return &entry{Value: it, Account: it.work.Account, Weight: float64(it.work.Weight), Cost: slotTime}
}
