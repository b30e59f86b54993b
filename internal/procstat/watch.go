package procstat

import (
	"math"
	"runtime/metrics"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/bootclock"
)

const (
	// MinPause is the shortest delay that counts as a pause. A host that has used up its
	// processor quota pauses for up to 80 ms, which callers of short requests notice.
	MinPause = 50 * time.Millisecond
	// pauseLineInterval and memoryLineInterval are the shortest times between two log lines
	// about pauses and about memory.
	pauseLineInterval  = time.Second
	memoryLineInterval = 10 * time.Second
	// highPercent of the runtime's memory limit is logged. The usage must fall below
	// lowPercent before it is logged again.
	highPercent = 80
	lowPercent  = 70
)

// Watch detects pauses of the process, and memory usage close to the limit. It is called at
// the ticks of an existing ticker, so that it causes no wake-ups of its own.
//
// A host that is short of processor time, or in a long garbage collection, delays all its
// requests at once. Without a log line, the late answers and closed connections look the same
// as those caused by a slow server.
//
// A late tick shows a pause that the tick fell into. The time that goroutines waited for a
// processor shows pauses between two ticks. It is safe for concurrent use.
type Watch struct {
	log    zerolog.Logger
	period time.Duration

	mu      sync.Mutex
	samples []metrics.Sample
	// due is when the next tick is expected.
	due time.Time
	// waitCounts and pauseCounts are the runtime's histogram counts at the last tick.
	waitCounts, pauseCounts []uint64

	// suspended is for how long the machine had been suspended at the last tick; see package bootclock.
	suspended time.Duration

	unlogged      pauseSummary
	lastPauseLine time.Time
	total         Pauses

	memoryHigh     bool
	lastMemoryLine time.Time
}

// Pauses has the number of periods with a pause of the process, and the longest pause.
type Pauses struct {
	Times     int64   `json:"times"`
	LongestMs float64 `json:"longest_ms"`
}

// pauseSummary summarizes the pauses since the last log line.
type pauseSummary struct {
	times                     int
	late, wait, gc, suspended time.Duration
}

// Indexes of the samples.
const (
	sampleMapped = iota
	sampleReleased
	sampleWaits
	samplePauses
)

// NewWatch returns a Watch for a ticker with the given period.
func NewWatch(period time.Duration, log zerolog.Logger) *Watch {
	return &Watch{log: log, period: period, suspended: bootclock.Suspended(), samples: newSamples(metricMapped, metricReleased, metricWaits, metricPauses)}
}

// Tick must be called at each tick of the ticker. It takes some microseconds (BenchmarkTick).
func (w *Watch) Tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	metrics.Read(w.samples)
	late := w.lateness(now)
	waits, pauses := w.samples[sampleWaits].Value.Float64Histogram(), w.samples[samplePauses].Value.Float64Histogram()
	suspended := bootclock.Suspended()
	if w.waitCounts != nil {
		w.recordPauses(now, late, longest(waits, w.waitCounts), longest(pauses, w.pauseCounts), suspended-w.suspended)
	}
	w.suspended = suspended
	w.waitCounts = append(w.waitCounts[:0], waits.Counts...)
	w.pauseCounts = append(w.pauseCounts[:0], pauses.Counts...)
	w.checkMemory(now, w.samples[sampleMapped].Value.Uint64()-w.samples[sampleReleased].Value.Uint64(), runtimeLimit())
}

// lateness returns how late a tick is, and computes when the next one is due.
func (w *Watch) lateness(now time.Time) time.Duration {
	if w.due.IsZero() {
		w.due = now.Add(w.period)
		return 0
	}
	late := now.Sub(w.due)
	if late < 0 {
		w.due, late = now, 0 // the ticks before were late, not this one early
	}
	// A ticker keeps to its schedule and drops ticks that it missed. A tick shortly before a
	// scheduled time belongs to that time.
	w.due = w.due.Add(w.period * (1 + (late+w.period/2)/w.period))
	return late
}

// recordPauses records the last period: how late the tick was, the longest time that a
// goroutine waited for a processor, the longest pause of a garbage collection, and how long the machine was suspended, which
// makes no tick late. It logs the pauses since the last line, if there are any and the last line is old enough.
func (w *Watch) recordPauses(now time.Time, late, wait, gc, suspended time.Duration) {
	if longest := max(late, wait, gc, suspended); longest >= MinPause {
		s := &w.unlogged
		s.times++
		s.late, s.wait, s.gc, s.suspended = max(s.late, late), max(s.wait, wait), max(s.gc, gc), max(s.suspended, suspended)
		w.total.Times++
		w.total.LongestMs = max(w.total.LongestMs, milliseconds(longest))
	}
	if w.unlogged.times == 0 || now.Sub(w.lastPauseLine) < pauseLineInterval {
		return
	}
	s := w.unlogged
	w.unlogged, w.lastPauseLine = pauseSummary{}, now
	w.log.Warn().Str("event", "stood-still").Dur("longest", max(s.late, s.wait, s.gc, s.suspended)).Int("periods", s.times).
		Dur("tick_late", s.late).Dur("waited_for_processor", s.wait).Dur("gc_pause", s.gc).Dur("suspended", s.suspended).Send()
}

// checkMemory logs if the Go runtime uses much of its memory limit; a limit of 0 means none.
func (w *Watch) checkMemory(now time.Time, used, limit uint64) {
	if limit == 0 || limit > math.MaxUint64/100 {
		return
	}
	percent := used * 100 / limit
	if percent < lowPercent {
		w.memoryHigh = false
	}
	if percent < highPercent || w.memoryHigh || !w.lastMemoryLine.IsZero() && now.Sub(w.lastMemoryLine) < memoryLineInterval {
		return
	}
	w.memoryHigh, w.lastMemoryLine = true, now
	residentBytes, peak := resident()
	w.log.Warn().Str("event", "memory-high").Uint64("percent", percent).Uint64("runtime_bytes", used).
		Uint64("runtime_limit_bytes", limit).Uint64("resident_bytes", residentBytes).Uint64("peak_resident_bytes", peak).Send()
}

// Pauses returns the pauses since the Watch was created.
func (w *Watch) Pauses() Pauses {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}
