package control

import (
	"strings"
	"syscall"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

const (
	funds = 100_000
	topUp = 5000
	// chatsPerHost while there is no quorum, and warmUps before, from which grants are sized.
	chatsPerHost = 3
	warmUps      = 8
)

// Symptom: callers are refused though their host holds tokens; a top-up funds twice or
// is said to be refused and counts; an entry is posted twice or is said not to have run.
// Sequence: two of three replicas are killed; callers and an operator go on; they return.
// Cause: serving from grants needs the ledger; a lost answer taken for a refusal; a
// call that may run once dispatched without its claim.
func TestTwoOfThreeReplicasDown(t *testing.T) {
	f := newFleet(t, 5, false)
	entries := f.layout.Hosts[3:]
	c := f.newCaller(f.startBackend(f.callerAddresses()), funds)
	var books usage
	for i := range warmUps {
		for _, h := range entries {
			books.add(t, c.chat(h, "warm", i))
		}
	}

	downA := f.leader(f.layout.Hosts...)
	downB := f.without(append(entries, downA)...)[0]
	f.signal(downA, syscall.SIGKILL)
	f.kill(downB)
	f.kill(downA)
	left := f.without(downA, downB)
	eventually(t, "the quorum is missed", func() bool {
		var s adminapi.Status
		return f.ask(&s, entries[0], "status") && s.Control == nil
	})
	o := f.try(left, "--timeout", "4s", "--op-id", "payment", "budget", "top-up", "cash", "--tokens", "5000")
	if o.code != 3 || !strings.Contains(o.stderr, "nothing was changed") && !strings.Contains(o.stderr, "--op-id payment") {
		t.Errorf("top-up without a quorum: status %d, %s", o.code, o.stderr)
	}
	for i := range chatsPerHost {
		for _, h := range entries {
			books.add(t, c.chat(h, "cut", i))
		}
	}
	refused := c.post(entries[0], "entry-1")
	if refused.refusal.Kind != errkind.ClaimUnavailable || refused.refusal.Ran != errkind.RanNo {
		t.Errorf("entry without a quorum: status %d, %+v", refused.status, refused.refusal)
	}
	if runs := c.runs(); len(runs.Entries) != 0 {
		t.Errorf("a refused entry ran: %v", runs.Entries)
	}

	f.start(downA)
	f.start(downB)
	f.awaitUp(f.layout.Hosts...)
	f.checkPaymentFundsOnce(o)
	books.add(t, c.post(entries[1], "entry-1"))
	if runs := c.runs(); len(runs.Entries) != 1 || runs.Entries["entry-1"] != 1 {
		t.Errorf("entries %v, want one run of entry-1", runs.Entries)
	}
	f.checkBooks(books, funds+topUp)
}

// checkPaymentFundsOnce resends a top-up whose first outcome was o.
func (f *fleet) checkPaymentFundsOnce(o outcome) {
	f.t.Helper()
	funded := f.budget(f.layout.Hosts, "cash").Funded
	if strings.Contains(o.stderr, "nothing was changed") && funded != funds {
		f.t.Errorf("funded %d though nothing was changed", funded)
	}
	for range 2 {
		f.do(f.layout.Hosts, "--op-id", "payment", "budget", "top-up", "cash", "--tokens", "5000")
		if got := f.budget(f.layout.Hosts, "cash").Funded; got != funds+topUp {
			f.t.Errorf("funded %d, want %d", got, funds+topUp)
		}
	}
}

// checkBooks waits until the ledger has one bill for each answer, and compares.
func (f *fleet) checkBooks(want usage, funded uint64) {
	f.t.Helper()
	var b adminapi.Budget
	eventually(f.t, "all bills are settled", func() bool {
		b = f.budget(f.layout.Hosts, "cash")
		return b.Bills >= want.answers
	})
	if b.Bills != want.answers || b.Billed != want.tokens || b.Funded != funded || b.Billed+b.Granted > b.Funded {
		f.t.Errorf("the ledger has %+v; callers know of %+v, funded is %d", b, want, funded)
	}
}
