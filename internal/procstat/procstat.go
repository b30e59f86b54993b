// Package procstat shows what this process uses of its machine, and notices when it stood
// still or comes near its memory limit.
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

// Started is when this process began, or a moment later.
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

// Usage is what the process uses, and has used at most since it began. Sizes are in bytes,
// times in milliseconds; what the system doesn't tell is 0.
type Usage struct {
	UptimeMs int64 `json:"uptime_ms"`
	// RuntimeBytes is what the Go runtime has from the system, RuntimeLimit the bound that
	// it keeps to: it collects more often as it comes near it, and exceeds it when what is
	// live does.
	RuntimeBytes uint64 `json:"runtime_bytes"`
	RuntimeLimit uint64 `json:"runtime_limit_bytes"`
	// HeapBytes are objects, live or not collected yet; HeapLiveBytes those that the last
	// collection left.
	HeapBytes     uint64 `json:"heap_bytes"`
	HeapLiveBytes uint64 `json:"heap_live_bytes"`
	// ResidentBytes is what the system counts, PeakBytes the most that it ever was.
	ResidentBytes uint64 `json:"resident_bytes"`
	PeakBytes     uint64 `json:"peak_resident_bytes"`

	Goroutines  uint64 `json:"goroutines"`
	Collections uint64 `json:"collections"`
	// PauseMs is the longest pause of a collection; WaitMs the longest time that a goroutine
	// was ready and had no processor, of one in eight that the runtime measures.
	PauseMs float64 `json:"longest_gc_pause_ms"`
	WaitMs  float64 `json:"longest_scheduling_wait_ms"`

	// Descriptors are open files and sockets; DescriptorLimit bounds them.
	Descriptors     int    `json:"descriptors"`
	DescriptorLimit uint64 `json:"descriptor_limit"`
}

// Read reads all of Usage. It takes some ten microseconds and a directory listing: it is
// for those who ask, not for each request.
func Read() Usage {
	samples := sampled(metricMapped, metricReleased, metricObjects, metricLive, metricRoutines, metricCycles, metricPauses, metricWaits)
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

func sampled(names ...string) []metrics.Sample {
	samples := make([]metrics.Sample, len(names))
	for i, name := range names {
		samples[i].Name = name
	}
	return samples
}

// runtimeLimit is the Go runtime's memory limit; 0: none.
func runtimeLimit() uint64 {
	limit := debug.SetMemoryLimit(-1)
	if limit == math.MaxInt64 {
		return 0
	}
	return uint64(limit)
}

// longest is the time of the highest bucket whose count has grown over what is in before; nil:
// the highest that counts anything.
func longest(h *metrics.Float64Histogram, before []uint64) time.Duration {
	for i := len(h.Counts) - 1; i >= 0; i-- {
		if h.Counts[i] == 0 || len(before) > i && h.Counts[i] <= before[i] {
			continue
		}
		// The lower end: the value was at least that.
		return time.Duration(max(h.Buckets[i], 0) * float64(time.Second))
	}
	return 0
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// resident reads the memory that the system counts for this process, now and at most.
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
	n, _ := strconv.ParseUint(string(text), 10, 54) // 0: not told
	return n << 10
}

// descriptors counts the open ones; 0: not told.
func descriptors() int {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return max(len(entries)-1, 0) // one is that of the listing
}

// DescriptorLimit is how many descriptors the system lets the process open; 0: not told.
func DescriptorLimit() uint64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return limit.Cur
}

// Version is that of the program's source, or "unknown".
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

// GoVersion is that of the toolchain.
func GoVersion() string { return runtime.Version() }
