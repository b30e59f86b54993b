package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// loseServers ends n servers within a short time. The request runs at one of them, and requests of
// other accounts run at each.
func (f *fleet) loseServers(n int, id ID) {
	for i := range n {
		f.servers++
		f.now = f.now.Add(50 * time.Millisecond)
		f.hosts[0].RecordCrash(f.now, request(fmt.Sprint("other-", f.servers), 1), incarnation(f.servers), "host-0", 1)
		if i == n/2 {
			f.hosts[0].RecordCrash(f.now, id, incarnation(f.servers), "host-0", 1)
		}
	}
}

// Guards against rejecting an innocent request for a minute because it happened to be running each
// time several servers were lost at once.
func TestRequestInMassLossesIsTriedAgainSoon(t *testing.T) {
	f := newFleet(1)
	id := request("account", 1)
	for range MaxCrashes {
		f.loseServers(6, id)
		f.now = f.now.Add(5 * time.Second)
	}
	// Its first trial coincides with one more loss of several servers.
	if v := f.admit(0, id); v.Decision != Trial {
		t.Fatalf("got %+v", v)
	}
	f.hosts[0].RecordTrial(f.now, id, f.admission())
	f.loseServers(6, id)
	f.hosts[0].End(id, f.admission())
	if v := f.admit(0, id); v.Decision != Refuse || v.After > 5*time.Second {
		t.Errorf("it may run again after %v", v.After)
	}
}

// Guards against trying a crashing request sooner because servers are lost at the same time: each
// server that it crashed alone counts.
func TestCrashingRequestBesideMassLossWaitsAsLong(t *testing.T) {
	f := newFleet(1)
	id := request("account", 1)
	for range MaxCrashes {
		f.crash(0, id)
		f.now = f.now.Add(5 * time.Second)
	}
	f.loseServers(6, id)
	f.now = f.now.Add(5 * time.Second)
	f.admit(0, id)
	f.hosts[0].RecordTrial(f.now, id, f.admission())
	f.hosts[0].End(id, f.admission())
	if v := f.admit(0, id); v.Decision != Refuse || v.After != trialPauses[1] {
		t.Errorf("it may run again after %v, want %v", v.After, trialPauses[1])
	}
}

// Guards against trying a crashing request sooner because it crashes several servers at once, when
// many callers send it: these crashes are its own.
func TestRequestCrashingSeveralServersAtOnceWaitsAsLong(t *testing.T) {
	f := newFleet(1)
	id := request("account", 1)
	for range 6 {
		f.crash(0, id)
	}
	f.now = f.now.Add(5 * time.Second)
	f.admit(0, id)
	f.hosts[0].RecordTrial(f.now, id, f.admission())
	f.hosts[0].End(id, f.admission())
	if v := f.admit(0, id); v.Decision != Refuse || v.After != trialPauses[1] {
		t.Errorf("it may run again after %v, want %v", v.After, trialPauses[1])
	}
}
