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

// run is an announcement of a server's run that began at started.
func run(started, seq uint64) Announcement {
	a := ready("a", seq)
	a.Started = started
	return a
}

func draining(a Announcement) Announcement {
	a.Draining = true
	return a
}

// Symptom: a server that was started again gets no request as long as it runs.
// Sequence: it announced itself 40 times, crashed or left, and starts again under its id.
// Cause: the new run's first announcements looked like late ones of the former run, or that
// one's leaving held for it.
func TestNextRunBeginsAnew(t *testing.T) {
	for name, former := range map[string]func(r *Registry){
		"crashed":  func(r *Registry) { r.Announce(start, run(100, 40)) },
		"drained":  func(r *Registry) { r.Announce(start, draining(run(100, 40))) },
		"ended":    func(r *Registry) { r.Announce(start, run(100, 40)); r.EndKnown(start, "a") },
		"wrong":    func(r *Registry) { r.Announce(start, run(100, 40)); r.End(start, Incarnation{"a", 100}) },
		"unheard":  func(r *Registry) { r.End(start, Incarnation{"a", 100}) },
		"no start": func(r *Registry) { r.Announce(start, run(0, 40)); r.EndKnown(start, "a") },
	} {
		r := New(Config{})
		former(r)
		if !r.Announce(start.Add(time.Second), run(200, 1)) {
			t.Errorf("%s: the new run is no news", name)
		}
		want(t, r, "a")
		i, _ := r.Get("a")
		if i.Seq != 1 || i.Started != 200 || i.Heard != start.Add(time.Second) {
			t.Errorf("%s: holds %+v", name, i)
		}
		r.Announce(start.Add(2*time.Second), draining(run(200, 2)))
		want(t, r) // the new run's own word counts
	}
}

// Symptom: a server that was started again and serves gets nothing any more.
// Sequence: word of its former run comes after its first announcement: a heartbeat that a
// partition held up, the end of that run, a peer's state of it.
// Cause: the id alone told runs apart.
func TestLateWordOfTheFormerRunChangesNothing(t *testing.T) {
	gone := &pb.ServerState{Id: "a", Incarnation: 100, Gone: true}
	for name, late := range map[string]func(r *Registry) bool{
		"ready":    func(r *Registry) bool { return r.Announce(start, run(100, 50)) },
		"draining": func(r *Registry) bool { return r.Announce(start, draining(run(100, 50))) },
		"end":      func(r *Registry) bool { return r.End(start, Incarnation{"a", 100}) },
		"no start": func(r *Registry) bool { return r.Announce(start, draining(run(0, 50))) },
		"gone, from a peer": func(r *Registry) bool {
			changed, err := r.Merge(start, 0, gone)
			testutil.NoError(t, err)
			return changed
		},
	} {
		r := New(Config{})
		r.Announce(start, run(100, 40))
		r.Announce(start, run(200, 2))
		if late(r) {
			t.Errorf("%s counts as news", name)
		}
		want(t, r, "a")
		if i, _ := r.Get("a"); i.Started != 200 || i.Seq != 2 {
			t.Errorf("%s: holds %+v", name, i)
		}
	}
}

// Symptom: a server gets requests after a host acknowledged its end.
// Sequence: the host was started a moment ago and knows no server; one tells it that it
// ends, without saying in which run. Then a peer's word of that run comes.
// Cause: an end without a run ended nothing that was heard of later.
func TestEndBeforeTheRunIsKnown(t *testing.T) {
	r := New(Config{})
	r.EndKnown(start, "a")
	r.Announce(start.Add(time.Second), run(100, 9))
	want(t, r)
	if i, _ := r.Get("a"); i.Started != 100 {
		t.Errorf("the end is not that of the run: %+v", i)
	}
	r.Announce(start.Add(2*time.Second), run(200, 1))
	want(t, r, "a")

	r = New(Config{})
	r.EndKnown(start, "a")
	r.End(start, Incarnation{"a", 50}) // a peer's word of a run before it
	r.Announce(start.Add(time.Second), run(100, 9))
	want(t, r)

	r = New(Config{})
	r.EndKnown(start, "a")
	r.Announce(start.Add(DefaultLapse), run(200, 1)) // by now all have heard of that run
	want(t, r, "a")
}

// Symptom: a server that moved with its restart, or another that has its old address, gets
// nothing.
// Sequence: the server starts again at another address; its old one goes to another server.
// Cause: the former run held on to its address, or the new one to both.
func TestNextRunAtAnotherAddress(t *testing.T) {
	r := New(Config{})
	r.Announce(start, run(100, 5))
	b := ready("b", 1)
	r.Announce(start.Add(time.Second), b) // at the same address: it waits
	want(t, r, "a")
	moved := run(200, 1)
	moved.Address = "10.0.0.2:80"
	r.Announce(start.Add(time.Second), moved)
	want(t, r, "a", "b")
	back := run(200, 2)
	r.Announce(start.Add(2*time.Second), back) // and back: the second word of its run counts
	want(t, r, "a")
	moved.Seq = 3
	r.Announce(start.Add(3*time.Second), moved)
	r.Announce(start.Add(3*time.Second), ready("c", 1))
	want(t, r, "a", "c") // nobody is at the first address any more
}

// Symptom: requests of one service reach servers of another, or a server is lost to its own.
// Sequence: something announces a server of one service in another one.
// Cause: the newest announcement decided, whatever it said before.
func TestRunKeepsItsService(t *testing.T) {
	r := New(Config{})
	r.Announce(start, run(100, 5))
	other := run(100, 6)
	other.Service = "lookup"
	if r.Announce(start, other) || len(r.Serving("lookup")) != 0 {
		t.Error("the run changed its service")
	}
	if i, _ := r.Get("a"); i.Service != "pool" {
		t.Errorf("the run is in the list of pool and says %s", i.Service)
	}
	want(t, r, "a")
	// The faulty one came first: it falls silent, the server does not.
	r.Announce(start.Add(DefaultLapse), other)
	if r.Announce(start.Add(2*DefaultLapse), run(100, 15)); len(r.Serving("lookup")) != 0 {
		t.Error("the silent announcement holds")
	}
	want(t, r, "a")
	next := run(200, 1)
	next.Service = "lookup"
	r.Announce(start.Add(2*DefaultLapse), next)
	want(t, r)
	if len(r.Serving("lookup")) != 1 {
		t.Error("the next run may serve another service")
	}
}

// Symptom: a server of a service that is new gets nothing, or a request of another service.
// Sequence: it announces itself before the table that names its service comes.
// Cause: an unknown service taken for a fault, or for any that fits.
func TestServiceThatNobodyAsksForIsHeld(t *testing.T) {
	r := New(Config{})
	r.Announce(start, run(100, 1))
	b := ready("b", 1)
	b.Service, b.Address = "lookup", "10.0.0.2:80"
	r.Announce(start, b)
	want(t, r, "a")
	if held := r.Serving("lookup"); len(held) != 1 || held[0].ID != "b" {
		t.Errorf("once the service is asked for, %v", held)
	}
}

// Symptom: hosts tell each other for ever of servers that ended long ago.
// Sequence: one host forgets an end; a peer that heard of it later tells it again.
// Cause: what a peer tells of an end counted as heard now.
func TestEndsOfServersAreForgottenEverywhere(t *testing.T) {
	regs := []*Registry{New(Config{}), New(Config{})}
	regs[0].End(start, Incarnation{"a", 100})
	now := start
	for n := range 4 {
		now = now.Add(DefaultForget * 9 / 10)
		regs[0].Expire(now)
		regs[1].Expire(now)
		mergeAll(regs[(n+1)%2], now, regs[n%2])
	}
	if n := len(regs[0].Snapshot(start)) + len(regs[1].Snapshot(start)); n != 0 {
		t.Errorf("%d ends are still told", n)
	}
}

// Symptom: one faulty state in a peer's message costs all others in it, or the process.
// Sequence: a peer, of another version or with a fault, sends states with nothing in them.
// Cause: what was read was taken for what a server says.
func TestFaultyStatesChangeNothing(t *testing.T) {
	good := func() *pb.ServerState {
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
		r.Announce(start, run(100, 8))
		st := good()
		change(st)
		if changed, err := r.Merge(start, 0, st); changed || err == nil {
			t.Errorf("%s: changed %v, error %v", name, changed, err)
		}
		want(t, r, "a")
		if i, _ := r.Get("a"); len(r.Snapshot(start)) != 1 || i.Seq != 8 {
			t.Errorf("%s: holds %+v", name, r.Snapshot(start))
		}
	}
	r := New(Config{})
	if changed, err := r.Merge(start, 0, nil); changed || err == nil {
		t.Error("nothing counts as a state")
	}
	for _, age := range []int64{-1 << 62, 1 << 62} {
		st := good()
		st.AgeMs = age
		if _, err := r.Merge(start, 0, st); err != nil {
			t.Error(err)
		}
	}
	if i, ok := r.Get("a"); !ok || i.Heard.After(start) {
		t.Errorf("a state from the future: %+v", i)
	}
}

// courier carries words of servers to hosts: late, more than once, in any order or never.
type courier struct {
	hosts []*Registry
	// words are on their way; each may be delivered to any host.
	words []word
	// begun are the starts of each server's present run.
	begun map[string]uint64
	seqs  map[string]uint64
}

// word is one message: what it does at a host, and what it says.
type word struct {
	id      string
	started uint64
	deliver func(r *Registry, now time.Time)
}

var serverIDs = []string{"a", "b", "c"}

// speak has a server say something of its present run.
func (c *courier) speak(id string, what int) {
	c.seqs[id]++
	a := Announcement{
		ID: id, Started: c.begun[id], Service: "pool", Slots: 4, Seq: c.seqs[id], Draining: what == 1,
		Address: fmt.Sprintf("10.0.%d.%d:80", slices.Index(serverIDs, id), c.begun[id]%2),
	}
	deliver := func(r *Registry, now time.Time) { r.Announce(now, a) }
	if what == 2 {
		deliver = func(r *Registry, now time.Time) { r.End(now, a.Incarnation()) }
	}
	c.words = append(c.words, word{id, a.Started, deliver})
}

// tell has a host tell what it knows, which may arrive much later.
func (c *courier) tell(from *Registry, now time.Time) {
	for _, st := range from.Snapshot(now) {
		c.words = append(c.words, word{st.GetId(), st.GetIncarnation(), func(r *Registry, now time.Time) {
			if _, err := r.Merge(now, -1, st); err != nil {
				panic(err)
			}
		}})
	}
}

// stage orders what a host may hold of one server: nothing takes it back.
type stage struct {
	started        uint64
	draining, gone bool
}

func (s stage) before(o stage) bool {
	if s.started != o.started {
		return s.started < o.started
	}
	return (o.draining || !s.draining) && (o.gone || !s.gone)
}

func stageOf(r *Registry, id string) stage {
	i, ok := r.Get(id)
	if !ok {
		return stage{}
	}
	return stage{started: i.Started, draining: i.Draining || i.Gone, gone: i.Gone}
}

// TestHostsAgreeOnTheNewestRun: whatever is delayed, doubled, lost or overtaken between
// servers and hosts, no host goes back to an earlier run or takes back that one leaves, a
// host knows no earlier run than it heard of, and hosts that can talk agree in the end.
func TestHostsAgreeOnTheNewestRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &courier{begun: map[string]uint64{}, seqs: map[string]uint64{}}
		for range rapid.IntRange(2, 4).Draw(t, "hosts") {
			c.hosts = append(c.hosts, New(Config{}))
		}
		for i, id := range serverIDs {
			c.begun[id] = uint64(i) // the first one does not say when it started
		}
		newest := map[string]uint64{}
		now := start
		deliver := func(r *Registry, w word) {
			before := stageOf(r, w.id)
			w.deliver(r, now)
			after := stageOf(r, w.id)
			newest[w.id] = max(newest[w.id], w.started)
			if !before.before(after) || after.started < w.started {
				t.Fatalf("%s went from %+v to %+v with word of run %d", w.id, before, after, w.started)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			host := c.hosts[rapid.IntRange(0, len(c.hosts)-1).Draw(t, "host")]
			id := rapid.SampledFrom(serverIDs).Draw(t, "id")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				c.begun[id] += uint64(rapid.IntRange(1, 3).Draw(t, "later"))
				c.seqs[id] = 0
			case 1:
				c.speak(id, 1)
			case 2:
				c.speak(id, 2)
			case 3:
				c.tell(host, now)
			case 4:
				if known := stageOf(host, id); known.started > 0 {
					deliver(host, word{id, known.started, func(r *Registry, now time.Time) { r.EndKnown(now, id) }})
				}
			case 5, 6:
				c.speak(id, 0)
			default:
				if len(c.words) == 0 {
					continue
				}
				n := rapid.IntRange(0, len(c.words)-1).Draw(t, "word")
				deliver(host, c.words[n])
				if rapid.Bool().Draw(t, "once") {
					c.words = slices.Delete(c.words, n, n+1)
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
