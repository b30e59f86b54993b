package book

import (
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// firstResend and maxResend bound the pause before an unanswered message is sent again.
	firstResend = 200 * time.Millisecond
	maxResend   = time.Second
	// maxBatch bounds the requests in one message.
	maxBatch = 256
)

// Owner is the run of a host that made reservations.
type Owner struct {
	Host        string
	Incarnation uint64
	// Address of its peer service.
	Address string
}

// Outbox holds what a host has to tell the owners of budgets of its ended requests, until
// they have acknowledged it. It is not safe for concurrent use.
type Outbox struct{ owners map[Owner]*queue }

type queue struct {
	entries []entry
	// sent of them are in the message under way.
	sent  int
	next  time.Time
	pause time.Duration
}

type entry struct {
	spent *pb.SpentTokens
	// until is when the owner bills the request by itself.
	until time.Time
}

// NewOutbox makes an empty outbox.
func NewOutbox() *Outbox { return &Outbox{owners: make(map[Owner]*queue)} }

// Add puts the end of a request in. until is when its reservation expires at the owner;
// after that there is no use in telling.
func (o *Outbox) Add(to Owner, request string, tokens uint64, until time.Time) {
	q := o.owners[to]
	if q == nil {
		q = &queue{pause: firstResend}
		o.owners[to] = q
	}
	q.entries = append(q.entries, entry{spent: &pb.SpentTokens{Request: request, Tokens: tokens}, until: until})
}

// Message is what to send to one owner.
type Message struct {
	To    Owner
	Spent []*pb.SpentTokens
}

// Due are the messages to send now, one at a time to each owner.
func (o *Outbox) Due(now time.Time) []Message {
	var out []Message
	for to, q := range o.owners {
		if q.sent > 0 || now.Before(q.next) {
			continue
		}
		q.entries = slices.DeleteFunc(q.entries, func(e entry) bool { return now.After(e.until) })
		if len(q.entries) == 0 {
			delete(o.owners, to)
			continue
		}
		q.sent = min(len(q.entries), maxBatch)
		m := Message{To: to}
		for _, e := range q.entries[:q.sent] {
			m.Spent = append(m.Spent, e.spent)
		}
		out = append(out, m)
	}
	return out
}

// Acknowledged takes that the message under way has arrived.
func (o *Outbox) Acknowledged(to Owner) {
	if q := o.owners[to]; q != nil {
		q.entries = q.entries[q.sent:]
		q.sent, q.next, q.pause = 0, time.Time{}, firstResend
	}
}

// Failed takes that the message under way got no answer.
func (o *Outbox) Failed(now time.Time, to Owner) {
	if q := o.owners[to]; q != nil {
		q.sent, q.next = 0, now.Add(q.pause)
		q.pause = min(2*q.pause, maxResend)
	}
}

// Empty tells whether everything was acknowledged or has expired.
func (o *Outbox) Empty() bool {
	for _, q := range o.owners {
		if len(q.entries) > 0 {
			return false
		}
	}
	return true
}
