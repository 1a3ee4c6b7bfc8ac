package ratecap

import (
	"math"

	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// Parameters of the division of a limit by use.
const (
	// useHalfLife is the half-life of the mean of the rate of requests.
	useHalfLife = 1500 * clock.Millisecond
	// shortTime is how long a VM counts as short after it had no token for a request.
	shortTime = 1 * clock.Second
	// useLifetime is how long another VM's report counts. A VM without one keeps its equal part.
	useLifetime = 2 * clock.Second
	// A VM that is not short keeps spareFactor times what it uses, and at least minKept of its equal
	// part.
	spareFactor = 1.25
	minKept     = 0.25
)

// use is how much of a limit one VM uses.
type use struct {
	perSecond  float64 // At the time at.
	at         clock.Time
	shortAt    clock.Time // When it last had no token for a request.
	reportedAt clock.Time
}

// add counts a request.
func (u *use) add(now clock.Time) {
	u.perSecond = u.rate(now) + math.Ln2*float64(clock.Second)/float64(useHalfLife)
	u.at = now
}

// rate returns the mean rate of requests per second.
func (u *use) rate(now clock.Time) float64 {
	return u.perSecond * math.Exp2(-float64(now.Sub(u.at))/float64(useHalfLife))
}

func (u *use) isShort(now clock.Time) bool {
	return u.shortAt != 0 && now.Sub(u.shortAt) <= shortTime
}

// kept returns the part of a limit that a VM keeps, out of its equal part.
func (u *use) kept(now clock.Time, limit, equal float64) float64 {
	if u.isShort(now) {
		return equal
	}
	return min(equal, max(minKept*equal, spareFactor*u.rate(now)/limit))
}

// divide returns the part of the limit of this VM, one of the senders: those that are short share what
// the others leave. The parts of all senders add up to the whole, as far as their reports are current.
func (m *limit) divide(now clock.Time, equal float64, senders []string) float64 {
	if !m.own.isShort(now) {
		return m.own.kept(now, m.current(), equal)
	}
	short, left := 1, 0.0
	for _, vm := range senders {
		u, reported := m.others[vm]
		switch {
		case !reported || now.Sub(u.reportedAt) > useLifetime:
			delete(m.others, vm)
		case u.isShort(now):
			short++
		default:
			left += equal - u.kept(now, m.current(), equal)
		}
	}
	return equal + left/float64(short)
}
