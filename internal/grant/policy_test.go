package grant

import (
	"math/rand"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// TestNewRequestProbesLedgerAfterOutage checks that a request that arrives after a long
// outage resends the outstanding acquire, and is not refused before that was tried. Otherwise
// requests are refused although the ledger is reachable again and has the tokens.
func TestNewRequestProbesLedgerAfterOutage(t *testing.T) {
	now := time.Unix(1, 0)
	h := New(&pb.Holder{Host: "a", Incarnation: 1}, Config{}, rand.New(rand.NewSource(1)))
	h.Reserve(now, "r1", "x", 100, testPolicy)
	now = now.Add(time.Minute)
	h.Tick(now)
	now = now.Add(time.Second)
	if unanswered := h.Tick(now); len(unanswered.Decisions) != 1 || unanswered.Decisions[0].Err == nil {
		t.Fatalf("got %+v, want r1 refused", unanswered)
	}
	now = now.Add(time.Second)
	out := h.Reserve(now, "r2", "x", 100, testPolicy)
	if len(out.Acquires) != 1 || out.Acquires[0].GetSeq() != 1 || len(out.Decisions) != 0 {
		t.Fatalf("got %+v, want the outstanding acquire sent again and no decision yet", out)
	}
	now = now.Add(10 * time.Millisecond)
	out = h.AcquireAnswered(now, "x", 1, &pb.AcquireResult{Amount: 100})
	if len(out.Decisions) != 1 || out.Decisions[0].Err != nil {
		t.Fatalf("got %+v, want r2 granted", out)
	}
}

// TestIdleBudgetStaysReturned checks that the tokens of an idle budget are not prefetched
// again after their return. The demand of the horizon is still remembered then; if it were
// followed, the holder would fetch and return the tokens many times a second.
func TestIdleBudgetStaysReturned(t *testing.T) {
	now := time.Unix(1, 0)
	policy := Policy{Horizon: time.Hour, IdleReturn: time.Minute, Transfers: true}
	h := New(&pb.Holder{Host: "a", Incarnation: 1}, Config{}, rand.New(rand.NewSource(1)))
	h.Reserve(now, "r1", "x", 100, policy)
	h.AcquireAnswered(now, "x", 1, &pb.AcquireResult{Amount: 100, Free: 10_000})
	h.Release(now, "r1")
	acquires := 0
	for range 100 {
		now = now.Add(2 * time.Second)
		out := h.Tick(now)
		for _, a := range out.Acquires {
			acquires++
			more := h.AcquireAnswered(now, "x", a.GetSeq(), &pb.AcquireResult{Amount: a.GetWant(), Free: 10_000})
			acquires += len(more.Acquires)
		}
		if out.Batch != nil {
			h.SettleAnswered(now, out.Batch.GetSeq(), &pb.SettleResult{Seq: out.Batch.GetSeq()})
		}
	}
	if got := h.Levels()[0]; acquires > 2 || got.Held() != 0 {
		t.Errorf("%d acquires, %+v held, want at most 2 acquires and nothing held", acquires, got)
	}
}

// TestReceivedTokensNotForwardedBeforeSettlement checks that tokens received by a transfer
// are sent to another host only after the ledger acknowledged the batch that reports the
// transfer. Otherwise the next receiver's batch may be applied first and take tokens out of
// this holder's grant that its own older batches need; these would then be refused for as
// long as the third host is cut off.
func TestReceivedTokensNotForwardedBeforeSettlement(t *testing.T) {
	now := time.Unix(1, 0)
	h := New(&pb.Holder{Host: "b", Incarnation: 1}, Config{}, rand.New(rand.NewSource(1)))
	h.SetPeers([]string{"c"})
	h.Reserve(now, "r1", "x", 100, testPolicy)
	out := h.AcquireAnswered(now, "x", 1, &pb.AcquireResult{Amount: 10})
	id := out.Asks[0].Request.GetId()
	from := &pb.Holder{Host: "c", Incarnation: 1}
	h.AskAnswered(now, id, &pb.Transfer{Id: id, Budget: "x", From: from, To: h.Self(), Tokens: 90})
	h.Release(now, "r1")
	ask := func(id string) uint64 {
		a := &pb.AskTokensRequest{From: &pb.Holder{Host: "a", Incarnation: 1}, Budget: "x", Tokens: 100, Id: id}
		got, _ := h.HandleAsk(now, a)
		return got.GetTokens()
	}
	if got := ask("a/1/1"); got != 10 {
		t.Errorf("sent %d tokens before the ledger knows of the transfer, want the 10 that it granted", got)
	}
	now = now.Add(time.Second)
	batch := h.Tick(now).Batch
	if got := ask("a/1/2"); got != 0 {
		t.Errorf("sent %d tokens while the batch is outstanding, want 0", got)
	}
	h.SettleAnswered(now, batch.GetSeq(), &pb.SettleResult{})
	if got := ask("a/1/3"); got != 90 {
		t.Errorf("sent %d tokens after the ledger knows of the transfer, want 90", got)
	}
}

// TestUndoneTransferStaysUndone checks that an ask repeated after its transfer could not be
// copied and was undone is answered without tokens. Otherwise sender and receiver would both
// hold them.
func TestUndoneTransferStaysUndone(t *testing.T) {
	now := time.Unix(1, 0)
	h := New(&pb.Holder{Host: "b", Incarnation: 1}, Config{}, rand.New(rand.NewSource(1)))
	h.Reserve(now, "r1", "x", 100, testPolicy)
	h.AcquireAnswered(now, "x", 1, &pb.AcquireResult{Amount: 100})
	h.Release(now, "r1")
	ask := &pb.AskTokensRequest{From: &pb.Holder{Host: "a", Incarnation: 1}, Budget: "x", Tokens: 40, Id: "a/1/1"}
	if got, state := h.HandleAsk(now, ask); state != NewTransfer || got.GetTokens() != 40 || h.Levels()[0].Free != 60 {
		t.Fatalf("got %v, %v, %+v", got, state, h.Levels())
	}
	h.UndoTransfer(now, ask.GetId())
	h.MarkTransferReady(ask.GetId())
	if got, state := h.HandleAsk(now, ask); state != NoTransfer || got != nil || h.Levels()[0].Free != 100 {
		t.Errorf("after the undo: %v, %v, %+v", got, state, h.Levels())
	}
}
