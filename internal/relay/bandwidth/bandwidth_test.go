package bandwidth

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

const (
	narrow = 10.0 // megabits per second
	// largeBody is the size of the body of a long prompt, in bytes.
	largeBody = 17_000
)

// offerLoad sends requests at a constant rate and returns how many bytes were allowed and, for each
// rank, the share of requests allowed.
func offerLoad(f *Filter, perSecond float64, bytes int, ranks []int, length time.Duration) (passed float64, share map[int]float64) {
	share = make(map[int]float64)
	each := time.Duration(float64(time.Second) / perSecond)
	sent := make(map[int]float64)
	n := 0
	for at := time.Duration(0); at < length; at += each {
		rank := ranks[n%len(ranks)]
		n++
		sent[rank]++
		if f.allow(start.Add(at), bytes, rank) {
			passed += float64(bytes)
			share[rank]++
		}
	}
	for rank := range share {
		share[rank] /= sent[rank]
	}
	return passed, share
}

// Guards against accepting more requests than the link carries: 16 Mbit/s over a link of 10, sent
// by callers of one account at three times their usual rate, made everything wait for the link.
// Requests failed after their deadline though the processor was idle, and the host considered one
// budget owner after the other unreachable.
func TestFullLinkIsNotFilledFurther(t *testing.T) {
	passed, _ := offerLoad(New(narrow), 120, largeBody, []int{1}, 6*time.Second)
	const carries = narrow * 1e6 / 8 * 6
	if passed > 0.9*carries || passed < 0.75*carries {
		t.Errorf("%.0f bytes were allowed, the link carries %.0f", passed, carries)
	}
}

func TestUsualTrafficPasses(t *testing.T) {
	if _, share := offerLoad(New(narrow), 50, largeBody, []int{0, 1, 2}, 6*time.Second); share[0] < 1 || share[1] < 1 || share[2] < 1 {
		t.Errorf("shares allowed: %v", share)
	}
	if _, share := offerLoad(New(0), 10_000, largeBody, []int{2}, time.Second); share[2] < 1 {
		t.Errorf("shares allowed without a limit: %v", share)
	}
}

// Guards against rejecting urgent requests while less urgent ones are served, and against starving
// a rank of requests entirely.
func TestUrgentRequestsGoFirstAndNoRankStarves(t *testing.T) {
	_, share := offerLoad(New(narrow), 150, largeBody, []int{0, 1, 2, 2, 1}, 6*time.Second)
	if share[0] < 0.99 {
		t.Errorf("the share allowed of the most urgent requests is %.2f", share[0])
	}
	if share[1] < 0.15 || share[2] < 0.15 {
		t.Errorf("shares allowed: %v", share)
	}
}

func TestRequestLargerThanTheBurstPassesAnIdleLink(t *testing.T) {
	f := New(narrow)
	if !f.allow(start, 1<<20, 0) {
		t.Error("a request larger than the burst was rejected on an idle link")
	}
	if f.allow(start, largeBody, 0) {
		t.Error("a second request was allowed right after it")
	}
	if !f.allow(start, smallRequest-1, 2) {
		t.Error("a small request was rejected")
	}
}
