// Package linkdelay estimates how long messages wait on the way to and from this host: for its
// network link and for its processor.
//
// A caller counts its timeout from when it sends a request, the host from when it has read it.
// While the host's link is full the two are a second apart, requests that the caller has given up
// are forwarded, and answers come long after the route's timeout. The host can't see when a request
// was sent, but its own round trips to other hosts and servers wait in the same queues.
package linkdelay

import (
	"sync"
	"time"
)

const (
	// window is how long a round trip counts after its end.
	window = 400 * time.Millisecond
	// minSamples is the number of round trips that an estimate needs.
	minSamples = 4
)

// sample is a round trip that ended at a time.
type sample struct {
	end  time.Time
	took time.Duration
}

// Estimator estimates the delay from the shortest of the latest round trips: a single short one
// shows that the link is not the cause of the long ones. The zero value is ready to use. It is safe
// for concurrent use.
type Estimator struct {
	mu sync.Mutex
	// samples are the round trips that may still be the shortest of a window, in the order of
	// their ends: each took longer than those before it.
	samples []sample
	// ends are the ends of the latest round trips.
	ends [minSamples]time.Time
	next int
}

// Observe records a round trip that has just ended and that did not wait for work at its other end.
func (e *Estimator) Observe(now time.Time, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ends[e.next] = now
	e.next = (e.next + 1) % minSamples
	kept := len(e.samples)
	for kept > 0 && e.samples[kept-1].took >= took {
		kept--
	}
	e.samples = append(e.samples[:kept], sample{end: now, took: took})
	e.expire(now)
}

// Delay returns the estimate; 0 if there were too few round trips lately.
func (e *Estimator) Delay(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(now)
	// The next entry to be overwritten is the oldest one.
	if len(e.samples) == 0 || now.Sub(e.ends[e.next]) > window {
		return 0
	}
	return e.samples[0].took
}

func (e *Estimator) expire(now time.Time) {
	expired := 0
	for expired < len(e.samples) && now.Sub(e.samples[expired].end) > window {
		expired++
	}
	e.samples = append(e.samples[:0], e.samples[expired:]...)
}
