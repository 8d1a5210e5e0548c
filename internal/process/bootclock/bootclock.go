// Package bootclock reads the time since the boot of the instance. Unlike the monotonic clock
// of package time, it also advances while the instance is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the boot of the instance.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("bootclock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
