package grant

import (
	"math"
	"time"
)

// rateWindow is the time over which the rate of demand is averaged where the policy does not
// say; a shorter horizon shortens it. With the whole of a long horizon as the window, a new
// host would hold too little for hours.
const rateWindow = 10 * time.Minute

// demand averages the tokens asked for, with older ones counting less.
type demand struct {
	// sum decays; with a steady rate r it settles at r x window.
	sum float64
	at  time.Time
	// since is when tokens were first asked for.
	since time.Time
}

// window is the time over which the rate of demand is averaged.
func (p Policy) window() time.Duration {
	if p.Window > 0 {
		return p.Window
	}
	return min(p.Horizon, rateWindow)
}

func (d *demand) add(now time.Time, tokens uint64, p Policy) {
	if d.since.IsZero() {
		d.since = now
	}
	d.decay(now, p)
	d.sum += float64(tokens)
}

// tokens returns the demand that the time ahead will bring at the present rate.
func (d *demand) tokens(now time.Time, p Policy, ahead time.Duration) uint64 {
	if ahead <= 0 || p.window() <= 0 {
		return 0
	}
	d.decay(now, p)
	return uint64(d.sum / d.seen(now, p) * float64(ahead) / float64(p.window()))
}

// seen is the part of the decaying window that lies after the first request.
func (d *demand) seen(now time.Time, p Policy) float64 {
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
