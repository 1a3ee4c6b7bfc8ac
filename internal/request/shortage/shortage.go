// Package shortage estimates when a pool that cannot take requests at present will take them
// again, so that callers that are refused return neither too soon, to be refused again, nor all
// at once. It answers the load after the loss of engines: a gap in the layers, or paths that are
// full until others are loaded.
//
// A Tracker is deterministic and does no I/O.
package shortage

import "github.com/jasminecove/jasminecove/internal/base/clock"

const (
	// GapDuration is the usual duration of a shortage after a loss of engines: the time to notice
	// the loss, to order layers, and to load them.
	GapDuration = 4 * clock.Second
	// FullDuration is the usual duration of a shortage of capacity, which ends with other
	// requests.
	FullDuration = 1 * clock.Second
	// durationWeight is the smoothing factor of the mean duration.
	durationWeight = 0.3
	// gracePeriod is how long a pool must take requests for a shortage to be over.
	gracePeriod = 1 * clock.Second
	// minReturn is the shortest time after which callers should return.
	minReturn = 300 * clock.Millisecond
	// spread is the range of the times of return, as a share of the expected remaining duration,
	// with at least minSpread.
	spread    = 0.5
	minSpread = 700 * clock.Millisecond
)

// Tracker follows the shortages of one kind of one pool. It is not safe for concurrent use.
type Tracker struct {
	since    clock.Time     // When the present shortage began; 0 if there is none.
	last     clock.Time     // When a request was last refused.
	duration clock.Duration // Mean duration.
}

// New returns a Tracker for shortages that usually last for a duration.
func New(usual clock.Duration) *Tracker { return &Tracker{duration: usual} }

// Refused records that a request found no path. It returns after what time its caller should
// return, given a random number in [0, 1) and the longest time for which the caller would wait.
func (t *Tracker) Refused(now clock.Time, random float64, longest clock.Duration) clock.Duration {
	t.end(now)
	if t.since == 0 {
		t.since = now
	}
	t.last = now
	remaining := t.remaining(now)
	after := minReturn + remaining + clock.Duration(random*float64(max(minSpread, clock.Duration(spread*float64(remaining)))))
	return max(minReturn, min(after, longest))
}

// Accepted records that a request found a path.
func (t *Tracker) Accepted(now clock.Time) { t.end(now) }

// Remaining returns how long the present shortage will probably last, or 0 if there is none.
func (t *Tracker) Remaining(now clock.Time) clock.Duration {
	t.end(now)
	if t.since == 0 {
		return 0
	}
	return t.remaining(now)
}

// end ends the present shortage if no request was refused for gracePeriod.
func (t *Tracker) end(now clock.Time) {
	if t.since == 0 || now.Sub(t.last) <= gracePeriod {
		return
	}
	took := t.last.Sub(t.since)
	t.duration += clock.Duration(durationWeight * float64(took-t.duration))
	t.since = 0
}

// remaining returns how long the present shortage will probably last. One that has lasted longer
// than usual is expected to last half as long again.
func (t *Tracker) remaining(now clock.Time) clock.Duration {
	lasted := now.Sub(t.since)
	return max(t.duration-lasted, lasted/2)
}
