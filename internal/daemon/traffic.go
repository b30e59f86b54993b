package daemon

import (
	"math"
	"sync"
	"time"
)

// trafficWindow is the time over which traffic is averaged. It is longer than callers cache
// an answer of the directory, so that the effect of an answer shows before the next one.
const trafficWindow = 4 * time.Second

// requestBytes is the overhead of a request in bytes: its headers and those of its answer.
const requestBytes = 1 << 10

// traffic measures the bytes that callers send and receive. It is safe for concurrent use.
type traffic struct {
	mu sync.Mutex
	// sum is the exponentially decayed sum of bytes at time at.
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

// rate returns the traffic in KiB per second.
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
