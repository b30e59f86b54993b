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

// acquire carries one acquire to the ledger.
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

// refusalError is the refusal of the ledger itself: the command was committed and changed
// nothing.
type refusalError struct{ refusal error }

// Error implements error.
func (a refusalError) Error() string { return a.refusal.Error() }

// Unwrap gives errors.As the refusal.
func (a refusalError) Unwrap() error { return a.refusal }

// propose returns the result of an applied command. An error that is refused() is the
// ledger's own; after any other the command may still take effect.
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

// isRefusal tells whether err is the ledger's definite answer.
func isRefusal(err error) bool {
	var a refusalError
	return errors.As(err, &a) || errkind.Is(err, errkind.BudgetUnknown) || errkind.Is(err, errkind.NotFound)
}

// callerErrorKind is the refusal a caller gets for the ledger's refusal of an acquire.
func callerErrorKind(k errkind.Kind) errkind.Kind {
	switch k {
	case errkind.NotFound:
		return errkind.BudgetUnknown
	case errkind.StaleFence: // this incarnation counts as dead
		return errkind.HostNotReady
	}
	return k
}

// settle carries one batch to the ledger. A batch that isn't acknowledged is resent by
// the holder, so nothing is done about a failure but to count it.
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

// reportSettled lets records and copies go; done is nil for a doubled answer. The calls
// run apart because m.mu is held.
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

// ask carries one request for tokens to a peer.
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

// HandleAskTokens is the giver's side of a transfer. Tokens are deducted first and the
// transfer is copied to a third host before it is answered.
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

// beginTransfer deducts the tokens of a transfer. copying tells that its copies have to be made,
// refuse that they can't be now.
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

// completeTransfer copies a deducted transfer and answers it. If no third host can be reached it is
// undone, but only once every host that may hold a copy knows that it is void: a copy
// left behind would move tokens that the giver spends itself if both ends were lost.
// Until then the tokens stay deducted and the asker must come back.
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

// retryTransfers ends the transfers whose copies could be neither made nor undone.
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

// recordTransfer counts and logs what became of a transfer given by this host.
func (m *Manager) recordTransfer(event string, t *pb.Transfer, err error) {
	metrics.Add(event, 1)
	m.cfg.Log.Info().Str("event", event).Str("budget", t.GetBudget()).Str("to", t.GetTo().GetHost()).
		Str("id", t.GetId()).Uint64("tokens", t.GetTokens()).AnErr("error", err).Send()
}
