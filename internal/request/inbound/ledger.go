package inbound

import (
	"container/list"
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// Parts of the budget.
const (
	// small is the part for the reserves of accounts. Large bodies cannot use it, so that they never
	// delay a small request.
	small = iota
	large
	parts
)

// Parameters of the budget.
const (
	// reserveBytes is what an account may hold of the small part: 16 KiB for a header section and
	// 16 KiB for a body.
	reserveBytes = 32 << 10
	// smallShare is one over the share of the budget that is the small part.
	smallShare = 4
	// minReserves is the minimum number of whole reserves in the small part.
	minReserves = 16
	// minIdle is the time without progress after which an account may be evicted.
	minIdle = 500 * clock.Millisecond
	// maxWait bounds the wait for room.
	maxWait = 2 * clock.Second
	// deadlockDelay is how long accounts that hold memory may all wait for each other before one of
	// them is refused. Requests that are forwarded may end within that time.
	deadlockDelay = 200 * clock.Millisecond
	// returnTimeout is the time within which an account that was evicted or refused is expected to
	// return what it holds. Others are evicted in its place afterwards.
	returnTimeout = 500 * clock.Millisecond
)

// verdict is the result of a wait for room.
type verdict int

const (
	granted verdict = iota
	refused
	evicted
)

// entry is the state of one account in the ledger.
type entry struct {
	client    string
	held      [parts]int
	progress  clock.Time
	protected bool
	evicted   bool
	waiting   *waiter              // Nil unless it waits for room.
	idle      [parts]*list.Element // Its place in the lists of accounts that may be evicted.
	// leavingSince is the time at which the account was evicted or refused.
	leavingSince clock.Time
}

// waiter is an account that waits for room.
type waiter struct {
	e       *entry
	n, part int
	since   clock.Time
	until   clock.Time
	place   *list.Element
}

// effects are the decisions of one update.
type effects struct {
	ended   map[*entry]verdict // Waits that ended.
	evicted []*entry           // Accounts to evict, also if they did not wait.
}

// ledger accounts for the memory of callers' requests, and decides who waits, who is refused and who is
// evicted. It is not safe for concurrent use.
type ledger struct {
	size    [parts]int
	used    [parts]int
	idle    [parts]*list.List // Entries that hold memory and may be evicted, longest without progress first.
	waiters [parts]*list.List // In order of arrival.
	clients map[string]*client
	leaving []*entry // Accounts that are about to return what they hold.
	request int      // Size of the largest request that must fit.
	out     effects
}

// client sums up the accounts of one address.
type client struct {
	entries, held, waiting int // Bytes held, and waits, of the large part.
}

// newLedger returns a ledger of a number of bytes. It is enlarged if one request of requestBytes does not
// fit beside the small part.
func newLedger(bytes, requestBytes int) *ledger {
	l := &ledger{clients: map[string]*client{}}
	l.size[small] = max(bytes/smallShare, minReserves*reserveBytes)
	l.size[large] = bytes - l.size[small]
	for p := range parts {
		l.idle[p], l.waiters[p] = list.New(), list.New()
	}
	l.ensure(requestBytes)
	return l
}

// ensure enlarges the large part so that one request of n bytes fits. It reports whether the part grew.
func (l *ledger) ensure(n int) bool {
	l.request = max(l.request, n)
	grows := l.size[large] < n
	l.size[large] = max(l.size[large], n)
	return grows
}

// open adds an account of a client.
func (l *ledger) open(now clock.Time, address string) *entry {
	c := l.clients[address]
	if c == nil {
		c = &client{}
		l.clients[address] = c
	}
	c.entries++
	return &entry{client: address, progress: now}
}

// close returns all that an account holds.
func (l *ledger) close(now clock.Time, e *entry) {
	l.cancel(e)
	l.release(now, e, e.held[small]+e.held[large])
	if c := l.clients[e.client]; c != nil {
		if c.entries--; c.entries == 0 {
			delete(l.clients, e.client)
		}
	}
}

// take charges n bytes to an account, or makes it wait until then at most. It returns false if it waits.
func (l *ledger) take(now clock.Time, e *entry, n int, until clock.Time) (verdict, bool) {
	if e.evicted {
		return evicted, true
	}
	part := large
	if e.held[small]+n <= reserveBytes {
		part = small
	}
	// A part with waiters is not free for newcomers, which would delay the waiters without bound.
	if l.waiters[part].Len() == 0 && l.fits(e, n, part) {
		l.charge(now, e, n, part)
		return granted, true
	}
	if part == small && l.waiters[large].Len() == 0 && l.fits(e, n, large) {
		l.charge(now, e, n, large)
		return granted, true
	}
	if n > l.size[part] {
		return refused, true
	}
	w := &waiter{e: e, n: n, part: part, since: now, until: min(until, now.Add(maxWait))}
	w.place = l.waiters[part].PushBack(w)
	e.waiting = w
	if part == large {
		l.clients[e.client].waiting++
	}
	l.relist(now, e)
	return granted, false
}

// fits reports whether n bytes of a part are free, and the client may take them.
func (l *ledger) fits(e *entry, n, part int) bool {
	if l.used[part]+n > l.size[part] {
		return false
	}
	return part == small || !l.exceedsShare(e, n)
}

// exceedsShare reports whether n more bytes would exceed the client's share: half of the large part while
// others wait, and in any case enough for one request.
func (l *ledger) exceedsShare(e *entry, n int) bool {
	c := l.clients[e.client]
	others := l.waiters[large].Len() - c.waiting
	return others > 0 && c.held+n > max(l.size[large]/2, l.request)
}

func (l *ledger) charge(now clock.Time, e *entry, n, part int) {
	e.held[part] += n
	l.used[part] += n
	if part == large {
		l.clients[e.client].held += n
	}
	l.relist(now, e)
}

// release returns n bytes of an account, those of the large part first.
func (l *ledger) release(now clock.Time, e *entry, n int) {
	fromLarge := min(max(n, 0), e.held[large])
	fromSmall := min(max(n, 0)-fromLarge, e.held[small])
	for part, bytes := range [parts]int{small: fromSmall, large: fromLarge} {
		e.held[part] -= bytes
		l.used[part] -= bytes
	}
	l.clients[e.client].held -= fromLarge
	l.relist(now, e)
}

// recordProgress records that bytes of an account's request arrived.
func (l *ledger) recordProgress(now clock.Time, e *entry) {
	e.progress = max(e.progress, now)
	for p := range parts {
		if e.idle[p] != nil {
			l.idle[p].MoveToBack(e.idle[p])
		}
	}
}

// protect sets whether an account may be evicted.
func (l *ledger) protect(now clock.Time, e *entry, on bool) {
	e.protected = on
	l.relist(now, e)
}

// cancel ends the wait of an account, if it waits.
func (l *ledger) cancel(e *entry) {
	w := e.waiting
	if w == nil {
		return
	}
	e.waiting = nil
	l.waiters[w.part].Remove(w.place)
	if w.part == large {
		l.clients[e.client].waiting--
	}
}

// relist adds an account to the lists of those that may be evicted, or removes it. The time before it is
// added does not count as idle: it was waiting, or its request was forwarded.
func (l *ledger) relist(now clock.Time, e *entry) {
	added := false
	for p := range parts {
		listed := e.held[p] > 0 && !e.protected && !e.evicted && e.waiting == nil
		switch {
		case listed && e.idle[p] == nil:
			e.idle[p] = l.idle[p].PushBack(e)
			added = true
		case !listed && e.idle[p] != nil:
			l.idle[p].Remove(e.idle[p])
			e.idle[p] = nil
		}
	}
	if added { // Keeps the lists in order of progress.
		l.recordProgress(now, e)
	}
}

// isWaiting reports whether any account waits.
func (l *ledger) isWaiting() bool { return l.waiters[small].Len()+l.waiters[large].Len() > 0 }

// update grants waits that fit, evicts idle accounts for others, and refuses waits that are over. next is
// the time of the next update unless something changes before, or 0 if nobody waits.
func (l *ledger) update(now clock.Time) (out effects, next clock.Time) {
	l.out = effects{ended: map[*entry]verdict{}}
	l.leaving = slices.DeleteFunc(l.leaving, func(e *entry) bool {
		return e.held[small]+e.held[large] == 0 || now.Sub(e.leavingSince) >= returnTimeout
	})
	for part := range parts {
		l.expire(now, part)
		l.grant(now, part)
		l.evict(now, part)
		l.breakDeadlock(now, part)
		if at := l.nextUpdate(now, part); at > 0 && (next == 0 || at < next) {
			next = at
		}
	}
	return l.out, next
}

// end ends a wait.
func (l *ledger) end(now clock.Time, w *waiter, v verdict) {
	l.cancel(w.e)
	l.out.ended[w.e] = v
	if v == granted {
		l.charge(now, w.e, w.n, w.part)
		return
	}
	l.leave(now, w.e)
	l.relist(now, w.e)
}

// leave records that an account is about to return what it holds.
func (l *ledger) leave(now clock.Time, e *entry) {
	e.leavingSince = now
	if !slices.Contains(l.leaving, e) {
		l.leaving = append(l.leaving, e)
	}
}

// expire refuses the waits that have reached their bound.
func (l *ledger) expire(now clock.Time, part int) {
	for place := l.waiters[part].Front(); place != nil; {
		w := place.Value.(*waiter)
		place = place.Next()
		if !now.Before(w.until) {
			l.end(now, w, refused)
		}
	}
}

// grant grants waits in order. One that exceeds its client's share does not delay those behind it; one for
// which too little is free does, since it would otherwise wait without bound for small steps of others.
func (l *ledger) grant(now clock.Time, part int) {
	for place := l.waiters[part].Front(); place != nil; {
		w := place.Value.(*waiter)
		place = place.Next()
		if l.fits(w.e, w.n, part) {
			l.end(now, w, granted)
		} else if l.used[part]+w.n > l.size[part] {
			return
		}
	}
}

// first returns the wait for which room is made: the first that does not exceed its client's share. It
// returns nil if nobody waits.
func (l *ledger) first(part int) *waiter {
	for place := l.waiters[part].Front(); place != nil; place = place.Next() {
		if w := place.Value.(*waiter); part == small || !l.exceedsShare(w.e, w.n) {
			return w
		}
	}
	if place := l.waiters[part].Front(); place != nil {
		return place.Value.(*waiter)
	}
	return nil
}

// missing returns the bytes that a wait needs beyond those that are free, and those that accounts are about
// to return.
func (l *ledger) missing(w *waiter) int {
	n := l.used[w.part] + w.n - l.size[w.part]
	for _, e := range l.leaving {
		n -= e.held[w.part]
	}
	return n
}

// evict evicts the accounts without progress for the longest time until the first wait will fit.
func (l *ledger) evict(now clock.Time, part int) {
	w := l.first(part)
	if w == nil {
		return
	}
	for missing := l.missing(w); missing > 0; {
		place := l.idle[part].Front()
		if place == nil {
			return
		}
		e := place.Value.(*entry)
		if now.Sub(e.progress) < minIdle {
			return
		}
		missing -= e.held[part]
		e.evicted = true
		l.out.evicted = append(l.out.evicted, e)
		l.leave(now, e)
		l.relist(now, e)
	}
}

// breakDeadlock refuses a wait if all accounts that hold memory, and whose request has not been forwarded,
// wait for each other: the newest wait of the client that holds most.
func (l *ledger) breakDeadlock(now clock.Time, part int) {
	w := l.first(part)
	if w == nil || l.idle[part].Len() > 0 || now.Sub(w.since) < deadlockDelay || l.missing(w) <= 0 {
		return
	}
	var victim *waiter
	for place := l.waiters[part].Back(); place != nil; place = place.Prev() {
		other := place.Value.(*waiter)
		if other == w || other.e.held[part] == 0 {
			continue
		}
		if victim == nil || l.clients[other.e.client].held > l.clients[victim.e.client].held {
			victim = other
		}
	}
	if victim != nil {
		l.end(now, victim, refused)
	}
}

// nextUpdate returns the time at which time alone may change a decision, or 0 if nobody waits.
func (l *ledger) nextUpdate(now clock.Time, part int) clock.Time {
	w := l.first(part)
	if w == nil {
		return 0
	}
	next := w.until
	for place := l.waiters[part].Front(); place != nil; place = place.Next() {
		next = min(next, place.Value.(*waiter).until)
	}
	consider := func(at clock.Time) {
		if now.Before(at) {
			next = min(next, at)
		}
	}
	if place := l.idle[part].Front(); place != nil {
		consider(place.Value.(*entry).progress.Add(minIdle))
	} else {
		consider(w.since.Add(deadlockDelay))
	}
	for _, e := range l.leaving {
		consider(e.leavingSince.Add(returnTimeout))
	}
	return max(next, now+1)
}
