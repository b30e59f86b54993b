package backend

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

var t0 = time.Unix(1000, 0)

func server(seq uint64) *pb.ServerState {
	return &pb.ServerState{Address: "s1", Incarnation: 1, Seq: seq, Models: []string{"m"}, Slots: 16, Running: 4}
}

// network carries replies between hosts with a delay; partitioned pairs get none.
type network struct {
	now         time.Time
	hosts       []*Registry
	partitioned [][]bool
	inTransit   []reply
}

type reply struct {
	to      int
	sent    time.Time
	arrives time.Time
	states  []*pb.ServerState
	// pushed marks a heartbeat that was sent unasked, whose transit time is unknown.
	pushed bool
}

func newNetwork(n int) *network {
	b := &network{now: t0, partitioned: make([][]bool, n)}
	for i := range n {
		b.hosts = append(b.hosts, New(Config{}))
		b.partitioned[i] = make([]bool, n)
	}
	return b
}

// exchange sends host j's snapshot to host i; it is in transit for up to 5 s.
func (b *network) exchange(rng *rand.Rand, i, j int) {
	if b.partitioned[i][j] {
		return
	}
	delay := time.Duration(rng.Intn(300)) * time.Millisecond
	if rng.Intn(2) == 0 {
		delay = time.Duration(rng.Intn(5000)) * time.Millisecond
	}
	b.inTransit = append(b.inTransit, reply{
		to: i, sent: b.now, arrives: b.now.Add(delay), states: b.hosts[j].Snapshot(b.now), pushed: rng.Intn(3) == 0,
	})
}

func (b *network) deliver() {
	keep := b.inTransit[:0]
	for _, m := range b.inTransit {
		if m.arrives.After(b.now) {
			keep = append(keep, m)
			continue
		}
		transit := b.now.Sub(m.sent)
		if m.pushed {
			transit = TransitUnknown
		}
		b.hosts[m.to].Merge(b.now, transit, m.states, "")
	}
	b.inTransit = keep
}

// Guards against new requests to a server that left seconds ago, because a late update with an old
// announcement counts as fresh. The server announces to one host that it is leaving, or dies; hosts are
// partitioned at random, and replies are delayed by up to 5 s and arrive out of order.
func TestLeavingServerGetsNoRequestsAfterTwoSeconds(t *testing.T) {
	const n, step = 7, 50 * time.Millisecond
	for seed := range int64(40) {
		rng := rand.New(rand.NewSource(seed))
		b := newNetwork(n)
		leavesAt := t0.Add(10 * time.Second)
		announces := seed%2 == 0
		seq, sawUse := uint64(0), 0
		for tick := 0; b.now.Before(t0.Add(20 * time.Second)); tick++ {
			b.now = b.now.Add(step)
			left := !b.now.Before(leavesAt)
			if tick%10 == 0 && (!left || announces) {
				seq++
				st := server(seq)
				st.Leaving = left
				b.hosts[rng.Intn(n)].Announce(b.now, st)
			}
			i, j := rng.Intn(n), rng.Intn(n)
			b.partitioned[i][j] = rng.Intn(3) > 0
			for range 4 {
				b.exchange(rng, rng.Intn(n), rng.Intn(n))
			}
			b.deliver()
			for h, r := range b.hosts {
				if !r.Usable(b.now, "s1") {
					continue
				}
				sawUse++
				if late := b.now.Sub(leavesAt); late >= 2*time.Second {
					t.Fatalf("seed %d: host %d still uses the server %v after it left", seed, h, late)
				}
			}
		}
		if sawUse < 500 {
			t.Errorf("seed %d: the server was usable in only %d checks before it left", seed, sawUse)
		}
	}
}

// Guards against a leaving server that gets requests again. Its leaving announcement is followed by one
// with a lower number that arrives late, or by one with a higher number that was sent by mistake without
// the flag. This happens if only the flag of the newest announcement counts.
func TestLeavingIsFinalWithinAnIncarnation(t *testing.T) {
	leaving := server(5)
	leaving.Leaving = true
	for _, second := range []uint64{4, 6} {
		r := New(Config{})
		r.Announce(t0, leaving)
		r.Announce(t0, server(second))
		if r.Usable(t0, "s1") {
			t.Errorf("usable after announcement %d", second)
		}
	}
	r := New(Config{})
	r.Announce(t0, server(6))
	r.Merge(t0, TransitUnknown, []*pb.ServerState{leaving}, "")
	if r.Usable(t0, "s1") {
		t.Error("usable although a peer reported that it is leaving")
	}
	restarted := server(1)
	restarted.Incarnation = 2
	r.Announce(t0, restarted)
	if !r.Usable(t0, "s1") {
		t.Error("not usable after its restart")
	}
	if r.Announce(t0, server(9)) {
		t.Error("an announcement of the former incarnation was applied")
	}
}

func TestGapInCacheEventsReducesConfidence(t *testing.T) {
	r := New(Config{CacheBlocks: 8})
	r.Announce(t0, server(1))
	s, _ := r.Server("s1")
	r.CacheEvent(CacheEvent{Server: "s1", Incarnation: 1, Seq: 1, Stored: []uint64{1, 2}})
	if got := s.CachedShare([]uint64{1, 2, 3, 4}); got != 0.5 {
		t.Errorf("share %v, want 0.5", got)
	}
	for gap, want := range []float64{0.25, 0.125, 0} {
		r.CacheEvent(CacheEvent{Server: "s1", Incarnation: 1, Seq: uint64(10 * (gap + 1)), Stored: []uint64{9}})
		if got := s.CachedShare([]uint64{1, 2, 3, 4}); got != want {
			t.Errorf("share %v after %d gaps, want %v", got, gap+1, want)
		}
	}
	for h := range uint64(100) {
		s.AssumeCached([]uint64{h})
	}
	if s.CacheBlocks() > 8 {
		t.Errorf("%d blocks kept, the maximum is 8", s.CacheBlocks())
	}
	st := server(2)
	st.Incarnation = 2
	r.Announce(t0, st)
	if s.CacheBlocks() != 0 {
		t.Error("a restarted server's cache is estimated to hold blocks")
	}
}

// Guards against a server that looks idle while it is full, or the reverse. The load report is 5 s old,
// and since then requests of this host and of a peer began and ended. The host's own requests must count
// once, neither twice nor not at all.
func TestLateReportIsCorrected(t *testing.T) {
	at := func(s int) time.Time { return t0.Add(time.Duration(s) * time.Second) }
	r := New(Config{Lapse: time.Minute})
	r.Announce(at(0), server(1))
	s, _ := r.Server("s1")
	for i := range uint64(3) {
		s.Begin(at(1), i, 100)
	}
	st := server(2)
	st.Running, st.LoadAgeMs = 10, 5000
	r.Announce(at(7), st) // measured at 2 s: 3 of the 10 are this host's
	s.End(at(8), 0)
	s.Begin(at(8), 7, 100)
	r.MergeRecentWork(at(8), "h2", []*pb.RecentWork{{Server: "s1", Requests: 2}})
	if s.OthersInFlight() != 9 || s.OwnInFlight() != 3 {
		t.Errorf("others %d own %d, want 9 and 3", s.OthersInFlight(), s.OwnInFlight())
	}
	w := r.RecentWork()
	if len(w) != 1 || w[0].Requests != 1 {
		t.Errorf("recent work %v, want the one request begun since the report", w)
	}
	st = server(3)
	st.Running, st.LoadAgeMs = 3, 0
	r.Announce(at(9), st)
	if got := fmt.Sprint(s.OthersInFlight(), s.OwnInFlight(), len(r.RecentWork())); got != "0 3 1" {
		t.Errorf("after a fresh report: others, own, recent = %s, want 0 3 1", got)
	}
}
