package controlclient

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// gate limits what a process sends to a control group that does not answer. While the
// group answers, every call may pass. After a failure, one call at a time may probe the
// group, after a backoff that grows and is randomized per process; once a probe is
// answered, all other calls may pass.
//
// Without it, when a partition ends or a leader is lost, each of some hundred calls of
// each of some hundred processes looks for the leader by itself. The replicas spend
// their time on these calls, the new leader's heartbeats are late, and the next
// election begins: leaders change every second although nothing is down.
type gate struct {
	mu      sync.Mutex
	backoff *backoff.ExponentialBackOff
	failed  bool
	// probing is set while a probe is in progress.
	probing   bool
	notBefore time.Time
	// changed is closed when a probe has ended.
	changed chan struct{}
}

func newGate() *gate {
	p := backoff.NewExponentialBackOff()
	p.InitialInterval, p.MaxInterval = minBackoff, maxBackoff
	return &gate{backoff: p, changed: make(chan struct{})}
}

// open reports whether the group answered the last call.
func (g *gate) open() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.failed
}

// enter waits until the caller may send. probe must be passed to leave. ok is false if
// ctx ends first.
func (g *gate) enter(ctx context.Context) (probe, ok bool) {
	for {
		probe, ok, wait, changed := g.tryEnter(time.Now())
		if ok {
			return probe, true
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false, false
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tryEnter checks once whether the caller may pass. If not, it must check again after
// wait, or when changed is closed.
func (g *gate) tryEnter(now time.Time) (probe, ok bool, wait time.Duration, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.failed:
		return false, true, 0, nil
	case g.probing:
		return false, false, attemptTimeout, g.changed
	case now.Before(g.notBefore):
		return false, false, g.notBefore.Sub(now), g.changed
	}
	g.probing = true
	return true, true, 0, nil
}

// leave records how a call that entered has ended.
func (g *gate) leave(probe, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if probe {
		g.probing = false
	}
	switch {
	case answered:
		g.failed = false
		g.backoff.Reset()
	case probe || !g.failed:
		g.failed = true
		g.notBefore = time.Now().Add(g.backoff.NextBackOff())
	default:
		return // one of many calls in flight when the first of them failed
	}
	close(g.changed)
	g.changed = make(chan struct{})
}
