package forward

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/control/tables"
)

// The caller of a stream leaves after defaultCallerTimeout, objectiveFactor times the objective or maxGapFactor
// times the longest pause allowed, whichever is longest.
const (
	defaultCallerTimeout = 2 * clock.Second
	objectiveFactor      = 4
	maxGapFactor         = 8
)

// callerTimeout returns how long the caller of a stream waits for its first event, or between two events.
func callerTimeout(r *tables.Route) clock.Duration {
	if r.Events.CallerTimeout > 0 {
		return r.Events.CallerTimeout
	}
	return max(defaultCallerTimeout, objectiveFactor*r.Objective, maxGapFactor*r.Events.MaxGap)
}
