package budgets

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/grant/book"
	"github.com/bluebellsail/bluebellsail/internal/outbox"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Run tells owners of ended requests and ends what has expired, until ctx ends.
func (d *Desk) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	defer d.sends.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.step(ctx, time.Now())
		}
	}
}

func (d *Desk) step(ctx context.Context, now time.Time) {
	expired, due := d.due(now)
	d.expire(expired)
	for _, m := range due {
		d.sends.Go(func() {
			defer panics.Log(d.cfg.Log, "telling a budget's owner")
			d.send(ctx, m)
		})
	}
}

// due takes what has expired and what is to be told now.
func (d *Desk) due(now time.Time) ([]book.Expired, []outbox.Message[*pb.SpentTokens]) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Expire(now), d.outbox.Due(now)
}

// send tells one owner.
func (d *Desk) send(ctx context.Context, m outbox.Message[*pb.SpentTokens]) {
	ctx, cancel := context.WithTimeout(ctx, spendTimeout)
	defer cancel()
	_, err := d.cfg.Client(m.To.Address).SpendTokens(ctx, &pb.SpendTokensRequest{
		Owner: &pb.Holder{Host: m.To.Host, Incarnation: m.To.Incarnation}, Run: d.cfg.Run, Spent: m.Items,
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.outbox.MarkAcknowledged(m.To)
		return
	}
	d.outbox.MarkFailed(time.Now(), m.To)
	d.cfg.Log.Debug().Str("event", "spend-unanswered").Str("owner", m.To.Host).Int("requests", len(m.Items)).Err(err).Send()
}

// settlePart of the time left, one in so many, is kept for the settlement of what Drain
// bills by itself.
const settlePart = 3

// Drain waits until the owners know of all this host's requests and all reservations made
// here have ended. What has not ended in time is billed whole. Run must still be running.
func (d *Desk) Drain(ctx context.Context) {
	deadline, ok := ctx.Deadline()
	if ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-time.Until(deadline)/settlePart))
		defer cancel()
	}
	for !d.idle() {
		select {
		case <-ctx.Done():
			d.mu.Lock()
			expired := d.book.RemoveAll()
			d.mu.Unlock()
			d.expire(expired)
			return
		case <-time.After(tick):
		}
	}
}

func (d *Desk) idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outbox.Empty() && d.book.Len() == 0
}
