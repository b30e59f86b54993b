package quarantine

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/quarantine"
)

const (
	// A server has ended if its machine refuses probeTries probes, or resets their connections, as
	// servers do with some of them.
	probeTries = 3
	// probePause is the pause between probes, probeTimeout bounds each.
	probePause   = 15 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	// silenceTimeout is how long a machine may be silent until its server counts as ended. A sound
	// one may be silent for a second or so.
	silenceTimeout = 2 * time.Second
)

// probe is a check in progress whether a server still answers.
type probe struct{ done chan struct{} }

// checkCrash finds out whether a server's incarnation ended while it ran a request, and if so records
// the crash. The channel is closed when the check is done.
func (g *Guard) checkCrash(r quarantine.Request, b filter.ConnectionLoss) <-chan struct{} {
	checked, observedAt := make(chan struct{}), time.Now()
	g.background.Go(func() {
		defer panics.Log(g.cfg.Log, "checking a broken connection")
		defer close(checked)
		if g.endedDuring(b, observedAt) {
			g.recordCrash(r, b)
		}
	})
	return checked
}

// endedDuring reports whether a server's incarnation ended after an attempt had begun there. A server
// that gives any answer has not ended. A broken connection alone proves nothing, since servers and
// networks reset connections. observedAt is when the connection broke.
func (g *Guard) endedDuring(b filter.ConnectionLoss, observedAt time.Time) bool {
	at, known := g.endTime(b)
	if !known {
		p, first := g.startProbe(b)
		if first {
			g.runProbe(p, b, observedAt)
		}
		<-p.done
		at, known = g.endTime(b)
	}
	// Attempts that began after the end did not reach the server and can't have caused it.
	return known && b.Started.Before(at)
}

func (g *Guard) endTime(b filter.ConnectionLoss) (at time.Time, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, known = g.endedAt[b.Incarnation]
	return at, known
}

// startProbe returns the probe of a server's incarnation. If first is true, none was in progress and
// the caller has to run it.
func (g *Guard) startProbe(b filter.ConnectionLoss) (p *probe, first bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.probes[b.Incarnation]; p != nil {
		return p, false
	}
	p = &probe{done: make(chan struct{})}
	g.probes[b.Incarnation] = p
	return p, true
}

// runProbe finds out whether a server answers.
func (g *Guard) runProbe(p *probe, b filter.ConnectionLoss, observedAt time.Time) {
	defer close(p.done)
	ended := !g.answers(b)
	g.metrics.probes.Add(1)
	g.cfg.Log.Info().Str("event", "server-probed").Str("server", b.Incarnation.ID).Uint64("incarnation", b.Incarnation.Started).Str("address", b.Address).
		Bool("ended", ended).Str("request", b.RequestID).Dur("took", time.Since(observedAt)).Send()
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.probes, b.Incarnation)
	if _, known := g.endedAt[b.Incarnation]; ended && !known {
		g.endedAt[b.Incarnation] = observedAt
	}
}

// answers probes a server until it is known whether it answers.
func (g *Guard) answers(b filter.ConnectionLoss) bool {
	for began, gone := time.Now(), 0; ; time.Sleep(probePause) {
		switch g.probeOnce(b) {
		case engineclient.Alive:
			return true
		case engineclient.Gone:
			gone++
		}
		if gone == probeTries || time.Since(began) >= silenceTimeout {
			return false
		}
	}
}

func (g *Guard) probeOnce(b filter.ConnectionLoss) engineclient.Liveness {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return g.cfg.Probe(ctx, b.Address, b.HealthPath)
}
