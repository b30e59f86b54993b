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
	// chatsPerHost is the number of chats at each host without a quorum, and warmUpChats the number
	// before that, by which the grants are sized.
	chatsPerHost = 3
	warmUpChats  = 8
)

// Guards against three failures while there is no quorum: callers are refused although their host holds
// tokens, because serving from grants needs the ledger; a top-up counts twice, or counts although it was
// reported as refused, because a lost answer is taken for a refusal; and an entry is executed twice, or
// is executed although it was reported as not run, because a call that may run only once is dispatched
// without its claim. Two of three replicas are killed, callers and an operator go on, and the replicas
// return.
func TestTwoOfThreeReplicasDown(t *testing.T) {
	f := newFleet(t, 5, false)
	entryHosts := f.layout.Hosts[3:]
	c := f.newCaller(f.startBackend(f.callerAddresses()), funds)
	var billed billable
	for i := range warmUpChats {
		for _, h := range entryHosts {
			billed.add(t, c.chat(h, "warm", i))
		}
	}

	downA := f.leader(f.layout.Hosts...)
	downB := f.without(append(entryHosts, downA)...)[0]
	f.signal(downA, syscall.SIGKILL)
	f.kill(downB)
	f.kill(downA)
	remaining := f.without(downA, downB)
	eventually(t, "the host reports that it does not reach the control group", func() bool {
		var s adminapi.Status
		return f.query(&s, entryHosts[0], "status") && s.Control == nil
	})
	o := f.runCLI(remaining, "--timeout", "4s", "--op-id", "payment", "budget", "top-up", "cash", "--tokens", "5000")
	if o.code != 3 || !strings.Contains(o.stderr, "nothing was changed") && !strings.Contains(o.stderr, "--op-id payment") {
		t.Errorf("top-up without a quorum: status %d, %s", o.code, o.stderr)
	}
	for i := range chatsPerHost {
		for _, h := range entryHosts {
			billed.add(t, c.chat(h, "cut", i))
		}
	}
	refused := c.postEntry(entryHosts[0], "entry-1")
	if refused.refusal.Kind != errkind.ClaimUnavailable || refused.refusal.Ran != errkind.RanNo {
		t.Errorf("entry without a quorum: status %d, %+v", refused.status, refused.refusal)
	}
	if runs := c.runs(); len(runs.Entries) != 0 {
		t.Errorf("a refused entry ran: %v", runs.Entries)
	}

	f.start(downA)
	f.start(downB)
	f.awaitUp(f.layout.Hosts...)
	f.checkResentTopUp(o)
	billed.add(t, c.postEntry(entryHosts[1], "entry-1"))
	if runs := c.runs(); len(runs.Entries) != 1 || runs.Entries["entry-1"] != 1 {
		t.Errorf("entries %v, want one run of entry-1", runs.Entries)
	}
	f.checkBills(billed, funds+topUp)
}

// checkResentTopUp resends a top-up whose first result was o, and checks that it counts once.
func (f *fleet) checkResentTopUp(o result) {
	f.t.Helper()
	funded := f.budget(f.layout.Hosts, "cash").Funded
	if strings.Contains(o.stderr, "nothing was changed") && funded != funds {
		f.t.Errorf("funded %d although the tool reported that nothing was changed", funded)
	}
	for range 2 {
		f.mustRunCLI(f.layout.Hosts, "--op-id", "payment", "budget", "top-up", "cash", "--tokens", "5000")
		if got := f.budget(f.layout.Hosts, "cash").Funded; got != funds+topUp {
			f.t.Errorf("funded %d, want %d", got, funds+topUp)
		}
	}
}

// checkBills waits until the ledger has a bill for each answer, and compares the bills with the answers.
func (f *fleet) checkBills(want billable, funded uint64) {
	f.t.Helper()
	var b adminapi.Budget
	eventually(f.t, "all bills are settled", func() bool {
		b = f.budget(f.layout.Hosts, "cash")
		return b.Bills >= want.answers
	})
	if b.Bills != want.answers || b.Billed != want.tokens || b.Funded != funded || b.Billed+b.Granted > b.Funded {
		f.t.Errorf("the ledger has %+v; callers got %+v, and %d tokens were funded", b, want, funded)
	}
}
