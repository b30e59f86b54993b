package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

var epochStart = time.Unix(1_000_000, 0)

func request(account string, n int) ID {
	return ID{Account: account, Fingerprint: FingerprintOf(account, "host", "/x", fmt.Appendf(nil, "%d", n))}
}

func incarnation(n int) instance.Incarnation {
	return instance.Incarnation{ID: fmt.Sprintf("server-%d", n), Started: 1}
}

// fleet is a set of hosts whose tables exchange their entries.
type fleet struct {
	now        time.Time
	hosts      []*Table
	servers    int
	admissions int
}

func newFleet(hosts int) *fleet {
	f := &fleet{now: epochStart}
	for range hosts {
		f.hosts = append(f.hosts, NewTable())
	}
	return f
}

// sync merges all entries of one host's table into another's.
func (f *fleet) sync(from, to int) {
	for _, s := range f.hosts[from].Suspects(f.now) {
		f.hosts[to].Merge(f.now, s)
	}
}

func (f *fleet) syncAll() {
	for range 2 {
		for from := range f.hosts {
			for to := range f.hosts {
				f.sync(from, to)
			}
		}
	}
}

func (f *fleet) crash(at int, id ID) {
	f.servers++
	f.hosts[at].RecordCrash(f.now, id, incarnation(f.servers), fmt.Sprintf("host-%d", at), 0)
}

func (f *fleet) admit(owner int, id ID) Verdict {
	f.admissions++
	return f.hosts[owner].Admit(f.now, Query{ID: id, Name: f.admission(), Lifetime: 10 * time.Second})
}

// admission returns the name of the last admission.
func (f *fleet) admission() string { return fmt.Sprintf("pass-%d", f.admissions) }

// Guards against sending a crashing request to servers without end: whatever hosts decide on it, in
// whatever order, and however its owner changes, it runs MaxCrashes times and in the trials.
func TestCrashingRequestRunsInTrialsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 5).Draw(t, "hosts"))
		id := request("account", 1)
		runs, late := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "sends") {
			f.now = f.now.Add(time.Duration(rapid.Int64Range(0, int64(5*time.Minute)).Draw(t, "pause")))
			owner := rapid.IntRange(0, len(f.hosts)-1).Draw(t, "owner")
			if rapid.Bool().Draw(t, "expire") {
				f.hosts[owner].Expire(f.now)
			}
			v := f.admit(owner, id)
			if v.Decision == Wait || v.Decision == Refuse {
				if v.After <= 0 {
					t.Fatalf("rejected without a time to retry: %+v", v)
				}
				continue
			}
			if runs >= MaxCrashes {
				late++
			}
			runs++
			if v.Decision == Trial {
				f.hosts[owner].RecordTrial(f.now, id, f.admission())
			}
			f.crash(rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host"), id)
			f.syncAll()
		}
		if late > len(trialPauses) {
			t.Fatalf("ran %d times after %d crashes", late, MaxCrashes)
		}
	})
}

// Guards against rejecting a request forever because it ran beside others that crash servers: it
// gets a trial, and a whole answer clears it at all hosts.
func TestInnocentRequestIsServedAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 5).Draw(t, "hosts"))
		id := request("account", 1)
		for range rapid.IntRange(1, 2*maxKeptCrashes).Draw(t, "crashes") {
			f.crash(rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host"), id)
		}
		f.syncAll()
		owner := rapid.IntRange(0, len(f.hosts)-1).Draw(t, "owner")
		v := f.admit(owner, id)
		if v.Decision == Refuse {
			f.now = f.now.Add(v.After)
			v = f.admit(owner, id)
		}
		if v.Decision != Trial && v.Decision != Exclusive {
			t.Fatalf("not admitted at the time to retry: %+v", v)
		}
		f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(t, "answering host")].Clear(f.now, id)
		f.syncAll()
		for i, h := range f.hosts {
			if st := h.Status(f.now, id); st.Level != Free {
				t.Fatalf("host %d: %+v", i, st)
			}
		}
	})
}

// Guards against a request that waits for an hour because no server was up during its trials.
func TestTrialThatReachesNoServerIsMadeAgain(t *testing.T) {
	f := newFleet(1)
	id := request("account", 1)
	for range MaxCrashes {
		f.crash(0, id)
	}
	f.now = f.now.Add(trialPauses[0])
	for range 10 {
		if v := f.admit(0, id); v.Decision != Trial {
			t.Fatalf("%+v", v)
		}
		f.hosts[0].End(id, f.admission())
	}
	f.admit(0, id)
	f.hosts[0].RecordTrial(f.now, id, f.admission())
	f.hosts[0].End(id, f.admission())
	if v := f.admit(0, id); v.Decision != Refuse || v.After != trialPauses[1] {
		t.Errorf("after a trial: %+v", v)
	}
}

// Guards against tables that never converge, so that each host keeps sending all its entries to the
// others.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 5).Draw(t, "hosts"))
		host := rapid.IntRange(0, len(f.hosts)-1)
		f.check(t, rapid.SliceOf(rapid.Custom(func(t *rapid.T) step {
			return step{kind: rapid.IntRange(0, 4).Draw(t, "kind"), host: host.Draw(t, "host"), to: host.Draw(t, "to"), n: rapid.IntRange(0, 3).Draw(t, "request")}
		})).Draw(t, "steps"))
	})
}

type step struct{ kind, host, to, n int }

func (f *fleet) check(t *rapid.T, steps []step) {
	for _, s := range steps {
		f.now = f.now.Add(time.Second)
		id := request("account", s.n)
		switch s.kind {
		case 0, 1:
			f.crash(s.host, id)
		case 2:
			if v := f.admit(s.host, id); v.Decision == Trial {
				f.hosts[s.host].RecordTrial(f.now, id, f.admission())
			}
		case 3:
			f.hosts[s.host].Clear(f.now, id)
		case 4:
			f.sync(s.host, s.to)
		}
	}
	f.syncAll()
	for i, h := range f.hosts[1:] {
		if h.Digest() != f.hosts[0].Digest() {
			t.Fatalf("host %d knows %v, host 0 %v", i+1, h.Suspects(f.now), f.hosts[0].Suspects(f.now))
		}
	}
	before := f.hosts[0].Version()
	f.sync(1, 0)
	if f.hosts[0].Version() != before {
		t.Fatal("merging known entries changed the table")
	}
}

// Guards against one client account's many crashing requests displacing those of another account,
// and against unbounded memory use.
func TestAccountsHaveSeparateLimits(t *testing.T) {
	table := NewTable()
	kept := request("small", 0)
	for n := range MaxCrashes {
		table.RecordCrash(epochStart, kept, incarnation(n), "host", 0)
	}
	worst := request("large", 0)
	for n := range MaxCrashes {
		table.RecordCrash(epochStart, worst, incarnation(n), "host", 0)
	}
	for n := 1; n < 10*maxPerAccount; n++ {
		table.RecordCrash(epochStart.Add(time.Duration(n)*time.Second), request("large", n), incarnation(n), "host", 0)
	}
	now := epochStart.Add(time.Hour)
	if got := len(table.Suspects(now)); got != maxPerAccount+1 {
		t.Errorf("%d requests are remembered", got)
	}
	for _, id := range []ID{kept, worst} {
		if st := table.Status(now, id); st.Level != Quarantined {
			t.Errorf("account %s: %+v", id.Account, st)
		}
	}
}

// Guards against a suspected request that crashes a server for each caller that sends it at the
// same time, and against blocking callers for long behind a slow execution.
func TestSuspectedRequestRunsOnceAtATime(t *testing.T) {
	table := NewTable()
	id := request("account", 1)
	table.RecordCrash(epochStart, id, incarnation(1), "host", 0)
	at := epochStart
	want := func(name string, decision Decision) {
		t.Helper()
		if v := table.Admit(at, Query{ID: id, Name: name, Lifetime: time.Minute}); v.Decision != decision {
			t.Errorf("%s after %v: %+v, want %s", name, at.Sub(epochStart), v, decision)
		}
	}
	want("first", Exclusive)
	want("second", Wait)
	want("first", Exclusive)
	table.End(id, "second")
	want("second", Wait)
	table.End(id, "first")
	want("second", Exclusive)
	at = at.Add(exclusiveTime)
	want("third", Exclusive)
}

// Guards against a malformed message, from another program or a damaged file, corrupting the table.
func TestMalformedStatesChangeNothing(t *testing.T) {
	table := NewTable()
	for _, s := range []*pb.Suspect{nil, {}, {Account: "a", Fingerprint: []byte("short")}, {Account: "a", Fingerprint: make([]byte, 17)}} {
		if _, changed := table.Merge(epochStart, s); changed {
			t.Errorf("%v was accepted", s)
		}
	}
	f := request("a", 1).Fingerprint
	msg := &pb.Suspect{Account: "a", Fingerprint: f[:], AgeMs: -1 << 62, Crashes: []*pb.ServerCrash{{AgeMs: 1 << 62}, nil}}
	table.Merge(epochStart, msg)
	if st := table.Status(epochStart, request("a", 1)); st.LastCrash < 0 || st.LastCrash > retention {
		t.Errorf("%+v", st)
	}
}

// Guards against rejecting a request for days after the cause was fixed, and against forgetting one
// within hours.
func TestOldCrashesAreForgotten(t *testing.T) {
	table := NewTable()
	id := request("account", 1)
	for n := range MaxCrashes {
		table.RecordCrash(epochStart, id, incarnation(n), "host", 0)
	}
	if forgotten := table.Expire(epochStart.Add(retention - time.Second)); len(forgotten) != 0 {
		t.Errorf("%v forgotten early", forgotten)
	}
	if forgotten := table.Expire(epochStart.Add(retention)); len(forgotten) != 1 || forgotten[0] != id {
		t.Errorf("forgotten: %v", forgotten)
	}
}

// Guards against a starting host that never receives some entries because there are too many for
// one message.
func TestAllSuspectsAreSentEventually(t *testing.T) {
	table, other := NewTable(), NewTable()
	worst := request("account", 0)
	for n := range MaxCrashes {
		table.RecordCrash(epochStart, worst, incarnation(n), "host", 0)
	}
	for n := 1; n < maxPerAccount; n++ {
		table.RecordCrash(epochStart, request("account", n), incarnation(n), "host", 0)
	}
	const most = 5
	for from := range uint64(maxPerAccount) {
		some := table.SomeSuspects(epochStart, most, from)
		if len(some) != most || len(some[0].GetCrashes()) != MaxCrashes {
			t.Fatalf("from %d: %v", from, some)
		}
		for _, s := range some {
			other.Merge(epochStart, s)
		}
	}
	if table.Digest() != other.Digest() {
		t.Errorf("%d of %d requests were sent", len(other.Suspects(epochStart)), maxPerAccount)
	}
}
