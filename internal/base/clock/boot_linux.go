package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart stands in for the boot clock where the system has none.
var processStart = time.Now()

// sinceBoot reads the clock that goes on while the machine is suspended.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}
