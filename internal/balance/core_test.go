package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

var start = time.Unix(1000, 0)

const (
	pool  = "pool"
	plain = "lookup"
	// memory of an engine, in tokens.
	memory = 300_000
)

// world is a core with some servers.
type world struct {
	reg  *instance.Registry
	core *Core
	now  time.Time
	seq  uint64
}

func newWorld(zone string, servers ...instance.Announcement) *world {
	w := &world{reg: instance.New(instance.Config{}), now: start}
	w.core = New(Config{Zone: zone}, w.reg, rand.New(rand.NewPCG(1, 2)))
	w.announce(servers...)
	return w
}

func (w *world) announce(servers ...instance.Announcement) {
	w.seq++
	for _, a := range servers {
		a.Seq = w.seq
		w.reg.Announce(w.now, a)
	}
}

// engines are so many servers of the pool in zone z.
func engines(n int) []instance.Announcement {
	var out []instance.Announcement
	for i := range n {
		out = append(out, instance.Announcement{
			ID: fmt.Sprintf("e%02d", i), Service: pool, Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: "z", Slots: 64,
		})
	}
	return out
}

// prompt is a prompt with a shared part and one of its own.
func prompt(shared, own uint64, sharedTokens, ownTokens uint64) *Work {
	return &Work{
		Service: pool, Engine: true, CacheTokens: memory, Objective: time.Second, PromptTokens: sharedTokens + ownTokens,
		Prompt: []Part{{ID: shared, Tokens: sharedTokens}, {ID: own, Tokens: ownTokens}},
	}
}

func (w *world) choose(t testutil.TB, work *Work) Choice {
	t.Helper()
	c, err := w.core.Choose(w.now, work)
	testutil.NoError(t, err)
	return c
}

// serve has a request answered after d.
func (w *world) serve(t testutil.TB, work *Work, d time.Duration) Choice {
	t.Helper()
	c := w.choose(t, work)
	w.now = w.now.Add(d)
	w.core.First(w.now, c.Ticket)
	w.core.Done(w.now, c.Ticket, Served)
	return c
}

func TestSharedPartsAreReadOnce(t *testing.T) {
	// A prompt part of 13,000 tokens takes an engine 0.4 s to read. All requests with the
	// part go to the engine that has it while that one is not busy.
	w := newWorld("z", engines(8)...)
	first := w.serve(t, prompt(7, 1, 13_000, 3_000), 600*time.Millisecond)
	for own := uint64(102); own < 120; own++ {
		c := w.serve(t, prompt(7, own, 13_000, 3_000), 150*time.Millisecond)
		if c.Instance.ID != first.Instance.ID || c.Cached != 13_000 {
			t.Fatalf("request %d went to %s with %d tokens cached, the first to %s", own, c.Instance.ID, c.Cached, first.Instance.ID)
		}
	}
}

func TestBusyEngineDoesNotKeepItsPartForItself(t *testing.T) {
	// Many callers with one part come at the same moment: the engine that keeps it would
	// answer the last of them after its objective. Some are read elsewhere.
	w := newWorld("z", engines(8)...)
	w.serve(t, prompt(7, 1, 13_000, 3_000), 600*time.Millisecond)
	at := map[string]int{}
	for own := uint64(102); own < 132; own++ {
		at[w.choose(t, prompt(7, own, 13_000, 3_000)).Instance.ID]++
	}
	if len(at) < 3 {
		t.Fatalf("30 requests at one moment went to %d engines: %v", len(at), at)
	}
}

// load gives engines so many prompt tokens a second, over some seconds, all of it read.
func (w *world) load(tokens uint64, ids ...string) {
	for range 40 {
		for _, id := range ids {
			w.core.server(instance.Incarnation{ID: id}).assign(w.now, tokens/4)
		}
		w.now = w.now.Add(250 * time.Millisecond)
	}
}

// Symptom: in a burst every engine reads parts that others keep, and all answers are late
// for longer than the burst lasts.
// Sequence: all engines are nearly full; the one that keeps a part is a little busier than
// the others.
// Cause: each request went where it waited least, though the reading of the whole prompt
// there made ten others wait.
func TestFullEnginesDoNotReadWhatAnotherKeeps(t *testing.T) {
	w := newWorld("z", engines(6)...)
	kept := w.serve(t, prompt(7, 1, 13_000, 3_000), 600*time.Millisecond).Instance.ID
	w.load(29_000, "e00", "e01", "e02", "e03", "e04", "e05")
	w.announce(engines(6)...)
	w.serve(t, prompt(7, 2, 13_000, 3_000), 150*time.Millisecond)
	busy := prompt(8, 3, 100, 20_000) // 0.6 s to read
	for _, e := range engines(6) {
		if e.ID != kept {
			busy.Exclude = append(busy.Exclude, e.Incarnation())
		}
	}
	w.choose(t, busy)
	if c := w.choose(t, prompt(7, 4, 13_000, 3_000)); c.Instance.ID != kept {
		t.Errorf("chose %s, which has to read 13,000 tokens that %s keeps", c.Instance.ID, kept)
	}
}

// Symptom: one engine is always late while others have nothing to do.
// Sequence: several parts in much use are at home at one engine.
// Cause: only the wait at the moment counted, not how much of the engine's time is taken.
func TestIdleEngineTakesAPartOfAFullOne(t *testing.T) {
	w := newWorld("z", engines(6)...)
	kept := w.serve(t, prompt(7, 1, 6_000, 3_000), 600*time.Millisecond).Instance.ID
	w.load(29_000, kept)
	w.announce(engines(6)...)
	if c := w.choose(t, prompt(7, 2, 6_000, 3_000)); c.Instance.ID == kept {
		t.Errorf("chose %s, nine tenths of whose time are taken, while five engines are idle", kept)
	}
}

func TestDistinctPromptsSpread(t *testing.T) {
	w := newWorld("z", engines(6)...)
	at := map[string]int{}
	for own := uint64(1); own <= 60; own++ {
		at[w.choose(t, prompt(1000+own, own, 6_000, 3_000)).Instance.ID]++
	}
	for id, n := range at {
		if n < 6 || n > 14 {
			t.Errorf("%s got %d of 60 equal requests for 6 engines", id, n)
		}
	}
}

func TestAllHostsAgreeOnTheHomeOfAPart(t *testing.T) {
	// Symptom: each host has the same prompt part read at another engine.
	// Sequence: hosts that have heard nothing of each other's requests get the first
	// requests with a part at the same time.
	// Cause: equal servers are chosen among at random.
	for part := uint64(1); part < 20; part++ {
		at := map[string]bool{}
		for seed := range uint64(5) {
			w := newWorld("z", engines(9)...)
			w.core.rng = rand.New(rand.NewPCG(seed, part))
			at[w.choose(t, prompt(part, 100+seed, 6_000, 3_000)).Instance.ID] = true
		}
		if len(at) != 1 {
			t.Errorf("part %d is at home at %v", part, at)
		}
	}
}

func TestShardsPartTheServers(t *testing.T) {
	for n, want := range map[int]uint32{1: 1, 18: 1, 24: 1, 25: 2, 60: 4, 140: 8, 3700: 256} {
		if got := shards(n); got != want {
			t.Errorf("%d servers make %d shards, want %d", n, got, want)
		}
	}
	w := newWorld("z", engines(60)...)
	for part := uint64(1); part < 40; part++ {
		work := prompt(part, 100+part, 6_000, 3_000)
		work.Shard = w.core.ShardOf(work)
		home := w.core.home(work)
		if work.Shard.Of != 4 || !work.Shard.has(home) {
			t.Fatalf("part %d: shard %+v does not have its home %s", part, work.Shard, home)
		}
		w.announce(engines(60)...)
		if c := w.serve(t, work, 400*time.Millisecond); c.Instance.ID != home {
			t.Errorf("part %d went to %s, its home %s is idle", part, c.Instance.ID, home)
		}
	}
	in := 0
	for i, s := 0, (Shard{Of: 4}); i < 4; i, s = i+1, s.Next() {
		for _, e := range engines(60) {
			if s.has(e.ID) {
				in++
			}
		}
	}
	if in != 60 {
		t.Errorf("the shards have %d servers of 60", in)
	}
}

func TestChoiceStaysInItsShard(t *testing.T) {
	w := newWorld("z", engines(60)...)
	work := prompt(7, 1, 6_000, 3_000)
	work.Shard = w.core.ShardOf(work)
	for range 60 {
		c, err := w.core.Choose(w.now, work)
		if err != nil {
			testutil.Refused(t, err, errkind.NoBackendServer, "all of the shard excluded")
			break
		}
		if !work.Shard.has(c.Instance.ID) {
			t.Fatalf("%s is of another shard than %+v", c.Instance.ID, work.Shard)
		}
		work.Exclude = append(work.Exclude, c.Instance.Incarnation())
	}
	if n := len(work.Exclude); n < 5 || n > 30 {
		t.Errorf("the shard has %d of 60 servers", n)
	}
}

func TestOwnZoneGoesFirstAmongEquals(t *testing.T) {
	far := instance.Announcement{ID: "a-far", Service: plain, Address: "10.0.0.1:80", Zone: "y", Slots: 6}
	near := instance.Announcement{ID: "b-near", Service: plain, Address: "10.0.0.2:80", Zone: "z", Slots: 6}
	w := newWorld("z", far, near)
	if c := w.choose(t, &Work{Service: plain}); c.Instance.ID != near.ID {
		t.Errorf("chose %s in another zone", c.Instance.ID)
	}
}

func TestFailingServerIsLeftAloneForAWhile(t *testing.T) {
	w := newWorld("z", engines(2)...)
	for i, result := range []Result{Unreachable, Broken, Shed} {
		c := w.choose(t, prompt(7, 1, 100, 100))
		w.core.Done(w.now, c.Ticket, result)
		if other := w.choose(t, prompt(7, 1, 100, 100)); other.Instance.ID == c.Instance.ID {
			t.Errorf("step %d: %s was chosen again right after result %d", i, c.Instance.ID, result)
		}
		w.now = w.now.Add(maxBackoff)
		w.announce(engines(2)...)
	}
}

// Symptom: one host refuses for want of a server while all others are served.
// Sequence: its own link is full for half a second; no connection to any server opens in time.
// Cause: each server pauses after a failure, and all of them paused.
func TestServersThatAllSeemLostAreTriedAgain(t *testing.T) {
	w := newWorld("z", engines(5)...)
	lost := map[string]bool{}
	for range 5 {
		c := w.choose(t, prompt(7, 1, 100, 100))
		lost[c.Instance.ID] = true
		w.core.Done(w.now, c.Ticket, Unreachable)
	}
	if len(lost) != 5 {
		t.Fatalf("%d servers were tried, want all", len(lost))
	}
	c := w.choose(t, prompt(7, 2, 100, 100))
	w.core.Done(w.now, c.Ticket, Served)
	if next := w.choose(t, prompt(7, 3, 100, 100)); next.Instance.ID != c.Instance.ID {
		t.Errorf("%s was chosen though %s has answered", next.Instance.ID, c.Instance.ID)
	}
}

func TestBackoffGrowsAndEndsWithAnAnswer(t *testing.T) {
	w := newWorld("z", engines(1)...)
	last := time.Duration(0)
	for range 8 {
		c := w.choose(t, prompt(7, 1, 100, 100))
		w.core.Done(w.now, c.Ticket, Broken)
		_, err := w.core.Choose(w.now, prompt(7, 1, 100, 100))
		testutil.Refused(t, err, errkind.NoBackendServer, "while the only server pauses")
		pause := errkind.From(err).RetryAfter
		if pause < last || pause > maxBackoff || pause == 0 {
			t.Fatalf("paused %v after %v", pause, last)
		}
		last = pause
		w.now = w.now.Add(pause)
	}
	c := w.choose(t, prompt(7, 1, 100, 100))
	w.core.Done(w.now, c.Ticket, Served)
	c = w.choose(t, prompt(7, 1, 100, 100))
	w.core.Done(w.now, c.Ticket, Broken)
	_, err := w.core.Choose(w.now, prompt(7, 1, 100, 100))
	if pause := errkind.From(err).RetryAfter; pause != firstBackoff {
		t.Errorf("the first failure after an answer pauses %v", pause)
	}
}

func TestCallersWhoLeaveSayNothingOfAServer(t *testing.T) {
	w := newWorld("z", engines(1)...)
	c := w.choose(t, prompt(7, 1, 100, 100))
	w.core.Done(w.now, c.Ticket, Abandoned)
	w.choose(t, prompt(7, 1, 100, 100))
}

func TestExcludedServersAreNotChosen(t *testing.T) {
	w := newWorld("z", engines(3)...)
	work := prompt(7, 1, 100, 100)
	for range 3 {
		c := w.choose(t, work)
		if slices.Contains(work.Exclude, c.Instance.Incarnation()) {
			t.Fatalf("chose %s again", c.Instance.ID)
		}
		work.Exclude = append(work.Exclude, c.Instance.Incarnation())
	}
	_, err := w.core.Choose(w.now, work)
	testutil.Refused(t, err, errkind.NoBackendServer, "all excluded")
}

func TestSilentServersComeLast(t *testing.T) {
	w := newWorld("z", engines(2)...)
	w.now = w.now.Add(10 * time.Second)
	w.seq++
	w.reg.Announce(w.now, func() instance.Announcement { a := engines(2)[1]; a.Seq = w.seq; return a }())
	for own := uint64(1); own < 5; own++ {
		if c := w.choose(t, prompt(own, own+100, 6_000, 100)); c.Instance.ID != "e01" {
			t.Fatalf("chose %s, which has been silent for 10 s", c.Instance.ID)
		}
	}
}

func TestSlowAnswersMoveWorkAway(t *testing.T) {
	// An engine whose answers come 2 s late is busy with what this host does not know of.
	w := newWorld("z", engines(2)...)
	c := w.choose(t, prompt(1, 1, 3_000, 100))
	w.now = w.now.Add(2 * time.Second)
	w.core.First(w.now, c.Ticket)
	w.core.Done(w.now, c.Ticket, Served)
	if next := w.choose(t, prompt(2, 2, 3_000, 100)); next.Instance.ID == c.Instance.ID {
		t.Error("the late engine was chosen again at once")
	}
}

func TestPlainServersShareByLoad(t *testing.T) {
	var servers []instance.Announcement
	for i := range 3 {
		servers = append(servers, instance.Announcement{
			ID: fmt.Sprintf("s%d", i), Service: plain, Address: fmt.Sprintf("10.0.1.%d:80", i), Zone: "z", Slots: 6,
		})
	}
	w := newWorld("z", servers...)
	at := map[string]int{}
	for range 18 {
		at[w.choose(t, &Work{Service: plain}).Instance.ID]++
	}
	for _, s := range servers {
		if at[s.ID] != 6 {
			t.Errorf("18 requests on 3 servers of 6 slots: %v", at)
			break
		}
	}
}

func TestCacheForgetsTheLeastRecentlyUsed(t *testing.T) {
	c := newCache()
	for id := uint64(1); id <= 4; id++ {
		c.touch([]Part{{ID: id, Tokens: 100}}, 400)
	}
	c.touch([]Part{{ID: 1, Tokens: 100}}, 400)
	c.touch([]Part{{ID: 5, Tokens: 100}}, 400)
	for id, want := range map[uint64]uint64{1: 100, 2: 0, 3: 100, 4: 100, 5: 100} {
		if got := c.cached([]Part{{ID: id, Tokens: 100}}); got != want {
			t.Errorf("part %d: %d tokens kept, want %d", id, got, want)
		}
	}
	if got := c.cached([]Part{{ID: 2, Tokens: 100}, {ID: 3, Tokens: 100}}); got != 0 {
		t.Errorf("%d tokens count as kept behind a part that is not", got)
	}
}

// TestCountsStaySound: whatever comes, no count goes below zero, each request ends once,
// and nothing is left of requests that ended.
func TestCountsStaySound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld("z", engines(4)...)
		var open []Choice
		own := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"choose": func(t *rapid.T) {
				own++
				c, err := w.core.Choose(w.now, prompt(rapid.Uint64Range(1, 6).Draw(t, "part"), 100+own, 5_000, 1_000))
				if err == nil {
					open = append(open, c)
				}
			},
			"first": func(t *rapid.T) {
				if len(open) > 0 {
					w.core.First(w.now, open[rapid.IntRange(0, len(open)-1).Draw(t, "which")].Ticket)
				}
			},
			"done": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				result := Result(rapid.IntRange(int(Served), int(Abandoned)).Draw(t, "result"))
				w.core.Done(w.now, open[i].Ticket, result)
				w.core.Done(w.now, open[i].Ticket, result) // the second one has no effect
				open = slices.Delete(open, i, i+1)
			},
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				running := 0
				for id, s := range w.core.servers {
					running += s.running
					if s.running < 0 || len(s.pending) > s.running || s.backlog(w.now) < 0 {
						t.Fatalf("%v: running %d, pending %d, backlog %f", id, s.running, len(s.pending), s.backlog(w.now))
					}
				}
				if running != len(open) || w.core.Running() != len(open) {
					t.Fatalf("%d at servers, %d in all, %d open", running, w.core.Running(), len(open))
				}
			},
		})
		for _, c := range open {
			w.core.Done(w.now, c.Ticket, Served)
		}
		for id, s := range w.core.servers {
			if s.running != 0 || s.unread != 0 || len(s.pending) != 0 {
				t.Fatalf("%v keeps %d requests and %d unread tokens", id, s.running, s.unread)
			}
		}
	})
}
