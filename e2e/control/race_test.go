package control

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// racers is how many processes change the same thing at once.
const racers = 6

// race runs one command per racer at once, each at another host first.
func (f *fleet) race(args func(i int) []string) []outcome {
	f.t.Helper()
	outcomes := make([]outcome, racers)
	var wg sync.WaitGroup
	for i := range racers {
		at := i % len(f.layout.Hosts)
		hosts := append(f.layout.Hosts[at:len(f.layout.Hosts):len(f.layout.Hosts)], f.layout.Hosts[:at]...)
		cmd := f.command(hosts, append([]string{"--json"}, args(i)...)...)
		wg.Go(func() { outcomes[i] = f.finish(cmd) })
	}
	wg.Wait()
	return outcomes
}

// Symptom: a change that an operator was told is in force is gone.
// Sequence: several operators read version 1 of a subtree; each sets it expecting 1.
// Cause: versions compared at a host, or outside the order of the log.
func TestOneOfRacingOperatorsWins(t *testing.T) {
	f := newFleet(t, 4, false)
	f.do(f.layout.Hosts, "config", "set", "/teams/kiosk", `{"max_in_flight":1}`, "--version", "0")
	set := func(i int) []string {
		return []string{"--op-id", fmt.Sprint("racer-", i), "config", "set", "/teams/kiosk/max_in_flight", fmt.Sprint(100 + i), "--version", "1"}
	}
	first := f.race(set)
	winner := -1
	for i, o := range first {
		switch {
		case o.code == 0 && winner < 0:
			winner = i
		case o.code == 0:
			t.Fatalf("both %d and %d won", winner, i)
		case o.code != 1 || !strings.Contains(o.stderr, string(errkind.VersionConflict)) || !strings.Contains(o.stderr, "present version 2"):
			t.Errorf("loser %d: status %d, %s", i, o.code, o.stderr)
		}
	}
	if winner < 0 {
		t.Fatal("nobody won")
	}
	var got adminapi.ConfigAnswer
	f.mustAsk(&got, f.layout.Hosts, "config", "get", "/teams/kiosk/max_in_flight")
	if want := fmt.Sprint(100 + winner); string(got.Value) != want || got.Version != 2 {
		t.Errorf("%s under version %d, want %s under 2", got.Value, got.Version, want)
	}

	// Whoever asks again under the same operation id gets the first answer.
	again := f.race(set)
	for i, o := range again {
		if o.code != first[i].code {
			t.Errorf("resend %d: status %d, first %d: %s", i, o.code, first[i].code, o.stderr)
		}
	}
	won, resent := decode[adminapi.ChangeAnswer](t, first[winner].stdout), decode[adminapi.ChangeAnswer](t, again[winner].stdout)
	if resent.Revision != won.Revision || resent.Version != won.Version || !resent.Resend || won.Resend {
		t.Errorf("first %+v, resend %+v", won, resent)
	}
	var history adminapi.HistoryAnswer
	f.mustAsk(&history, f.layout.Hosts, "config", "history", "/teams/kiosk")
	if len(history.Changes) != 2 {
		t.Errorf("%d changes, want 2: %+v", len(history.Changes), history.Changes)
	}
}

// Symptom: a budget has been funded twice for one payment.
// Sequence: the answer to a top-up is lost; the operator sends it again, at several hosts.
// Cause: the operation id isn't compared where top-ups are ordered.
func TestOneTopUpSentManyTimesFundsOnce(t *testing.T) {
	f := newFleet(t, 4, false)
	f.do(f.layout.Hosts, "budget", "create", "cash", "--tokens", "100")
	topUp := func(int) []string {
		return []string{"--op-id", "payment-1", "budget", "top-up", "cash", "--tokens", "50"}
	}
	fresh := 0
	for _, o := range append(f.race(topUp), f.race(topUp)...) {
		if o.code != 0 {
			t.Fatalf("status %d: %s", o.code, o.stderr)
		}
		answer := decode[adminapi.BudgetAnswer](t, o.stdout)
		if answer.Budget.Funded != 150 || answer.OpID != "payment-1" {
			t.Errorf("answer %+v", answer)
		}
		if !answer.Resend {
			fresh++
		}
	}
	if fresh > 1 {
		t.Errorf("%d answers say that they funded", fresh)
	}
	o := f.try(f.layout.Hosts, "--op-id", "payment-1", "budget", "top-up", "cash", "--tokens", "60")
	if o.code != 1 || !strings.Contains(o.stderr, string(errkind.KeyConflict)) {
		t.Errorf("another amount under the same id: status %d, %s", o.code, o.stderr)
	}
	if got := f.budget(f.layout.Hosts, "cash").Funded; got != 150 {
		t.Errorf("funded %d, want 150", got)
	}
}
