package grant

import (
	"math"
	"time"
)

// maxRateWindow is the longest time over which the rate of demand is averaged if the policy
// sets no window; a shorter horizon shortens it. If a long horizon were used as the window,
// a new host would hold too few tokens for hours.
const maxRateWindow = 10 * time.Minute

// demand is an exponentially decaying average of the requested tokens.
type demand struct {
	// sum decays over time; at a constant rate r it converges to r x window.
	sum float64
	at  time.Time
	// since is the time of the first request for tokens.
	since time.Time
}

// window returns the time over which the rate of demand is averaged.
func (p Policy) window() time.Duration {
	if p.Window > 0 {
		return p.Window
	}
	return min(p.Horizon, maxRateWindow)
}

func (d *demand) add(now time.Time, tokens uint64, p Policy) {
	if d.since.IsZero() {
		d.since = now
	}
	d.decay(now, p)
	d.sum += float64(tokens)
}

// tokens returns the demand expected within the period ahead at the current rate.
func (d *demand) tokens(now time.Time, p Policy, ahead time.Duration) uint64 {
	if ahead <= 0 || p.window() <= 0 {
		return 0
	}
	d.decay(now, p)
	return uint64(d.sum / d.windowFraction(now, p) * float64(ahead) / float64(p.window()))
}

// windowFraction returns the part of the decaying window that lies after the first request.
func (d *demand) windowFraction(now time.Time, p Policy) float64 {
	if p.MinHistory <= 0 || d.since.IsZero() {
		return 1
	}
	age := max(now.Sub(d.since), p.MinHistory)
	return 1 - math.Exp(-float64(age)/float64(p.window()))
}

func (d *demand) decay(now time.Time, p Policy) {
	if window := p.window(); !d.at.IsZero() && window > 0 {
		d.sum *= math.Exp(-float64(now.Sub(d.at)) / float64(window))
	}
	d.at = now
}
