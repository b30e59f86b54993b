package daemon

import (
	"math"
	"sync"
	"time"
)

// trafficWindow is the time over which traffic is averaged: longer than callers keep an
// answer of the directory, so that what an answer does shows before the next one.
const trafficWindow = 4 * time.Second

// requestBytes is what a request costs beside its bytes, as bytes: its headers, and those
// of its answer.
const requestBytes = 1 << 10

// traffic measures what callers send and get. It is safe for concurrent use.
type traffic struct {
	mu sync.Mutex
	// sum of bytes, decayed to at.
	sum float64
	at  time.Time
}

// add counts a request with the bytes of its body and its answer.
func (t *traffic) add(now time.Time, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	t.sum += float64(bytes + requestBytes)
}

// rate is the traffic in KiB a second.
func (t *traffic) rate(now time.Time) uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	return uint32(t.sum / trafficWindow.Seconds() / (1 << 10))
}

func (t *traffic) decay(now time.Time) {
	if !t.at.IsZero() {
		t.sum *= math.Exp(-float64(now.Sub(t.at)) / float64(trafficWindow))
	}
	t.at = now
}
