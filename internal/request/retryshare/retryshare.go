// Package retryshare bounds what all VMs together send to a pool again: a share of
// the requests of a sliding window and an allowance. Each VM keeps within its part
// without asking the others, so that the bound holds in partitions too. A VM that has
// used its part up may borrow from the parts of others.
package retryshare

import (
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// buckets is the number of steps in which the window slides.
const buckets = 20

// prudence is the part of the bound that is used. The rest covers requests that other
// VMs count at another moment.
const prudence = 0.85

// Limits are the bound over all VMs.
type Limits struct {
	Ratio     float64        // Repeats for each request of the window.
	Allowance float64        // Repeats in each window besides.
	Window    clock.Duration // Length of the window.
}

// loanLife is how long a borrowed repeat may be used.
const loanLife = 1 * clock.Second

// loan is a number of repeats until a moment.
type loan struct {
	repeats float64
	until   clock.Time
}

// Share is one VM's part of the bound for one pool. It is not safe for concurrent use.
type Share struct {
	limits  Limits
	since   clock.Time // Start of the present bucket.
	now     int
	firsts  [buckets]float64
	repeats [buckets]float64
	// lent counts here until the borrower's use of it has left every window; borrowed
	// is what is left of other VMs' parts.
	lent, borrowed []loan
}

// usedAtStart is the part of the allowance that counts as used when a process starts,
// because it does not know what it sent before.
const usedAtStart = 2.0 / 3

// New returns a Share whose window holds no requests.
func New(limits Limits, now clock.Time, vms int) *Share {
	s := &Share{limits: limits, since: now}
	s.repeats[0] = usedAtStart * s.allowance(vms)
	return s
}

// First records a request's first send.
func (s *Share) First(now clock.Time) {
	s.slide(now)
	s.firsts[s.now]++
}

// Repeat asks for one more send of a request and reports whether the VM's part or what
// it borrowed allows it. vms is the number of VMs that share the allowance.
func (s *Share) Repeat(now clock.Time, vms int) bool {
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

// Lend takes up to half of what is free in the VM's part out of it for another VM, n
// at most, and returns how many repeats that are.
func (s *Share) Lend(now clock.Time, vms, n int) int {
	lent := min(n, int(s.free(now, vms)/2))
	if lent <= 0 {
		return 0
	}
	step := max(1, s.limits.Window/buckets)
	s.lent = append(s.lent, loan{float64(lent), now.Add(s.limits.Window + loanLife + step)})
	return lent
}

// Borrow adds repeats that another VM has lent just now.
func (s *Share) Borrow(now clock.Time, n int) {
	if n > 0 {
		s.borrowed = append(current(s.borrowed, now), loan{float64(n), now.Add(loanLife)})
	}
}

// free returns what is left of the VM's part.
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

// current returns the loans that have not run out.
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
