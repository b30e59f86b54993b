package proof

import (
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// TestGuessTakesPartOfARunsTokens
//
// Symptom: a run is billed less than it took, though its host held enough for it.
// Sequence: a request reserves nearly all of the budget; another one comes to the same host
// and waits for tokens; the host is cut off before its peers hear that the first one is sent
// to an engine; it runs, the host dies, and both are recovered.
// Cause: to the peers both requests look alike, so both are billed by their reservation, and
// the one that never ran comes first. What the host held is billed to the last token.
func TestGuessTakesPartOfARunsTokens(t *testing.T) {
	const running, waiting = "run", "b10"
	runs, waits := "acc/"+running, "acc/"+waiting
	withFleet(t, 1, 4, reserved(runs), func(f *fleet) {
		c := &callers{f: f}
		f.engine.beforeRun = func(call *filter.Call) {
			if call.Identity != runs {
				return
			}
			c.send(waiting, true, 0, "h1")
			f.until("the waiting request has a copy", func() bool { return f.copied(waits, "h1") })
			f.cut("h1")
		}
		c.send(running, true, 0, "h1")
		f.until("the request runs", func() bool { return !f.engine.idle() })
		f.kill("h1")
		c.wg.Wait()
		f.recoverAll()
		f.healAndDrain()
		f.check()
		bills, left := f.bills(), reserved(runs)-reserved(waits)
		if got := bills[runs]; len(got) != 1 || got[0] != left || left >= used(runs, true) {
			f.t.Errorf("billed %v, so nothing was tried", bills)
		}
		if f.lost != 1 || f.budget().GetBilled() != reserved(runs) {
			f.t.Errorf("%d runs billed too little, %d tokens billed of %d", f.lost, f.budget().GetBilled(), reserved(runs))
		}
	})
}

// TestShortBillNeedsItsCause
//
// Symptom: a run that is billed too little by a fault passes as one that guesses crowded out.
// Cause: a check that takes every capped bill for such a one.
func TestShortBillNeedsItsCause(t *testing.T) {
	r := run{id: "k@h1/1", tokens: 23}
	good := shortBill{request: r.id, tokens: 21, overGuessed: 2}
	released, wrongRun, tooFew := good, good, good
	released.released = 1
	wrongRun.request = "k@h2/1"
	tooFew.overGuessed = 1
	for name, c := range map[string]struct {
		bill   shortBill
		billed uint64
		want   bool
	}{
		"crowded out":                   {good, 21, true},
		"tokens of the host released":   {released, 21, false},
		"another host's request":        {wrongRun, 21, false},
		"guesses that took too little":  {tooFew, 21, false},
		"billed otherwise than guessed": {good, 20, false},
	} {
		if got := c.bill.explains(r, c.billed); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// copied tells whether a host besides the owner knows the identity.
func (f *fleet) copied(identity, owner string) bool {
	for _, name := range f.names {
		n := f.node(name)
		if n == nil || name == owner {
			continue
		}
		if n.records.HandleFind(&pb.FindRecordRequest{Identity: identity}).GetFound() {
			return true
		}
	}
	return false
}

// until waits for a condition. One that never holds would go on in virtual time for ever.
func (f *fleet) until(what string, holds func() bool) {
	for range 10_000 {
		if holds() {
			return
		}
		time.Sleep(100 * time.Microsecond)
	}
	f.t.Errorf("never: %s", what)
}
