package silence

import (
	"math"
	"time"
)

// Learning of gaps.
const (
	gapWeight = 0.05
	// gapDeviations above the mean gap that are still usual.
	gapDeviations = 8
	// gapFactor times the mean is usual in any case.
	gapFactor  = 4
	minGaps    = 8
	maxServers = 8192
)

// Gaps learns per server how long its connections are usually quiet, before the
// first byte of an answer and between two.
type Gaps struct {
	cfg     Config
	servers map[string]*serverGaps
}

type serverGaps struct{ first, next gap }

// gap is a learnt quiet time, in seconds.
type gap struct {
	mean, dev float64
	n         int
}

// NewGaps makes a Gaps that knows nothing.
func NewGaps(cfg Config) *Gaps {
	return &Gaps{cfg: cfg.withDefaults(), servers: make(map[string]*serverGaps)}
}

// Heard learns a quiet time that ended; first: it came before an answer's first byte.
func (g *Gaps) Heard(server string, first bool, quiet time.Duration) {
	s := g.servers[server]
	if s == nil {
		if len(g.servers) >= maxServers {
			clear(g.servers)
		}
		s = &serverGaps{}
		g.servers[server] = s
	}
	if first {
		s.first.add(quiet.Seconds())
		return
	}
	s.next.add(quiet.Seconds())
}

func (g *gap) add(v float64) {
	if g.n == 0 {
		g.mean = v
	}
	g.n++
	diff := v - g.mean
	g.mean += gapWeight * diff
	g.dev += gapWeight * (math.Abs(diff) - g.dev)
}

// limit is the quiet time that is nothing unusual, between floor and ceiling;
// the ceiling while little was learnt.
func (g *gap) limit(floor, ceiling time.Duration) time.Duration {
	if g.n < minGaps {
		return ceiling
	}
	seconds := max(gapFactor*g.mean, g.mean+gapDeviations*g.dev)
	return min(max(time.Duration(seconds*float64(time.Second)), floor), ceiling)
}

// Limit is how long a connection to server may be quiet before it is suspected;
// first: before an answer's first byte, when a long prompt may be under way.
func (g *Gaps) Limit(server string, first bool) time.Duration {
	s := g.servers[server]
	if s == nil {
		s = &serverGaps{}
	}
	if first {
		return s.first.limit(g.cfg.FirstFloor, g.cfg.FirstCeiling)
	}
	return s.next.limit(g.cfg.Floor, g.cfg.Ceiling)
}
