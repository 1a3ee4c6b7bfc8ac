// Package fairqueue implements weighted fair queueing of the requests to a pool. Each
// organisation has its own queue and gets slots in proportion to its weight. A request
// whose estimated wait exceeds the maximum or its deadline is refused immediately.
package fairqueue

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// Parameters of the queue.
const (
	// DefaultMaxWait is the default maximum of the estimated wait.
	DefaultMaxWait      = 400 * clock.Millisecond
	initialServiceMs    = 50.0 // Initial mean service time in ms.
	serviceSampleWeight = 0.05 // Weight of one sample in the mean service time.
	minRetryAfter       = 200 * clock.Millisecond
	maxRetryAfter       = 10 * clock.Second
	// minWeight is the minimum weight, so that no organisation starves.
	minWeight = 0.1
)

// Ticket is a request for a slot.
type Ticket struct {
	ID           uint64
	Organisation string
	Weight       float64
	Deadline     clock.Time
	queued       clock.Time
}

// Verdict is the result of an offer.
type Verdict int

// Verdicts of a Decision.
const (
	Admitted Verdict = iota
	Queued
	Refused
	RefusedDeadline
)

// Decision is the verdict on one ticket.
type Decision struct {
	Ticket     Ticket
	Verdict    Verdict
	RetryAfter clock.Duration // Set when refused.
}

// organisation is the queue of one organisation.
type organisation struct {
	weight      float64
	tickets     []Ticket
	virtualTime float64 // Virtual finish time of the last admitted request.
	inUse       int     // Slots in use.
}

// Queue admits the requests of one pool. It is not safe for concurrent use.
type Queue struct {
	maxWait       clock.Duration
	limit         int
	inFlight      int
	queued        int
	meanServiceMs float64 // Mean service time in ms.
	virtualTime   float64
	byName        map[string]*organisation
}

// New returns a queue that admits up to limit requests in flight.
func New(limit int, maxWait clock.Duration) *Queue {
	return &Queue{maxWait: maxWait, limit: limit, meanServiceMs: initialServiceMs, byName: map[string]*organisation{}}
}

// InFlight returns the number of slots in use.
func (q *Queue) InFlight() int { return q.inFlight }

// Len returns the number of waiting tickets.
func (q *Queue) Len() int { return q.queued }

// SetLimit changes the number of slots and returns decisions on waiting tickets.
func (q *Queue) SetLimit(now clock.Time, limit int) []Decision {
	q.limit = limit
	return q.admit(now)
}

// Offer requests a slot for a ticket.
func (q *Queue) Offer(now clock.Time, t Ticket) Decision {
	if !now.Before(t.Deadline) {
		return Decision{Ticket: t, Verdict: RefusedDeadline}
	}
	o := q.organisation(t)
	if q.inFlight < q.limit && q.queued == 0 {
		q.occupy(o)
		return Decision{Ticket: t, Verdict: Admitted}
	}
	wait := q.estimateWait(o)
	if wait > q.maxWait {
		return Decision{Ticket: t, Verdict: Refused, RetryAfter: q.retryAfter(wait)}
	}
	if now.Add(wait) > t.Deadline {
		return Decision{Ticket: t, Verdict: RefusedDeadline, RetryAfter: q.retryAfter(wait)}
	}
	t.queued = now
	o.tickets = append(o.tickets, t)
	q.queued++
	return Decision{Ticket: t, Verdict: Queued}
}

// Done releases a slot after a request of duration took, and returns decisions on waiting
// tickets.
func (q *Queue) Done(now clock.Time, org string, took clock.Duration) []Decision {
	q.inFlight--
	q.meanServiceMs += (float64(took) - q.meanServiceMs) * serviceSampleWeight
	if o := q.byName[org]; o != nil {
		o.inUse--
		q.removeIdle(org, o)
	}
	return q.admit(now)
}

// Cancel removes a waiting ticket.
func (q *Queue) Cancel(org string, id uint64) {
	o := q.byName[org]
	if o == nil {
		return
	}
	for i, t := range o.tickets {
		if t.ID == id {
			o.tickets = append(o.tickets[:i], o.tickets[i+1:]...)
			q.queued--
			q.removeIdle(org, o)
			return
		}
	}
}

// Expire refuses the tickets that are past their deadline or have waited for more than twice
// the maximum wait.
func (q *Queue) Expire(now clock.Time) []Decision {
	var out []Decision
	for name, o := range q.byName {
		kept := o.tickets[:0]
		for _, t := range o.tickets {
			switch {
			case !now.Before(t.Deadline):
				out = append(out, Decision{Ticket: t, Verdict: RefusedDeadline})
			case now.Sub(t.queued) > 2*q.maxWait:
				out = append(out, Decision{Ticket: t, Verdict: Refused, RetryAfter: q.retryAfter(q.estimateWait(o))})
			default:
				kept = append(kept, t)
			}
		}
		q.queued -= len(o.tickets) - len(kept)
		o.tickets = kept
		q.removeIdle(name, o)
	}
	return out
}

// admit assigns free slots to the organisations with the lowest virtual time.
func (q *Queue) admit(now clock.Time) []Decision {
	var out []Decision
	for q.inFlight < q.limit && q.queued > 0 {
		o := q.next()
		t := o.tickets[0]
		o.tickets = o.tickets[1:]
		q.queued--
		if !now.Before(t.Deadline) {
			out = append(out, Decision{Ticket: t, Verdict: RefusedDeadline})
			continue
		}
		q.occupy(o)
		out = append(out, Decision{Ticket: t, Verdict: Admitted})
	}
	return out
}

// next returns the waiting organisation with the lowest virtual time. Ties go to the
// lexically lower name, so that runs are reproducible.
func (q *Queue) next() *organisation {
	var best *organisation
	var bestName string
	for name, o := range q.byName {
		if len(o.tickets) == 0 {
			continue
		}
		if best == nil || o.virtualTime < best.virtualTime || o.virtualTime == best.virtualTime && name < bestName {
			best, bestName = o, name
		}
	}
	return best
}

// occupy assigns a slot to an organisation and advances its virtual time.
func (q *Queue) occupy(o *organisation) {
	q.inFlight++
	o.inUse++
	q.virtualTime = max(q.virtualTime, o.virtualTime)
	o.virtualTime = max(o.virtualTime, q.virtualTime-1) + 1/o.weight
}

// estimateWait returns the expected wait of a new ticket: the time to serve the organisation's
// queue, including the ticket, with its share of the slots.
func (q *Queue) estimateWait(o *organisation) clock.Duration {
	weights := 0.0
	for _, other := range q.byName {
		if len(other.tickets) > 0 || other == o {
			weights += other.weight
		}
	}
	perSecond := float64(max(q.limit, 1)) / q.meanServiceMs * (o.weight / weights)
	return clock.Duration(float64(len(o.tickets)+1) / perSecond)
}

func (q *Queue) retryAfter(wait clock.Duration) clock.Duration {
	return min(maxRetryAfter, max(minRetryAfter, wait))
}

func (q *Queue) organisation(t Ticket) *organisation {
	o := q.byName[t.Organisation]
	if o == nil {
		o = &organisation{virtualTime: q.virtualTime}
		q.byName[t.Organisation] = o
	}
	o.weight = max(t.Weight, minWeight)
	return o
}

// removeIdle removes an idle organisation whose virtual time is not ahead of the queue's.
func (q *Queue) removeIdle(name string, o *organisation) {
	if o.inUse <= 0 && len(o.tickets) == 0 && o.virtualTime <= q.virtualTime {
		delete(q.byName, name)
	}
}
