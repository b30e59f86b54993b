package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"syscall"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
	"github.com/bluebellsail/bluebellsail/internal/admincli"
	"github.com/bluebellsail/bluebellsail/internal/devfleet"
	"github.com/bluebellsail/bluebellsail/internal/procconfig"
)

const (
	// changes of the settings before the restart, over so many teams.
	changes = 400
	teams   = 8
	// historyLimit is as much history as the group keeps.
	historyLimit = "1000"
	// smallLog makes the replicas take snapshots and truncate their logs meanwhile.
	smallLog = 65536
)

// doMany runs bluebellsail in this process, for many changes in a short time.
func (f *fleet) doMany(hosts []devfleet.Host, n int, args func(i int) []string) {
	f.t.Helper()
	for i := range n {
		var stdout, stderr bytes.Buffer
		argv := f.command(hosts, args(i)...).Args
		if code := admincli.Run(f.t.Context(), argv, nil, &stdout, &stderr); code != 0 {
			f.t.Fatalf("%q: status %d\n%s%s", argv, code, stdout.String(), stderr.String())
		}
	}
}

func teamOf(i int) string { return fmt.Sprint("/teams/team-", i%teams) }

func valueOf(i int) string { return fmt.Sprintf(`{"max_in_flight":%d}`, i+1) }

// Symptom: after a restart a host stays under old settings, or history has gaps.
// Sequence: hundreds of changes, with one entry host down and one frozen; the down one
// starts again; all but the frozen one are killed at once and start again; the frozen
// one wakes; then all are killed and start again.
// Cause: a watcher that misses changes which nobody can send it one by one any more; a
// snapshot or log that leaves changes out; a host that serves what it finds first.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	f := newFleet(t, 5, false, func(c *procconfig.Config) { c.Control.MaxLogBytes = smallLog })
	down, frozen := f.layout.Hosts[3], f.layout.Hosts[4]
	rest := f.without(down, frozen)
	f.changeTeams(rest, 0, 1)
	f.awaitInForce(1)
	f.kill(down)
	f.signal(frozen, syscall.SIGSTOP)
	f.changeTeams(rest, 1, changes)
	if g, ok := f.members(rest...); !ok || g.SnapshotIndex == 0 {
		t.Errorf("no snapshot was taken: %+v", g)
	}
	f.start(down)
	f.awaitUp(f.without(frozen)...)

	f.restart(f.without(frozen)...)
	f.signal(frozen, syscall.SIGCONT)
	f.awaitInForce(changes)
	f.restart(f.layout.Hosts...)
	for _, h := range f.layout.Hosts {
		f.checkReadyOnlyAt(h, changes)
	}
	f.awaitInForce(changes)
	f.checkHistory()
	f.do(f.layout.Hosts, "config", "set", "/teams/last", `{}`, "--version", "0")
	f.awaitInForce(changes + 1)
}

// changeTeams makes the changes from first up to limit.
func (f *fleet) changeTeams(hosts []devfleet.Host, first, limit int) {
	f.t.Helper()
	f.doMany(hosts, limit-first, func(i int) []string {
		return []string{"config", "set", teamOf(first + i), valueOf(first + i), "--any-version"}
	})
}

// restart kills hosts at once and starts them again.
func (f *fleet) restart(hosts ...devfleet.Host) {
	f.t.Helper()
	for _, h := range hosts {
		f.signal(h, syscall.SIGKILL)
	}
	for _, h := range hosts {
		f.kill(h)
		f.start(h)
	}
}

// checkReadyOnlyAt checks that a host that says that it serves does so under revision.
func (f *fleet) checkReadyOnlyAt(h devfleet.Host, revision uint64) {
	f.t.Helper()
	var s adminapi.Status
	eventually(f.t, h.Host+" is ready", func() bool { return f.ask(&s, h, "status") && s.Ready })
	if s.ConfigRevision < revision {
		f.t.Errorf("%s serves under revision %d, %d was in force", h.Host, s.ConfigRevision, revision)
	}
}

// checkHistory checks that every change is there, in order and as it was made.
func (f *fleet) checkHistory() {
	f.t.Helper()
	var history adminapi.HistoryAnswer
	f.mustAsk(&history, f.layout.Hosts, "config", "history", "/teams", "--limit", historyLimit)
	if len(history.Changes) != changes {
		f.t.Fatalf("%d changes, want %d", len(history.Changes), changes)
	}
	first, last := history.Changes[0], history.Changes[changes-1]
	forward := first.Revision < last.Revision
	for k, c := range history.Changes {
		i := k
		if !forward {
			i = changes - 1 - k
		}
		version := strconv.Itoa(i/teams + 1)
		var value bytes.Buffer
		if err := json.Compact(&value, c.Value); err != nil {
			f.t.Fatal(err)
		}
		if c.Revision != uint64(i+1) || c.Path != teamOf(i) || value.String() != valueOf(i) || fmt.Sprint(c.Version) != version {
			f.t.Fatalf("change %d is %+v with %s", i, c, value.String())
		}
	}
}
