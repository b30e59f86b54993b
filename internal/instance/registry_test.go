package instance

import (
	"fmt"
	"math"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellsail/bluebellsail/internal/changelog"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

var start = time.Unix(1000, 0)

func ready(id string, seq uint64) Announcement {
	return Announcement{ID: id, Service: "pool", Address: "10.0.0.1:80", Slots: 4, Seq: seq}
}

func serving(r *Registry) []string {
	var out []string
	for _, i := range r.Serving("pool") {
		out = append(out, i.ID)
	}
	return out
}

func want(t *testing.T, r *Registry, ids ...string) {
	t.Helper()
	if got := serving(r); fmt.Sprint(got) != fmt.Sprint(ids) {
		t.Errorf("serving %v, want %v", got, ids)
	}
}

func TestDrainIsNeverTakenBack(t *testing.T) {
	r := New(Config{})
	r.Announce(start, ready("a", 1))
	want(t, r, "a")
	draining := ready("a", 3)
	draining.Draining = true
	if !r.Announce(start, draining) {
		t.Error("Announce reports no change by the drain")
	}
	want(t, r)
	r.Announce(start, ready("a", 2)) // arrives late
	r.Announce(start, ready("a", 4))
	want(t, r)
}

// Guards against a draining server that gets requests for another heartbeat, because its draining
// announcement arrives after a ready one with a higher number and is dropped as a whole.
func TestDrainCountsInALateAnnouncement(t *testing.T) {
	r := New(Config{})
	r.Announce(start, ready("a", 5))
	draining := ready("a", 4)
	draining.Draining = true
	if !r.Announce(start, draining) {
		t.Error("Announce reports no change by the drain")
	}
	want(t, r)
}

// Guards against a serving server that gets no requests: server a crashes behind a partition, b starts
// at its address and announces itself, and then the partition delivers a's last announcement, the
// first one of a at this host. This happens if the newest first announcement at an address displaces
// the instance there.
func TestDelayedAnnouncementDisplacesNobody(t *testing.T) {
	r := New(Config{})
	r.Announce(start, ready("b", 1))
	r.Announce(start.Add(time.Second), ready("a", 9))
	want(t, r, "b")
	r.Announce(start.Add(1200*time.Millisecond), ready("b", 2))
	want(t, r, "b")
}

func TestSecondAnnouncementTakesTheAddress(t *testing.T) {
	r := New(Config{})
	r.Announce(start, ready("a", 1))
	r.Announce(start.Add(time.Second), ready("b", 1))
	want(t, r, "a")
	r.Announce(start.Add(2*time.Second), ready("b", 2))
	want(t, r, "b")
	r.Announce(start.Add(3*time.Second), ready("a", 2)) // a has ended for good
	want(t, r, "b")
}

func TestEndOfTheFormerInstanceReleasesTheAddress(t *testing.T) {
	r := New(Config{})
	r.Announce(start, ready("a", 1))
	r.Announce(start, ready("b", 1))
	if !r.End(start, Incarnation{ID: "a"}) {
		t.Error("End reports no change")
	}
	want(t, r, "b")
}

func TestAddressIsFreeAfterTheLapse(t *testing.T) {
	r := New(Config{})
	r.Announce(start, ready("a", 1))
	r.Announce(start.Add(DefaultLapse), ready("b", 1))
	want(t, r, "b")
}

func TestFreshnessAndExpiry(t *testing.T) {
	r := New(Config{Lapse: time.Second, Forget: time.Minute})
	r.Announce(start, ready("a", 1))
	i, _ := r.Get("a")
	if !r.Fresh(start, i) || r.Fresh(start.Add(time.Second), i) {
		t.Error("the instance is not fresh for exactly the lapse")
	}
	want(t, r, "a") // stale, but the only instance
	r.Expire(start.Add(time.Minute))
	want(t, r)
	if _, known := r.Get("a"); known {
		t.Error("the instance is known after Forget")
	}
}

func TestEndBeforeTheFirstAnnouncement(t *testing.T) {
	r := New(Config{})
	r.End(start, Incarnation{ID: "a"})
	r.Announce(start, ready("a", 1))
	want(t, r)
}

// allStates returns what a registry sends to a peer that knows nothing.
func allStates(r *Registry, now time.Time) []*pb.ServerState {
	states, _ := r.ChangesSince(now, changelog.Position{}, math.MaxInt, "", nil)
	return states
}

// mergeAll merges all states that the registry from holds into r.
func mergeAll(r *Registry, now time.Time, from *Registry) {
	for _, st := range allStates(from, now) {
		if _, err := r.Merge(now, time.Millisecond, st, "peer"); err != nil {
			panic(err)
		}
	}
}

// Two registries that exchange snapshots agree on the instances that may get requests, whatever each
// host observed itself and in whichever order the snapshots arrive.
func TestMergedRegistriesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regs := []*Registry{New(Config{Host: "h0"}), New(Config{Host: "h1"})}
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			r := regs[rapid.IntRange(0, 1).Draw(t, "host")]
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				r.End(now, Incarnation{ID: id})
			case 1:
				other := regs[rapid.IntRange(0, 1).Draw(t, "from")]
				mergeAll(r, now, other)
			default:
				a := ready(id, uint64(rapid.IntRange(1, 9).Draw(t, "seq")))
				a.Address = "10.0.0." + strconv.Itoa(int(id[0])) + ":80" // one address per id
				a.Draining = rapid.IntRange(0, 4).Draw(t, "draining") == 0
				r.Announce(now, a)
			}
		}
		for range 2 {
			mergeAll(regs[0], now, regs[1])
			mergeAll(regs[1], now, regs[0])
		}
		if a, b := fmt.Sprint(serving(regs[0])), fmt.Sprint(serving(regs[1])); a != b {
			t.Fatalf("one registry serves %s, the other %s", a, b)
		}
	})
}

func TestMergeNeverUnderestimatesTheAge(t *testing.T) {
	r := New(Config{})
	state := func(id string, age int64) *pb.ServerState {
		return &pb.ServerState{Id: id, Address: "10.0.0.1:80", Services: []string{"pool"}, Slots: 1, Seq: 1, AgeMs: age}
	}
	_, err := r.Merge(start, 100*time.Millisecond, state("a", 400), "peer")
	testutil.NoError(t, err)
	i, ok := r.Get("a")
	if !ok || i.LastAnnounced != start.Add(-500*time.Millisecond) {
		t.Fatalf("last announced %v ago, want 500ms", start.Sub(i.LastAnnounced))
	}
	_, err = r.Merge(start, -1, state("b", 0), "peer")
	testutil.NoError(t, err)
	if b, _ := r.Get("b"); !b.LastAnnounced.Before(start) {
		t.Error("a state with unknown transit time counts as announced now")
	}
}

// Guards against an answer of an earlier incarnation that takes the next one out of service.
func TestDrainingInAnAnswerIsOfOneIncarnation(t *testing.T) {
	r := New(Config{})
	now := time.Unix(1000, 0)
	a := Announcement{ID: "s", Started: 2, Service: "x", Address: "10.0.0.1:80", Slots: 1, Seq: 1}
	r.Announce(now, a)
	if r.Drain(Incarnation{ID: "s", Started: 1}) || r.Drain(Incarnation{ID: "other"}) || len(r.Serving("x")) != 1 {
		t.Fatal("the draining of another incarnation is applied to this one")
	}
	if !r.Drain(a.Incarnation()) || r.Drain(a.Incarnation()) || len(r.Serving("x")) != 0 {
		t.Fatal("the draining is not applied, or is reported as a change twice")
	}
	a.Seq = 2
	if r.Announce(now, a); len(r.Serving("x")) != 0 {
		t.Error("a later announcement reverts the draining")
	}
}
