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

// prudence is the fraction of the limit that is used. The rest covers requests that other
// VMs count at a different time.
const prudence = 0.85

// Limits holds the retry limit over all VMs.
type Limits struct {
	Ratio     float64        // Retries per request in the window.
	Allowance float64        // Additional retries per window.
	Window    clock.Duration // Length of the window.
}

// loanLife is how long a borrowed retry may be used.
const loanLife = 1 * clock.Second

// loan is a number of lent retries with an expiry time.
type loan struct {
	repeats float64
	until   clock.Time
}

// Share is one VM's part of the retry limit of one pool. It is not safe for concurrent use.
type Share struct {
	limits  Limits
	since   clock.Time // Start of the current bucket.
	now     int
	firsts  [buckets]float64
	repeats [buckets]float64
	// lent holds retries lent to other VMs. They count as used until the borrower's use of
	// them has left every window. borrowed holds the unused retries borrowed from other VMs.
	lent, borrowed []loan
}

// usedAtStart is the fraction of the allowance that counts as used when a process starts,
// because the process does not know how many retries it sent before the restart.
const usedAtStart = 2.0 / 3

// New returns a Share whose window holds no requests. vms is the number of VMs that share
// the allowance.
func New(limits Limits, now clock.Time, vms int) *Share {
	s := &Share{limits: limits, since: now}
	s.repeats[0] = usedAtStart * s.allowance(vms)
	return s
}

// RecordRequest records the first attempt of a request.
func (s *Share) RecordRequest(now clock.Time) {
	s.slide(now)
	s.firsts[s.now]++
}

// AllowRetry reports whether a retry is allowed, and counts it if so. It uses the VM's own part
// first, then borrowed retries. vms is the number of VMs that share the allowance.
func (s *Share) AllowRetry(now clock.Time, vms int) bool {
	if s.free(now, vms) >= 1 {
		s.repeats[s.now]++
		return true
	}
	s.borrowed = current(s.borrowed, now)
	if len(s.borrowed) == 0 {
		return false
	}
	if s.borrowed[0].repeats--; s.borrowed[0].repeats < 1 {
		s.borrowed = s.borrowed[1:]
	}
	return true
}

// Lend lends up to n retries to another VM, and at most half of the unused retries of this
// VM's part. It returns the number lent.
func (s *Share) Lend(now clock.Time, vms, n int) int {
	lent := min(n, int(s.free(now, vms)/2))
	if lent <= 0 {
		return 0
	}
	step := max(1, s.limits.Window/buckets)
	s.lent = append(s.lent, loan{float64(lent), now.Add(s.limits.Window + loanLife + step)})
	return lent
}

// Borrow adds n retries that another VM has just lent.
func (s *Share) Borrow(now clock.Time, n int) {
	if n > 0 {
		s.borrowed = append(current(s.borrowed, now), loan{float64(n), now.Add(loanLife)})
	}
}

// free returns the unused retries of the VM's part.
func (s *Share) free(now clock.Time, vms int) float64 {
	s.slide(now)
	var firsts, used float64
	for i := range buckets {
		firsts += s.firsts[i]
		used += s.repeats[i]
	}
	s.lent = current(s.lent, now)
	for _, l := range s.lent {
		used += l.repeats
	}
	return prudence*s.limits.Ratio*firsts + s.allowance(vms) - used
}

// current returns the loans that have not expired.
func current(loans []loan, now clock.Time) []loan {
	return slices.DeleteFunc(loans, func(l loan) bool { return !now.Before(l.until) })
}

func (s *Share) allowance(vms int) float64 {
	return prudence * s.limits.Allowance / float64(max(1, vms))
}

func (s *Share) slide(now clock.Time) {
	step := max(1, s.limits.Window/buckets)
	for n := 0; now.Sub(s.since) >= step && n <= buckets; n++ {
		s.since = s.since.Add(step)
		s.now = (s.now + 1) % buckets
		s.firsts[s.now], s.repeats[s.now] = 0, 0
	}
	if now.Sub(s.since) >= step {
		s.since = now
	}
}
