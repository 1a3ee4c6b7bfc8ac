// Package pace learns how long each replica takes for a hop and derives the
// deadline after which a hop counts as missed. A slow link gives long deadlines
// and is not taken for a dead stage.
package pace

import "github.com/jasminecove/jasminecove/internal/base/clock"

// Constants of the estimate.
const (
	meanShift     = 8.0 // Weight of one sample in the mean is 1/8.
	varianceShift = 4.0 // Weight of one sample in the deviation is 1/4.
	deviations    = 8.0 // Deviations above the mean that a hop may take.
	// firstDeadline holds until a replica has answered once.
	firstDeadline = 3 * clock.Second
	minDeadline   = 400 * clock.Millisecond
	maxDeadline   = 30 * clock.Second
	// factor is the least multiple of the mean that a deadline allows.
	factor = 6.0
	// positionsPerStep is how many prompt positions cost about one step.
	positionsPerStep = 8.0
)

// estimate is the running mean and deviation in ms of one step.
type estimate struct {
	mean      float64
	deviation float64
	samples   int
}

// Book holds the estimates of all replicas. It is not safe for concurrent use.
type Book struct {
	steps map[string]estimate
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{steps: map[string]estimate{}} }

// Observe adds the time in ms that a replica took for a hop over count positions.
func (b *Book) Observe(replica string, took float64, count uint32) {
	sample := took / steps(count)
	e := b.steps[replica]
	if e.samples == 0 {
		e.mean, e.deviation = sample, sample/2
	} else {
		diff := sample - e.mean
		e.mean += diff / meanShift
		e.deviation += (abs(diff) - e.deviation) / varianceShift
	}
	e.samples++
	b.steps[replica] = e
}

// Mean returns the mean time in ms of one step, or 0 when none is known.
func (b *Book) Mean(replica string) float64 { return b.steps[replica].mean }

// Deadline returns the time that a hop over count positions may take.
func (b *Book) Deadline(replica string, count uint32) clock.Duration {
	e := b.steps[replica]
	if e.samples == 0 {
		return min(maxDeadline, firstDeadline*clock.Duration(steps(count)))
	}
	allowed := max(e.mean*factor, e.mean+deviations*e.deviation) * steps(count)
	return min(maxDeadline, max(minDeadline, clock.Duration(allowed)))
}

// Forget drops what is known of a replica.
func (b *Book) Forget(replica string) { delete(b.steps, replica) }

// steps is the cost of a hop in single steps.
func steps(count uint32) float64 {
	if count <= 1 {
		return 1
	}
	return 1 + float64(count)/positionsPerStep
}

func abs(x float64) float64 {
	if x < 0 {
		return -x
	}
	return x
}
