// Package boottime reads a clock that never steps and also counts the time in which the
// machine was suspended, which Go's monotonic clock leaves out.
//
// Bounds that hold across machines, such as how long a removed key may still be accepted,
// need it: time goes on for the others while one machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted. It panics if the kernel has no such
// clock, which every Linux since 2.6.39 has.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
