// Package bootclock reads the clock of the machine that goes on while the machine is suspended (CLOCK_BOOTTIME). The
// monotonic clock of package time stands still then, so that a lease, or the age of a confirmation, that it measures outlasts
// the suspension.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, as a time without a monotonic reading: differences between two of them count
// suspensions. They can't be compared with times of other clocks.
func Now() time.Time { return time.Unix(0, 0).Add(read(unix.CLOCK_BOOTTIME)) }

// Suspended returns for how long the machine has been suspended since it started.
func Suspended() time.Duration {
	before := read(unix.CLOCK_BOOTTIME)
	return max(before-read(unix.CLOCK_MONOTONIC), 0)
}

// read returns the reading of a clock that every supported kernel has.
func read(clock int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		panic("bootclock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
