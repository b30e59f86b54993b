package quarantine

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/quarantine"
)

const (
	// probeTries and probePause make up for servers that reset some connections.
	probeTries = 3
	probePause = 15 * time.Millisecond
	// probeTimeout bounds the questions to one server.
	probeTimeout = 400 * time.Millisecond
)

// probe is a question to a server under way.
type probe struct{ done chan struct{} }

// judge finds out whether the run of a server has ended while it ran a request, and notes the
// crash. The channel is closed when that is known.
func (g *Guard) judge(id quarantine.ID, b filter.ConnectionLoss) <-chan struct{} {
	judged, seen := make(chan struct{}), time.Now()
	g.behind.Go(func() {
		defer panics.Log(g.cfg.Log, "judging a broken connection")
		defer close(judged)
		if g.endedUnder(b, seen) {
			g.crashed(id, b)
		}
	})
	return judged
}

// endedUnder tells whether the run of a server ended after an attempt had begun there. A server
// that answers anything has not ended: a connection that broke off says nothing by itself, since
// servers reset connections, and networks do. seen is when it broke.
func (g *Guard) endedUnder(b filter.ConnectionLoss, seen time.Time) bool {
	at, known := g.endOf(b)
	if !known {
		p, first := g.probeOf(b)
		if first {
			g.ask(p, b, seen)
		}
		<-p.done
		at, known = g.endOf(b)
	}
	// Attempts that began after the end met nobody, and had no part in it.
	return known && b.Started.Before(at)
}

func (g *Guard) endOf(b filter.ConnectionLoss) (at time.Time, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, known = g.ended[b.Incarnation]
	return at, known
}

// probeOf is the question about a run under way; first: the caller has to ask it.
func (g *Guard) probeOf(b filter.ConnectionLoss) (p *probe, first bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.probes[b.Incarnation]; p != nil {
		return p, false
	}
	p = &probe{done: make(chan struct{})}
	g.probes[b.Incarnation] = p
	return p, true
}

// ask asks a server whether it answers.
func (g *Guard) ask(p *probe, b filter.ConnectionLoss, seen time.Time) {
	defer close(p.done)
	ended := !g.answers(b)
	g.metrics.probes.Add(1)
	g.cfg.Log.Info().Str("event", "server-probed").Str("server", b.Incarnation.ID).Uint64("incarnation", b.Incarnation.Started).Str("address", b.Address).
		Bool("ended", ended).Str("request", b.RequestID).Dur("took", time.Since(seen)).Send()
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.probes, b.Incarnation)
	if _, known := g.ended[b.Incarnation]; ended && !known {
		g.ended[b.Incarnation] = seen
	}
}

func (g *Guard) answers(b filter.ConnectionLoss) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	for n := range probeTries {
		if n > 0 {
			time.Sleep(probePause)
		}
		if g.cfg.Answers(ctx, b.Address, b.HealthPath) {
			return true
		}
	}
	return false
}
