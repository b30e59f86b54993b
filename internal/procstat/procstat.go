// Package procstat reads the resource usage of this process, and detects when the process was
// paused or comes close to its memory limit.
package procstat

import (
	"bufio"
	"bytes"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"strconv"
	"syscall"
	"time"
)

// Started is the time at which this process started, or a moment later.
var Started = time.Now()

// Names of the Go runtime's own metrics.
const (
	metricMapped   = "/memory/classes/total:bytes"
	metricReleased = "/memory/classes/heap/released:bytes"
	metricObjects  = "/memory/classes/heap/objects:bytes"
	metricLive     = "/gc/heap/live:bytes"
	metricCycles   = "/gc/cycles/total:gc-cycles"
	metricPauses   = "/sched/pauses/total/gc:seconds"
	metricWaits    = "/sched/latencies:seconds"
	metricRoutines = "/sched/goroutines:goroutines"
)

// Usage is the current and the peak resource usage of the process. Sizes are in bytes,
// times in milliseconds; a value that the system does not provide is 0.
type Usage struct {
	UptimeMs int64 `json:"uptime_ms"`
	// RuntimeBytes is the memory that the Go runtime has from the system, RuntimeLimit its
	// soft memory limit: the runtime collects more often as it comes close to the limit, and
	// exceeds it when the live memory does.
	RuntimeBytes uint64 `json:"runtime_bytes"`
	RuntimeLimit uint64 `json:"runtime_limit_bytes"`
	// HeapBytes is the size of all objects, live or not collected yet; HeapLiveBytes that of
	// the objects that were live at the last collection.
	HeapBytes     uint64 `json:"heap_bytes"`
	HeapLiveBytes uint64 `json:"heap_live_bytes"`
	// ResidentBytes is the resident memory as the system counts it, PeakBytes its maximum.
	ResidentBytes uint64 `json:"resident_bytes"`
	PeakBytes     uint64 `json:"peak_resident_bytes"`

	Goroutines  uint64 `json:"goroutines"`
	Collections uint64 `json:"collections"`
	// PauseMs is the longest pause of a garbage collection; WaitMs the longest time that a
	// goroutine was runnable and waited for a processor. The runtime measures one in eight of
	// these waits.
	PauseMs float64 `json:"longest_gc_pause_ms"`
	WaitMs  float64 `json:"longest_scheduling_wait_ms"`

	// Descriptors is the number of open files and sockets; DescriptorLimit bounds it.
	Descriptors     int    `json:"descriptors"`
	DescriptorLimit uint64 `json:"descriptor_limit"`
}

// Read reads the resource usage. It takes tens of microseconds and lists a directory, so it is
// meant for queries of the metrics and not for each request.
func Read() Usage {
	samples := newSamples(metricMapped, metricReleased, metricObjects, metricLive, metricRoutines, metricCycles, metricPauses, metricWaits)
	metrics.Read(samples)
	u := Usage{
		UptimeMs:     time.Since(Started).Milliseconds(),
		RuntimeBytes: samples[0].Value.Uint64() - samples[1].Value.Uint64(), RuntimeLimit: runtimeLimit(),
		HeapBytes: samples[2].Value.Uint64(), HeapLiveBytes: samples[3].Value.Uint64(),
		Goroutines: samples[4].Value.Uint64(), Collections: samples[5].Value.Uint64(),
		PauseMs:     milliseconds(longest(samples[6].Value.Float64Histogram(), nil)),
		WaitMs:      milliseconds(longest(samples[7].Value.Float64Histogram(), nil)),
		Descriptors: descriptors(), DescriptorLimit: DescriptorLimit(),
	}
	u.ResidentBytes, u.PeakBytes = resident()
	return u
}

func newSamples(names ...string) []metrics.Sample {
	samples := make([]metrics.Sample, len(names))
	for i, name := range names {
		samples[i].Name = name
	}
	return samples
}

// runtimeLimit returns the Go runtime's memory limit; 0 without a limit.
func runtimeLimit() uint64 {
	limit := debug.SetMemoryLimit(-1)
	if limit == math.MaxInt64 {
		return 0
	}
	return uint64(limit)
}

// longest returns the lower bound of the highest bucket whose count has grown since before. If
// before is nil, it is the highest bucket that is not empty.
func longest(h *metrics.Float64Histogram, before []uint64) time.Duration {
	for i := len(h.Counts) - 1; i >= 0; i-- {
		if h.Counts[i] == 0 || len(before) > i && h.Counts[i] <= before[i] {
			continue
		}
		// The lower bound: the value was at least that.
		return time.Duration(max(h.Buckets[i], 0) * float64(time.Second))
	}
	return 0
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// resident reads the current and the peak resident memory of this process.
func resident() (now, peak uint64) {
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0, 0
	}
	lines := bufio.NewScanner(bytes.NewReader(status))
	for lines.Scan() {
		fields := bytes.Fields(lines.Bytes())
		if len(fields) < 2 {
			continue
		}
		switch string(fields[0]) {
		case "VmRSS:":
			now = kibibytes(fields[1])
		case "VmHWM:":
			peak = kibibytes(fields[1])
		}
	}
	return now, peak
}

func kibibytes(text []byte) uint64 {
	n, _ := strconv.ParseUint(string(text), 10, 54) // 0 if not a number
	return n << 10
}

// descriptors returns the number of open descriptors; 0 if unknown.
func descriptors() int {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return max(len(entries)-1, 0) // one is open for the listing itself
}

// DescriptorLimit returns how many descriptors the process may open; 0 if unknown.
func DescriptorLimit() uint64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return limit.Cur
}

// Version returns the revision or module version of the program's source, or "unknown".
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	if info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}

// GoVersion returns the version of the Go toolchain.
func GoVersion() string { return runtime.Version() }
