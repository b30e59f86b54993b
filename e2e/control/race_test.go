package control

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// concurrentCommands is how many commands make the same change at once.
const concurrentCommands = 6

// runConcurrently runs concurrentCommands commands at once, each at another host first.
func (f *fleet) runConcurrently(args func(i int) []string) []result {
	f.t.Helper()
	outcomes := make([]result, concurrentCommands)
	var wg sync.WaitGroup
	for i := range concurrentCommands {
		at := i % len(f.layout.Hosts)
		hosts := append(f.layout.Hosts[at:len(f.layout.Hosts):len(f.layout.Hosts)], f.layout.Hosts[:at]...)
		cmd := f.command(hosts, append([]string{"--json"}, args(i)...)...)
		wg.Go(func() { outcomes[i] = f.runCommand(cmd) })
	}
	wg.Wait()
	return outcomes
}

// Guards against a lost update: a change that was acknowledged to one operator is overwritten by
// another's. Several operators read version 1 of a subtree, and each changes it expecting version 1. The
// versions must be compared in the order of the log, not at a host.
func TestOneOfConcurrentChangesWins(t *testing.T) {
	f := newFleet(t, 4, false)
	f.mustRunCLI(f.layout.Hosts, "config", "set", "/teams/kiosk", `{"max_in_flight":1}`, "--version", "0")
	set := func(i int) []string {
		return []string{"--op-id", fmt.Sprint("racer-", i), "config", "set", "/teams/kiosk/max_in_flight", fmt.Sprint(100 + i), "--version", "1"}
	}
	first := f.runConcurrently(set)
	winner := -1
	for i, o := range first {
		switch {
		case o.code == 0 && winner < 0:
			winner = i
		case o.code == 0:
			t.Fatalf("both change %d and change %d succeeded", winner, i)
		case o.code != 1 || !strings.Contains(o.stderr, string(errkind.VersionConflict)) || !strings.Contains(o.stderr, "present version 2"):
			t.Errorf("rejected change %d: status %d, %s", i, o.code, o.stderr)
		}
	}
	if winner < 0 {
		t.Fatal("no change succeeded")
	}
	var got adminapi.ConfigAnswer
	f.mustQuery(&got, f.layout.Hosts, "config", "get", "/teams/kiosk/max_in_flight")
	if want := fmt.Sprint(100 + winner); string(got.Value) != want || got.Version != 2 {
		t.Errorf("%s under version %d, want %s under 2", got.Value, got.Version, want)
	}

	// A command that is resent under the same operation ID gets the first answer.
	resent := f.runConcurrently(set)
	for i, o := range resent {
		if o.code != first[i].code {
			t.Errorf("resend %d: status %d, first %d: %s", i, o.code, first[i].code, o.stderr)
		}
	}
	firstAnswer, resentAnswer := decode[adminapi.ChangeAnswer](t, first[winner].stdout), decode[adminapi.ChangeAnswer](t, resent[winner].stdout)
	if resentAnswer.Revision != firstAnswer.Revision || resentAnswer.Version != firstAnswer.Version || !resentAnswer.Resend || firstAnswer.Resend {
		t.Errorf("first %+v, resend %+v", firstAnswer, resentAnswer)
	}
	var history adminapi.HistoryAnswer
	f.mustQuery(&history, f.layout.Hosts, "config", "history", "/teams/kiosk")
	if len(history.Changes) != 2 {
		t.Errorf("%d changes, want 2: %+v", len(history.Changes), history.Changes)
	}
}

// Guards against a budget that is funded twice for one payment. The answer to a top-up is lost, and the
// operator sends it again to several hosts. The operation ID must be compared where top-ups are ordered.
func TestResentTopUpFundsOnce(t *testing.T) {
	f := newFleet(t, 4, false)
	f.mustRunCLI(f.layout.Hosts, "budget", "create", "cash", "--tokens", "100")
	topUp := func(int) []string {
		return []string{"--op-id", "payment-1", "budget", "top-up", "cash", "--tokens", "50"}
	}
	funding := 0
	for _, o := range append(f.runConcurrently(topUp), f.runConcurrently(topUp)...) {
		if o.code != 0 {
			t.Fatalf("status %d: %s", o.code, o.stderr)
		}
		answer := decode[adminapi.BudgetAnswer](t, o.stdout)
		if answer.Budget.Funded != 150 || answer.OpID != "payment-1" {
			t.Errorf("answer %+v", answer)
		}
		if !answer.Resend {
			funding++
		}
	}
	if funding > 1 {
		t.Errorf("%d answers report that they funded the budget", funding)
	}
	o := f.runCLI(f.layout.Hosts, "--op-id", "payment-1", "budget", "top-up", "cash", "--tokens", "60")
	if o.code != 1 || !strings.Contains(o.stderr, string(errkind.KeyConflict)) {
		t.Errorf("another amount under the same operation ID: status %d, %s", o.code, o.stderr)
	}
	if got := f.budget(f.layout.Hosts, "cash").Funded; got != 150 {
		t.Errorf("funded %d, want 150", got)
	}
}
