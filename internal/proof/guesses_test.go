package proof

import (
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// TestEstimateTakesTokensOfAnotherRun covers a known case in which a run is billed less than it
// used although its host held enough tokens. A request reserves nearly all of the budget, and
// another request waits for tokens on the same host. The host is cut off before its peers are
// notified that the first request was sent to an engine; the request runs, the host dies, and both
// requests are recovered.
//
// To the peers both requests look the same, so both are billed by their reservation, and the one
// that never ran is billed first. All tokens that the host held are billed.
func TestEstimateTakesTokensOfAnotherRun(t *testing.T) {
	const running, waiting = "run", "b10"
	runs, waits := "acc/"+running, "acc/"+waiting
	withFleet(t, 1, 4, reserved(runs), func(f *fleet) {
		c := &callers{f: f}
		f.engine.beforeRun = func(call *filter.Call) {
			if call.Identity != runs {
				return
			}
			c.send(waiting, true, 0, "h1")
			f.waitFor("the waiting request has a copy", func() bool { return f.hasCopy(waits, "h1") })
			f.cutOff("h1")
		}
		c.send(running, true, 0, "h1")
		f.waitFor("the request runs", func() bool { return !f.engine.idle() })
		f.kill("h1")
		c.wg.Wait()
		f.recoverAll()
		f.healAndDrain()
		f.check()
		bills, left := f.bills(), reserved(runs)-reserved(waits)
		if got := bills[runs]; len(got) != 1 || got[0] != left || left >= used(runs, true) {
			f.t.Errorf("billed %v, want the run billed with the remaining tokens, fewer than it used", bills)
		}
		if f.lostBills != 1 || f.budget().GetBilled() != reserved(runs) {
			f.t.Errorf("%d runs billed too little, want 1; %d tokens billed, want %d", f.lostBills, f.budget().GetBilled(), reserved(runs))
		}
	})
}

// TestPartialBillExplanation checks that not every capped bill is explained by other estimated
// bills. Otherwise a run that is billed too little because of a fault would pass the check.
func TestPartialBillExplanation(t *testing.T) {
	r := run{id: "k@h1/1", tokens: 23}
	explained := partialBill{request: r.id, tokens: 21, overEstimated: 2}
	released, wrongRun, tooFew := explained, explained, explained
	released.released = 1
	wrongRun.request = "k@h2/1"
	tooFew.overEstimated = 1
	for name, c := range map[string]struct {
		bill   partialBill
		billed uint64
		want   bool
	}{
		"other estimates too high":            {explained, 21, true},
		"tokens of the host released":         {released, 21, false},
		"another host's request":              {wrongRun, 21, false},
		"other estimates not too high enough": {tooFew, 21, false},
		"another amount billed":               {explained, 20, false},
	} {
		if got := c.bill.explains(r, c.billed); got != c.want {
			t.Errorf("%s: explained %v", name, got)
		}
	}
}

// hasCopy reports whether a host other than the owner knows the identity.
func (f *fleet) hasCopy(identity, owner string) bool {
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

// waitFor waits until a condition holds, for at most one second of virtual time.
func (f *fleet) waitFor(what string, holds func() bool) {
	for range 10_000 {
		if holds() {
			return
		}
		time.Sleep(100 * time.Microsecond)
	}
	f.t.Errorf("condition did not become true within 1 s: %s", what)
}
