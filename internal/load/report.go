package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// The upper bound of the histograms, in microseconds, and their precision in digits.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// maxFaults bounds the number of faults that the report describes.
const maxFaults = 20

// maxNotRun bounds the list of requests that were not executed.
const maxNotRun = 10000

// Percentiles holds the percentiles of a duration, in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// RefusalCount counts the refusals of one kind with the same value of ran.
type RefusalCount struct {
	Kind  errkind.Kind `json:"kind"`
	Ran   errkind.Ran  `json:"ran"`
	Count int          `json:"count"`
}

// Report summarizes the outcomes of a load run. Sent is the sum of Answered, Late, Refused, Wrong and Lost.
type Report struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered_in_time"`
	Late     int `json:"late"`
	Refused  int `json:"refused"`
	Wrong    int `json:"wrong"`
	Lost     int `json:"lost"`

	Refusals []RefusalCount `json:"refusals,omitempty"`
	// Attempts counts all attempts, Broken those without a complete answer.
	Attempts int `json:"attempts"`
	Broken   int `json:"broken_attempts"`
	// Billed is the number of tokens of complete answers by client account, as observed by
	// the callers.
	Billed map[string]uint64 `json:"billed_tokens"`
	// BilledTotal is the sum of Billed.
	BilledTotal uint64 `json:"billed_tokens_total"`
	// Uncertain counts requests that may have been billed without a complete answer.
	Uncertain int `json:"uncertain"`
	// Addresses counts how often the addresses were fetched.
	Addresses int `json:"address_answers"`

	FirstToken Percentiles `json:"first_token"`
	Total      Percentiles `json:"total"`
	Seconds    float64     `json:"seconds"`
	PerSecond  float64     `json:"answers_per_second"`
	TokensRate float64     `json:"output_tokens_per_second"`
	Faults     []string    `json:"faults,omitempty"`
	// NotRun lists the idempotency keys of requests whose refusal states that they were not
	// executed.
	NotRun []string `json:"not_run,omitempty"`
}

// HasFailures reports whether an answer was wrong or lost.
func (r *Report) HasFailures() bool { return r.Wrong+r.Lost > 0 }

// collector aggregates results into a report. It is safe for concurrent use.
type collector struct {
	mu         sync.Mutex
	report     Report
	refusals   map[RefusalCount]int
	output     uint64
	firstToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

func newCollector() *collector {
	return &collector{
		report:     Report{Billed: map[string]uint64{}},
		refusals:   map[RefusalCount]int{},
		firstToken: hdrhistogram.New(1, histogramMax, histogramDigits),
		total:      hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

func (c *collector) add(r *request, res result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Sent++
	c.report.Attempts += res.attempts
	c.report.Broken += res.broken
	switch res.outcome {
	case answered:
		c.report.Answered++
		c.addAnswer(r, res)
	case late:
		c.report.Late++
		c.addAnswer(r, res)
	case refused:
		c.report.Refused++
		c.addRefusal(r, res)
	case wrong:
		c.report.Wrong++
		c.addFault(r, "wrong", res)
	case lost:
		c.report.Lost++
		c.addFault(r, "lost", res)
	}
}

func (c *collector) addAnswer(r *request, res result) {
	c.report.Billed[r.account.Name] += res.last.prompt + res.last.output
	c.report.BilledTotal += res.last.prompt + res.last.output
	c.output += res.last.output
	_ = c.total.RecordValue(max(res.total.Microseconds(), 1))
	if res.firstToken > 0 {
		_ = c.firstToken.RecordValue(max(res.firstToken.Microseconds(), 1))
	}
}

func (c *collector) addRefusal(r *request, res result) {
	f := res.last.refusal
	c.refusals[RefusalCount{Kind: f.Kind, Ran: f.Ran}]++
	if f.Ran == errkind.RanNo && len(c.report.NotRun) < maxNotRun {
		c.report.NotRun = append(c.report.NotRun, r.key)
	}
	if f.Ran != errkind.RanNo {
		res.fault = string(f.Kind) + ": " + f.Message
		c.addFault(r, "refused, ran: "+string(f.Ran), res)
	}
}

func (c *collector) addFault(r *request, what string, res result) {
	c.report.Uncertain++
	if len(c.report.Faults) < maxFaults {
		text := fmt.Sprintf("%s: %s of %s after %d tries, request id %q: %s",
			what, r.key, r.account.Name, res.attempts, res.last.requestID, res.fault)
		c.report.Faults = append(c.report.Faults, text)
	}
}

// finish computes the report from all added results.
func (c *collector) finish(took time.Duration) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.report
	for key, n := range c.refusals {
		key.Count = n
		r.Refusals = append(r.Refusals, key)
	}
	slices.SortFunc(r.Refusals, func(a, b RefusalCount) int { return b.Count - a.Count })
	r.FirstToken = percentiles(c.firstToken)
	r.Total = percentiles(c.total)
	r.Seconds = took.Seconds()
	r.PerSecond = float64(r.Answered+r.Late) / r.Seconds
	r.TokensRate = float64(c.output) / r.Seconds
	return &r
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000}
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	line := func(format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) }
	line("sent                %d in %.1f s (%d tries, %d of them broken)", r.Sent, r.Seconds, r.Attempts, r.Broken)
	line("answered in time    %d (%.1f/s, %.0f output tokens/s)", r.Answered, r.PerSecond, r.TokensRate)
	line("late                %d", r.Late)
	line("refused             %d", r.Refused)
	for _, f := range r.Refusals {
		line("  %-22s ran: %-8s %d", f.Kind, f.Ran, f.Count)
	}
	line("wrong               %d", r.Wrong)
	line("lost                %d", r.Lost)
	r.FirstToken.print(w, "first token")
	r.Total.print(w, "whole answer")
	line("tokens billed       %d, as the caller knows; %d requests uncertain", r.BilledTotal, r.Uncertain)
	for _, name := range slices.Sorted(maps.Keys(r.Billed)) {
		line("  %-22s %d", name, r.Billed[name])
	}
	for _, f := range r.Faults {
		line("%s", f)
	}
}

func (p Percentiles) print(w io.Writer, name string) {
	fmt.Fprintf(w, "%-19s p50 %.1f ms, p95 %.1f ms, p99 %.1f ms, longest %.1f ms\n", name, p.P50, p.P95, p.P99, p.Max)
}

// PrintJSON writes the report as JSON.
func (r *Report) PrintJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
