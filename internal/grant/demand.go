package grant

import (
	"math"
	"time"
)

// demand is a decaying sum of the tokens asked for. With a steady rate r it settles
// at r x horizon, which is how much the host wants to hold.
type demand struct {
	sum float64
	at  time.Time
}

func (d *demand) add(now time.Time, tokens uint64, horizon time.Duration) {
	d.decay(now, horizon)
	d.sum += float64(tokens)
}

// tokens returns the demand over the horizon.
func (d *demand) tokens(now time.Time, horizon time.Duration) uint64 {
	d.decay(now, horizon)
	return uint64(d.sum)
}

func (d *demand) decay(now time.Time, horizon time.Duration) {
	if !d.at.IsZero() && horizon > 0 {
		d.sum *= math.Exp(-float64(now.Sub(d.at)) / float64(horizon))
	}
	d.at = now
}
