// Package outbox holds what a host has to tell other hosts until they have acknowledged
// it. It is pure: time is passed in, and the caller serialises the calls.
package outbox

import (
	"slices"
	"time"
)

const (
	// initialBackoff and maxResend bound the pause before an unanswered message is sent again.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = time.Second
	// maxBatch bounds the items in one message.
	maxBatch = 256
)

// Receiver is the run of a host that items are for.
type Receiver struct {
	Host        string
	Incarnation uint64
	// Address of its peer service.
	Address string
}

// Outbox of items of one kind. Each receiver gets its items in order, one message at a
// time; a message that got no answer is sent again with what has come since.
type Outbox[T any] struct{ receivers map[Receiver]*queue[T] }

type queue[T any] struct {
	entries []entry[T]
	// inFlight of them are in the message under way.
	inFlight int
	nextSend time.Time
	backoff  time.Duration
}

type entry[T any] struct {
	item    T
	expires time.Time
}

// New makes an empty outbox.
func New[T any]() *Outbox[T] { return &Outbox[T]{receivers: make(map[Receiver]*queue[T])} }

// Add puts an item in. After until there is no use in telling it.
func (o *Outbox[T]) Add(to Receiver, item T, until time.Time) {
	q := o.receivers[to]
	if q == nil {
		q = &queue[T]{backoff: initialBackoff}
		o.receivers[to] = q
	}
	q.entries = append(q.entries, entry[T]{item: item, expires: until})
}

// Message is what to send to one receiver.
type Message[T any] struct {
	To    Receiver
	Items []T
}

// Due are the messages to send now.
func (o *Outbox[T]) Due(now time.Time) []Message[T] {
	var out []Message[T]
	for to, q := range o.receivers {
		if q.inFlight > 0 || now.Before(q.nextSend) {
			continue
		}
		q.entries = slices.DeleteFunc(q.entries, func(e entry[T]) bool { return now.After(e.expires) })
		if len(q.entries) == 0 {
			delete(o.receivers, to)
			continue
		}
		q.inFlight = min(len(q.entries), maxBatch)
		m := Message[T]{To: to}
		for _, e := range q.entries[:q.inFlight] {
			m.Items = append(m.Items, e.item)
		}
		out = append(out, m)
	}
	return out
}

// MarkAcknowledged takes that the message under way has arrived.
func (o *Outbox[T]) MarkAcknowledged(to Receiver) {
	if q := o.receivers[to]; q != nil {
		q.entries = q.entries[q.inFlight:]
		q.inFlight, q.nextSend, q.backoff = 0, time.Time{}, initialBackoff
	}
}

// MarkFailed takes that the message under way got no answer.
func (o *Outbox[T]) MarkFailed(now time.Time, to Receiver) {
	if q := o.receivers[to]; q != nil {
		q.inFlight, q.nextSend = 0, now.Add(q.backoff)
		q.backoff = min(2*q.backoff, maxBackoff)
	}
}

// Empty tells whether everything was acknowledged.
func (o *Outbox[T]) Empty() bool {
	for _, q := range o.receivers {
		if len(q.entries) > 0 {
			return false
		}
	}
	return true
}
