package budgets

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/grant"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

const (
	// reserveWait bounds how long a request waits for its owner's reserve to open. It is the
	// time between the end of what an owner holds open and the first of its reserve.
	reserveWait = 2 * time.Second
	// patiencePart is the part of its time, one in so many, that a request may wait for tokens;
	// the rest is for its answer.
	patiencePart = 2
)

// closed is a refusal of a host whose reserve will cover the request soon.
type closed struct {
	host owners.Host
	// opens is when it will.
	opens   time.Time
	refusal *errkind.Error
}

// asClosed returns nil if the refusal is another one.
func asClosed(h owners.Host, refusal error) *closed {
	var answer *grant.ReserveNotUsableError
	if !errors.As(refusal, &answer) {
		return nil
	}
	return &closed{host: h, opens: time.Now().Add(answer.UsableIn), refusal: answer.Refusal}
}

// awaitReserve asks the host again when its reserve should cover the request, as long as
// that leaves time for an answer.
//
// What goes wrong without it: in the first seconds of a partition requests are refused of
// whose budget plenty is left, and come back at a time that is a guess.
func (d *Desk) awaitReserve(ctx context.Context, c *closed, budget, request string, tokens uint64) (string, error) {
	host, refusal := c.host, error(c.refusal)
	until := waitUntil(ctx, time.Now())
	for c != nil && waitFor(ctx, c.opens, until) {
		refusal = d.reserveAt(ctx, host, budget, request, tokens)
		if refusal == nil {
			return host.Name, nil
		}
		c = asClosed(host, refusal)
	}
	if errors.Is(refusal, errUnanswered) {
		refusal = errkind.New(errkind.BudgetUnreachable, "host %s, which holds budget %s, gives no answer", host.Name, budget).
			After(grant.RetryAfterUnreachable)
	}
	return host.Name, refusal
}

// waitUntil is until when a request may wait for tokens.
func waitUntil(ctx context.Context, now time.Time) time.Time {
	until := now.Add(reserveWait)
	if deadline, ok := ctx.Deadline(); ok {
		if half := now.Add(deadline.Sub(now) / patiencePart); half.Before(until) {
			return half
		}
	}
	return until
}

// waitFor waits for a moment. It returns false if that is too late, or the request ends.
func waitFor(ctx context.Context, moment, until time.Time) bool {
	if moment.After(until) {
		return false
	}
	timer := time.NewTimer(time.Until(moment))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// encodeRefusal is the answer to a reservation; nil: it was made.
func encodeRefusal(err error) *pb.ReserveTokensReply {
	reply := &pb.ReserveTokensReply{Error: wire.EncodeError(err)}
	var later *grant.ReserveNotUsableError
	if errors.As(err, &later) {
		reply.OpensMs = later.UsableIn.Milliseconds()
	}
	return reply
}

// decodeRefusal returns nil if the reservation was made.
func decodeRefusal(reply *pb.ReserveTokensReply) error {
	err := wire.DecodeError(reply.GetError())
	if err == nil || reply.GetOpensMs() <= 0 {
		return err
	}
	return &grant.ReserveNotUsableError{Refusal: errkind.From(err), UsableIn: time.Duration(reply.GetOpensMs()) * time.Millisecond}
}
