package backend

import (
	"math"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Constants of the running estimates.
const (
	meanWeight      = 0.1
	deviationWeight = 0.1
	// minSamples before a measurement is used.
	minSamples = 3
	// deviations above the mean that a prediction allows for.
	deviations = 2
	// fitDecay is what an older announcement weighs against the next one.
	fitDecay = 0.98
	// minSpread of the batch sizes (as a variance) below which no slope is fitted.
	minSpread = 1.0
	// assumedSlowdown is the slope without a fit: the share of the present time per
	// token that each further request in the batch adds.
	assumedSlowdown = 0.01
	// assumedServiceTime holds for a plain service until calls were measured.
	assumedServiceTime = 20 * time.Millisecond
)

// estimate is a running mean and mean deviation, in seconds.
type estimate struct {
	mean, dev float64
	n         int
}

func (e *estimate) add(v float64) {
	e.n++
	if e.n == 1 {
		e.mean, e.dev = v, v/4
		return
	}
	e.dev += deviationWeight * (math.Abs(v-e.mean) - e.dev)
	e.mean += meanWeight * (v - e.mean)
}

// upper is the value to plan with; false while too little was measured.
func (e *estimate) upper() (float64, bool) {
	return e.mean + deviations*e.dev, e.n >= minSamples
}

// fit is a weighted linear fit of seconds per token against the batch size.
type fit struct{ n, x, y, xx, xy float64 }

func (f *fit) add(x, y float64) {
	f.n = f.n*fitDecay + 1
	f.x = f.x*fitDecay + x
	f.y = f.y*fitDecay + y
	f.xx = f.xx*fitDecay + x*x
	f.xy = f.xy*fitDecay + x*y
}

// at is the fitted value at batch size x; 0 without samples.
func (f *fit) at(x float64) float64 {
	if f.n == 0 {
		return 0
	}
	mx, my := f.x/f.n, f.y/f.n
	spread := f.xx/f.n - mx*mx
	slope := my * assumedSlowdown
	if spread >= minSpread {
		slope = max((f.xy/f.n-mx*my)/spread, 0)
	}
	return max(my+slope*(x-mx), 0)
}

// speed is what is known of how fast a server runs.
type speed struct {
	announced fit      // by batch size, from announcements
	perToken  estimate // of this host's runs, seconds per token of one stream
	run       estimate // this host's whole runs, seconds
}

// announce takes a new load report. TokensPerSecond is the speed of one stream at
// the reported batch size.
func (s *speed) announce(st *pb.ServerState) {
	if tps := st.GetTokensPerSecond(); tps > 0 {
		s.announced.add(float64(st.GetRunning()), 1/tps)
	}
}

// Measured takes a finished run of a model: took from dispatch to the end, first
// from dispatch to the first token (zero: not known), output in tokens.
func (s *Server) Measured(first, took time.Duration, output uint64) {
	s.speed.run.add(took.Seconds())
	if output < 2 || first <= 0 || took <= first {
		return
	}
	s.speed.perToken.add((took - first).Seconds() / float64(output-1))
}

// MeasuredService takes a finished call of a plain service.
func (s *Server) MeasuredService(took time.Duration) { s.speed.run.add(took.Seconds()) }

// TokenTime is the time per output token of one stream to plan with: at a full
// batch by the announced speeds, or as measured by this host if that is slower.
// A server that announced no speed and was not measured is taken as fast: its runs
// are admitted and measured.
func (s *Server) TokenTime() time.Duration {
	planned := s.speed.announced.at(float64(s.Slots()))
	if measured, known := s.speed.perToken.upper(); known {
		planned = max(planned, measured)
	}
	return time.Duration(planned * float64(time.Second))
}

// PrefillTime is the time to compute tokens of a prompt; 0 if no speed is announced.
func (s *Server) PrefillTime(tokens float64) time.Duration {
	rate := s.state.GetPrefillPerSecond()
	if rate <= 0 {
		return 0
	}
	return time.Duration(tokens / rate * float64(time.Second))
}

// ServiceTime is the time of one call of a plain service, to plan with.
func (s *Server) ServiceTime() time.Duration {
	v, known := s.speed.run.upper()
	if !known {
		return assumedServiceTime
	}
	return time.Duration(v * float64(time.Second))
}

// MeanRun is the mean time of this host's runs at s; 0 while too little was measured.
func (s *Server) MeanRun() time.Duration {
	if s.speed.run.n < minSamples {
		return 0
	}
	return time.Duration(s.speed.run.mean * float64(time.Second))
}

// Depth is how many requests beyond its slots s works off within d; 0 if a run
// takes longer than d.
func (s *Server) Depth(d time.Duration) int {
	run := s.MeanRun()
	if run <= 0 || run > d {
		return 0
	}
	return int(int64(s.Slots()) * int64(d) / int64(run))
}
