package control

import (
	"sync"
	"syscall"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
	"github.com/bluebellsail/bluebellsail/internal/devfleet"
)

// queuedReads is how many reads of each kind wait at the frozen leader when it resumes.
const queuedReads = 8

// Guards against stale reads, lost top-ups and top-ups that count twice. The leader's process is
// stopped until its lease has expired, while another leader commits changes. A top-up is sent to the
// stopped process first, which resumes with that top-up and some reads in its sockets. It must not rely
// on its old lease, and its log must not win over the new leader's.
func TestFrozenLeaderResumes(t *testing.T) {
	f := newFleet(t, 5, false)
	before := f.commitInitial(f.layout.Hosts)
	frozen := f.leader(f.layout.Hosts...)
	others := f.without(frozen)
	f.signal(frozen, syscall.SIGSTOP)

	// The command times out at the frozen leader and sends the top-up again to another host. The
	// first copy waits in the frozen leader's sockets.
	const lateTopUp = 500
	var wg sync.WaitGroup
	var resent result
	command := f.command(append([]devfleet.Host{frozen}, others...), "--op-id", "late", "budget", "top-up", "cash", "--tokens", "500")
	wg.Go(func() { resent = f.runCommand(command) })

	f.leader(others...)
	var want committed
	for range 5 {
		want = f.commitMore(others)
	}
	wg.Wait()
	if resent.code != 0 {
		t.Fatalf("top-up sent to the frozen leader first: status %d, %s", resent.code, resent.stderr)
	}
	want.funded = before.funded + 5*topUpPerCommit + lateTopUp
	f.checkCommitted(others, want)

	checkReads := f.queueReads(frozen)
	f.signal(frozen, syscall.SIGCONT)
	checkReads(want)
	for range 10 {
		f.checkCommitted([]devfleet.Host{frozen}, want)
	}
	f.awaitUp(f.layout.Hosts...)
	f.checkCommitted(f.layout.Hosts, want)
	want = f.commitMore(f.layout.Hosts)
	f.checkCommitted([]devfleet.Host{frozen}, want)
	if want.funded != before.funded+6*topUpPerCommit+lateTopUp {
		t.Errorf("funded %d, want %d", want.funded, before.funded+6*topUpPerCommit+lateTopUp)
	}
}

// queueReads starts reads at a frozen host. The returned function waits for their answers and checks
// that none is older than want.
func (f *fleet) queueReads(frozen devfleet.Host) func(want committed) {
	at := []devfleet.Host{frozen}
	budgets, configs := make([]result, queuedReads), make([]result, queuedReads)
	var wg sync.WaitGroup
	for i := range queuedReads {
		budget := f.command(at, "--json", "budget", "show", "cash")
		config := f.command(at, "--json", "config", "get", "/teams/school")
		wg.Go(func() { budgets[i] = f.runCommand(budget) })
		wg.Go(func() { configs[i] = f.runCommand(config) })
	}
	return func(want committed) {
		f.t.Helper()
		wg.Wait()
		for i := range queuedReads {
			if budgets[i].code != 0 || configs[i].code != 0 {
				f.t.Errorf("read %d: status %d and %d\n%s%s", i, budgets[i].code, configs[i].code, budgets[i].stderr, configs[i].stderr)
				continue
			}
			if b := decode[adminapi.Budget](f.t, budgets[i].stdout); b.Funded != want.funded {
				f.t.Errorf("stale read: funded %d, want %d", b.Funded, want.funded)
			}
			if c := decode[adminapi.ConfigAnswer](f.t, configs[i].stdout); c.Revision != want.revision {
				f.t.Errorf("stale read: revision %d, want %d", c.Revision, want.revision)
			}
		}
	}
}
