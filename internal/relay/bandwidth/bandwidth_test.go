package bandwidth

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

const (
	narrow = 10.0 // megabits a second
	// largeBody is that of a long prompt, bytes.
	largeBody = 17_000
)

// offerLoad sends requests evenly for a time and returns how many bytes were let through,
// and of each rank the share.
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

// Symptom: requests at one host fail after their deadline, though its processor is idle, and
// it takes one owner of a budget after the other for lost.
// Sequence: callers of one client account send three times their usual to one host, 16 Mbit/s
// over a link of 10.
// Cause: all of it was taken, so that everything waited for the link.
func TestFullLinkIsNotFilledFurther(t *testing.T) {
	passed, _ := offerLoad(New(narrow), 120, largeBody, []int{1}, 6*time.Second)
	const carries = narrow * 1e6 / 8 * 6
	if passed > 0.9*carries || passed < 0.75*carries {
		t.Errorf("%.0f bytes were let through, the link carries %.0f", passed, carries)
	}
}

func TestUsualTrafficPasses(t *testing.T) {
	if _, share := offerLoad(New(narrow), 50, largeBody, []int{0, 1, 2}, 6*time.Second); share[0] < 1 || share[1] < 1 || share[2] < 1 {
		t.Errorf("shares let through: %v", share)
	}
	if _, share := offerLoad(New(0), 10_000, largeBody, []int{2}, time.Second); share[2] < 1 {
		t.Errorf("without a bound: %v", share)
	}
}

// Symptom: urgent requests are refused while less urgent ones are served, or a kind of
// request is not served at all.
func TestUrgentRequestsGoFirstAndNoRankStarves(t *testing.T) {
	_, share := offerLoad(New(narrow), 150, largeBody, []int{0, 1, 2, 2, 1}, 6*time.Second)
	if share[0] < 0.99 {
		t.Errorf("%.2f of the most urgent pass", share[0])
	}
	if share[1] < 0.15 || share[2] < 0.15 {
		t.Errorf("shares let through: %v", share)
	}
}

func TestRequestLargerThanTheBurstPassesAnIdleLink(t *testing.T) {
	f := New(narrow)
	if !f.allow(start, 1<<20, 0) {
		t.Error("refused")
	}
	if f.allow(start, largeBody, 0) {
		t.Error("another one passes at once")
	}
	if !f.allow(start, smallRequest-1, 2) {
		t.Error("a small one is refused")
	}
}
