// Package adaptive implements an adaptive concurrency limit for a pool. The limit grows
// while nearly all latencies stay within their target and shrinks when too many exceed it.
package adaptive

import "github.com/jasminecove/jasminecove/internal/base/clock"

// Parameters of the limit.
const (
	startLimit        = 16.0
	minLimit          = 2.0
	maxLimit          = 4096.0
	window            = 200 * clock.Millisecond
	startGrowthFactor = 1.5  // Factor per window until latency first exceeds the target.
	growthFraction    = 0.03 // Fraction added per window after that.
	shrinkFactor      = 0.93 // Factor per window while latency is too high.
	// minUsedFraction is the fraction of the limit that must be in use for it to grow.
	minUsedFraction = 0.7
	// The limit shrinks when more than shrinkAbove of the latencies exceed their target
	// and grows when no more than growBelow do.
	shrinkAbove = 0.05
	growBelow   = 0.025
	// minSamples is the minimum number of latencies per window.
	minSamples = 20
)

// Limit is the adaptive concurrency limit of one pool.
type Limit struct {
	fixed       int
	limit       float64
	steady      bool // Set once latency has first exceeded the target.
	windowStart clock.Time
	samples     int
	slow        int // Samples that exceeded their target.
	peak        int
}

// New returns a Limit. If fixed is greater than 0, the limit has that value and never changes.
func New(fixed int) *Limit {
	return &Limit{fixed: fixed, limit: startLimit}
}

// Value returns the current limit.
func (l *Limit) Value() int {
	if l.fixed > 0 {
		return l.fixed
	}
	return int(l.limit)
}

// Observe records one latency, as a ratio to its target, and the number of requests in
// flight at that time.
func (l *Limit) Observe(now clock.Time, ratio float64, inFlight int) {
	if l.fixed > 0 {
		return
	}
	if l.windowStart == 0 {
		l.windowStart = now
	}
	l.samples++
	if ratio > 1 {
		l.slow++
	}
	l.peak = max(l.peak, inFlight)
	if now.Sub(l.windowStart) < window || l.samples < minSamples {
		return
	}
	l.adjust(float64(l.slow) / float64(l.samples))
	l.windowStart, l.samples, l.slow, l.peak = now, 0, 0, 0
}

func (l *Limit) adjust(slow float64) {
	switch {
	case slow > shrinkAbove:
		l.steady = true
		l.limit = max(minLimit, l.limit*shrinkFactor)
	case slow > growBelow || float64(l.peak) < minUsedFraction*l.limit:
		return
	case !l.steady:
		l.limit = min(maxLimit, l.limit*startGrowthFactor)
	default:
		l.limit = min(maxLimit, l.limit+max(1, l.limit*growthFraction))
	}
}
