// Package budget implements a retry budget. It bounds retries to a fraction of recent
// requests, so that retries cannot multiply the load of an overloaded pool.
package budget

import "github.com/jasminecove/jasminecove/internal/base/clock"

// Parameters of the budget.
const (
	// DefaultRatio is the default ratio of retries to requests.
	DefaultRatio = 0.1
	// minRetriesPerSecond is the rate of retries that is allowed even without traffic.
	minRetriesPerSecond = 1.0
	maxTokens           = 50.0
)

// Budget is the retry budget of one pool. It is not safe for concurrent use.
type Budget struct {
	ratio  float64
	tokens float64
	last   clock.Time
}

// New returns a Budget that allows ratio retries per request. A ratio of 0 means DefaultRatio.
func New(ratio float64) *Budget {
	if ratio == 0 {
		ratio = DefaultRatio
	}
	return &Budget{ratio: ratio, tokens: minRetriesPerSecond}
}

// RecordRequest records the first attempt of a request.
func (b *Budget) RecordRequest(now clock.Time) {
	b.refill(now)
	b.tokens = min(maxTokens, b.tokens+b.ratio)
}

// AllowRetry reports whether the budget allows a retry, and counts it if so.
func (b *Budget) AllowRetry(now clock.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now clock.Time) {
	if b.last != 0 {
		b.tokens = min(maxTokens, b.tokens+minRetriesPerSecond*float64(now.Sub(b.last))/float64(clock.Second))
	}
	b.last = now
}
