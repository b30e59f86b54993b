package membership

import (
	"math/rand/v2"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// registered returns the hosts of the fleet as the control group lists them.
func (f *fleet) registered() []*pb.HostInfo {
	var out []*pb.HostInfo
	for i, h := range f.hosts {
		out = append(out, &pb.HostInfo{
			Host: simName(i), Incarnation: h.incarnation, Zone: h.cfg.Self.Zone, CallerAddress: simAddress(i), PeerAddress: simAddress(i),
		})
	}
	return out
}

// alivePairs returns the share of all pairs of hosts in which the first counts the second as alive.
func (f *fleet) alivePairs() float64 {
	alive := 0
	for _, h := range f.hosts {
		for _, e := range h.order {
			if h.health(e) == pb.HostHealth_HOST_HEALTH_ALIVE {
				alive++
			}
		}
	}
	return float64(alive) / float64(len(f.hosts)*(len(f.hosts)-1))
}

// Guards against a fleet that has lost all its hosts at once and needs many seconds until each host
// knows that the others are back: until then it finds neither owners nor servers nor addresses for
// callers.
func TestWholeFleetIsKnownSoonAfterItsStart(t *testing.T) {
	const maxTicks, maxBytes = 6, 128 << 10 // 1.5 s at 250 ms, a tenth of a second of 10 Mbit/s
	for _, n := range []int{30, 200} {
		f := newFleet(n, 1, Config{Neighbors: 16})
		for _, h := range f.hosts {
			h.MergeRegistered(f.registered())
		}
		f.run(maxTicks)
		if got := f.alivePairs(); got < 0.99 {
			t.Errorf("%d hosts: after %d ticks %.2f of the pairs know each other", n, maxTicks, got)
		}
		if f.bytes/n > maxBytes {
			t.Errorf("%d hosts: each sent %d bytes", n, f.bytes/n)
		}
		before := f.bytes
		f.run(startTicks)
		before, f.bytes = f.bytes-before, 0
		f.run(startTicks)
		if f.bytes > before/4 {
			t.Errorf("%d hosts: %d bytes in the ticks after the start, %d in as many later", n, before, f.bytes)
		}
	}
}

// Guards against a host that comes back into a large fleet and for seconds knows few of the others.
func TestRestartedHostKnowsTheFleetSoon(t *testing.T) {
	const n, settled, maxTicks = 200, 60, 4
	f := newFleet(n, 1, Config{Neighbors: 16})
	for _, h := range f.hosts {
		h.MergeRegistered(f.registered())
	}
	f.run(settled)
	f.start(7)
	restarted := f.hosts[7]
	restarted.MergeRegistered(f.registered())
	f.run(maxTicks)
	alive := 0
	for _, e := range restarted.order {
		if restarted.health(e) == pb.HostHealth_HOST_HEALTH_ALIVE {
			alive++
		}
	}
	if alive < n*9/10 {
		t.Errorf("after %d ticks it knows %d of %d hosts to be alive", maxTicks, alive, n)
	}
}

// Guards against the control group's list of hosts reviving those that stay away.
func TestRegisteredHostsThatStayAwayAreFoundDead(t *testing.T) {
	const n, away = 60, 20
	f := newFleet(n, 1, Config{Neighbors: 16})
	for i, h := range f.hosts {
		h.MergeRegistered(f.registered())
		h.running = i >= away
	}
	f.run(int(DefaultDeadAfter + 2*startTicks))
	for i := away; i < n; i++ {
		for j := range away {
			if got := f.health(i, j); got == pb.HostHealth_HOST_HEALTH_ALIVE {
				t.Fatalf("host %d counts host %d as alive, which never came back", i, j)
			}
		}
	}
}

// Guards against hosts of a large fleet that all start at once and whose heartbeats keep the few seeds, the only
// hosts that they know, from registering them.
func TestHostContactsSeedsRarelyBeforeItsRegistration(t *testing.T) {
	contacts := func(answered bool) (n int) {
		h := New(Config{Self: Self{Host: "h", PeerAddress: "h"}, Seeds: []string{"a", "b", "c"}}, rand.New(rand.NewPCG(1, 2)))
		for range 120 {
			for _, target := range h.Tick() {
				n++
				if !answered {
					h.MarkUnanswered(h.Now(), target.Host)
					continue
				}
				from := &pb.Holder{Host: "host-" + target.Address, Incarnation: 9}
				if target.Host != "" {
					from.Host = target.Host
				}
				h.ReceiveReply(h.Now(), target.Host, &pb.HeartbeatReply{From: from, State: &pb.HeartbeatRequest{From: from, PeerAddress: from.Host}})
			}
		}
		return n
	}
	if n := contacts(true); n < 20 || n > 45 {
		t.Errorf("%d contacts in 120 ticks that are all answered, want about 30", n)
	}
	if n := contacts(false); n < 3 || n > 12 {
		t.Errorf("%d contacts in 120 ticks of which none is answered, want a few", n)
	}
}
