//go:build !linux

package clock

import "time"

var processStart = time.Now()

// sinceBoot reads the monotonic clock, which stops on some systems while they are suspended.
func sinceBoot() time.Duration { return time.Since(processStart) }
