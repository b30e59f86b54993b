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
	// changeCount is the number of changes of the settings before the restart, teamCount the number
	// of teams that they are spread over.
	changeCount = 400
	teamCount   = 8
	// historyLimit is the number of changes that the group keeps in its history.
	historyLimit = "1000"
	// smallLog is a log size at which the replicas take snapshots and truncate their logs during the
	// test.
	smallLog = 65536
)

// mustRunMany runs bluebellsail commands in this process, which is faster than starting processes.
func (f *fleet) mustRunMany(hosts []devfleet.Host, n int, args func(i int) []string) {
	f.t.Helper()
	for i := range n {
		var stdout, stderr bytes.Buffer
		argv := f.command(hosts, args(i)...).Args
		if code := admincli.Run(f.t.Context(), argv, nil, &stdout, &stderr); code != 0 {
			f.t.Fatalf("%q: status %d\n%s%s", argv, code, stdout.String(), stderr.String())
		}
	}
}

func teamPath(i int) string { return fmt.Sprint("/teams/team-", i%teamCount) }

func teamValue(i int) string { return fmt.Sprintf(`{"max_in_flight":%d}`, i+1) }

// Guards against a host that keeps old settings after a restart, or a history with gaps. There are
// hundreds of changes while one entry host is down and one is frozen. The host that is down restarts; all
// but the frozen one are killed at once and restart; the frozen one resumes; then all are killed and
// restart. Possible causes are a watcher that misses changes which no replica can send one by one any
// more, a snapshot or log that omits changes, and a host that serves under the first settings it finds.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	f := newFleet(t, 5, false, func(c *procconfig.Config) { c.Control.MaxLogBytes = smallLog })
	down, frozen := f.layout.Hosts[3], f.layout.Hosts[4]
	others := f.without(down, frozen)
	f.changeTeams(others, 0, 1)
	f.awaitInForce(1)
	f.kill(down)
	f.signal(frozen, syscall.SIGSTOP)
	f.changeTeams(others, 1, changeCount)
	if g, ok := f.members(others...); !ok || g.SnapshotIndex == 0 {
		t.Errorf("no snapshot was taken: %+v", g)
	}
	f.start(down)
	f.awaitUp(f.without(frozen)...)

	f.restart(f.without(frozen)...)
	f.signal(frozen, syscall.SIGCONT)
	f.awaitInForce(changeCount)
	f.restart(f.layout.Hosts...)
	for _, h := range f.layout.Hosts {
		f.checkReadyUnder(h, changeCount)
	}
	f.awaitInForce(changeCount)
	f.checkHistory()
	f.mustRunCLI(f.layout.Hosts, "config", "set", "/teams/last", `{}`, "--version", "0")
	f.awaitInForce(changeCount + 1)
}

// changeTeams makes the changes from number first up to, but not including, limit.
func (f *fleet) changeTeams(hosts []devfleet.Host, first, limit int) {
	f.t.Helper()
	f.mustRunMany(hosts, limit-first, func(i int) []string {
		return []string{"config", "set", teamPath(first + i), teamValue(first + i), "--any-version"}
	})
}

// restart kills hosts at once and restarts them.
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

// checkReadyUnder waits until a host reports that it is ready, and checks that it has at least the given
// revision then.
func (f *fleet) checkReadyUnder(h devfleet.Host, revision uint64) {
	f.t.Helper()
	var s adminapi.Status
	eventually(f.t, h.Host+" is ready", func() bool { return f.query(&s, h, "status") && s.Ready })
	if s.ConfigRevision < revision {
		f.t.Errorf("%s is ready under revision %d, although %d was in force", h.Host, s.ConfigRevision, revision)
	}
}

// checkHistory checks that the history contains every change, in order and unchanged.
func (f *fleet) checkHistory() {
	f.t.Helper()
	var history adminapi.HistoryAnswer
	f.mustQuery(&history, f.layout.Hosts, "config", "history", "/teams", "--limit", historyLimit)
	if len(history.Changes) != changeCount {
		f.t.Fatalf("%d changes, want %d", len(history.Changes), changeCount)
	}
	first, last := history.Changes[0], history.Changes[changeCount-1]
	forward := first.Revision < last.Revision
	for k, c := range history.Changes {
		i := k
		if !forward {
			i = changeCount - 1 - k
		}
		version := strconv.Itoa(i/teamCount + 1)
		var value bytes.Buffer
		if err := json.Compact(&value, c.Value); err != nil {
			f.t.Fatal(err)
		}
		if c.Revision != uint64(i+1) || c.Path != teamPath(i) || value.String() != teamValue(i) || fmt.Sprint(c.Version) != version {
			f.t.Fatalf("change %d is %+v with %s", i, c, value.String())
		}
	}
}
