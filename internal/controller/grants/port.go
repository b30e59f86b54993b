package grants

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/grant"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Reserve implements filter.Budget.
func (m *Manager) Reserve(ctx context.Context, budget, requestID string, tokens uint64) error {
	ch, err := m.enqueue(budget, requestID, tokens)
	if err != nil {
		return err
	}
	select {
	case refused := <-ch:
		return refused
	case <-ctx.Done():
		return m.cancelReserve(ctx, budget, requestID, ch)
	}
}

// enqueue passes the request to the holder; the decision is sent on the returned channel.
func (m *Manager) enqueue(budget, requestID string, tokens uint64) (ch chan error, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.stopOnPanic()
	if m.closed {
		return nil, errkind.New(errkind.HostLeaving, "this host is shutting down")
	}
	if _, duplicate := m.waiting[requestID]; duplicate {
		return nil, errkind.New(errkind.Internal, "request %s is already waiting for tokens", requestID)
	}
	ch = make(chan error, 1)
	m.waiting[requestID] = ch
	m.holder.SetPeers(m.cfg.Asker.Peers())
	out := m.holder.Reserve(time.Now(), requestID, budget, tokens, m.cfg.PolicyFor(budget))
	m.execute(out)
	return ch, nil
}

// cancelReserve ends the wait of a request whose context ended. If the tokens were granted
// at the same time, the reservation is released; otherwise they would stay reserved for a
// request that never runs.
func (m *Manager) cancelReserve(ctx context.Context, budget, requestID string, ch chan error) error {
	m.mu.Lock()
	delete(m.waiting, requestID)
	m.holder.Cancel(requestID, budget)
	m.mu.Unlock()
	select {
	case refused := <-ch:
		if refused != nil {
			return refused
		}
		m.Release(requestID)
	default:
	}
	if ctx.Err() == context.DeadlineExceeded {
		return errkind.New(errkind.DeadlineExceeded, "the deadline passed while the request waited for tokens of budget %s", budget).WithRan(errkind.RanNo)
	}
	return errkind.New(errkind.CallerGone, "the caller disconnected while the request waited for tokens").WithRan(errkind.RanNo)
}

// Settle implements filter.Budget. A bill without a time gets the current time, and one
// without an identity its request id: the ledger rejects a whole batch that contains one
// such bill.
func (m *Manager) Settle(bill *pb.Bill) {
	if bill.GetTimeMs() <= 0 {
		bill.TimeMs = time.Now().UnixMilli()
	}
	if bill.GetIdentity() == "" {
		bill.Identity = bill.GetRequestId()
	}
	m.step(func(now time.Time) grant.Output {
		asked := bill.GetTokens()
		out, ok := m.holder.Settle(now, bill)
		if !ok {
			metrics.Add("settled_without_reservation", 1)
			m.cfg.Log.Error().Str("event", "settle-without-reservation").Str("request", bill.GetRequestId()).
				Str("budget", bill.GetBudget()).Uint64("tokens", asked).Send()
		}
		if ok && asked > bill.GetTokens() {
			metrics.Add("bills_cut_to_reservation", 1)
			m.cfg.Log.Warn().Str("event", "bill-cut").Str("request", bill.GetRequestId()).
				Str("budget", bill.GetBudget()).Uint64("used", asked).Uint64("billed", bill.GetTokens()).Send()
		}
		m.scheduleFlush()
		return out
	})
}

// Spend implements relay.Budgets.
func (m *Manager) Spend(requestID string, tokens uint64) {
	m.step(func(now time.Time) grant.Output {
		out, ok := m.holder.Spend(now, requestID, tokens)
		if !ok {
			metrics.Add("settled_without_reservation", 1)
			m.cfg.Log.Error().Str("event", "spend-without-reservation").Str("request", requestID).Uint64("tokens", tokens).Send()
		}
		m.scheduleFlush()
		return out
	})
}

// RecordContact records when the answer to the registration of this incarnation was received.
func (m *Manager) RecordContact(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holder.RecordContact(at)
}

// ReturnFree returns all free tokens of a budget to the ledger.
func (m *Manager) ReturnFree(budget string) {
	m.step(func(now time.Time) grant.Output {
		defer m.scheduleFlush()
		return m.holder.ReturnFree(now, budget)
	})
}

// Release implements filter.Budget.
func (m *Manager) Release(requestID string) {
	m.step(func(now time.Time) grant.Output {
		out, ok := m.holder.Release(now, requestID)
		if !ok {
			metrics.Add("released_without_reservation", 1)
		}
		return out
	})
}

// scheduleFlush schedules the next batch for when its first bill has waited long enough;
// m.mu is held.
func (m *Manager) scheduleFlush() {
	if m.flushScheduled || m.closed {
		return
	}
	m.flushScheduled = true
	time.AfterFunc(m.cfg.Holder.CurrentBatchWait(), func() {
		m.step(func(now time.Time) grant.Output {
			m.flushScheduled = false
			return m.holder.Flush(now)
		})
	})
}
