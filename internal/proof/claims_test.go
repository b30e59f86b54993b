package proof

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// claimOutput is what one arrival saw, with what the engine did for it.
type claimOutput struct {
	ran, ok bool
	told    errkind.Ran // of a refusal; empty: an answer, or none at all
}

// runOnce is the model of one identity. State: whether it has run. An arrival that runs it
// finds it not run; an answer comes after the run, and so does the word that it ran; the
// word that this arrival did not run it is true.
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
			return !has && o.told != errkind.RanNo, true
		case o.ok:
			return has, has
		}
		return true, has
	},
}

// TestClaimsRunOnce
//
// Symptom: a request marked not idempotent runs twice, is answered without a run, or its
// caller is told that it did not run while it did.
// Sequence: each request is sent to three or four hosts at once and later, over messages
// lost, late and doubled, in cuts of hosts from each other and from the control group, and
// over deaths of hosts.
// Cause: a run without a claim, a claim won twice, or a claim given back after a run.
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
					f.cut(f.names[rng.Intn(6)], f.names[rng.Intn(6)])
				case 9:
					victim := f.names[1+rng.Intn(5)]
					f.kill(victim)
					f.start(victim)
				case 16:
					f.cut()
				}
			}
			c.wg.Wait()
			f.heal()
			history := claimHistory(f, c.arrivals)
			if !porcupine.CheckOperations(runOnce, history) {
				f.t.Errorf("seed %d: no order of the arrivals has each identity run once", seed)
			}
			served, notRun := f.checkAnswers(c.arrivals)
			f.t.Logf("seed %d: %d arrivals, %d answered, %d refused as not run (%d ran before elsewhere), %d identities ran",
				seed, len(history), served, notRun, f.toldTooMuch(c.arrivals), len(f.engine.byIdentity))
			if served == 0 || notRun == 0 {
				f.t.Error("nothing was tried")
			}
		})
	}
}

func claimHistory(f *fleet, arrivals []arrival) []porcupine.Operation {
	var history []porcupine.Operation
	for i, a := range arrivals {
		_, ran := f.engine.run(a.id)
		o := claimOutput{ran: ran, ok: a.ok}
		end := a.end
		if a.refusal != nil {
			o.told = a.refusal.Ran()
		}
		if !a.ok && a.refusal == nil { // its host died: what it did may come at any later time
			end = end.Add(time.Hour)
		}
		history = append(history, porcupine.Operation{
			ClientId: i, Input: a.identity, Call: int64(f.at(a.start)), Output: o, Return: int64(f.at(end)),
		})
	}
	return history
}
