package grants

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/grant/fakeledger"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// cluster is a fake ledger and several managers that call each other in memory.
type cluster struct {
	mu           sync.Mutex
	ledger       *fakeledger.Ledger
	ledgerDown   bool // the ledger can't be reached
	loseReplies  int  // answers of the ledger to lose
	copyFails    bool
	abandonFails bool
	managers     map[string]*Manager
	copied       map[string]bool
	settled      int
}

func (c *cluster) Propose(ctx context.Context, cmd *pb.Command) (*pb.CommandResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ledgerDown {
		return nil, errkind.New(errkind.NoQuorum, "cut")
	}
	r := c.ledger.Apply(cmd)
	if c.loseReplies > 0 {
		c.loseReplies--
		return nil, context.DeadlineExceeded
	}
	return r, nil
}

// node is one host's view of the cluster.
type node struct {
	*cluster
	host string
}

func (n node) Peers() []string {
	var peers []string
	for name := range n.managers {
		if name != n.host {
			peers = append(peers, name)
		}
	}
	return peers
}

func (n node) AskTokens(_ context.Context, host string, req *pb.AskTokensRequest) (*pb.AskTokensReply, error) {
	return n.managers[host].HandleAskTokens(req), nil
}

func (n node) CopyTransfer(_ context.Context, t *pb.Transfer) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.copyFails {
		return errkind.New(errkind.Internal, "no third host")
	}
	n.copied[t.GetId()] = true
	return nil
}

func (n node) AbandonTransfer(context.Context, *pb.Transfer) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.abandonFails {
		return errkind.New(errkind.Internal, "a host that may hold a copy is unreachable")
	}
	return nil
}

func (n node) TransferSettled(*pb.Transfer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.settled++
}

// withCluster runs f in a synctest bubble with managers a, b, c and stops them afterwards.
func withCluster(t *testing.T, funds uint64, f func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{ledger: fakeledger.New(), managers: make(map[string]*Manager), copied: make(map[string]bool)}
		c.ledger.Fund("x", funds)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for _, name := range []string{"a", "b", "c"} {
			n := node{c, name}
			c.managers[name] = New(Config{
				Self:     &pb.Holder{Host: name, Incarnation: 1},
				Proposer: n, Asker: n, Recorder: n, Log: zerolog.Nop(),
			})
		}
		for _, m := range c.managers {
			wg.Go(func() { m.Run(ctx) })
		}
		defer func() {
			cancel()
			wg.Wait()
			if len(c.ledger.Faults) > 0 {
				t.Errorf("ledger: %v", c.ledger.Faults)
			}
		}()
		f(t, c)
	})
}

func (c *cluster) drain(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for name, m := range c.managers {
		if err := m.Drain(ctx); err != nil {
			t.Errorf("drain %s: %v: %+v", name, err, m.Levels())
		}
	}
	if left := c.ledger.Budgets["x"].Outstanding(); left != 0 {
		t.Errorf("%d tokens granted after drain", left)
	}
}

func (c *cluster) set(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// TestConcurrentRequestsBilledOnce checks that bills are neither lost nor duplicated if
// answers of the ledger are lost, as they would be if a message were resent under a new
// sequence number.
func TestConcurrentRequestsBilledOnce(t *testing.T) {
	withCluster(t, 100_000, func(t *testing.T, c *cluster) {
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				m := c.managers[string("abc"[i%3])]
				id := fmt.Sprintf("r%d", i)
				if i%20 == 0 {
					c.set(func() { c.loseReplies = 1 })
				}
				time.Sleep(time.Duration(i) * 7 * time.Millisecond)
				if err := m.Reserve(t.Context(), "x", id, 100); err != nil {
					t.Errorf("%s: %v", id, err)
					return
				}
				time.Sleep(time.Second)
				m.Settle(&pb.Bill{Budget: "x", Identity: id, RequestId: id, Tokens: 40})
			})
		}
		wg.Wait()
		c.drain(t)
		if b := c.ledger.Budgets["x"]; b.Billed != 200*40 || len(c.ledger.Bills) != 200 {
			t.Errorf("billed %d tokens for %d identities, want 8000 for 200", b.Billed, len(c.ledger.Bills))
		}
	})
}

// TestTransfersServeWhileLedgerUnreachable checks that a host gets tokens from a peer while
// the ledger is unreachable. A host that doesn't ask its peers, or doesn't add the transfer to
// its tokens, rejects requests although a peer holds tokens for them.
func TestTransfersServeWhileLedgerUnreachable(t *testing.T) {
	withCluster(t, 1000, func(t *testing.T, c *cluster) {
		if err := c.managers["a"].Reserve(t.Context(), "x", "r1", 1000); err != nil {
			t.Fatal(err)
		}
		c.managers["a"].Release("r1")
		c.set(func() { c.ledgerDown = true })
		if err := c.managers["b"].Reserve(t.Context(), "x", "r2", 400); err != nil {
			t.Fatal(err)
		}
		err := c.managers["b"].Reserve(t.Context(), "x", "r3", 700)
		if !errkind.Is(err, errkind.BudgetUnreachable) {
			t.Fatalf("got %v, want budget_unreachable", err)
		}
		c.managers["b"].Settle(&pb.Bill{Identity: "r2", RequestId: "r2", Tokens: 400})
		c.set(func() { c.ledgerDown = false; c.ledger.Fund("x", 5) })
		c.drain(t)
		if b := c.ledger.Budgets["x"]; b.Billed != 400 || b.Free() != 605 || c.settled == 0 {
			t.Errorf("billed %d, free %d, transfers settled %d", b.Billed, b.Free(), c.settled)
		}
	})
}

// TestUncopiedTransferIsUndone has a transfer that no third host can copy, and that can't be
// made void at once. If it were answered without its copy, or the sender spent its tokens too
// early, the tokens would be released twice after sender and receiver died.
func TestUncopiedTransferIsUndone(t *testing.T) {
	withCluster(t, 1000, func(t *testing.T, c *cluster) {
		if err := c.managers["a"].Reserve(t.Context(), "x", "r1", 1000); err != nil {
			t.Fatal(err)
		}
		c.managers["a"].Release("r1")
		c.set(func() { c.ledgerDown, c.copyFails, c.abandonFails = true, true, true })
		err := c.managers["b"].Reserve(t.Context(), "x", "r2", 400)
		if !errkind.Is(err, errkind.BudgetUnreachable) {
			t.Fatalf("got %v, want budget_unreachable", err)
		}
		if l := c.managers["a"].Levels()[0]; l.Free != 800 {
			t.Errorf("sender has %d free before all hosts know that the transfer is void, want 800: b asks each peer for 200", l.Free)
		}
		c.set(func() { c.abandonFails = false })
		time.Sleep(3 * time.Second)
		if l := c.managers["a"].Levels()[0]; l.Free != 1000 {
			t.Errorf("sender has %d free after all hosts know that the transfer is void, want 1000", l.Free)
		}
		c.set(func() { c.ledgerDown = false })
		c.drain(t)
	})
}

// TestPendingTransferToDeadReceiverIsUndone has a transfer that can be neither copied nor
// undone at once and whose receiver dies. If the sender only retried when the receiver asked
// again, the tokens would stay deducted for as long as the sender runs.
func TestPendingTransferToDeadReceiverIsUndone(t *testing.T) {
	withCluster(t, 1000, func(t *testing.T, c *cluster) {
		m := c.managers["a"]
		if err := m.Reserve(t.Context(), "x", "r1", 1000); err != nil {
			t.Fatal(err)
		}
		m.Release("r1")
		c.set(func() { c.copyFails, c.abandonFails = true, true })
		lost := &pb.Holder{Host: "z", Incarnation: 1}
		m.HandleAskTokens(&pb.AskTokensRequest{From: lost, Budget: "x", Tokens: 300, Id: "z/1/1"})
		if l := m.Levels()[0]; l.Free != 700 {
			t.Fatalf("got %+v, want 300 deducted", l)
		}
		c.set(func() { c.abandonFails = false })
		time.Sleep(3 * time.Second)
		if l := m.Levels()[0]; l.Free != 1000 {
			t.Errorf("got %+v, want 1000 free", l)
		}
		c.drain(t)
	})
}

// TestReserveReturnsWhenContextEnds has a Reserve whose context ends before the ledger
// answers. Its tokens must not stay reserved, neither by the waiter nor by a decision that
// comes as the context ends.
func TestReserveReturnsWhenContextEnds(t *testing.T) {
	withCluster(t, 1000, func(t *testing.T, c *cluster) {
		c.set(func() { c.loseReplies = 1 })
		for name := range c.managers {
			if name != "a" {
				delete(c.managers, name)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Microsecond)
		defer cancel()
		err := c.managers["a"].Reserve(ctx, "x", "r1", 10)
		if e := errkind.From(err); e == nil || e.Ran() != errkind.RanNo {
			t.Fatalf("got %v, want a refusal that did not run", err)
		}
		time.Sleep(time.Second)
		c.drain(t)
	})
}

// TestGrantDuringCancelIsReleased has tokens that are granted just before the context of
// their Reserve ends. Unless the reservation is released they stay reserved forever.
func TestGrantDuringCancelIsReleased(t *testing.T) {
	withCluster(t, 1000, func(t *testing.T, c *cluster) {
		m := c.managers["a"]
		ch, err := m.enqueue("x", "r1", 10)
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if l := m.Levels()[0]; l.Reserved != 10 {
			t.Fatalf("got %+v, want 10 reserved", l)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if err := m.cancelReserve(ctx, "x", "r1", ch); err == nil {
			t.Error("cancelReserve returned no error")
		}
		if l := m.Levels()[0]; l.Reserved != 0 {
			t.Errorf("got %+v, want nothing reserved", l)
		}
		c.drain(t)
	})
}

// TestUnknownBudget checks that a request for a budget that doesn't exist gets a definite
// refusal. If the ledger's rejection of the acquire were treated as a missing answer, the
// caller would wait or be asked to retry.
func TestUnknownBudget(t *testing.T) {
	withCluster(t, 10, func(t *testing.T, c *cluster) {
		err := c.managers["a"].Reserve(t.Context(), "y", "r1", 10)
		if !errkind.Is(err, errkind.BudgetUnknown) {
			t.Fatalf("got %v, want budget_unknown", err)
		}
		c.set(func() { c.ledger.Fund("y", 10) })
		if err := c.managers["a"].Reserve(t.Context(), "y", "r2", 10); err != nil {
			t.Fatalf("after the budget was created: %v", err)
		}
		c.managers["a"].Release("r2")
		c.drain(t)
	})
}
