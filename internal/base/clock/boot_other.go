//go:build !linux

package clock

import "time"

var processStart = time.Now()

// sinceBoot reads the monotonic clock, which stops while some systems sleep.
func sinceBoot() time.Duration { return time.Since(processStart) }
