package forward

import (
	"context"
	"errors"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/request/waitqueue"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
	"github.com/jasminecove/jasminecove/internal/routing/ratecap"
)

// Limits of the wait for a path.
const (
	// firstEventMargin is the time by which the first event of a stream that waited should precede the time at which
	// the caller leaves.
	firstEventMargin = 100 * clock.Millisecond
	// returningMargin is the difference between the deadlines of the route and of the caller from which on the
	// caller is taken to have been refused before.
	returningMargin = 100 * clock.Millisecond
	// minReturn is the shortest time after which a refused caller should return, and returnSpread the range of the
	// times of return as a fraction of the predicted wait.
	minReturn    = 300 * clock.Millisecond
	returnSpread = 0.25
	// minLoggedWait is the shortest wait that is logged.
	minLoggedWait = 100 * clock.Millisecond
	// firstEventWeight is the smoothing factor of the ratio between measured and calculated times to the first
	// event, and initialFirstEventRatio its first value.
	firstEventWeight       = 0.1
	initialFirstEventRatio = 2.0
	maxFirstEventRatio     = 20.0
	// maxQueueLabels is the maximum number of pools with metrics of their own.
	maxQueueLabels = 32
)

// fullError reports that a stream was refused because all paths are full.
type fullError struct {
	retryAfter clock.Duration
	// yielded is set if the stream was refused in favour of more urgent ones. It does not count as a shortage of
	// its own rank, which would keep that of the next rank up.
	yielded bool
}

// Error implements error.
func (e *fullError) Error() string { return chain.ErrFull.Error() }

// Unwrap returns chain.ErrFull.
func (e *fullError) Unwrap() error { return chain.ErrFull }

// queue returns the queue in which the stream waits, or nil if its pool has none.
func (s *stream) queue() *poolQueue {
	pool := s.x.Forward.Pool
	if s.h.cfg.NoWaitQueue || pool.Engine == nil || !s.x.Forward.Tables.Ranked(pool.Name) {
		return nil
	}
	return s.h.poolQueue(pool.Name)
}

// isResumed reports whether the stream has begun, so that it is not refused.
func (s *stream) isResumed() bool { return s.headWritten || s.runs > 0 }

// waitForTarget returns a target, waiting for capacity if there is none at first.
func (s *stream) waitForTarget(ctx context.Context) (*target, error) {
	if q := s.queue(); q != nil {
		return s.waitInQueue(ctx, q)
	}
	wait := s.shortWait()
	waitsUntil := time.Now().Add(wait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	poll := time.NewTicker(pathPollInterval)
	defer poll.Stop()
	for {
		if err := quarantineError(s.watch.Check()); err != nil {
			return nil, err
		}
		room := s.h.cfg.Catalog.CapacityFreed()
		t, err := s.findTarget()
		if err == nil {
			s.h.recordAccepted(s.x.Forward.Pool.Name)
			return t, nil
		}
		if errors.Is(err, chain.ErrMissingLayers) && len(s.exclude) > 0 {
			// An excluded engine is better than none.
			clear(s.exclude)
			continue
		}
		if s.waitIsFutile(err, wait, waitsUntil) {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-timer.C:
			return nil, err
		case <-room:
		case <-poll.C:
		}
	}
}

// shortWait returns how long the stream waits for a path in a pool without a queue, or for missing layers.
func (s *stream) shortWait() time.Duration {
	if s.isResumed() {
		return resumeTimeout
	}
	return time.Duration(pathWaitFraction * float64(s.x.Forward.Route.Objective.Std()))
}

// waitIsFutile reports whether a stream that found no path because of an error would not find one by waiting.
func (s *stream) waitIsFutile(err error, wait time.Duration, waitsUntil time.Time) bool {
	if s.isResumed() {
		return false
	}
	var limited *ratecap.UsedUpError
	if errors.As(err, &limited) && time.Now().Add(limited.Wait.Std()).After(waitsUntil) {
		return true
	}
	return errors.Is(err, chain.ErrMissingLayers) && s.gapRemains(wait)
}

// queueWait is the wait of one stream in the queue of its pool.
type queueWait struct {
	s         *stream
	q         *poolQueue
	ticket    waitqueue.Ticket
	began     clock.Time
	turns     <-chan struct{} // Nil while the stream is not in the queue.
	granted   bool            // The stream has a turn.
	waited    bool            // The stream has been in the queue.
	looked    uint64          // Round in which it looked for a path before it waited, or 0.
	position  int             // When it began to wait.
	predicted clock.Duration
}

// waitInQueue is like waitForTarget, in the order of the pool's queue. For missing layers and rate limits the
// stream waits outside the queue.
func (s *stream) waitInQueue(ctx context.Context, q *poolQueue) (*target, error) {
	w := &queueWait{s: s, q: q, ticket: s.ticket(q), began: s.h.cfg.Clock.Now()}
	served := false
	defer func() { w.leave(served) }()
	if demand := s.h.cfg.Demand; demand != nil && !s.isResumed() && s.rejections == 0 && demand.Refuses(q.pool, w.ticket.Rank) {
		return nil, w.refuse(true)
	}
	limit := time.NewTimer(w.ticket.Until.Sub(w.began).Std())
	defer limit.Stop()
	poll := time.NewTicker(pathPollInterval)
	defer poll.Stop()
	var gapTimer <-chan time.Time // Set since layers are missing or rate limits are used up.
	var gapUntil time.Time
	for {
		if err := quarantineError(s.watch.Check()); err != nil {
			return nil, err
		}
		room, err := s.h.cfg.Catalog.CapacityFreed(), error(chain.ErrFull)
		if w.mayLook() {
			var t *target
			if t, err = s.findTarget(); err == nil {
				s.h.recordAccepted(q.pool)
				t.freed, served = q.freed, true
				return t, nil
			}
		}
		if errors.Is(err, chain.ErrMissingLayers) && len(s.exclude) > 0 {
			clear(s.exclude)
			continue
		}
		if errors.Is(err, chain.ErrFull) {
			gapTimer = nil
			if !w.wait() {
				return nil, w.refuse(false)
			}
			select {
			case <-ctx.Done():
				return nil, context.Cause(ctx)
			case <-limit.C:
				return nil, w.refuse(false)
			case <-w.turns:
				w.granted = true
			}
			continue
		}
		w.leave(false)
		if gapTimer == nil {
			wait := s.shortWait()
			timer := time.NewTimer(wait)
			defer timer.Stop()
			gapTimer, gapUntil = timer.C, time.Now().Add(wait)
		}
		if s.waitIsFutile(err, s.shortWait(), gapUntil) {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-gapTimer:
			return nil, err
		case <-room:
		case <-poll.C:
		}
	}
}

// ticket returns the stream's ticket in a queue.
func (s *stream) ticket(q *poolQueue) waitqueue.Ticket {
	now := s.h.cfg.Clock.Now()
	route := s.x.Forward.Route
	t := waitqueue.Ticket{
		ID: s.h.lastTicket.Add(1), Rank: s.x.Forward.Priority, Organisation: s.x.Organisation, Arrived: now,
		// A stream that leaves a share of engines free may find no path where another one finds one.
		Restricted: len(s.exclude) > 0 || len(s.firstEngines) > 0 || s.isRanked() && s.unreserved, Tokens: s.promptTokens + s.answerTokens,
	}
	deadline := now.Add(remaining(s.x))
	if s.isResumed() {
		t.Returning = true
		t.Until = min(now.Add(clock.FromStd(resumeTimeout)), deadline)
		t.Objective = t.Until
		return t
	}
	q.mu.Lock()
	first := clock.FromMillis(q.firstRatio * float64(s.calculatedFirstEvent()))
	q.mu.Unlock()
	received := now.Add(-clock.FromStd(time.Since(s.x.Received)))
	spent := clock.Duration(0) // By the caller before this attempt.
	if requested := headerMillis(s.x.R.Header, s.h.cfg.Dialect.Deadline); requested > 0 {
		spent = max(0, route.Deadline-requested)
	}
	// A stream that an upstream rejected had its turn before.
	t.Returning = spent > returningMargin || s.rejections > 0
	t.Objective = received.Add(route.Objective - spent - first - firstEventMargin)
	t.Until = min(received.Add(callerTimeout(route)), deadline).Add(-first - firstEventMargin)
	return t
}

// calculatedFirstEvent returns the time to the first event on an engine of usual speed without load.
func (s *stream) calculatedFirstEvent() clock.Duration {
	e := s.x.Forward.Pool.Engine
	return max(1, clock.FromMillis(e.StepMs+float64(s.promptTokens)/e.ReadTokensPerMs))
}

// recordFirstEvent records the time from the choice of a path to the first event of the stream's first run.
func (s *stream) recordFirstEvent(chosen time.Time) {
	if q := s.queue(); q != nil {
		q.recordFirstEvent(s.x.Account.FirstToken-clock.FromStd(chosen.Sub(s.x.Received)), s.calculatedFirstEvent())
	}
}

// mayLook reports whether the stream may look for a path.
func (w *queueWait) mayLook() bool {
	if w.turns != nil {
		return w.granted
	}
	w.q.mu.Lock()
	defer w.q.mu.Unlock()
	if !w.q.queue.MayLook(w.ticket) {
		w.looked = 0
		return false
	}
	w.looked = w.q.queue.Round()
	return true
}

// wait makes the stream wait for its next turn. It returns false if the stream would probably get none in time.
func (w *queueWait) wait() bool {
	w.q.mu.Lock()
	defer w.q.mu.Unlock()
	if w.turns != nil {
		if w.granted { // Otherwise it has not looked, and a turn may be on its way.
			w.granted = false
			w.q.queue.Pass(w.ticket.ID)
			w.q.deliver()
		}
		return true
	}
	now := w.s.h.cfg.Clock.Now()
	w.position, w.predicted = w.q.queue.Position(now, w.ticket), w.q.queue.Wait(now, w.ticket)
	if !w.s.isResumed() && w.q.queue.IsMeasured(now) && now.Add(w.predicted) > w.ticket.Until {
		return false
	}
	w.waited = true
	w.turns = w.q.add(w.ticket, w.looked)
	return true
}

// leave ends the stream's wait in the queue, if it is there.
func (w *queueWait) leave(served bool) {
	w.q.mu.Lock()
	defer w.q.mu.Unlock()
	switch {
	case w.turns != nil:
		w.q.remove(w.ticket, served)
		w.turns, w.granted = nil, false
	case served:
		w.q.queue.Took(w.s.h.cfg.Clock.Now(), w.ticket)
	}
	if w.waited {
		w.waited = false
		w.record(served)
	}
}

// record records the wait in the log and the metrics. The caller must hold w.q.mu.
func (w *queueWait) record(served bool) {
	took := w.s.h.cfg.Clock.Now().Sub(w.began)
	m := w.q.metricsOf(w.ticket.Rank)
	m.predicted.RecordDuration(w.predicted.Std())
	m.actual.RecordDuration(took.Std())
	if took > minLoggedWait {
		w.s.h.cfg.Log.Decision("waited", w.s.x.ID, "pool", w.q.pool, "rank", w.ticket.Rank, "organisation", w.ticket.Organisation, "returning", w.ticket.Returning,
			"position", w.position, "predictedMs", int64(w.predicted), "waitedMs", int64(took), "served", served)
	}
}

// refuse returns the error of a stream that is refused because all paths are full, with the time after which its
// caller should return.
func (w *queueWait) refuse(yielded bool) error {
	random := w.s.h.random()
	longest := remaining(w.s.x) / callerWaitFraction
	w.q.mu.Lock()
	defer w.q.mu.Unlock()
	now := w.s.h.cfg.Clock.Now()
	if w.turns == nil {
		w.q.queue.Refused(now, w.ticket)
	}
	wait := w.q.queue.Wait(now, w.ticket)
	spread := random * returnSpread
	after := minReturn + wait + clock.FromMillis(spread*float64(max(wait, 4*minReturn)))
	// Callers that would return later than they can are spread too.
	after = min(after, longest-clock.FromMillis(spread*float64(longest)))
	return &fullError{retryAfter: max(minReturn, after), yielded: yielded}
}
