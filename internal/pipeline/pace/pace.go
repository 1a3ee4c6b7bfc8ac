// Package pace estimates the duration of hops for each replica and derives the hop
// deadlines from it. A replica behind a slow link gets longer deadlines, so that it is
// not mistaken for a dead one.
package pace

import "github.com/jasminecove/jasminecove/internal/base/clock"

// Parameters of the estimate. The smoothing is that of TCP's round-trip time estimator.
const (
	meanDivisor        = 8.0 // The weight of a sample in the mean is 1/8.
	deviationDivisor   = 4.0 // The weight of a sample in the deviation is 1/4.
	deadlineDeviations = 8.0 // A deadline is at least this many deviations above the mean.
	// firstDeadline is the deadline per step until a replica has answered once.
	firstDeadline = 3 * clock.Second
	minDeadline   = 400 * clock.Millisecond
	maxDeadline   = 30 * clock.Second
	// minMeanFactor is the smallest ratio of a deadline to the mean.
	minMeanFactor = 6.0
	// positionsPerStep is the number of prompt positions that take about as long as one
	// single-token step.
	positionsPerStep = 8.0
)

// estimate is the moving average of the duration of one step and of its deviation, in ms.
type estimate struct {
	mean      float64
	deviation float64
	samples   int
}

// Estimator stores the estimates of all replicas. It is not safe for concurrent use.
type Estimator struct {
	steps map[string]estimate
}

// NewEstimator returns an empty Estimator.
func NewEstimator() *Estimator { return &Estimator{steps: map[string]estimate{}} }

// Observe adds a sample: the time in ms that a replica took for a hop over count
// positions.
func (b *Estimator) Observe(replica string, tookMs float64, count uint32) {
	sample := tookMs / steps(count)
	e := b.steps[replica]
	if e.samples == 0 {
		e.mean, e.deviation = sample, sample/2
	} else {
		diff := sample - e.mean
		e.mean += diff / meanDivisor
		e.deviation += (abs(diff) - e.deviation) / deviationDivisor
	}
	e.samples++
	b.steps[replica] = e
}

// Mean returns the mean duration of one step in ms, or 0 if the replica has no samples.
func (b *Estimator) Mean(replica string) float64 { return b.steps[replica].mean }

// Deadline returns the longest time that a hop over count positions may take.
func (b *Estimator) Deadline(replica string, count uint32) clock.Duration {
	e := b.steps[replica]
	if e.samples == 0 {
		return min(maxDeadline, firstDeadline*clock.Duration(steps(count)))
	}
	allowed := max(e.mean*minMeanFactor, e.mean+deadlineDeviations*e.deviation) * steps(count)
	return min(maxDeadline, max(minDeadline, clock.Duration(allowed)))
}

// Forget discards the estimate of a replica.
func (b *Estimator) Forget(replica string) { delete(b.steps, replica) }

// steps returns the expected duration of a hop over count positions, in multiples of a
// single-token step.
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
