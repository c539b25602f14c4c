package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including suspension. Only differences between two readings on the same VM are meaningful.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: the kernel lacks CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
