package controlclient

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// gate bounds what a process sends to a control group that does not answer. While it
// does, every call goes through. After a failure one call at a time does, after a pause
// that grows and differs from process to process; when it is answered, all others follow.
//
// What goes wrong without it: a partition ends, or a leader is lost, and each of some
// hundred calls of each of some hundred processes looks for the leader by itself. The
// replicas spend their time on these, the new leader's heartbeats come late, and the next
// election begins. One notices leaders that change every second while nothing is down.
type gate struct {
	mu     sync.Mutex
	pause  *backoff.ExponentialBackOff
	failed bool
	// probing: a call is under way on behalf of all.
	probing   bool
	notBefore time.Time
	// changed is closed when a probe has ended.
	changed chan struct{}
}

func newGate() *gate {
	p := backoff.NewExponentialBackOff()
	p.InitialInterval, p.MaxInterval = firstPause, maxPause
	return &gate{pause: p, changed: make(chan struct{})}
}

// open tells whether the group answered the last call.
func (g *gate) open() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.failed
}

// enter waits until the caller may send; probe is what leave has to be told. It returns
// false when ctx ends first.
func (g *gate) enter(ctx context.Context) (probe, ok bool) {
	for {
		probe, ok, wait, changed := g.try(time.Now())
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

// try is one look at the gate. If the caller may not pass, it looks again after wait, or
// when changed is closed.
func (g *gate) try(now time.Time) (probe, ok bool, wait time.Duration, changed <-chan struct{}) {
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

// leave tells how a call that entered has ended.
func (g *gate) leave(probe, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if probe {
		g.probing = false
	}
	switch {
	case answered:
		g.failed = false
		g.pause.Reset()
	case probe || !g.failed:
		g.failed = true
		g.notBefore = time.Now().Add(g.pause.NextBackOff())
	default:
		return // one of many that were under way when the first of them failed
	}
	close(g.changed)
	g.changed = make(chan struct{})
}
