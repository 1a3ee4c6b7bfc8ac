// Package retryshare bounds what all VMs together send to a pool again: a share of
// the requests of a sliding window and an allowance. Each VM keeps within its part
// without asking the others, so that the bound holds in partitions too.
package retryshare

import "github.com/jasminecove/jasminecove/internal/base/clock"

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

// Share is one VM's part of the bound for one pool. It is not safe for concurrent use.
type Share struct {
	limits  Limits
	since   clock.Time // Start of the present bucket.
	now     int
	firsts  [buckets]float64
	repeats [buckets]float64
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

// Repeat asks for one more send of a request and reports whether the VM's part
// allows it. vms is the number of VMs that share the allowance.
func (s *Share) Repeat(now clock.Time, vms int) bool {
	s.slide(now)
	var firsts, repeats float64
	for i := range buckets {
		firsts += s.firsts[i]
		repeats += s.repeats[i]
	}
	if repeats+1 > prudence*s.limits.Ratio*firsts+s.allowance(vms) {
		return false
	}
	s.repeats[s.now]++
	return true
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
