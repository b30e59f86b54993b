package proof

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// claimOutput is the outcome of one sent request: whether the engine ran it, and its answer.
type claimOutput struct {
	ran, ok  bool
	reported errkind.Ran // of a refusal; empty for an answer, or if there was none
}

// runOnce is the model of one identity, whose state is whether it has run. A request that
// runs it must find it not run, and must not be refused with 'ran no'; an answer must come
// after the run.
var runOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[string][]porcupine.Operation)
		for _, op := range history {
			parts[op.Input.(string)] = append(parts[op.Input.(string)], op)
		}
		var out [][]porcupine.Operation
		for _, part := range parts {
			out = append(out, part)
		}
		return out
	},
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		has, o := state.(bool), output.(claimOutput)
		switch {
		case o.ran:
			return !has && o.reported != errkind.RanNo, true
		case o.ok:
			return has, has
		}
		return true, has
	},
}

// TestClaimsRunOnce sends each request to up to four hosts, concurrently and later, while
// messages are lost, delayed and duplicated, hosts are cut off from each other and from the
// control group, and hosts die.
//
// A run without a claim, a claim won twice, or a claim given up after a run would make a
// request that is not idempotent run twice, be answered without a run, or be refused as not
// run although it ran.
func TestClaimsRunOnce(t *testing.T) {
	for seed := range int64(10) {
		withFleet(t, seed, 6, 100_000, func(f *fleet) {
			rng := rand.New(rand.NewSource(seed))
			c := &callers{f: f}
			f.faults = badNetwork
			for i := range 80 {
				time.Sleep(time.Duration(rng.Intn(200)) * time.Millisecond)
				for range 2 {
					pause := time.Duration(rng.Intn(1500)) * time.Millisecond
					c.send(fmt.Sprint("k", i), false, pause, f.names[rng.Intn(6)], f.names[rng.Intn(6)])
				}
				switch i % 20 {
				case 4:
					f.cutOff(f.names[rng.Intn(6)], f.names[rng.Intn(6)])
				case 9:
					victim := f.names[1+rng.Intn(5)]
					f.kill(victim)
					f.start(victim)
				case 16:
					f.cutOff()
				}
			}
			c.wg.Wait()
			f.heal()
			history := claimHistory(f, c.sent)
			if !porcupine.CheckOperations(runOnce, history) {
				f.t.Errorf("seed %d: no order of the sent requests has each identity run once", seed)
			}
			served, notRun := f.checkAnswers(c.sent)
			f.t.Logf("seed %d: %d requests sent, %d answered, %d refused as not run (%d ran before elsewhere), %d identities ran",
				seed, len(history), served, notRun, f.countMisleadingRefusals(c.sent), len(f.engine.byIdentity))
			if served == 0 || notRun == 0 {
				f.t.Error("the run did not contain both answers and refusals")
			}
		})
	}
}

func claimHistory(f *fleet, sent []sentRequest) []porcupine.Operation {
	var history []porcupine.Operation
	for i, a := range sent {
		_, ran := f.engine.run(a.id)
		o := claimOutput{ran: ran, ok: a.ok}
		end := a.end
		if a.refusal != nil {
			o.reported = a.refusal.Ran()
		}
		if !a.ok && a.refusal == nil { // its host died: its effects may occur at any later time
			end = end.Add(time.Hour)
		}
		history = append(history, porcupine.Operation{
			ClientId: i, Input: a.identity, Call: int64(f.elapsed(a.start)), Output: o, Return: int64(f.elapsed(end)),
		})
	}
	return history
}
