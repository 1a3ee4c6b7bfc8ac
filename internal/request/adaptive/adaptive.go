// Package adaptive finds how many requests a pool takes at once. The limit grows
// while nearly all latencies stay within their bound and shrinks when too many do
// not.
package adaptive

import "github.com/jasminecove/jasminecove/internal/base/clock"

// Constants of the limit.
const (
	startLimit = 16.0
	minLimit   = 2.0
	maxLimit   = 4096.0
	window     = 200 * clock.Millisecond
	growth     = 1.5  // Factor a window until latency was first too high.
	increase   = 0.03 // Share added a window after that.
	decrease   = 0.93 // Factor a window while latency is too high.
	// busyShare is the part of the limit that must be used for it to grow.
	busyShare = 0.7
	// tooMany is the share of latencies beyond their bound at which the limit
	// shrinks, and few the share below which it grows.
	tooMany = 0.05
	few     = 0.025
	// minSamples is the least number of latencies that a window is judged by.
	minSamples = 20
)

// Limit is the adaptive limit of one pool.
type Limit struct {
	fixed   int
	limit   float64
	steady  bool // The first growth is over.
	began   clock.Time
	samples int
	beyond  int // Samples beyond their bound.
	peak    int
}

// New returns a Limit. A fixed limit greater than 0 never changes.
func New(fixed int) *Limit {
	return &Limit{fixed: fixed, limit: startLimit}
}

// Value returns the limit at present.
func (l *Limit) Value() int {
	if l.fixed > 0 {
		return l.fixed
	}
	return int(l.limit)
}

// Observe takes one latency as a ratio to its bound, with the requests in
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
