package members

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/backend"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Symptom: a backend server that left gets new work seconds later.
// Sequence: a peer's heartbeat is held up in the network for up to five seconds; the
// server leaves meanwhile; the heartbeat arrives with the ages of when it was sent.
// Cause: the time on the way was taken as a few milliseconds, whatever it was.
func TestTransitBoundCoversDelayedHeartbeats(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 0))
	tr := newTransitTracker()
	from := &pb.Holder{Host: "a", Incarnation: 3}
	const theirStart = 40 * time.Hour // clocks have nothing in common
	way := func() time.Duration { return time.Millisecond + time.Duration(rng.IntN(3000))*time.Microsecond }
	held, known := 0, 0
	for i := range 2000 {
		sent := time.Duration(i) * 500 * time.Millisecond
		took := way()
		if i%7 == 5 {
			took = time.Duration(rng.IntN(5000)) * time.Millisecond
			held++
		}
		tr.recordRoundTrip(sent, "a", way()+way())
		// The sender's clock runs slow by 0.005 %.
		theirs := theirStart + sent - sent/20000
		bound := tr.bound(sent+took, from, theirs)
		if bound == backend.TransitUnknown {
			continue
		}
		known++
		if bound < took {
			t.Fatalf("heartbeat %d took %s, bound %s", i, took, bound)
		}
		if took < 5*time.Millisecond && bound > 100*time.Millisecond {
			t.Fatalf("heartbeat %d took %s, bound %s is of no use", i, took, bound)
		}
	}
	if held < 200 || known < 1900 {
		t.Fatalf("the test shows little: %d held up, %d bounds", held, known)
	}
	if got := tr.bound(0, &pb.Holder{Host: "a", Incarnation: 4}, 0); got != backend.TransitUnknown {
		t.Fatalf("a new run's clock was taken for the former one's: %s", got)
	}
	if got := tr.bound(0, &pb.Holder{Host: "b", Incarnation: 1}, 0); got != backend.TransitUnknown {
		t.Fatalf("a bound without any round trip: %s", got)
	}
}
