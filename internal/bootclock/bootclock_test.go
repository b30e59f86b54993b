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

func TestSuspendedGrowsOnlyWithTheMachine(t *testing.T) {
	if Suspended() < 0 {
		t.Error("negative")
	}
}

// BenchmarkNow measures what a reading costs.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
