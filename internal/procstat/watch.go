package procstat

import (
	"math"
	"runtime/metrics"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// StillFor is from when on a delay counts as standing still: a host whose share of the
	// processor is used up pauses for up to 80 ms, and callers of short requests notice.
	StillFor = 50 * time.Millisecond
	// stillLines and memoryLines bound the lines: one in that time at most.
	stillLines  = time.Second
	memoryLines = 10 * time.Second
	// highPercent of the runtime's memory limit is worth a line; it must have fallen below
	// lowPercent before the next one.
	highPercent = 80
	lowPercent  = 70
)

// Watch notices at the ticks of somebody else's ticker, so that it wakes nobody, when the
// process stood still, and when its memory comes near the limit.
//
// What goes wrong without it: a host short of processor, or in a long collection, holds all
// its requests for a while, and they miss their times together. One would see late answers
// and closed connections, and nothing that tells this cause from that of a slow server.
//
// A tick that comes late shows a pause that it fell into; how long goroutines waited for a
// processor shows those between two ticks. It is safe for concurrent use.
type Watch struct {
	log    zerolog.Logger
	period time.Duration

	mu      sync.Mutex
	samples []metrics.Sample
	// due is when the next tick should come.
	due time.Time
	// waits and pauses are the runtime's counts at the last tick.
	waits, pauses []uint64

	still     stillness
	stillLine time.Time
	stood     Stood

	high     bool
	highLine time.Time
}

// Stood counts how often the process stood still, and for how long at most.
type Stood struct {
	Times     int64   `json:"times"`
	LongestMs float64 `json:"longest_ms"`
}

// stillness is what was seen since the last line.
type stillness struct {
	times          int
	late, wait, gc time.Duration
}

// Places of the samples.
const (
	sampleMapped = iota
	sampleReleased
	sampleWaits
	samplePauses
)

// NewWatch makes a watch for a ticker of this period.
func NewWatch(period time.Duration, log zerolog.Logger) *Watch {
	return &Watch{log: log, period: period, samples: sampled(metricMapped, metricReleased, metricWaits, metricPauses)}
}

// Tick takes a tick of the ticker. It costs some microseconds (BenchmarkTick).
func (w *Watch) Tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	metrics.Read(w.samples)
	late := w.lateness(now)
	waits, pauses := w.samples[sampleWaits].Value.Float64Histogram(), w.samples[samplePauses].Value.Float64Histogram()
	if w.waits != nil {
		w.see(now, late, longest(waits, w.waits), longest(pauses, w.pauses))
	}
	w.waits = append(w.waits[:0], waits.Counts...)
	w.pauses = append(w.pauses[:0], pauses.Counts...)
	w.seeMemory(now, w.samples[sampleMapped].Value.Uint64()-w.samples[sampleReleased].Value.Uint64(), runtimeLimit())
}

// lateness is by how much a tick came after its time.
func (w *Watch) lateness(now time.Time) time.Duration {
	if w.due.IsZero() {
		w.due = now.Add(w.period)
		return 0
	}
	late := now.Sub(w.due)
	if late < 0 {
		w.due, late = now, 0 // it is the ticks before that came late
	}
	// A ticker keeps to its times, and leaves out those that have passed. A tick that comes a
	// little before one of them is that one's.
	w.due = w.due.Add(w.period * (1 + (late+w.period/2)/w.period))
	return late
}

// see takes what the last period brought: by how much the tick was late, how long a goroutine
// waited for a processor at most, and the longest pause of a collection.
func (w *Watch) see(now time.Time, late, wait, gc time.Duration) {
	if longest := max(late, wait, gc); longest >= StillFor {
		s := &w.still
		s.times++
		s.late, s.wait, s.gc = max(s.late, late), max(s.wait, wait), max(s.gc, gc)
		w.stood.Times++
		w.stood.LongestMs = max(w.stood.LongestMs, milliseconds(longest))
	}
	if w.still.times == 0 || now.Sub(w.stillLine) < stillLines {
		return
	}
	s := w.still
	w.still, w.stillLine = stillness{}, now
	w.log.Warn().Str("event", "stood-still").Dur("longest", max(s.late, s.wait, s.gc)).Int("periods", s.times).
		Dur("tick_late", s.late).Dur("waited_for_processor", s.wait).Dur("gc_pause", s.gc).Send()
}

// seeMemory takes what the Go runtime has from the system, and its limit; 0: none.
func (w *Watch) seeMemory(now time.Time, used, limit uint64) {
	if limit == 0 || limit > math.MaxUint64/100 {
		return
	}
	percent := used * 100 / limit
	if percent < lowPercent {
		w.high = false
	}
	if percent < highPercent || w.high || !w.highLine.IsZero() && now.Sub(w.highLine) < memoryLines {
		return
	}
	w.high, w.highLine = true, now
	residentBytes, peak := resident()
	w.log.Warn().Str("event", "memory-high").Uint64("percent", percent).Uint64("runtime_bytes", used).
		Uint64("runtime_limit_bytes", limit).Uint64("resident_bytes", residentBytes).Uint64("peak_resident_bytes", peak).Send()
}

// Stood is what was seen since the process began.
func (w *Watch) Stood() Stood {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stood
}
