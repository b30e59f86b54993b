package changelog

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestSinceReturnsEachChangedEntryOnce(t *testing.T) {
	l := New()
	for i := range 5 {
		l.Record(fmt.Sprint("k", i), uint32(i+1), Normal, "")
	}
	keys, upTo := l.Since(Position{}, 3, "", nil)
	if !slices.Equal(keys, []string{"k0", "k1", "k2"}) {
		t.Fatalf("first: %v", keys)
	}
	l.Record("k0", 9, Normal, "p")
	l.Record("k3", 9, Unnoted, "")
	rest, upTo := l.Since(upTo, 10, "", nil)
	if !slices.Equal(rest, []string{"k3", "k4", "k0"}) || upTo != l.End() {
		t.Errorf("then: %v up to %v, want all up to %v", rest, upTo, l.End())
	}
	if again, _ := l.Since(upTo, 10, "", nil); len(again) != 0 {
		t.Errorf("sent again without a change: %v", again)
	}
}

// Guards against an urgent change that waits behind many others.
func TestUrgentChangesAreSentFirst(t *testing.T) {
	l := New()
	for i := range 200 {
		l.Record(fmt.Sprint("k", i), 1, Normal, "")
	}
	l.Record("k150", 2, Urgent, "")
	keys, upTo := l.Since(Position{}, 64, "", nil)
	if len(keys) != 64 || keys[0] != "k150" {
		t.Errorf("%d keys, first %q", len(keys), keys[0])
	}
	rest, _ := l.Since(upTo, 1000, "", nil)
	if len(rest) != 200-64 || slices.Contains(rest, "k150") {
		t.Errorf("%d keys in the next message, want the other %d", len(rest), 200-64)
	}
}

// Guards against changes that are sent back to the peer from which they came.
func TestChangesAreNotSentToTheirOrigin(t *testing.T) {
	l := New()
	l.Record("a", 1, Normal, "p")
	l.Record("b", 1, Normal, "q")
	if keys, upTo := l.Since(Position{}, 10, "p", nil); !slices.Equal(keys, []string{"b"}) || upTo != l.End() {
		t.Errorf("to p: %v", keys)
	}
	l.Record("c", 1, Normal, "")
	if keys, upTo := l.OwnSince(Position{}, 10); !slices.Equal(keys, []string{"c"}) || upTo != l.End() {
		t.Errorf("own changes: %v", keys)
	}
}

// Guards against changes that a peer gets from each of its neighbors: it has them by its digest.
func TestChangesThatThePeerHasAreNotSent(t *testing.T) {
	l, peer := New(), New()
	for i := range 1000 {
		key := fmt.Sprint("k", i)
		l.Record(key, uint32(i+1), Normal, "")
		peer.Record(key, uint32(i+1), Normal, "third")
	}
	before := l.End()
	for _, both := range []*Log{l, peer} {
		both.Record("k3", 9_999, Normal, "third")
	}
	l.Record("k4", 9_999, Normal, "")
	if keys, upTo := l.Since(before, 10, "peer", peer.Digest()); !slices.Equal(keys, []string{"k4"}) || upTo != l.End() {
		t.Errorf("sent %v, want only k4", keys)
	}
	if keys, _ := l.Since(before, 10, "peer", Digest{1, 2, 3}); len(keys) != 2 {
		t.Errorf("sent %v to a peer with an invalid digest, want both", keys)
	}
}

func TestDigestsTellWhichEntriesDiffer(t *testing.T) {
	a, b := New(), New()
	for i := range 2000 {
		key := fmt.Sprint("k", i)
		a.Record(key, uint32(i+1), Normal, "")
		b.Record(key, uint32(i+1), Unnoted, "")
	}
	if keys, complete := a.Differing(b.Digest(), 100, 0); len(keys) != 0 || !complete {
		t.Errorf("%d keys of equal logs", len(keys))
	}
	b.Remove("k7")
	keys, complete := a.Differing(b.Digest(), 100, 0)
	if !complete || !slices.Contains(keys, "k7") || len(keys) > 2000/maxBuckets*4 {
		t.Errorf("%d keys, complete %v", len(keys), complete)
	}
}

// Guards against a replica that never gets an entry although it exchanges messages with one that has it:
// an empty one is filled by messages of bounded size.
func TestEmptyReplicaIsFilledByBoundedMessages(t *testing.T) {
	full, empty := New(), New()
	for i := range 3000 {
		full.Record(fmt.Sprint("k", i), uint32(i+1), Normal, "")
	}
	const limit = 256
	for messages := 1; ; messages++ {
		keys, complete := full.Differing(empty.Digest(), limit, messages*37)
		if len(keys) > limit {
			t.Fatalf("%d keys in a message", len(keys))
		}
		for _, key := range keys {
			var i int
			_, _ = fmt.Sscanf(key, "k%d", &i)
			empty.Record(key, uint32(i+1), Normal, "full")
		}
		if complete {
			break
		}
		if messages > 2*3000/limit {
			t.Fatalf("not filled after %d messages", messages)
		}
	}
	if !slices.Equal(empty.Digest(), full.Digest()) {
		t.Error("the digests differ after all entries were sent")
	}
}

// Guards against a log that grows with the number of changes rather than of entries.
func TestOutdatedChangesAreDropped(t *testing.T) {
	l := New()
	for i := range 100_000 {
		l.Record(fmt.Sprint("k", i%50), uint32(i), Normal, "")
	}
	if n := len(l.normal); n > 2*50+minCompaction {
		t.Errorf("%d changes kept of 50 entries", n)
	}
}

// Checks that a peer which applies every message has, after the last one, the newest state of every entry,
// whatever the order of changes, limits and lost messages.
func TestPeerConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		state, peer := map[string]int{}, map[string]int{}
		var at Position
		exchange := func(limit int, lost bool) {
			keys, upTo := l.Since(at, limit, "peer", nil)
			if lost {
				return
			}
			for _, key := range keys {
				if value, ok := state[key]; ok {
					peer[key] = value
				}
			}
			at = upTo
		}
		steps := rapid.IntRange(1, 200).Draw(t, "steps")
		for step := 1; step <= steps; step++ {
			key := fmt.Sprint("k", rapid.IntRange(0, 20).Draw(t, "key"))
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				l.Remove(key)
				delete(state, key)
				delete(peer, key) // both forget an entry by its age
			case 1, 2:
				exchange(rapid.IntRange(1, 4).Draw(t, "limit"), rapid.Bool().Draw(t, "lost"))
			default:
				state[key] = step
				l.Record(key, uint32(step), Class(rapid.IntRange(int(Normal), int(Urgent)).Draw(t, "class")), "")
			}
		}
		for range len(state) + 1 {
			exchange(1, false)
		}
		exchange(1000, false)
		if !maps.Equal(state, peer) {
			t.Fatalf("state %v, peer %v", state, peer)
		}
	})
}
