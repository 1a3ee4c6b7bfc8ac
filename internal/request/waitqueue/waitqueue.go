// Package waitqueue orders the streams of one pool that wait for capacity on a VM, and predicts
// how long a stream will wait. A turn is the permission to look for a path. Each place that
// becomes free gives one turn; a ticket that finds no path passes its turn on.
//
// A Queue is deterministic and does no I/O.
package waitqueue

import (
	"cmp"
	"math"
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// agingInterval is the number of streams served while others wait of which one is the longest waiter of the rank of
// which the smallest share is served, beside the most urgent waiting one. If all ranks were considered, those that
// together exceed the capacity would get most of these turns too.
const agingInterval = 8

// Ticket is a stream that waits for a path.
type Ticket struct {
	ID           uint64
	Rank         int // 0 is the most urgent.
	Organisation string
	// Returning is set if the caller was refused before, or its stream was interrupted.
	Returning bool
	// Restricted is set if the stream excludes some upstreams. Then it says nothing about other streams
	// if it finds no path, and the other way round.
	Restricted bool
	Arrived    clock.Time
	Objective  clock.Time // Time until which a path must be found for the first event to meet the objective.
	Until      clock.Time // End of the wait.
	Tokens     int        // Memory that the request needs.
}

// entry is a waiting ticket.
type entry struct {
	Ticket
	looking bool   // Has a turn.
	byAge   bool   // Has the turn as the longest waiter.
	polled  bool   // Has the turn of a poll.
	round   uint64 // In which it last had a turn.
}

// Queue holds the tickets of one pool. It is not safe for concurrent use.
type Queue struct {
	entries map[uint64]*entry
	turns   int  // Places that became free and for which no ticket has a turn.
	poll    bool // The turn of a poll has not been given.

	// A round lasts until capacity may have become free. Within a round a ticket gets one turn, and none if
	// it needs at least as much as another one of its rank or more urgent that found no path.
	round  uint64
	failed map[int]int // Fewest tokens for which no path was found in the round, by rank.

	sinceOldest int    // Streams served since the longest waiter was.
	ageLooking  bool   // A ticket has a turn as the longest waiter.
	agePassed   uint64 // Last round in which such a ticket found no path, or there was none to look for one.

	finish  map[member]float64 // Virtual time after the last stream of an organisation.
	virtual map[int]float64    // Virtual time, by rank.

	freed    meter      // Requests that ended.
	busy     meter      // Places that this VM's streams got while tickets waited, in that time.
	arrivals []arrivals // Streams that were served at once or wait.
	shares   []share
}

// share measures which share of the streams of a rank is served.
type share struct {
	rank          int
	asked, served meter
}

// arrivals measures the arrivals of tickets of a class that could still meet their objective, or could not.
type arrivals struct {
	class class
	late  bool
	meter meter
}

// member is an organisation among those with tickets of one rank.
type member struct {
	rank         int
	organisation string
}

// class is the part of a ticket's order that does not change.
type class struct {
	rank      int
	newcomers bool
}

func (t *Ticket) class() class { return class{t.Rank, !t.Returning} }

// isBefore reports whether tickets of a class have precedence over those of another.
func (c class) isBefore(d class) bool {
	return c.rank < d.rank || c.rank == d.rank && !c.newcomers && d.newcomers
}

// New returns an empty queue.
func New(now clock.Time) *Queue {
	return &Queue{
		entries: map[uint64]*entry{}, round: 1, failed: map[int]int{},
		finish: map[member]float64{}, virtual: map[int]float64{}, freed: meter{at: now}, busy: meter{at: now},
	}
}

// Len returns the number of waiting tickets.
func (q *Queue) Len() int { return len(q.entries) }

// Waiting returns the number of waiting tickets of a rank.
func (q *Queue) Waiting(rank int) int {
	n := 0
	for _, e := range q.entries {
		if e.Rank == rank {
			n++
		}
	}
	return n
}

// MayLook reports whether a new ticket may look for a path at once: if no ticket of its rank or more urgent waits,
// except for larger ones that found no path in this round, and the longest waiter is not due.
func (q *Queue) MayLook(t Ticket) bool {
	if q.isAgingDue() && len(q.entries) > 0 && q.agePassed != q.round {
		return false
	}
	for _, e := range q.entries {
		failed := !e.looking && (e.round == q.round || q.isFutile(&e.Ticket))
		if e.Rank <= t.Rank && (!failed || e.Tokens <= t.Tokens) {
			return false
		}
	}
	return true
}

// Took records that a new ticket found a path without waiting.
func (q *Queue) Took(now clock.Time, t Ticket) {
	q.arrived(now, t)
	q.share(t.Rank).served.add(now)
	q.charge(t)
	if len(q.entries) > 0 {
		q.sinceOldest++
		q.busy.add(now)
	}
}

// Refused records that a new ticket was refused without waiting.
func (q *Queue) Refused(now clock.Time, t Ticket) { q.share(t.Rank).asked.add(now) }

// Round returns the number of the present round.
func (q *Queue) Round() uint64 { return q.round }

// Add adds a ticket. It found no path in a given round before, or has not looked for one if that is 0. A place that
// became free while it looked gives it a turn.
func (q *Queue) Add(now clock.Time, t Ticket, looked uint64) {
	q.arrived(now, t)
	q.busy.advance(now, len(q.entries) > 0)
	e := &entry{Ticket: t, round: looked}
	q.entries[t.ID] = e
	if looked > 0 && looked < q.round {
		q.turns++
	}
	q.recordFailure(e)
}

// Next gives a turn to a ticket, if there is one to give.
func (q *Queue) Next(now clock.Time) (Ticket, bool) {
	if q.turns == 0 && !q.poll {
		return Ticket{}, false
	}
	byAge := q.isAgingDue() && !q.ageLooking
	e := q.first(now, byAge)
	if e == nil && byAge { // The longest waiter cannot use the place.
		byAge, q.agePassed = false, q.round
		e = q.first(now, false)
	}
	if e == nil { // Nobody in this round can use the place.
		q.turns, q.poll = 0, false
		return Ticket{}, false
	}
	e.looking, e.round, e.byAge, e.polled = true, q.round, byAge, q.turns == 0
	if e.polled {
		q.poll = false
	} else {
		q.turns--
	}
	q.ageLooking = q.ageLooking || byAge
	return e.Ticket, true
}

// Pass records that a ticket with a turn found no path. The turn passes to another ticket, unless it is that
// of a poll.
func (q *Queue) Pass(id uint64) {
	e := q.entries[id]
	if e == nil || !e.looking {
		return
	}
	q.recordFailure(e)
	if e.byAge {
		q.agePassed = e.round
	}
	poll := q.poll
	q.endTurn(e)
	q.poll = poll
}

// Served records that a ticket found a path, and removes it. If it found it by a poll, there may be capacity for
// more, and another ticket gets a turn.
func (q *Queue) Served(now clock.Time, id uint64) {
	e := q.entries[id]
	if e == nil {
		return
	}
	q.busy.add(now)
	q.share(e.Rank).served.add(now)
	q.sinceOldest++
	if e.byAge || q.isLongestWaiter(now, &e.Ticket) {
		q.sinceOldest = 0
	}
	if e.byAge {
		q.ageLooking = false
	}
	q.charge(e.Ticket)
	delete(q.entries, id)
	if e.polled {
		q.turns++
	}
}

// Remove removes a ticket that does not wait any more. A turn that it has passes to another ticket.
func (q *Queue) Remove(now clock.Time, id uint64) {
	e := q.entries[id]
	if e == nil {
		return
	}
	q.busy.advance(now, true)
	if e.looking {
		q.endTurn(e)
	}
	delete(q.entries, id)
}

// endTurn takes a turn back from a ticket, so that another one may get it.
func (q *Queue) endTurn(e *entry) {
	if e.polled {
		q.poll = true
	} else {
		q.turns++
	}
	if e.byAge {
		q.ageLooking = false
	}
	e.looking, e.byAge, e.polled = false, false, false
}

// Freed records that a request ended, which frees capacity for one ticket.
func (q *Queue) Freed(now clock.Time) {
	q.freed.add(now)
	q.beginRound()
	q.turns = min(q.turns+1, len(q.entries))
}

// Poll gives one ticket a turn, as capacity may have become free that this VM did not use. Polls continue a round
// until each ticket in it had a turn or would find no path.
func (q *Queue) Poll(now clock.Time) {
	if q.first(now, false) == nil {
		q.beginRound()
	}
	q.poll = len(q.entries) > 0
}

func (q *Queue) beginRound() {
	q.round++
	clear(q.failed)
}

// recordFailure records that an entry found no path in the round in which it looked.
func (q *Queue) recordFailure(e *entry) {
	if e.Restricted || e.round != q.round {
		return
	}
	if least, known := q.failed[e.Rank]; !known || e.Tokens < least {
		q.failed[e.Rank] = e.Tokens
	}
}

// isFutile reports whether a ticket would find no path in this round.
func (q *Queue) isFutile(t *Ticket) bool {
	if t.Restricted {
		return false
	}
	for rank, tokens := range q.failed {
		if rank <= t.Rank && tokens <= t.Tokens {
			return true
		}
	}
	return false
}

// isAgingDue reports whether the next turn is that of the longest waiter.
func (q *Queue) isAgingDue() bool { return q.sinceOldest >= agingInterval-1 }

// starved returns the rank whose longest waiter gets the next turn by age: of the waiting ranks but the most urgent
// one, which gets the other turns, that of which the smallest share was served lately. A new ticket counts
// as waiting, if given.
func (q *Queue) starved(now clock.Time, additional *Ticket) int {
	front, best, least := math.MaxInt, math.MaxInt, math.Inf(1)
	for _, e := range q.entries {
		front = min(front, e.Rank)
	}
	if additional != nil {
		front = min(front, additional.Rank)
	}
	for i := range q.shares {
		s := &q.shares[i]
		if s.rank == front || q.Waiting(s.rank) == 0 && (additional == nil || additional.Rank != s.rank) {
			continue
		}
		if share := s.served.perMs(now) / max(math.SmallestNonzeroFloat64, s.asked.perMs(now)); share < least || share == least && s.rank > best {
			best, least = s.rank, share
		}
	}
	if best == math.MaxInt {
		return front
	}
	return best
}

// isLongestWaiter reports whether a waiting ticket is the next to get a turn by age.
func (q *Queue) isLongestWaiter(now clock.Time, t *Ticket) bool {
	if t.Rank != q.starved(now, nil) {
		return false
	}
	for _, e := range q.entries {
		if e.Rank == t.Rank && compareAge(&e.Ticket, t) < 0 {
			return false
		}
	}
	return true
}

// first returns the entry that gets the next turn in this round, or nil.
func (q *Queue) first(now clock.Time, byAge bool) *entry {
	var best *entry
	starved := 0
	if byAge {
		starved = q.starved(now, nil)
	}
	for _, e := range q.entries {
		if byAge && e.Rank != starved || e.looking || e.round == q.round || !now.Before(e.Until) || q.isFutile(&e.Ticket) {
			continue
		}
		if best == nil || q.compare(now, &e.Ticket, &best.Ticket, byAge) < 0 {
			best = e
		}
	}
	return best
}

// compare orders tickets by precedence, which is total, so that runs are reproducible.
func (q *Queue) compare(now clock.Time, a, b *Ticket, byAge bool) int {
	if byAge {
		return compareAge(a, b)
	}
	return cmp.Or(
		compareGroup(now, a, b),
		cmp.Compare(q.start(a.Rank, a.Organisation), q.start(b.Rank, b.Organisation)),
		compareAge(a, b),
	)
}

func compareAge(a, b *Ticket) int {
	return cmp.Or(cmp.Compare(a.Arrived, b.Arrived), cmp.Compare(a.ID, b.ID))
}

// compareGroup orders tickets by what precedes fair queueing between organisations.
func compareGroup(now clock.Time, a, b *Ticket) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), compareFalseFirst(!a.Returning, !b.Returning), compareFalseFirst(a.isLate(now), b.isLate(now)))
}

// isLate reports whether the ticket cannot meet its objective any more.
func (t *Ticket) isLate(now clock.Time) bool { return now > t.Objective }

func compareFalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// start returns the virtual time at which the next stream of an organisation starts.
func (q *Queue) start(rank int, organisation string) float64 {
	return max(q.virtual[rank], q.finish[member{rank, organisation}])
}

// charge advances the virtual time of the ticket's organisation by one stream.
func (q *Queue) charge(t Ticket) {
	start := q.start(t.Rank, t.Organisation)
	q.virtual[t.Rank] = start
	q.finish[member{t.Rank, t.Organisation}] = start + 1
	const maxMembers = 4096
	if len(q.finish) > maxMembers {
		for m, f := range q.finish {
			if f <= q.virtual[m.rank] {
				delete(q.finish, m)
			}
		}
	}
}

func (q *Queue) arrived(now clock.Time, t Ticket) {
	q.share(t.Rank).asked.add(now)
	late := t.isLate(now)
	i := slices.IndexFunc(q.arrivals, func(a arrivals) bool { return a.class == t.class() && a.late == late })
	if i < 0 {
		i = len(q.arrivals)
		q.arrivals = append(q.arrivals, arrivals{t.class(), late, meter{at: now}})
	}
	q.arrivals[i].meter.add(now)
}

func (q *Queue) share(rank int) *share {
	i := slices.IndexFunc(q.shares, func(s share) bool { return s.rank == rank })
	if i < 0 {
		i = len(q.shares)
		q.shares = append(q.shares, share{rank: rank})
	}
	return &q.shares[i]
}
