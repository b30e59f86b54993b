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
	// reserveWait bounds how long a request waits for the reserve of its budget's owner to open.
	// It is the time from when an owner has used up its free tokens until its reserve starts to
	// open.
	reserveWait = 2 * time.Second
	// A request may wait for tokens for at most 1/waitDivisor of its remaining time; the rest is
	// left for its answer.
	waitDivisor = 2
)

// reserveClosed is the refusal of a host whose reserve will cover the request soon.
type reserveClosed struct {
	host owners.Host
	// opens is when the reserve will cover the request.
	opens   time.Time
	refusal *errkind.Error
}

// asReserveClosed returns nil if the refusal has any other reason.
func asReserveClosed(h owners.Host, refusal error) *reserveClosed {
	var answer *grant.ReserveNotUsableError
	if !errors.As(refusal, &answer) {
		return nil
	}
	return &reserveClosed{host: h, opens: time.Now().Add(answer.UsableIn), refusal: answer.Refusal}
}

// awaitReserve asks the host again when its reserve should cover the request, as long as
// that leaves time for an answer.
//
// Without it requests are rejected in the first seconds of a partition although plenty of
// their budget is left, with a Retry-After that is a guess.
func (r *Reserver) awaitReserve(ctx context.Context, c *reserveClosed, budget, request string, tokens uint64) (string, error) {
	host, refusal := c.host, error(c.refusal)
	until := waitUntil(ctx, time.Now())
	for c != nil && sleepUntil(ctx, c.opens, until) {
		refusal = r.reserveAt(ctx, host, budget, request, tokens)
		if refusal == nil {
			return host.Name, nil
		}
		c = asReserveClosed(host, refusal)
	}
	if errors.Is(refusal, errUnanswered) {
		refusal = errkind.New(errkind.BudgetUnreachable, "host %s, which holds budget %s, did not answer", host.Name, budget).
			After(grant.RetryAfterUnreachable)
	}
	return host.Name, refusal
}

// waitUntil returns until when a request may wait for tokens.
func waitUntil(ctx context.Context, now time.Time) time.Time {
	until := now.Add(reserveWait)
	if deadline, ok := ctx.Deadline(); ok {
		if half := now.Add(deadline.Sub(now) / waitDivisor); half.Before(until) {
			return half
		}
	}
	return until
}

// sleepUntil sleeps until moment. It returns false if moment is after until, or if ctx is done first.
func sleepUntil(ctx context.Context, moment, until time.Time) bool {
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

// encodeRefusal encodes the result of a reservation; err is nil if it was made.
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
