package instance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// startedAt returns an announcement of the incarnation of server a that started at started.
func startedAt(started, seq uint64) Announcement {
	a := ready("a", seq)
	a.Started = started
	return a
}

func draining(a Announcement) Announcement {
	a.Draining = true
	return a
}

// Guards against a restarted server that never gets a request: it had announced itself 40 times before
// it crashed or left, and the first announcements of the new incarnation were dropped as late ones of
// the former one, or the draining of the former one applied to it.
func TestNextIncarnationStartsAnew(t *testing.T) {
	for name, former := range map[string]func(r *Registry){
		"crashed":  func(r *Registry) { r.Announce(start, startedAt(100, 40)) },
		"drained":  func(r *Registry) { r.Announce(start, draining(startedAt(100, 40))) },
		"ended":    func(r *Registry) { r.Announce(start, startedAt(100, 40)); r.EndCurrent(start, "a") },
		"wrong":    func(r *Registry) { r.Announce(start, startedAt(100, 40)); r.End(start, Incarnation{"a", 100}) },
		"unheard":  func(r *Registry) { r.End(start, Incarnation{"a", 100}) },
		"no start": func(r *Registry) { r.Announce(start, startedAt(0, 40)); r.EndCurrent(start, "a") },
	} {
		r := New(Config{})
		former(r)
		if !r.Announce(start.Add(time.Second), startedAt(200, 1)) {
			t.Errorf("%s: Announce reports no change by the new incarnation", name)
		}
		want(t, r, "a")
		i, _ := r.Get("a")
		if i.Seq != 1 || i.Started != 200 || i.LastAnnounced != start.Add(time.Second) {
			t.Errorf("%s: holds %+v", name, i)
		}
		r.Announce(start.Add(2*time.Second), draining(startedAt(200, 2)))
		want(t, r) // the draining of the new incarnation itself counts
	}
}

// Guards against a restarted server that gets no more requests after a late update about its former
// incarnation: a heartbeat that a partition delayed, the end of that incarnation, or a peer's state of
// it. This happens if the id alone identifies a server.
func TestLateUpdateOfTheFormerIncarnationChangesNothing(t *testing.T) {
	ended := &pb.ServerState{Id: "a", Incarnation: 100, Gone: true}
	for name, late := range map[string]func(r *Registry) bool{
		"ready":    func(r *Registry) bool { return r.Announce(start, startedAt(100, 50)) },
		"draining": func(r *Registry) bool { return r.Announce(start, draining(startedAt(100, 50))) },
		"end":      func(r *Registry) bool { return r.End(start, Incarnation{"a", 100}) },
		"no start": func(r *Registry) bool { return r.Announce(start, draining(startedAt(0, 50))) },
		"end, from a peer": func(r *Registry) bool {
			changed, err := r.Merge(start, 0, ended, "peer")
			testutil.NoError(t, err)
			return changed
		},
	} {
		r := New(Config{})
		r.Announce(start, startedAt(100, 40))
		r.Announce(start, startedAt(200, 2))
		if late(r) {
			t.Errorf("%s: counts as a change", name)
		}
		want(t, r, "a")
		if i, _ := r.Get("a"); i.Started != 200 || i.Seq != 2 {
			t.Errorf("%s: holds %+v", name, i)
		}
	}
}

// Guards against a server that gets requests after a host acknowledged its end. The host has just
// started and knows no server, and the server announces its end without an incarnation. Then a peer
// reports that incarnation, which the end must apply to.
func TestEndBeforeTheIncarnationIsKnown(t *testing.T) {
	r := New(Config{})
	r.EndCurrent(start, "a")
	r.Announce(start.Add(time.Second), startedAt(100, 9))
	want(t, r)
	if i, _ := r.Get("a"); i.Started != 100 {
		t.Errorf("the end is not applied to the incarnation: %+v", i)
	}
	r.Announce(start.Add(2*time.Second), startedAt(200, 1))
	want(t, r, "a")

	r = New(Config{})
	r.EndCurrent(start, "a")
	r.End(start, Incarnation{"a", 50}) // a peer's update about an earlier incarnation
	r.Announce(start.Add(time.Second), startedAt(100, 9))
	want(t, r)

	r = New(Config{})
	r.EndCurrent(start, "a")
	r.Announce(start.Add(DefaultLapse), startedAt(200, 1)) // by now all hosts know of the ended incarnation
	want(t, r, "a")
}

// Guards against a server that moved with its restart, or another one at its old address, getting no
// requests, because the former incarnation kept its address or the new one got both.
func TestNextIncarnationAtAnotherAddress(t *testing.T) {
	r := New(Config{})
	r.Announce(start, startedAt(100, 5))
	b := ready("b", 1)
	r.Announce(start.Add(time.Second), b) // waits, as a is at the same address
	want(t, r, "a")
	moved := startedAt(200, 1)
	moved.Address = "10.0.0.2:80"
	r.Announce(start.Add(time.Second), moved)
	want(t, r, "a", "b")
	back := startedAt(200, 2)
	r.Announce(start.Add(2*time.Second), back) // moves back, with the second announcement of its incarnation
	want(t, r, "a")
	moved.Seq = 3
	r.Announce(start.Add(3*time.Second), moved)
	r.Announce(start.Add(3*time.Second), ready("c", 1))
	want(t, r, "a", "c") // no instance is at the first address any more
}

// Guards against a faulty announcement of a server in another service that counts because it is the
// newest: requests of one service reach servers of another, or a server gets no requests of its own service.
func TestIncarnationKeepsItsService(t *testing.T) {
	r := New(Config{})
	r.Announce(start, startedAt(100, 5))
	other := startedAt(100, 6)
	other.Service = "lookup"
	if r.Announce(start, other) || len(r.Serving("lookup")) != 0 {
		t.Error("the incarnation changed its service")
	}
	if i, _ := r.Get("a"); i.Service != "pool" {
		t.Errorf("the incarnation is listed in pool but has the service %s", i.Service)
	}
	want(t, r, "a")
	// If the faulty announcement came first, it lapses, because only the server's own are repeated.
	r.Announce(start.Add(DefaultLapse), other)
	if r.Announce(start.Add(2*DefaultLapse), startedAt(100, 15)); len(r.Serving("lookup")) != 0 {
		t.Error("the announcement that is not repeated wins")
	}
	want(t, r, "a")
	next := startedAt(200, 1)
	next.Service = "lookup"
	r.Announce(start.Add(2*DefaultLapse), next)
	want(t, r)
	if len(r.Serving("lookup")) != 1 {
		t.Error("the next incarnation does not get requests of its service")
	}
}

// Guards against a server of a new service that gets no requests, or those of another service, because
// it announces itself before the routing table names its service.
func TestServerOfAServiceWithoutRoutesIsHeld(t *testing.T) {
	r := New(Config{})
	r.Announce(start, startedAt(100, 1))
	b := ready("b", 1)
	b.Service, b.Address = "lookup", "10.0.0.2:80"
	r.Announce(start, b)
	want(t, r, "a")
	if held := r.Serving("lookup"); len(held) != 1 || held[0].ID != "b" {
		t.Errorf("serving lookup: %v, want b", held)
	}
}

// Guards against hosts that keep notifying each other of servers that ended long ago: one host drops an
// end, and a peer that knew of it later sends it again. This happens if an end counts as announced when
// it is received.
func TestEndsOfServersAreDroppedEverywhere(t *testing.T) {
	regs := []*Registry{New(Config{}), New(Config{})}
	regs[0].End(start, Incarnation{"a", 100})
	now := start
	for n := range 4 {
		now = now.Add(DefaultForget * 9 / 10)
		regs[0].Expire(now)
		regs[1].Expire(now)
		mergeAll(regs[(n+1)%2], now, regs[n%2])
	}
	if n := len(regs[0].instances) + len(regs[1].instances); n != 0 {
		t.Errorf("%d ends are still known", n)
	}
}

// Guards against one faulty state in a peer's message that costs all other states in it, or crashes the
// process. A peer that has another version or a fault sends invalid or empty states.
func TestFaultyStatesChangeNothing(t *testing.T) {
	valid := func() *pb.ServerState {
		return &pb.ServerState{Id: "a", Address: "10.0.0.1:80", Services: []string{"pool"}, Slots: 4, Incarnation: 100, Seq: 9}
	}
	for name, change := range map[string]func(*pb.ServerState){
		"no id":            func(st *pb.ServerState) { st.Id = "" },
		"end without id":   func(st *pb.ServerState) { st.Id, st.Gone = "", true },
		"id with a break":  func(st *pb.ServerState) { st.Id = "a\r\nx" },
		"id not UTF-8":     func(st *pb.ServerState) { st.Id = "a\xff" },
		"end of such":      func(st *pb.ServerState) { st.Id, st.Gone = "a\xff", true },
		"no service":       func(st *pb.ServerState) { st.Services = nil },
		"empty service":    func(st *pb.ServerState) { st.Services = []string{""} },
		"two services":     func(st *pb.ServerState) { st.Services = []string{"pool", "lookup"} },
		"no address":       func(st *pb.ServerState) { st.Address = "" },
		"address no IP":    func(st *pb.ServerState) { st.Address = "server:80" },
		"address no port":  func(st *pb.ServerState) { st.Address = "10.0.0.1" },
		"port zero":        func(st *pb.ServerState) { st.Address = "10.0.0.1:0" },
		"no machine":       func(st *pb.ServerState) { st.Address = "0.0.0.0:80" },
		"no slots":         func(st *pb.ServerState) { st.Slots = 0 },
		"too many slots":   func(st *pb.ServerState) { st.Slots = 1 << 31 },
		"long zone":        func(st *pb.ServerState) { st.Zone = string(make([]byte, maxText+1)) },
		"negative warm-up": func(st *pb.ServerState) { st.WarmupLeftMs = -1 },
		"endless warm-up":  func(st *pb.ServerState) { st.WarmupLeftMs = 1 << 62 },
	} {
		r := New(Config{})
		r.Announce(start, startedAt(100, 8))
		st := valid()
		change(st)
		if changed, err := r.Merge(start, 0, st, "peer"); changed || err == nil {
			t.Errorf("%s: changed %v, error %v", name, changed, err)
		}
		want(t, r, "a")
		if i, _ := r.Get("a"); len(r.instances) != 1 || i.Seq != 8 {
			t.Errorf("%s: holds %+v", name, allStates(r, start))
		}
	}
	r := New(Config{})
	if changed, err := r.Merge(start, 0, nil, "peer"); changed || err == nil {
		t.Error("Merge accepts a nil state")
	}
	for _, age := range []int64{-1 << 62, 1 << 62} {
		st := valid()
		st.AgeMs = age
		if _, err := r.Merge(start, 0, st, "peer"); err != nil {
			t.Error(err)
		}
	}
	if i, ok := r.Get("a"); !ok || i.LastAnnounced.After(start) {
		t.Errorf("a state with a negative age: %+v", i)
	}
}

// network carries messages about servers to hosts: late, more than once, in any order or never.
type network struct {
	hosts []*Registry
	// messages are in transit; each may be delivered to any host.
	messages []message
	// started holds the start of each server's current incarnation.
	started map[string]uint64
	seqs    map[string]uint64
}

// message is one message about an incarnation, with its effect at a host.
type message struct {
	id      string
	started uint64
	deliver func(r *Registry, now time.Time)
}

var serverIDs = []string{"a", "b", "c"}

// announce sends an announcement of a server's current incarnation: 0 ready, 1 draining, 2 end.
func (c *network) announce(id string, what int) {
	c.seqs[id]++
	a := Announcement{
		ID: id, Started: c.started[id], Service: "pool", Slots: 4, Seq: c.seqs[id], Draining: what == 1,
		Address: fmt.Sprintf("10.0.%d.%d:80", slices.Index(serverIDs, id), c.started[id]%2),
	}
	deliver := func(r *Registry, now time.Time) { r.Announce(now, a) }
	if what == 2 {
		deliver = func(r *Registry, now time.Time) { r.End(now, a.Incarnation()) }
	}
	c.messages = append(c.messages, message{id, a.Started, deliver})
}

// sendSnapshot sends a host's snapshot, which may arrive much later.
func (c *network) sendSnapshot(from *Registry, now time.Time) {
	for _, st := range allStates(from, now) {
		c.messages = append(c.messages, message{st.GetId(), st.GetIncarnation(), func(r *Registry, now time.Time) {
			if _, err := r.Merge(now, -1, st, "peer"); err != nil {
				panic(err)
			}
		}})
	}
}

// stage is the state of one server at a host, which may only advance.
type stage struct {
	started         uint64
	draining, ended bool
}

func (s stage) before(o stage) bool {
	if s.started != o.started {
		return s.started < o.started
	}
	return (o.draining || !s.draining) && (o.ended || !s.ended)
}

func stageOf(r *Registry, id string) stage {
	i, ok := r.Get(id)
	if !ok {
		return stage{}
	}
	return stage{started: i.Started, draining: i.Draining || i.Ended, ended: i.Ended}
}

// Checks that whatever is delayed, duplicated, lost or reordered between servers and hosts, no host
// returns to an earlier incarnation or reverts that one drains, a host knows no earlier incarnation
// than it was notified of, and hosts that can communicate agree in the end.
func TestHostsAgreeOnTheNewestIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &network{started: map[string]uint64{}, seqs: map[string]uint64{}}
		for range rapid.IntRange(2, 4).Draw(t, "hosts") {
			c.hosts = append(c.hosts, New(Config{}))
		}
		for i, id := range serverIDs {
			c.started[id] = uint64(i) // the first server does not report its start
		}
		newest := map[string]uint64{}
		now := start
		deliver := func(r *Registry, m message) {
			before := stageOf(r, m.id)
			m.deliver(r, now)
			after := stageOf(r, m.id)
			newest[m.id] = max(newest[m.id], m.started)
			if !before.before(after) || after.started < m.started {
				t.Fatalf("%s went from %+v to %+v with a message of incarnation %d", m.id, before, after, m.started)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			host := c.hosts[rapid.IntRange(0, len(c.hosts)-1).Draw(t, "host")]
			id := rapid.SampledFrom(serverIDs).Draw(t, "id")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				c.started[id] += uint64(rapid.IntRange(1, 3).Draw(t, "later"))
				c.seqs[id] = 0
			case 1:
				c.announce(id, 1)
			case 2:
				c.announce(id, 2)
			case 3:
				c.sendSnapshot(host, now)
			case 4:
				if known := stageOf(host, id); known.started > 0 {
					deliver(host, message{id, known.started, func(r *Registry, now time.Time) { r.EndCurrent(now, id) }})
				}
			case 5, 6:
				c.announce(id, 0)
			default:
				if len(c.messages) == 0 {
					continue
				}
				n := rapid.IntRange(0, len(c.messages)-1).Draw(t, "word")
				deliver(host, c.messages[n])
				if rapid.Bool().Draw(t, "once") {
					c.messages = slices.Delete(c.messages, n, n+1)
				}
			}
		}
		for range 2 * len(c.hosts) {
			for _, from := range c.hosts {
				for _, to := range c.hosts {
					mergeAll(to, now, from)
				}
			}
		}
		for _, id := range serverIDs {
			for _, r := range c.hosts {
				if got := stageOf(r, id); got != stageOf(c.hosts[0], id) || got.started != newest[id] {
					t.Fatalf("%s: %+v at one host, %+v at another, newest %d", id, got, stageOf(c.hosts[0], id), newest[id])
				}
			}
		}
	})
}
