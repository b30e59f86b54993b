package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// loseServers ends so many servers within a moment; the request runs at one of them, and others
// of other accounts at each.
func (f *fleet) loseServers(n int, id ID) {
	for i := range n {
		f.servers++
		f.now = f.now.Add(50 * time.Millisecond)
		f.hosts[0].RecordCrash(f.now, request(fmt.Sprint("other-", f.servers), 1), run(f.servers), "host-0", 1)
		if i == n/2 {
			f.hosts[0].RecordCrash(f.now, id, run(f.servers), "host-0", 1)
		}
	}
}

// Guards against an innocent request that is refused for a minute because it was running each
// time when several servers were lost at once.
func TestRequestAmongLostServersIsTriedAgainSoon(t *testing.T) {
	f := newFleet(1)
	id := request("account", 1)
	for range MaxCrashes {
		f.loseServers(6, id)
		f.now = f.now.Add(5 * time.Second)
	}
	// Its first trial meets one more loss.
	if v := f.admit(0, id); v.Decision != Trial {
		t.Fatalf("got %+v", v)
	}
	f.hosts[0].RecordTrial(f.now, id, f.pass())
	f.loseServers(6, id)
	f.hosts[0].End(id, f.pass())
	if v := f.admit(0, id); v.Decision != Refuse || v.After > 5*time.Second {
		t.Errorf("it may run again after %v", v.After)
	}
}

// Guards against a killer that is tried sooner because servers are lost beside it: each server
// that it ended alone counts.
func TestKillerBesideLossesWaitsAsLong(t *testing.T) {
	f := newFleet(1)
	id := request("account", 1)
	for range MaxCrashes {
		f.crash(0, id)
		f.now = f.now.Add(5 * time.Second)
	}
	f.loseServers(6, id)
	f.now = f.now.Add(5 * time.Second)
	f.admit(0, id)
	f.hosts[0].RecordTrial(f.now, id, f.pass())
	f.hosts[0].End(id, f.pass())
	if v := f.admit(0, id); v.Decision != Refuse || v.After != trialPauses[1] {
		t.Errorf("it may run again after %v, want %v", v.After, trialPauses[1])
	}
}

// Guards against a killer that goes on because it takes several servers at once, sent by many
// callers: these are its own.
func TestKillerOfSeveralServersAtOnceWaitsAsLong(t *testing.T) {
	f := newFleet(1)
	id := request("account", 1)
	for range 6 {
		f.crash(0, id)
	}
	f.now = f.now.Add(5 * time.Second)
	f.admit(0, id)
	f.hosts[0].RecordTrial(f.now, id, f.pass())
	f.hosts[0].End(id, f.pass())
	if v := f.admit(0, id); v.Decision != Refuse || v.After != trialPauses[1] {
		t.Errorf("it may run again after %v, want %v", v.After, trialPauses[1])
	}
}
