package members

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/backend"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Guards against servers that count as stale in a fleet that has just started: no bound of the transit
// time of a peer's heartbeats was known before three of them had arrived, which takes 12 s.
func TestTransitIsBoundedFromTheFirstReply(t *testing.T) {
	rng := rand.New(rand.NewPCG(9, 0))
	for range 1000 {
		tr := newTransitTracker()
		from := &pb.Holder{Host: "a", Incarnation: 3}
		clock := time.Duration(rng.Int64N(int64(time.Hour)))
		there, back := time.Duration(rng.IntN(200))*time.Millisecond, time.Duration(rng.IntN(200))*time.Millisecond
		arrived := time.Second + there + back
		tr.recordRoundTrip(arrived, "a", there+back)
		tr.recordReply(arrived, from, clock+time.Second+there)
		took := time.Duration(rng.IntN(3000)) * time.Millisecond
		bound := tr.bound(2*time.Second+took, from, clock+2*time.Second)
		if bound < took || bound > took+there+back+transitSlack {
			t.Fatalf("a heartbeat that took %s after a reply that took %s of %s: bound %s", took, back, there+back, bound)
		}
	}
}

// TestTransitBoundCoversDelayedHeartbeats delays heartbeats in the network for up to five
// seconds. If their transit time were always taken as a few milliseconds, a server that left in
// the meantime would get new work seconds later, because the ages in the heartbeat are those at
// the time when it was sent.
func TestTransitBoundCoversDelayedHeartbeats(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 0))
	tr := newTransitTracker()
	from := &pb.Holder{Host: "a", Incarnation: 3}
	const theirStart = 40 * time.Hour // the clocks are unrelated
	latency := func() time.Duration { return time.Millisecond + time.Duration(rng.IntN(3000))*time.Microsecond }
	delayed, known := 0, 0
	for i := range 2000 {
		sent := time.Duration(i) * 500 * time.Millisecond
		took := latency()
		if i%7 == 5 {
			took = time.Duration(rng.IntN(5000)) * time.Millisecond
			delayed++
		}
		tr.recordRoundTrip(sent, "a", latency()+latency())
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
			t.Fatalf("heartbeat %d took %s, bound %s is too loose", i, took, bound)
		}
	}
	if delayed < 200 || known < 1900 {
		t.Fatalf("too few samples: %d delayed heartbeats, %d bounds", delayed, known)
	}
	if got := tr.bound(0, &pb.Holder{Host: "a", Incarnation: 4}, 0); got != backend.TransitUnknown {
		t.Fatalf("the clock of a new incarnation was taken for that of the previous one: %s", got)
	}
	if got := tr.bound(0, &pb.Holder{Host: "b", Incarnation: 1}, 0); got != backend.TransitUnknown {
		t.Fatalf("got a bound without any round trip: %s", got)
	}
}
