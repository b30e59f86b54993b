package procstat

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

const period = 250 * time.Millisecond

// begin is an arbitrary time; the tests' times are relative to it.
var begin = time.Unix(1_000_000, 0)

func newTestWatch() (*Watch, *bytes.Buffer) {
	var out bytes.Buffer
	return NewWatch(period, zerolog.New(&out)), &out
}

func lines(out *bytes.Buffer, event string) int {
	return strings.Count(out.String(), `"event":"`+event+`"`)
}

// A host that gets no processor for 61 ms delays all its requests at once. The pause must be
// detected from a tick that was due in that time and came late.
func TestLateTickIsAPause(t *testing.T) {
	w, out := newTestWatch()
	if late := w.lateness(begin); late != 0 {
		t.Errorf("the first tick is late by %v", late)
	}
	for _, tick := range []struct{ at, late time.Duration }{
		{period, 0},
		{2*period + 61*time.Millisecond, 61 * time.Millisecond},
		{3 * period, 0},
		// The ticks that fell into a long pause are dropped.
		{7*period + 30*time.Millisecond, 3*period + 30*time.Millisecond},
		{8 * period, 0},
		{9*period - 5*time.Millisecond, 0},
		// After a long pause, a tick shortly before a scheduled time belongs to that time.
		{12*period - 10*time.Millisecond, 2*period - 5*time.Millisecond},
		{13*period - 10*time.Millisecond, 0},
		{14*period - 10*time.Millisecond, 0},
		// An early tick shows that the ticks before were late.
		{15*period - 30*time.Millisecond, 0},
		{16*period - 20*time.Millisecond, 10 * time.Millisecond},
	} {
		if late := w.lateness(begin.Add(tick.at)); late != tick.late {
			t.Errorf("the tick at %v is late by %v, want %v", tick.at, late, tick.late)
		}
	}
	w.recordPauses(begin, 61*time.Millisecond, 0, 0, 0)
	if lines(out, "stood-still") != 1 || !strings.Contains(out.String(), `"longest":61`) {
		t.Errorf("logged %q", out.String())
	}
}

func TestPausesBetweenTicksAreDetected(t *testing.T) {
	w, out := newTestWatch()
	w.recordPauses(begin, 0, 70*time.Millisecond, 0, 0)
	w.recordPauses(begin.Add(pauseLineInterval), 0, 0, 90*time.Millisecond, 0)
	w.recordPauses(begin.Add(2*pauseLineInterval), 0, 40*time.Millisecond, 10*time.Millisecond, 0)
	if got := lines(out, "stood-still"); got != 2 {
		t.Errorf("%d lines, want 2: %s", got, out.String())
	}
	if got := w.Pauses(); got.Times != 2 || got.LongestMs != 90 {
		t.Errorf("counted %+v", got)
	}
}

// A host that is short of processor time must not spend it on log lines.
func TestLinesOfAnOverloadedHostAreBounded(t *testing.T) {
	w, out := newTestWatch()
	const ticks = 40
	for n := range ticks {
		w.recordPauses(begin.Add(time.Duration(n)*period), 60*time.Millisecond, 0, 0, 0)
		w.checkMemory(begin.Add(time.Duration(n)*period), uint64(60+n%2*30), 100)
	}
	if got, most := lines(out, "stood-still"), int(ticks*period/pauseLineInterval); got != most {
		t.Errorf("%d lines about pauses in %v, want %d", got, ticks*period, most)
	}
	if got := lines(out, "memory-high"); got != 1 {
		t.Errorf("%d lines about memory in %v, want 1", got, ticks*period)
	}
	if w.Pauses().Times != ticks {
		t.Errorf("counted %d pauses, want %d", w.Pauses().Times, ticks)
	}
}

// The system may kill a process at its memory limit, so the log must show before that the process
// came close to it.
func TestMemoryNearItsLimitIsLogged(t *testing.T) {
	w, out := newTestWatch()
	w.checkMemory(begin, 79, 100)
	if lines(out, "memory-high") != 0 {
		t.Errorf("logged %s", out.String())
	}
	for n, used := range []uint64{81, 90, 75, 85, 69, 85} {
		w.checkMemory(begin.Add(time.Duration(n+1)*memoryLineInterval), used, 100)
	}
	if got := lines(out, "memory-high"); got != 2 {
		t.Errorf("%d lines, want one for each rise above the threshold: %s", got, out.String())
	}
	w.checkMemory(begin.Add(time.Hour), 1<<40, 0) // no limit
	if got := lines(out, "memory-high"); got != 2 {
		t.Error("a line was logged though there is no limit")
	}
}

func TestUsageOfThisProcess(t *testing.T) {
	u := Read()
	if u.RuntimeBytes == 0 || u.HeapBytes == 0 || u.Goroutines == 0 || u.ResidentBytes == 0 || u.PeakBytes < u.ResidentBytes {
		t.Errorf("read %+v", u)
	}
	if u.Descriptors == 0 || uint64(u.Descriptors) > u.DescriptorLimit {
		t.Errorf("%d of %d descriptors", u.Descriptors, u.DescriptorLimit)
	}
}

// TestTickReadsTheRuntime checks the names of the runtime's metrics against the toolchain:
// reading the value of a metric of another kind panics.
func TestTickReadsTheRuntime(t *testing.T) {
	w, _ := newTestWatch()
	for range 3 {
		w.Tick(time.Now())
	}
	if len(w.waitCounts) == 0 || len(w.pauseCounts) == 0 {
		t.Error("the runtime's histograms were not read")
	}
}

func BenchmarkTick(b *testing.B) {
	w, _ := newTestWatch()
	for b.Loop() {
		w.Tick(time.Now())
	}
}

func BenchmarkRead(b *testing.B) {
	for b.Loop() {
		Read()
	}
}
