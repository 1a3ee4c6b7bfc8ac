// Package budget bounds retries to a share of recent requests, so that retries
// cannot multiply a load that a pool already fails to carry.
package budget

import "github.com/jasminecove/jasminecove/internal/base/clock"

// Constants of the budget.
const (
	// DefaultShare is the share of requests that may be retries.
	DefaultShare = 0.1
	// floorPerSecond allows a few retries when there is little traffic.
	floorPerSecond = 1.0
	maxTokens      = 50.0
)

// Budget is the retry budget of one pool. It is not safe for concurrent use.
type Budget struct {
	share  float64
	tokens float64
	last   clock.Time
}

// New returns a Budget. A share of 0 takes DefaultShare.
func New(share float64) *Budget {
	if share == 0 {
		share = DefaultShare
	}
	return &Budget{share: share, tokens: floorPerSecond}
}

// Request records a first try.
func (b *Budget) Request(now clock.Time) {
	b.refill(now)
	b.tokens = min(maxTokens, b.tokens+b.share)
}

// Retry asks for one retry and reports whether the budget allows it.
func (b *Budget) Retry(now clock.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now clock.Time) {
	if b.last != 0 {
		b.tokens = min(maxTokens, b.tokens+floorPerSecond*float64(now.Sub(b.last))/float64(clock.Second))
	}
	b.last = now
}
