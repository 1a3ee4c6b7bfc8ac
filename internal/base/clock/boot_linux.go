package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart replaces the boot time when the boot clock cannot be read.
var processStart = time.Now()

// sinceBoot reads the boot clock, which continues while the machine is suspended.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}
