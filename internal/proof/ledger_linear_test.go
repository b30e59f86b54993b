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

// budgetState is the model's state of one budget, and the output of a read.
type budgetState struct{ funded, granted uint64 }

// ledgerModel is the model of one budget: a top-up counts once and returns the resulting funds;
// an acquire gets its need, or the remaining tokens if they are fewer.
var ledgerModel = porcupine.Model{
	Init: func() any { return budgetState{funded: 500} },
	Step: func(state, input, output any) (bool, any) {
		b, in := state.(budgetState), input.(ledgerInput)
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

// execute executes one operation from a host, which resends it until it is answered.
func (f *fleet) execute(n *node, name string, seq uint64, in ledgerInput) (output any, ok bool) {
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
	b, err := deliver(ctx, f, n, ledgerSide, func() (budgetState, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		now := budgetState{funded: f.budget().GetFunded()}
		for _, g := range f.budget().GetGranted() {
			now.granted += g.GetTokens()
		}
		return now, nil
	})
	return b, err == nil
}

// TestLedgerIsLinearizable has five clients top up, read and acquire concurrently. Commands and
// answers are lost, delayed and duplicated, and each command is resent until it is answered;
// hosts are cut off for a while.
//
// If a resend were counted twice, or answered from another state than the one that the command
// produced, an operator would fund twice or read less than was confirmed, or a holder would be
// granted tokens of another one.
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
						call := f.elapsed(time.Now())
						output, ok := f.execute(f.node(name), fmt.Sprint(name, "/", i), seq, in)
						if !ok && in.kind != opRead {
							f.t.Errorf("%s: operation %d was never answered", name, i)
						}
						if ok {
							mu.Lock()
							history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: int64(call), Output: output, Return: int64(f.elapsed(time.Now()))})
							mu.Unlock()
						}
					}
				})
			}
			for range 3 {
				time.Sleep(2 * time.Second)
				f.cutOff("h1", "h3")
				time.Sleep(1500 * time.Millisecond)
				f.cutOff()
			}
			clients.Wait()
			if result := porcupine.CheckOperationsTimeout(ledgerModel, history, 10*time.Second); result != porcupine.Ok {
				f.t.Errorf("seed %d: %d operations: %s", seed, len(history), result)
			}
			f.t.Logf("seed %d: %d operations, %d funded", seed, len(history), f.budget().GetFunded())
		})
	}
}
