package grants

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/grant"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

// acquire sends one acquire to the ledger and passes the answer to the holder.
func (m *Manager) acquire(msg *pb.Acquire) {
	metrics.Add("acquires", 1)
	result, err := m.propose(&pb.Command{
		Actor: m.cfg.Self.GetHost(),
		Body:  &pb.Command_Acquire{Acquire: msg},
	})
	budget, seq := msg.GetBudget(), msg.GetSeq()
	if err == nil {
		r := result.GetAcquire()
		m.cfg.Log.Info().Str("event", "tokens-granted").Str("budget", budget).Uint64("seq", seq).
			Uint64("need", msg.GetNeed()).Uint64("want", msg.GetWant()).Uint64("unlocked", msg.GetUnlock()).
			Uint64("granted", r.GetAmount()).Uint64("reserve", r.GetReserve()).Uint64("free_at_ledger", r.GetFree()).
			Uint64("funded", r.GetFunded()).Uint64("billed", r.GetBilled()).Send()
		m.step(func(now time.Time) grant.Output { return m.holder.AcquireAnswered(now, budget, seq, r) })
		return
	}
	refusal := errkind.From(err)
	if isRefusal(err) {
		m.cfg.Log.Warn().Str("event", "acquire-refused").Str("budget", budget).Str("kind", string(refusal.Kind)).
			Str("error", refusal.Message).Send()
		m.step(func(now time.Time) grant.Output {
			return m.holder.AcquireRefused(now, budget, seq, callerErrorKind(refusal.Kind), refusal.Message)
		})
		return
	}
	metrics.Add("acquires_unanswered", 1)
	m.step(func(now time.Time) grant.Output { return m.holder.AcquireFailed(now, budget, seq) })
}

// refusalError is a refusal by the ledger itself: the command was committed and changed
// nothing.
type refusalError struct{ refusal error }

// Error implements error.
func (a refusalError) Error() string { return a.refusal.Error() }

// Unwrap returns the refusal for errors.As.
func (a refusalError) Unwrap() error { return a.refusal }

// propose returns the result of an applied command. If isRefusal holds for the error, the
// ledger rejected the command; after any other error the command may still take effect.
func (m *Manager) propose(cmd *pb.Command) (*pb.CommandResult, error) {
	ctx, cancel := context.WithTimeout(m.ctx, m.cfg.ProposeTimeout)
	defer cancel()
	result, err := m.cfg.Proposer.Propose(ctx, cmd)
	if err != nil {
		return nil, err
	}
	if err := wire.DecodeError(result.GetError()); err != nil {
		return nil, refusalError{err}
	}
	return result, nil
}

// isRefusal reports whether err is a definite rejection by the ledger.
func isRefusal(err error) bool {
	var a refusalError
	return errors.As(err, &a) || errkind.Is(err, errkind.BudgetUnknown) || errkind.Is(err, errkind.NotFound)
}

// callerErrorKind returns the kind of error that a caller gets if the ledger rejects an
// acquire with an error of kind k.
func callerErrorKind(k errkind.Kind) errkind.Kind {
	switch k {
	case errkind.NotFound:
		return errkind.BudgetUnknown
	case errkind.StaleFence: // this incarnation counts as dead
		return errkind.HostNotReady
	}
	return k
}

// settle sends one batch to the ledger. The holder resends a batch that isn't acknowledged,
// so a failure is only counted and logged.
func (m *Manager) settle(batch *pb.Settle) {
	metrics.Add("batches", 1)
	result, err := m.propose(&pb.Command{
		Actor: m.cfg.Self.GetHost(),
		Body:  &pb.Command_Settle{Settle: batch},
	})
	if isRefusal(err) {
		metrics.Add("batches_refused", 1)
		m.cfg.Log.Error().Str("event", "settle-refused").Uint64("seq", batch.GetSeq()).Err(err).Send()
		return
	}
	if err != nil {
		metrics.Add("batches_unanswered", 1)
		m.cfg.Log.Warn().Str("event", "settle-unanswered").Uint64("seq", batch.GetSeq()).Err(err).Send()
		if m.ledgerUnreachable.CompareAndSwap(false, true) {
			m.cfg.Log.Warn().Str("event", "ledger-lost").Err(err).Send()
		}
		return
	}
	if m.ledgerUnreachable.CompareAndSwap(true, false) {
		m.cfg.Log.Info().Str("event", "ledger-regained").Uint64("seq", batch.GetSeq()).Send()
	}
	m.step(func(now time.Time) grant.Output {
		out, done := m.holder.SettleAnswered(now, batch.GetSeq(), result.GetSettle())
		m.scheduleFlush()
		m.reportSettled(done, result.GetSettle())
		return out
	})
}

// reportSettled reports the bills and transfers of a settled batch, so that their records
// and copies can be dropped; done is nil for a duplicate answer. The callbacks run in a
// separate goroutine because m.mu is held.
func (m *Manager) reportSettled(done *pb.Settle, r *pb.SettleResult) {
	if done == nil || m.closed {
		return
	}
	metrics.Add("bills_settled", int64(len(done.GetBills())))
	metrics.Add("bills_duplicate", int64(len(r.GetDuplicates())))
	m.call(func() {
		if m.cfg.OnSettled != nil && len(done.GetBills()) > 0 {
			m.cfg.OnSettled(done.GetBills())
		}
		for _, t := range done.GetTransfers() {
			m.cfg.Recorder.TransferSettled(t)
		}
	})
}

// ask sends one request for tokens to a peer.
func (m *Manager) ask(a grant.Ask) {
	metrics.Add("asks", 1)
	ctx, cancel := context.WithTimeout(m.ctx, m.cfg.AskTimeout)
	defer cancel()
	reply, err := m.cfg.Asker.AskTokens(ctx, a.Peer, a.Request)
	id := a.Request.GetId()
	if err != nil || reply.GetError() != nil {
		metrics.Add("asks_unanswered", 1)
		m.step(func(now time.Time) grant.Output { return m.holder.AskFailed(now, id) })
		return
	}
	if t := reply.GetTransfer(); t.GetTokens() > 0 {
		metrics.Add("transfer-received", 1)
		m.cfg.Log.Info().Str("event", "transfer-received").Str("budget", t.GetBudget()).Str("from", a.Peer).
			Str("id", id).Uint64("tokens", t.GetTokens()).Send()
	}
	m.step(func(now time.Time) grant.Output { return m.holder.AskAnswered(now, id, reply.GetTransfer()) })
}

// HandleAskTokens answers a peer's request for tokens as the sender of a transfer. The
// tokens are deducted first, and the transfer is copied to a third host before the reply.
func (m *Manager) HandleAskTokens(req *pb.AskTokensRequest) *pb.AskTokensReply {
	t, copying, refuse := m.beginTransfer(req)
	switch {
	case refuse:
		return &pb.AskTokensReply{Error: wire.EncodeError(grant.CopyInProgress())}
	case copying:
		return m.completeTransfer(t)
	default:
		return &pb.AskTokensReply{Transfer: t}
	}
}

// beginTransfer deducts the tokens of a transfer. copying is true if its copies have yet to
// be made; refuse is true if they can't be made now.
func (m *Manager) beginTransfer(req *pb.AskTokensRequest) (t *pb.Transfer, copying, refuse bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.stopOnPanic()
	t, state := m.holder.HandleAsk(time.Now(), req)
	_, busy := m.outgoing[req.GetId()]
	copying = state == grant.NewTransfer || state == grant.PendingTransfer
	if copying && !busy && !m.closed {
		m.outgoing[req.GetId()] = struct{}{}
	}
	return t, copying, copying && (busy || m.closed)
}

// completeTransfer copies a deducted transfer and returns the reply to the receiver. If the
// copy fails, the transfer is undone, but only once every host that may hold a copy knows
// that it is void: if sender and receiver both died, recovery from a leftover copy would
// count tokens as transferred that the sender has spent itself. Until then the tokens stay
// deducted and the receiver has to ask again.
func (m *Manager) completeTransfer(t *pb.Transfer) *pb.AskTokensReply {
	defer m.endTransfer(t.GetId())
	ctx, cancel := context.WithTimeout(m.ctx, m.cfg.CopyTimeout)
	defer cancel()
	copyErr := m.cfg.Recorder.CopyTransfer(ctx, t)
	if copyErr == nil {
		m.mu.Lock()
		m.holder.MarkTransferReady(t.GetId())
		m.mu.Unlock()
		m.recordTransfer("transfer-given", t, nil)
		return &pb.AskTokensReply{Transfer: t}
	}
	undoCtx, cancelUndo := context.WithTimeout(m.ctx, m.cfg.CopyTimeout)
	defer cancelUndo()
	if err := m.cfg.Recorder.AbandonTransfer(undoCtx, t); err != nil {
		m.recordTransfer("transfer-stuck", t, err)
		return &pb.AskTokensReply{Error: wire.EncodeError(grant.CopyInProgress())}
	}
	m.step(func(now time.Time) grant.Output { return m.holder.UndoTransfer(now, t.GetId()) })
	m.recordTransfer("transfer-undone", t, copyErr)
	return &pb.AskTokensReply{}
}

// retryTransfers completes or undoes the transfers whose copies could be neither made nor
// undone so far.
func (m *Manager) retryTransfers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	for _, t := range m.holder.PendingTransfers() {
		if _, busy := m.outgoing[t.GetId()]; busy {
			continue
		}
		m.outgoing[t.GetId()] = struct{}{}
		m.call(func() { m.completeTransfer(t) })
	}
}

func (m *Manager) endTransfer(id string) {
	m.mu.Lock()
	delete(m.outgoing, id)
	m.mu.Unlock()
}

// recordTransfer counts and logs the outcome of a transfer that this host sends.
func (m *Manager) recordTransfer(event string, t *pb.Transfer, err error) {
	metrics.Add(event, 1)
	m.cfg.Log.Info().Str("event", event).Str("budget", t.GetBudget()).Str("to", t.GetTo().GetHost()).
		Str("id", t.GetId()).Uint64("tokens", t.GetTokens()).AnErr("error", err).Send()
}
