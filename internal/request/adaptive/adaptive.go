// Package adaptive implements an adaptive concurrency limit for a pool. The limit grows
// while nearly all latencies stay within their target and shrinks when too many exceed it.
package adaptive

import "github.com/jasminecove/jasminecove/internal/base/clock"

// Parameters of the limit.
const (
	startLimit = 16.0
	minLimit   = 2.0
	maxLimit   = 4096.0
	window     = 200 * clock.Millisecond
	growth     = 1.5  // Factor per window until latency first exceeds the target.
	increase   = 0.03 // Fraction added per window after that.
	decrease   = 0.93 // Factor per window while latency is too high.
	// busyShare is the fraction of the limit that must be in use for it to grow.
	busyShare = 0.7
	// The limit shrinks when more than tooMany of the latencies exceed their target
	// and grows when no more than few do.
	tooMany = 0.05
	few     = 0.025
	// minSamples is the minimum number of latencies per window.
	minSamples = 20
)

// Limit is the adaptive concurrency limit of one pool.
type Limit struct {
	fixed   int
	limit   float64
	steady  bool // Set once latency has first exceeded the target.
	began   clock.Time
	samples int
	beyond  int // Samples that exceeded their target.
	peak    int
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
	if l.began == 0 {
		l.began = now
	}
	l.samples++
	if ratio > 1 {
		l.beyond++
	}
	l.peak = max(l.peak, inFlight)
	if now.Sub(l.began) < window || l.samples < minSamples {
		return
	}
	l.adjust(float64(l.beyond) / float64(l.samples))
	l.began, l.samples, l.beyond, l.peak = now, 0, 0, 0
}

func (l *Limit) adjust(beyond float64) {
	switch {
	case beyond > tooMany:
		l.steady = true
		l.limit = max(minLimit, l.limit*decrease)
	case beyond > few || float64(l.peak) < busyShare*l.limit:
		return
	case !l.steady:
		l.limit = min(maxLimit, l.limit*growth)
	default:
		l.limit = min(maxLimit, l.limit+max(1, l.limit*increase))
	}
}
