package budgets

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/grant/book"
	"github.com/bluebellsail/bluebellsail/internal/outbox"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Run sends the ends of requests to owners and ends expired reservations until ctx is done.
func (r *Reserver) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	defer r.sends.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.step(ctx, time.Now())
		}
		if !r.idle() {
			continue
		}
		// An idle host of a large fleet has little but its timers to spend its processor on.
		ticker.Stop()
		select {
		case <-ctx.Done():
			return
		case <-r.work:
			ticker.Reset(flushInterval)
		}
	}
}

func (r *Reserver) step(ctx context.Context, now time.Time) {
	expired, due := r.takeDue(now)
	r.expire(expired)
	for _, m := range due {
		r.sends.Go(func() {
			defer panics.Log(r.cfg.Log, "sending ended requests to a budget's owner")
			r.send(ctx, m)
		})
	}
}

// takeDue returns the reservations that have expired and the messages to send now.
func (r *Reserver) takeDue(now time.Time) ([]book.Expired, []outbox.Message[*pb.SpentTokens]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.Expire(now), r.outbox.Due(now)
}

// send sends a message to one owner.
func (r *Reserver) send(ctx context.Context, m outbox.Message[*pb.SpentTokens]) {
	ctx, cancel := context.WithTimeout(ctx, spendTimeout)
	defer cancel()
	_, err := r.cfg.Client(m.To.Address).SpendTokens(ctx, &pb.SpendTokensRequest{
		Owner: &pb.Holder{Host: m.To.Host, Incarnation: m.To.Incarnation}, Run: r.cfg.Incarnation, Spent: m.Items,
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.outbox.MarkAcknowledged(m.To)
		return
	}
	r.outbox.MarkFailed(time.Now(), m.To)
	r.cfg.Log.Debug().Str("event", "spend-unanswered").Str("owner", m.To.Host).Int("requests", len(m.Items)).Err(err).Send()
}

// Drain keeps 1/settleDivisor of the time left for the settlement of the reservations that it bills
// itself.
const settleDivisor = 3

// Drain waits until the owners have acknowledged the ends of all this host's requests and all
// reservations made at this host have ended. Reservations that have not ended in time are billed in
// full. Run must still be running.
func (r *Reserver) Drain(ctx context.Context) {
	deadline, ok := ctx.Deadline()
	if ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-time.Until(deadline)/settleDivisor))
		defer cancel()
	}
	for !r.idle() {
		select {
		case <-ctx.Done():
			r.mu.Lock()
			expired := r.book.RemoveAll()
			r.mu.Unlock()
			r.expire(expired)
			return
		case <-time.After(flushInterval):
		}
	}
}

func (r *Reserver) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outbox.Empty() && r.book.Len() == 0
}
