package silence

import (
	"math"
	"time"
)

// Parameters of the averages.
const (
	gapWeight = 0.05
	// gapDeviations is the number of mean deviations above the mean that a usual gap can have.
	gapDeviations = 8
	// gapFactor is the multiple of the mean that a gap may reach even if the deviation is small.
	gapFactor  = 4
	minGaps    = 8
	maxServers = 8192
)

// Gaps tracks per server how long its connections are usually quiet, before the first byte of an
// answer and between two bytes.
type Gaps struct {
	cfg     Config
	servers map[string]*serverGaps
}

type serverGaps struct{ first, next gap }

// gap holds moving averages of a quiet time, in seconds.
type gap struct {
	mean, dev float64
	n         int
}

// NewGaps returns a Gaps without observations.
func NewGaps(cfg Config) *Gaps {
	return &Gaps{cfg: cfg.withDefaults(), servers: make(map[string]*serverGaps)}
}

// Record adds an observed quiet time; first: it was before an answer's first byte.
func (g *Gaps) Record(server string, first bool, quiet time.Duration) {
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

// limit returns the longest usual quiet time, between floor and ceiling; it is the ceiling before
// minGaps observations.
func (g *gap) limit(floor, ceiling time.Duration) time.Duration {
	if g.n < minGaps {
		return ceiling
	}
	seconds := max(gapFactor*g.mean, g.mean+gapDeviations*g.dev)
	return min(max(time.Duration(seconds*float64(time.Second)), floor), ceiling)
}

// Limit returns how long a connection to server may be quiet before it is suspected; first: before
// an answer's first byte, when a long prompt may be in prefill.
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
