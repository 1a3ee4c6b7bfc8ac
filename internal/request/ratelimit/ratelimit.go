// Package ratelimit limits an organisation's request rate over all VMs. Each VM's share is
// proportional to its part of the total demand, which it receives from the organisation's
// home VM. Without recent demand data, a VM falls back to an equal share among the largest
// number of VMs known.
package ratelimit

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// Parameters of the limit.
const (
	burstWindow = 1 * clock.Second // The token bucket holds the tokens of this duration.
	// demandSampleWeight is the weight of one window in the mean demand.
	demandSampleWeight = 0.3
	demandWindow       = 500 * clock.Millisecond
	// demandTimeout is how long demand data from the home VM is valid.
	demandTimeout = 5 * clock.Second
	// minShareFraction is the fraction of an equal share that a VM without demand keeps, so
	// that its first request is not refused.
	minShareFraction = 0.2
)

// Limit is the rate limit of one organisation on one VM. It is not safe for concurrent use.
type Limit struct {
	rate   float64 // Requests per second over all VMs.
	tokens float64
	last   clock.Time

	windowStart   clock.Time
	arrived       float64
	demand        float64 // Requests per second that arrive at this VM.
	otherDemand   float64 // Requests per second that arrive at other VMs.
	otherDemandAt clock.Time
	vms           int // Largest number of VMs known, including this one.
}

// New returns a Limit of rate requests per second over all VMs.
func New(rate float64) *Limit {
	return &Limit{rate: rate, tokens: rate, vms: 1}
}

// SetVMs sets the number of VMs.
func (l *Limit) SetVMs(n int) { l.vms = max(n, 1) }

// SetOtherDemand sets the demand at other VMs, in requests per second.
func (l *Limit) SetOtherDemand(now clock.Time, otherDemand float64) {
	l.otherDemand, l.otherDemandAt = max(0, otherDemand), now
}

// Demand returns the requests per second that arrive at this VM.
func (l *Limit) Demand() float64 { return l.demand }

// Take reports whether a request is admitted. If not, it returns the time after which to
// retry.
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

// Share returns this VM's fraction of the rate. Without recent demand data it is an equal
// share, which keeps the sum over all VMs within the rate during a network partition.
func (l *Limit) Share(now clock.Time) float64 {
	equal := 1 / float64(l.vms)
	sum := l.demand + l.otherDemand
	if l.otherDemandAt == 0 || now.Sub(l.otherDemandAt) > demandTimeout || sum == 0 {
		return equal
	}
	return minShareFraction*equal + (1-minShareFraction)*l.demand/sum
}

func (l *Limit) count(now clock.Time) {
	if l.windowStart == 0 {
		l.windowStart = now
	}
	l.arrived++
	span := now.Sub(l.windowStart)
	if span < demandWindow {
		return
	}
	rate := l.arrived * float64(clock.Second) / float64(span)
	l.demand += (rate - l.demand) * demandSampleWeight
	l.windowStart, l.arrived = now, 0
}

func (l *Limit) refill(now clock.Time, rate float64) {
	if l.last != 0 {
		l.tokens += rate * float64(now.Sub(l.last)) / float64(clock.Second)
	}
	l.tokens = min(l.tokens, max(1, rate*float64(burstWindow)/float64(clock.Second)))
	l.last = now
}
