// Package outbox holds updates for other hosts until they have acknowledged them. It is
// pure: time is passed in, and the caller serializes the calls.
package outbox

import (
	"slices"
	"time"
)

const (
	// initialBackoff and maxBackoff bound the time before an unanswered message is resent.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = time.Second
	// maxBatch is the maximum number of items in one message.
	maxBatch = 256
)

// Receiver is the incarnation of a host to which items are sent.
type Receiver struct {
	Host        string
	Incarnation uint64
	// Address is the address of the host's peer service.
	Address string
}

// Outbox holds items of one kind. Each receiver gets its items in order, one message at a
// time; an unanswered message is resent together with the items added since.
type Outbox[T any] struct{ receivers map[Receiver]*queue[T] }

type queue[T any] struct {
	entries []entry[T]
	// inFlight is the number of entries in the outstanding message.
	inFlight int
	nextSend time.Time
	backoff  time.Duration
}

type entry[T any] struct {
	item    T
	expires time.Time
}

// New returns an empty outbox.
func New[T any]() *Outbox[T] { return &Outbox[T]{receivers: make(map[Receiver]*queue[T])} }

// Add adds an item. It is dropped if it has not been acknowledged by the time until.
func (o *Outbox[T]) Add(to Receiver, item T, until time.Time) {
	q := o.receivers[to]
	if q == nil {
		q = &queue[T]{backoff: initialBackoff}
		o.receivers[to] = q
	}
	q.entries = append(q.entries, entry[T]{item: item, expires: until})
}

// Message is a batch of items to send to one receiver.
type Message[T any] struct {
	To    Receiver
	Items []T
}

// Due returns the messages to send now.
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

// MarkAcknowledged records that the outstanding message was acknowledged.
func (o *Outbox[T]) MarkAcknowledged(to Receiver) {
	if q := o.receivers[to]; q != nil {
		q.entries = q.entries[q.inFlight:]
		q.inFlight, q.nextSend, q.backoff = 0, time.Time{}, initialBackoff
	}
}

// MarkFailed records that the outstanding message got no answer.
func (o *Outbox[T]) MarkFailed(now time.Time, to Receiver) {
	if q := o.receivers[to]; q != nil {
		q.inFlight, q.nextSend = 0, now.Add(q.backoff)
		q.backoff = min(2*q.backoff, maxBackoff)
	}
}

// Empty reports whether no items are left to be acknowledged.
func (o *Outbox[T]) Empty() bool {
	for _, q := range o.receivers {
		if len(q.entries) > 0 {
			return false
		}
	}
	return true
}
