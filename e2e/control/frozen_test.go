package control

import (
	"sync"
	"syscall"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
	"github.com/bluebellsail/bluebellsail/internal/devfleet"
)

// queuedReads is how many reads wait at the frozen leader when it wakes.
const queuedReads = 8

// Symptom: an operator reads a funded amount or a setting that was changed long before,
// a top-up that was answered is gone, or one counts twice.
// Sequence: the leader's process is stopped past its lease; another leads and commits;
// a top-up first goes to the stopped one; it wakes with reads and the top-up waiting.
// Cause: the woken process believes in its lease, or its log wins over the new leader's.
func TestFrozenLeaderWakes(t *testing.T) {
	f := newFleet(t, 5, false)
	before := f.fill(f.layout.Hosts)
	frozen := f.leader(f.layout.Hosts...)
	rest := f.without(frozen)
	f.signal(frozen, syscall.SIGSTOP)

	// The tool gives up on the frozen leader and sends the top-up again elsewhere; the
	// first copy waits in the frozen leader's sockets.
	const late = 500
	var wg sync.WaitGroup
	var resent outcome
	atFrozenFirst := f.command(append([]devfleet.Host{frozen}, rest...), "--op-id", "late", "budget", "top-up", "cash", "--tokens", "500")
	wg.Go(func() { resent = f.finish(atFrozenFirst) })

	f.leader(rest...)
	var want holding
	for range 5 {
		want = f.grow(rest)
	}
	wg.Wait()
	if resent.code != 0 {
		t.Fatalf("top-up by way of the frozen leader: status %d, %s", resent.code, resent.stderr)
	}
	want.funded = before.funded + 5*growth + late
	f.checkHolds(rest, want)

	checkReads := f.queueReads(frozen)
	f.signal(frozen, syscall.SIGCONT)
	checkReads(want)
	for range 10 {
		f.checkHolds([]devfleet.Host{frozen}, want)
	}
	f.awaitUp(f.layout.Hosts...)
	f.checkHolds(f.layout.Hosts, want)
	want = f.grow(f.layout.Hosts)
	f.checkHolds([]devfleet.Host{frozen}, want)
	if want.funded != before.funded+6*growth+late {
		t.Errorf("funded %d, want %d", want.funded, before.funded+6*growth+late)
	}
}

// queueReads starts reads at a frozen host. The function returned waits for them and
// checks that none is older than want.
func (f *fleet) queueReads(frozen devfleet.Host) func(want holding) {
	at := []devfleet.Host{frozen}
	budgets, configs := make([]outcome, queuedReads), make([]outcome, queuedReads)
	var wg sync.WaitGroup
	for i := range queuedReads {
		budget := f.command(at, "--json", "budget", "show", "cash")
		config := f.command(at, "--json", "config", "get", "/teams/school")
		wg.Go(func() { budgets[i] = f.finish(budget) })
		wg.Go(func() { configs[i] = f.finish(config) })
	}
	return func(want holding) {
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
