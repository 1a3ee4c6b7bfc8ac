// Package retryshare bounds the retries that all VMs together send to a pool: within a
// sliding window, to a ratio of its requests plus a fixed allowance. Each VM enforces its
// own part without coordination, so that the limit also holds during network partitions. A
// VM that has used up its part may borrow from the parts of other VMs.
package retryshare

import (
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// buckets is the number of buckets of the sliding window.
const buckets = 20

// safetyFactor is the fraction of the limit that is used. The rest covers requests that other
// VMs count at a different time.
const safetyFactor = 0.85

// Limits holds the retry limit over all VMs.
type Limits struct {
	Ratio     float64        // Retries per request in the window.
	Allowance float64        // Additional retries per window.
	Window    clock.Duration // Length of the window.
}

// loanTimeout is how long a borrowed retry may be used.
const loanTimeout = 1 * clock.Second

// loan is a number of lent retries with an expiry time.
type loan struct {
	retries float64
	expires clock.Time
}

// Share is one VM's part of the retry limit of one pool. It is not safe for concurrent use.
type Share struct {
	limits      Limits
	bucketStart clock.Time // Start of the current bucket.
	index       int
	requests    [buckets]float64
	retries     [buckets]float64
	// lent holds retries lent to other VMs. They count as used until the borrower's use of
	// them has left every window. borrowed holds the unused retries borrowed from other VMs.
	lent, borrowed []loan
}

// initialUsage is the fraction of the allowance that counts as used when a process starts,
// because the process does not know how many retries it sent before the restart.
const initialUsage = 2.0 / 3

// New returns a Share whose window holds no requests. vms is the number of VMs that share
// the allowance.
func New(limits Limits, now clock.Time, vms int) *Share {
	s := &Share{limits: limits, bucketStart: now}
	s.retries[0] = initialUsage * s.allowance(vms)
	return s
}

// RecordRequest records the first attempt of a request.
func (s *Share) RecordRequest(now clock.Time) {
	s.advance(now)
	s.requests[s.index]++
}

// AllowRetry reports whether a retry is allowed, and counts it if so. It uses the VM's own part
// first, then borrowed retries. vms is the number of VMs that share the allowance.
func (s *Share) AllowRetry(now clock.Time, vms int) bool {
	if s.unused(now, vms) >= 1 {
		s.retries[s.index]++
		return true
	}
	s.borrowed = unexpired(s.borrowed, now)
	if len(s.borrowed) == 0 {
		return false
	}
	if s.borrowed[0].retries--; s.borrowed[0].retries < 1 {
		s.borrowed = s.borrowed[1:]
	}
	return true
}

// Lend lends up to n retries to another VM, and at most half of the unused retries of this
// VM's part. It returns the number lent.
func (s *Share) Lend(now clock.Time, vms, n int) int {
	lent := min(n, int(s.unused(now, vms)/2))
	if lent <= 0 {
		return 0
	}
	step := max(1, s.limits.Window/buckets)
	s.lent = append(s.lent, loan{float64(lent), now.Add(s.limits.Window + loanTimeout + step)})
	return lent
}

// Borrow adds n retries that another VM has just lent.
func (s *Share) Borrow(now clock.Time, n int) {
	if n > 0 {
		s.borrowed = append(unexpired(s.borrowed, now), loan{float64(n), now.Add(loanTimeout)})
	}
}

// unused returns the unused retries of the VM's part.
func (s *Share) unused(now clock.Time, vms int) float64 {
	s.advance(now)
	var requests, used float64
	for i := range buckets {
		requests += s.requests[i]
		used += s.retries[i]
	}
	s.lent = unexpired(s.lent, now)
	for _, l := range s.lent {
		used += l.retries
	}
	return safetyFactor*s.limits.Ratio*requests + s.allowance(vms) - used
}

// unexpired returns the loans that have not expired.
func unexpired(loans []loan, now clock.Time) []loan {
	return slices.DeleteFunc(loans, func(l loan) bool { return !now.Before(l.expires) })
}

func (s *Share) allowance(vms int) float64 {
	return safetyFactor * s.limits.Allowance / float64(max(1, vms))
}

func (s *Share) advance(now clock.Time) {
	step := max(1, s.limits.Window/buckets)
	for n := 0; now.Sub(s.bucketStart) >= step && n <= buckets; n++ {
		s.bucketStart = s.bucketStart.Add(step)
		s.index = (s.index + 1) % buckets
		s.requests[s.index], s.retries[s.index] = 0, 0
	}
	if now.Sub(s.bucketStart) >= step {
		s.bucketStart = now
	}
}
