package telemetry

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMin    = 1                // microseconds
	histogramMax    = 3600 * 1_000_000 // microseconds; longer durations are recorded as this
	histogramDigits = 2                // significant figures; three would take 8 times the memory
)

// Histogram records durations and implements expvar.Var. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// HistogramSummary is the JSON form of a Histogram. Durations are in microseconds, to
// two significant figures.
type HistogramSummary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	Max   int64 `json:"max_us"`
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(histogramMin, histogramMax, histogramDigits)}
}

// Observe records d. Durations outside 1 µs to 1 h count as the nearest bound.
func (h *Histogram) Observe(d time.Duration) {
	v := min(max(d.Microseconds(), histogramMin), histogramMax)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(v) // fails only outside the bounds
}

// Summary returns the figures so far.
func (h *Histogram) Summary() HistogramSummary {
	h.mu.Lock()
	defer h.mu.Unlock()
	return HistogramSummary{
		Count: h.h.TotalCount(),
		P50:   h.h.ValueAtQuantile(50),
		P99:   h.h.ValueAtQuantile(99),
		Max:   h.h.Max(),
	}
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	b, err := json.Marshal(h.Summary())
	if err != nil {
		return "null"
	}
	return string(b)
}
