package backend

import (
	"math"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Parameters of the moving averages and fits.
const (
	meanWeight      = 0.1
	deviationWeight = 0.1
	// minSamples is the number of measurements from which an average is used.
	minSamples = 3
	// deviations is the number of mean deviations above the mean that a prediction allows for.
	deviations = 2
	// fitDecay is the weight of an older announcement relative to the next one.
	fitDecay = 0.98
	// minSpread is the variance of the batch sizes below which no slope is fitted.
	minSpread = 1.0
	// assumedSlowdown is the slope without a fit: the share of the present time per token that
	// each further request in the batch adds.
	assumedSlowdown = 0.01
	// assumedServiceTime is the time of a call of a plain service before minSamples calls.
	assumedServiceTime = 20 * time.Millisecond
)

// estimate holds a moving average and mean deviation, in seconds.
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

// upper returns the value for predictions; it returns false before minSamples measurements.
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

// at returns the fitted value at batch size x; 0 without samples.
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

// speed holds the measurements and announcements of a server's speed.
type speed struct {
	announced fit      // by batch size, from announcements
	perToken  estimate // of this host's requests, seconds per token of one stream
	runTime   estimate // of this host's requests, seconds from dispatch to the end
}

// announce applies a new load report. TokensPerSecond is the speed of one stream at the reported
// batch size.
func (s *speed) announce(st *pb.ServerState) {
	if tps := st.GetTokensPerSecond(); tps > 0 {
		s.announced.add(float64(st.GetRunning()), 1/tps)
	}
}

// RecordModelRun records a completed request to a model: took is the time from dispatch to the end,
// first that from dispatch to the first token (zero: not known), output the number of tokens.
func (s *Server) RecordModelRun(first, took time.Duration, output uint64) {
	s.speed.runTime.add(took.Seconds())
	if output < 2 || first <= 0 || took <= first {
		return
	}
	s.speed.perToken.add((took - first).Seconds() / float64(output-1))
}

// RecordServiceCall records a completed call of a plain service.
func (s *Server) RecordServiceCall(took time.Duration) { s.speed.runTime.add(took.Seconds()) }

// TokenTime predicts the time per output token of one stream: at a full batch by the announced speeds,
// or as measured by this host if that is slower. A server without announced speed or measurements
// counts as infinitely fast, so that requests are admitted and measured.
func (s *Server) TokenTime() time.Duration {
	planned := s.speed.announced.at(float64(s.Slots()))
	if measured, known := s.speed.perToken.upper(); known {
		planned = max(planned, measured)
	}
	return time.Duration(planned * float64(time.Second))
}

// PrefillTime predicts the time to prefill tokens of a prompt; 0 if no speed is announced.
func (s *Server) PrefillTime(tokens float64) time.Duration {
	rate := s.state.GetPrefillPerSecond()
	if rate <= 0 {
		return 0
	}
	return time.Duration(tokens / rate * float64(time.Second))
}

// ServiceTime predicts the time of one call of a plain service.
func (s *Server) ServiceTime() time.Duration {
	v, known := s.speed.runTime.upper()
	if !known {
		return assumedServiceTime
	}
	return time.Duration(v * float64(time.Second))
}

// MeanRunTime returns the mean time of this host's requests at s; 0 before minSamples measurements.
func (s *Server) MeanRunTime() time.Duration {
	if s.speed.runTime.n < minSamples {
		return 0
	}
	return time.Duration(s.speed.runTime.mean * float64(time.Second))
}

// QueueDepth returns how many requests beyond its slots s completes within d; 0 if a request takes
// longer than d.
func (s *Server) QueueDepth(d time.Duration) int {
	run := s.MeanRunTime()
	if run <= 0 || run > d {
		return 0
	}
	return int(int64(s.Slots()) * int64(d) / int64(run))
}
