package bootclock

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against a clock that stands still while the machine is suspended.
func TestNowIsTheTimeSinceTheStart(t *testing.T) {
	before := read(unix.CLOCK_BOOTTIME)
	now := Now()
	after := read(unix.CLOCK_BOOTTIME)
	if got := now.Sub(time.Unix(0, 0)); got < before || got > after {
		t.Errorf("got %v between %v and %v", got, before, after)
	}
}

// Guards against a suspension that is told of a machine which was not suspended, or is told as another time.
func TestSuspendedIsWhatTheMonotonicClockLacks(t *testing.T) {
	least := read(unix.CLOCK_BOOTTIME)
	most := read(unix.CLOCK_MONOTONIC)
	got := Suspended()
	least -= read(unix.CLOCK_MONOTONIC)
	most = read(unix.CLOCK_BOOTTIME) - most
	if got < max(least, 0) || got > most {
		t.Errorf("got %v, want %v to %v", got, least, most)
	}
}

// BenchmarkNow measures what a reading costs.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
