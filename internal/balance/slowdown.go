package balance

import (
	"math"
	"time"
)

const (
	// slowdownWeight is the weight of the newest report in the moving average. Single reports say
	// little, because a machine that is shared with others changes its speed many times a second.
	slowdownWeight = 0.2
	// slowdownDecay is the time in which the effect of the reports decays to a third.
	slowdownDecay = 5 * time.Second
	// maxSlowdown bounds the factors that are believed.
	maxSlowdown = 20
)

// slowdown is the moving average of how much longer than usual work takes on a server's machine.
type slowdown struct {
	// excess is the average factor less one, as of the time at.
	excess float64
	at     time.Time
}

// record adds a reported factor. A factor of 0 or less is no report.
func (s *slowdown) record(now time.Time, factor float64) {
	if !(factor > 0) {
		return
	}
	excess := min(factor, maxSlowdown) - 1
	s.excess = s.current(now) + slowdownWeight*(excess-s.current(now))
	s.at = now
}

// current returns the average factor less one, decayed by the age of the last report.
func (s *slowdown) current(now time.Time) float64 {
	if s.at.IsZero() {
		return 0
	}
	return s.excess * math.Exp(-float64(now.Sub(s.at))/float64(slowdownDecay))
}

// scale returns how long work that usually takes d is expected to take.
func (s *slowdown) scale(now time.Time, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + s.current(now)))
}
