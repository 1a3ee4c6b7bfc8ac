package ratecap

import (
	"maps"
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rendezvous"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Parameters of a Limiter.
const (
	// minRate is the rate of requests to an upstream that names a lower limit: without any
	// request, no response could say that the limit has ended.
	minRate = 0.25
	// Few enough VMs send to a limited upstream that their full buckets, of one request each at
	// least, hold together no more than what it takes in sendersTime, and extraSenders.
	sendersTime  = 1500 * clock.Millisecond
	extraSenders = 3
	// bucketTime is the time in which a full bucket fills, and minBucket its least size.
	bucketTime = 500 * clock.Millisecond
	minBucket  = 1.0
	// changeTime is how long a change is reported to other VMs, which take several reports in that
	// time.
	changeTime = 1500 * clock.Millisecond
	// maxChanged is the number of changed limits in one report, and maxRotated that of others, in
	// turn, for VMs that missed the change.
	maxChanged = 32
	maxRotated = 8
	// noShareWait is how long callers should wait that reach a VM without a share.
	noShareWait = 500 * clock.Millisecond
	// significantChange is the relative change of a limit that is reported at once.
	significantChange = 0.05
)

// limit is what is known of the rate limit of one upstream.
type limit struct {
	startedMs uint64 // Of the upstream's process.
	rate      float64
	lifted    bool
	at        clock.Time // When a response last named or lifted it.
	changedAt clock.Time
	tokens    float64 // Requests that this VM may send now.
	filledAt  clock.Time
	own       use
	others    map[string]use // Of other VMs, as they reported.
}

// Limiter keeps one VM's share of the limits of upstreams. It is not safe for concurrent use.
type Limiter struct {
	vm     string
	limits map[string]*limit // By upstream.
	pauses map[string]pause  // By upstream.
	next   int               // Index of the limit at which the next report starts.

	vms     []string            // The VMs that share the limits.
	senders map[string][]string // The VMs that send to each upstream; cleared when vms or limits change.
}

// New returns the Limiter of a VM.
func New(vm string) *Limiter {
	return &Limiter{vm: vm, limits: map[string]*limit{}, pauses: map[string]pause{}, vms: []string{vm}, senders: map[string][]string{}}
}

// SetVMs sets the names of the VMs that share the limits.
func (l *Limiter) SetVMs(vms []string) {
	if !slices.Equal(vms, l.vms) {
		l.vms = slices.Clone(vms)
		clear(l.senders)
	}
}

// Change is a change of what is known of an upstream's limit.
type Change struct {
	Rate, Was float64 // In requests per second; 0 without a limit.
	Changed   bool
}

// Named records that a response of an upstream names a limit.
func (l *Limiter) Named(now clock.Time, upstream string, startedMs uint64, rate float64) Change {
	return l.set(now, now, upstream, startedMs, rate, false)
}

// NotNamed records that a response to a request sent at a given time names no limit. That lifts a
// limit that was named before the request was sent.
func (l *Limiter) NotNamed(now, sentAt clock.Time, upstream string) Change {
	m := l.limits[upstream]
	if m == nil || m.lifted || sentAt <= m.at {
		return Change{}
	}
	return l.set(now, now, upstream, m.startedMs, 0, true)
}

// set records a limit that was named, or lifted, at a given time.
func (l *Limiter) set(now, at clock.Time, upstream string, startedMs uint64, rate float64, lifted bool) Change {
	m := l.limits[upstream]
	if m == nil || startedMs > m.startedMs {
		m = &limit{startedMs: startedMs, lifted: true, filledAt: now}
		l.limits[upstream] = m
	}
	if startedMs < m.startedMs || at < m.at {
		return Change{}
	}
	c := Change{Was: m.current()}
	m.fill(now, l.share(now, upstream, m))
	m.at, m.rate, m.lifted = at, rate, lifted
	c.Rate = m.current()
	if difference := c.Rate - c.Was; difference*difference > significantChange*significantChange*c.Was*c.Was {
		c.Changed, m.changedAt = true, at
	}
	if c.Rate != c.Was {
		delete(l.senders, upstream)
		if c.Was == 0 {
			m.tokens = 0
		}
	}
	return c
}

func (m *limit) current() float64 {
	if m.lifted {
		return 0
	}
	return max(minRate, m.rate)
}

// share returns this VM's part of an upstream's limit, 0 to 1.
func (l *Limiter) share(now clock.Time, upstream string, m *limit) float64 {
	senders := l.sendersTo(upstream, m)
	if !slices.Contains(senders, l.vm) {
		return 0
	}
	equal := 1 / float64(len(senders))
	if len(m.others) == 0 {
		return equal
	}
	return m.divide(now, equal, senders)
}

// sendersTo returns the VMs that send to an upstream.
func (l *Limiter) sendersTo(upstream string, m *limit) []string {
	senders, known := l.senders[upstream]
	if !known {
		n := min(len(l.vms), extraSenders+int(m.current()*float64(sendersTime)/float64(clock.Second)))
		senders = rendezvous.Rank("limit of "+upstream, l.vms)[:n]
		l.senders[upstream] = senders
	}
	return senders
}

// fill adds the tokens since the last call.
func (m *limit) fill(now clock.Time, share float64) {
	perMs := m.current() * share / float64(clock.Second)
	size := 0.0
	if share > 0 {
		size = max(minBucket, perMs*float64(bucketTime))
	}
	m.tokens = min(size, m.tokens+perMs*float64(now.Sub(m.filledAt)))
	m.filledAt = now
}

// Wait returns how long this VM must wait until it may send a request to an upstream.
func (l *Limiter) Wait(now clock.Time, upstream string) clock.Duration {
	return max(l.PausedFor(now, upstream), l.limitedFor(now, upstream))
}

// limitedFor returns how long this VM must wait for its part of an upstream's limit.
func (l *Limiter) limitedFor(now clock.Time, upstream string) clock.Duration {
	m := l.limits[upstream]
	if m == nil || m.lifted {
		return 0
	}
	share := l.share(now, upstream, m)
	if share == 0 {
		return noShareWait
	}
	m.fill(now, share)
	missing := 1 - m.tokens
	if missing <= 0 {
		return 0
	}
	m.own.shortAt = now
	return 1 + clock.Duration(missing*float64(clock.Second)/(m.current()*share))
}

// Take counts a request that this VM sends to an upstream.
func (l *Limiter) Take(now clock.Time, upstream string) {
	m := l.limits[upstream]
	if m == nil || m.lifted {
		return
	}
	m.fill(now, l.share(now, upstream, m))
	m.tokens--
	m.own.add(now)
}

// Prune removes the limits of upstreams that are not live any more.
func (l *Limiter) Prune(live func(upstream string) bool) {
	for id := range l.limits {
		if !live(id) {
			l.Forget(id)
		}
	}
	for id := range l.pauses {
		if !live(id) {
			l.Forget(id)
		}
	}
}

// Forget removes what an upstream that has ended named.
func (l *Limiter) Forget(upstream string) {
	delete(l.limits, upstream)
	delete(l.pauses, upstream)
	delete(l.senders, upstream)
}

// Limited returns the number of upstreams with a limit.
func (l *Limiter) Limited() int {
	n := 0
	for _, m := range l.limits {
		if !m.lifted {
			n++
		}
	}
	return n
}

// Report returns the limits to report to other VMs: those that changed lately, and some others in
// turn.
func (l *Limiter) Report(now clock.Time) []*fleetpb.RateLimit {
	var out []*fleetpb.RateLimit
	for _, id := range slices.Sorted(maps.Keys(l.limits)) {
		out = append(out, l.limits[id].encode(now, id))
	}
	return Select(out, maxChanged, maxRotated, &l.next)
}

// Select returns up to a number of limits that changed lately, and up to a number of others in turn.
// The turn goes on at next.
func Select(all []*fleetpb.RateLimit, changed, others int, next *int) []*fleetpb.RateLimit {
	var out, rest []*fleetpb.RateLimit
	for _, r := range all {
		switch {
		case clock.Duration(r.UnchangedMs) <= changeTime && len(out) < changed:
			out = append(out, r)
		case !r.Lifted:
			rest = append(rest, r)
		}
	}
	for range min(len(rest), others) {
		out = append(out, rest[*next%len(rest)])
		*next++
	}
	return out
}

func (m *limit) encode(now clock.Time, upstream string) *fleetpb.RateLimit {
	return &fleetpb.RateLimit{Upstream: upstream, StartedMs: m.startedMs, Rate: m.rate, Lifted: m.lifted, AgeMs: now.Sub(m.at).Uint32(), UnchangedMs: now.Sub(m.changedAt).Uint32(),
		Used: float32(m.own.rate(now)), Short: m.own.isShort(now)}
}

// MergeUse records how much of the limits another VM uses.
func (l *Limiter) MergeUse(now clock.Time, vm string, limits []*fleetpb.RateLimit) {
	for _, r := range limits {
		m := l.limits[r.Upstream]
		if m == nil || m.lifted || m.startedMs != r.StartedMs {
			continue
		}
		u := use{perSecond: float64(r.Used), at: now, reportedAt: now}
		if r.Short {
			u.shortAt = now
		}
		if m.others == nil {
			m.others = map[string]use{}
		}
		m.others[vm] = u
	}
}

// Merge records the limits that another VM reported ageMs ago.
func (l *Limiter) Merge(now clock.Time, limits []*fleetpb.RateLimit, ageMs uint32) map[string]Change {
	changes := map[string]Change{}
	for _, r := range limits {
		at := now.Add(-clock.Duration(r.AgeMs) - clock.Duration(ageMs))
		if m := l.limits[r.Upstream]; r.Lifted && m == nil {
			continue
		}
		if c := l.set(now, at, r.Upstream, r.StartedMs, r.Rate, r.Lifted); c.Changed {
			changes[r.Upstream] = c
		}
	}
	return changes
}
