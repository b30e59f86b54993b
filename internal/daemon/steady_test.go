package daemon

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against leases and confirmations that outlast a suspension of the machine: the monotonic clock of package time, by
// which they were measured, stands still meanwhile. A leader then answered reads with what had been replaced.
func TestSteadyClockCountsSuspensions(t *testing.T) {
	bootTime := func() time.Duration {
		var b unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &b); err != nil {
			t.Fatal(err)
		}
		return time.Duration(b.Nano())
	}
	before := bootTime()
	got := steady().Sub(time.Unix(0, 0))
	if after := bootTime(); got < before || got > after {
		t.Errorf("the clock reads %v, the time since the start of the machine is %v to %v", got, before, after)
	}
}
