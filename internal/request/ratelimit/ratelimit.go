// Package ratelimit holds an organisation's requests to a rate over all VMs.
// Each VM takes a share by its part of the demand, whose sum it hears from the
// organisation's home VM. A VM that hears nothing falls back to an equal share of
// the most VMs known of.
package ratelimit

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// Constants of the limit.
const (
	burst = 1 * clock.Second // A bucket holds what comes in this span.
	// demandShare is the weight of one window in the mean demand.
	demandShare  = 0.3
	demandWindow = 500 * clock.Millisecond
	// demandLife is how long the home's word on the demand counts.
	demandLife = 5 * clock.Second
	// floorShare of an equal part is left to a VM without demand, so that a
	// first request is not refused.
	floorShare = 0.2
)

// Limit is one organisation's limit on one VM. It is not safe for concurrent use.
type Limit struct {
	rate   float64 // Requests a second over all VMs.
	tokens float64
	last   clock.Time

	windowBegan clock.Time
	arrived     float64
	demand      float64 // Requests a second that arrive here.
	others      float64 // Requests a second that arrive elsewhere.
	toldAt      clock.Time
	known       int // The most VMs known of, with this one.
}

// New returns a Limit of rate requests a second over all VMs.
func New(rate float64) *Limit {
	return &Limit{rate: rate, tokens: rate, known: 1}
}

// SetVMs tells how many VMs there are.
func (l *Limit) SetVMs(n int) { l.known = max(n, 1) }

// Told takes the demand at other VMs in requests a second.
func (l *Limit) Told(now clock.Time, others float64) {
	l.others, l.toldAt = max(0, others), now
}

// Demand returns the requests a second that arrive here.
func (l *Limit) Demand() float64 { return l.demand }

// Take asks to admit one request. When it may not, it returns the span after
// which to come back.
func (l *Limit) Take(now clock.Time) (ok bool, retryAfter clock.Duration) {
	l.count(now)
	rate := l.rate * l.Share(now)
	l.refill(now, rate)
	if l.tokens >= 1 {
		l.tokens--
		return true, 0
	}
	return false, clock.Duration((1-l.tokens)/rate*float64(clock.Second)) + 1
}

// Share returns this VM's part of the rate. Without word from the home it is an
// equal part, which keeps the sum over all VMs within the rate when cut off.
func (l *Limit) Share(now clock.Time) float64 {
	equal := 1 / float64(l.known)
	sum := l.demand + l.others
	if l.toldAt == 0 || now.Sub(l.toldAt) > demandLife || sum == 0 {
		return equal
	}
	return floorShare*equal + (1-floorShare)*l.demand/sum
}

func (l *Limit) count(now clock.Time) {
	if l.windowBegan == 0 {
		l.windowBegan = now
	}
	l.arrived++
	span := now.Sub(l.windowBegan)
	if span < demandWindow {
		return
	}
	rate := l.arrived * float64(clock.Second) / float64(span)
	l.demand += (rate - l.demand) * demandShare
	l.windowBegan, l.arrived = now, 0
}

func (l *Limit) refill(now clock.Time, rate float64) {
	if l.last != 0 {
		l.tokens += rate * float64(now.Sub(l.last)) / float64(clock.Second)
	}
	l.tokens = min(l.tokens, max(1, rate*float64(burst)/float64(clock.Second)))
	l.last = now
}
