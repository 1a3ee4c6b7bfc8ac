package waitqueue

import (
	"math"

	"github.com/jasminecove/jasminecove/internal/base/clock"
)

const (
	// meterWindow is the time constant of the measured rates. With ten places in a second, the standard
	// deviation of the measured rate is a ninth of it.
	meterWindow = 4 * clock.Second
	// initialInterval is the assumed time between two places that become free before any was measured.
	initialInterval = 200 * clock.Millisecond
	// The rate is known after minMeasuredSpan if minMeasured places have become free, and after maxMeasuredSpan in any
	// case. Spans are weighted by age, in ms: they stand for 2 s and 4 s.
	minMeasured     = 8
	minMeasuredSpan = 0.39 * float64(meterWindow)
	maxMeasuredSpan = 0.63 * float64(meterWindow)
	// maxWait is the longest wait that is predicted.
	maxWait = 1 * clock.Minute
)

// meter measures the rate of events in a part of the time, with exponentially decaying weights.
type meter struct {
	at     clock.Time
	events float64 // Weight of the events until at.
	span   float64 // Weight of the time until at in which events were counted, in ms.
}

// advance moves the meter forward in time. If counting is not set, the time does not count.
func (m *meter) advance(now clock.Time, counting bool) {
	decay := math.Exp(-float64(max(0, now.Sub(m.at))) / float64(meterWindow))
	m.events *= decay
	m.span *= decay
	if counting {
		m.span += float64(meterWindow) * (1 - decay)
	}
	m.at = max(m.at, now)
}

// add counts an event.
func (m *meter) add(now clock.Time) {
	m.advance(now, true)
	m.events++
}

// perMs returns the number of events in a millisecond.
func (m *meter) perMs(now clock.Time) float64 {
	m.advance(now, true)
	return m.events / max(1, m.span)
}

// Position returns the number of tickets before a ticket, which may be new.
func (q *Queue) Position(now clock.Time, t Ticket) int { return q.position(now, &t) }

func (q *Queue) position(now clock.Time, t *Ticket) int {
	ahead, earlier, others := 0, 0, map[string]int{}
	for _, e := range q.entries {
		if e.ID == t.ID {
			continue
		}
		switch c := compareGroup(now, &e.Ticket, t); {
		case c < 0:
			ahead++
		case c > 0:
		case e.Organisation != t.Organisation:
			others[e.Organisation]++
		case compareAge(&e.Ticket, t) < 0:
			earlier++
		}
	}
	// A ticket starts at the virtual time at which those of its organisation before it are served.
	start := q.start(t.Rank, t.Organisation) + float64(earlier)
	for organisation, n := range others {
		before := math.Floor(start-q.start(t.Rank, organisation)) + 1
		ahead += min(n, int(max(0, before)))
	}
	return ahead + earlier
}

// Wait returns the expected wait of a new ticket from its position, the rate at which capacity becomes free, and
// the rate of the tickets that will come before it.
func (q *Queue) Wait(now clock.Time, t Ticket) clock.Duration {
	freed, least := q.capacity(now), 0.0
	before, own := 0.0, 0.0
	for i := range q.arrivals {
		a := &q.arrivals[i]
		switch {
		case a.class.isBefore(t.class()):
			before += a.meter.perMs(now)
		case a.class == t.class() && !a.late:
			own += a.meter.perMs(now)
		}
	}
	inOrder := freed
	if q.waitsBehind(&t) {
		inOrder -= freed / agingInterval
	} else {
		least = freed / agingInterval
	}
	wait := timeFor(q.position(now, &t)+1, max(least, inOrder-before))
	if wait > float64(t.Objective.Sub(now)) {
		// It will be late, and those that come later are served before it while they are not.
		late := t
		late.Objective = now - 1
		wait = max(wait, timeFor(q.position(now, &late)+1, max(least, inOrder-before-own)))
	}
	byAge := math.Inf(1)
	if q.starved(now, &t) == t.Rank {
		older := 0
		for _, e := range q.entries {
			if e.Rank == t.Rank && e.ID != t.ID && compareAge(&e.Ticket, &t) < 0 {
				older++
			}
		}
		byAge = timeFor(older+1, freed/agingInterval)
	}
	return clock.Duration(min(wait, byAge, float64(maxWait)))
}

// IsMeasured reports whether the rate at which capacity becomes free is known well enough to refuse a ticket by
// its predicted wait. A VM that has just begun to serve a pool would otherwise refuse by an assumption, or by the few
// places that became free at the start of a burst.
func (q *Queue) IsMeasured(now clock.Time) bool {
	q.freed.advance(now, true)
	return q.freed.events >= minMeasured && q.freed.span >= minMeasuredSpan || q.freed.span >= maxMeasuredSpan
}

// capacity returns the rate at which places become free, for a millisecond. It was measured while tickets
// waited, since fewer places become free while not all are used. Without such a measurement, it is the rate
// at which requests end, of which one is assumed to have ended at the beginning.
func (q *Queue) capacity(now clock.Time) float64 {
	const generalWeight = 500 // Of the general rate, in ms of waiting.
	q.freed.advance(now, true)
	general := (q.freed.events + 1) / (q.freed.span + float64(initialInterval))
	q.busy.advance(now, len(q.entries) > 0)
	return (q.busy.events + generalWeight*general) / (q.busy.span + generalWeight)
}

// timeFor returns the time in which n tickets are served.
func timeFor(n int, perMs float64) float64 {
	if perMs <= 0 {
		return math.Inf(1)
	}
	return float64(n) / perMs
}

// waitsBehind reports whether a ticket of a less urgent class than t waits, which may get turns as the
// longest waiter.
func (q *Queue) waitsBehind(t *Ticket) bool {
	for _, e := range q.entries {
		if t.class().isBefore(e.class()) {
			return true
		}
	}
	return false
}
