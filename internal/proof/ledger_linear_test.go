package proof

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

type ledgerKind int

const (
	opTopUp ledgerKind = iota
	opAcquire
	opRead
)

type ledgerInput struct {
	kind   ledgerKind
	tokens uint64
}

// book is the model's state of one budget, and what a read shows of it.
type book struct{ funded, granted uint64 }

// ledgerModel is one budget: a top-up counts once and tells the funds behind it, an acquire
// gets its need or what is left.
var ledgerModel = porcupine.Model{
	Init: func() any { return book{funded: 500} },
	Step: func(state, input, output any) (bool, any) {
		b, in := state.(book), input.(ledgerInput)
		switch in.kind {
		case opTopUp:
			b.funded += in.tokens
			return output == b.funded, b
		case opAcquire:
			amount := min(in.tokens, b.funded-b.granted)
			b.granted += amount
			return output == amount, b
		}
		return output == b, b
	},
}

// operate does one operation at a host, resent until it is answered.
func (f *fleet) operate(n *node, name string, seq uint64, in ledgerInput) (output any, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	switch in.kind {
	case opTopUp:
		r, err := n.Propose(ctx, &pb.Command{OpId: name, Body: &pb.Command_TopUp{TopUp: &pb.TopUp{Budget: budgetName, Tokens: in.tokens}}})
		return r.GetBudget().GetFunded(), err == nil
	case opAcquire:
		r, err := n.Propose(ctx, &pb.Command{Body: &pb.Command_Acquire{Acquire: &pb.Acquire{
			Holder: n.self, Budget: budgetName, Seq: seq, Need: in.tokens, Want: in.tokens,
		}}})
		return r.GetAcquire().GetAmount(), err == nil
	}
	b, err := deliver(ctx, f, n, ledgerSide, func() (book, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		now := book{funded: f.budget().GetFunded()}
		for _, g := range f.budget().GetGranted() {
			now.granted += g.GetTokens()
		}
		return now, nil
	})
	return b, err == nil
}

// TestLedgerIsLinearizable
//
// Symptom: an operator funds twice, reads less than was confirmed, or a holder is granted
// what another was granted.
// Sequence: five clients top up, read and acquire at once; commands and answers are lost,
// late and doubled, and each is resent until it is answered; hosts are cut off for a while.
// Cause: a resend counted twice, or answered by another state than the one it made.
func TestLedgerIsLinearizable(t *testing.T) {
	for seed := range int64(10) {
		withFleet(t, seed, 5, 500, func(f *fleet) {
			f.faults = badNetwork
			var mu sync.Mutex
			var history []porcupine.Operation
			var clients sync.WaitGroup
			for client, name := range f.names {
				rng := rand.New(rand.NewSource(seed*10 + int64(client)))
				clients.Go(func() {
					seq := uint64(0)
					for i := range 30 {
						time.Sleep(time.Duration(rng.Intn(400)) * time.Millisecond)
						in := ledgerInput{kind: ledgerKind(rng.Intn(3)), tokens: uint64(1 + rng.Intn(60))}
						if in.kind == opAcquire {
							seq++
						}
						call := f.at(time.Now())
						output, ok := f.operate(f.node(name), fmt.Sprint(name, "/", i), seq, in)
						if !ok && in.kind != opRead {
							f.t.Errorf("%s: operation %d was never answered", name, i)
						}
						if ok {
							mu.Lock()
							history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: int64(call), Output: output, Return: int64(f.at(time.Now()))})
							mu.Unlock()
						}
					}
				})
			}
			for range 3 {
				time.Sleep(2 * time.Second)
				f.cut("h1", "h3")
				time.Sleep(1500 * time.Millisecond)
				f.cut()
			}
			clients.Wait()
			if result := porcupine.CheckOperationsTimeout(ledgerModel, history, 10*time.Second); result != porcupine.Ok {
				f.t.Errorf("seed %d: %d operations: %s", seed, len(history), result)
			}
			f.t.Logf("seed %d: %d operations, %d funded", seed, len(history), f.budget().GetFunded())
		})
	}
}
