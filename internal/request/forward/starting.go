package forward

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
	"github.com/jasminecove/jasminecove/internal/routing/lookup"
)

// Limits of requests that arrive while the VM starts.
const (
	// DefaultStartWindow is how long after its start a VM counts as starting at most.
	DefaultStartWindow = 5 * clock.Second
	// maxStartWait bounds the wait for tables and upstreams together, counted from the arrival of the request.
	maxStartWait = 1500 * clock.Millisecond
	// maxTablesWait bounds the wait for tables. The route is not known then, and the caller of a stream may
	// leave 2 s after it sent the request, so that 0.6 s remain for the first event.
	maxTablesWait = 1400 * clock.Millisecond
	// startWaitShare is the part of the caller's deadline for which a request may wait, as a divisor.
	startWaitShare = 3
	// minStartLeft is how much of the window must be left for a request to be treated as one of the start.
	// Later ones get the wait of a VM that is not starting, which is no shorter.
	minStartLeft = 700 * clock.Millisecond
	// maxStartWaiting and maxStartBytes bound the number of waiting requests and the bytes of their bodies.
	// The smallest VM has 136 MB, of which a quarter is for responses that are being buffered.
	// Bodies of up to smallBodyBytes always have room.
	maxStartWaiting = 256
	maxStartBytes   = 16 << 20
	smallBodyBytes  = 16 << 10
	maxLargeBytes   = maxStartBytes - maxStartWaiting*smallBodyBytes
	// heldChunkBytes is the size in which early bodies are read and freed. The first chunk of a body of unknown
	// length has firstChunkBytes.
	heldChunkBytes  = 64 << 10
	firstChunkBytes = 4 << 10
	// startPollInterval is the interval at which waiting requests check for tables and upstreams.
	startPollInterval = 20 * time.Millisecond
	// rankReleaseDelay separates the release of requests of successive ranks. It is longer than the poll
	// interval, within which all requests of a rank are released. Ranks above maxDelayedRank are released
	// together.
	rankReleaseDelay = 25 * time.Millisecond
	maxDelayedRank   = 4
)

// startQuery is what the wait of a request at a starting VM depends on.
type startQuery struct {
	age, window   clock.Duration // Age of the VM when the request arrived, and at which it no longer counts as starting.
	deadline      clock.Duration // How long the caller waits in all; 0 if that is not known.
	routeKnown    bool
	stream        bool
	objective     clock.Duration // For the first event of a stream.
	callerTimeout clock.Duration // Time after which the caller abandons a stream without events.
}

// wait returns for how long after its arrival a request may wait for tables and upstreams. It returns false if
// the VM does not count as starting.
func (q startQuery) wait() (clock.Duration, bool) {
	left := q.window - q.age
	if left < minStartLeft {
		return 0, false
	}
	limit := maxStartWait
	switch {
	case !q.routeKnown:
		limit = maxTablesWait
	case q.stream:
		// A stream with a long objective waits no shorter than after the start.
		limit = max(limit, clock.Duration(pathWaitFraction*float64(q.objective)))
		limit = min(limit, max(0, q.callerTimeout-q.objective))
	}
	if q.deadline > 0 {
		limit = min(limit, q.deadline/startWaitShare)
	}
	return min(limit, left), true
}

// startQuery returns the query for a request.
func (h *Handler) startQuery(x *exchange.Exchange) startQuery {
	q := startQuery{window: h.cfg.StartWindow, deadline: headerMillis(x.R.Header, h.cfg.Dialect.Deadline)}
	q.age = h.cfg.Clock.Now().Sub(h.started) - clock.FromStd(time.Since(x.Received))
	r := x.Forward.Route
	if r == nil {
		return q
	}
	q.routeKnown, q.objective = true, r.Objective
	q.deadline = clock.FromStd(x.Deadline.Sub(x.Received))
	if r.Events != nil {
		q.stream, q.callerTimeout = true, callerTimeout(r)
	}
	return q
}

// Things that a request waits for at the start, and results of the wait, in logs and metrics.
const (
	startTables   = "tables"
	startPath     = "path"
	startUpstream = "upstream"

	startFound   = "found"
	startTimeout = "timeout"
	startLeft    = "callerLeft"
	startClosing = "draining"
	startFull    = "full"
	startNoBody  = "noBody"
)

// starting is the state of the start of a VM.
type starting struct {
	hadTables atomic.Bool // The tables have been usable once.

	mu      sync.Mutex // Guards the fields below.
	waiting int        // Number of waiting requests.
	bytes   int        // Of the bodies of waiting requests.
	pools   map[string]*poolStart
}

// poolStart says whether a pool was complete once.
type poolStart struct {
	complete  bool
	checkedAt time.Time
}

// recordTables records that the tables have been usable.
func (s *starting) recordTables() {
	if !s.hadTables.Load() {
		s.hadTables.Store(true)
	}
}

// enter counts a waiting request. It returns false if too many wait.
func (s *starting) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= maxStartWaiting {
		return false
	}
	s.waiting++
	return true
}

func (s *starting) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}

// take counts n more bytes of a body that had size bytes before. It returns false if the bodies would exceed their
// limit.
func (s *starting) take(size, n int) bool {
	limit := maxLargeBytes
	if size+n <= smallBodyBytes {
		limit = maxStartBytes
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bytes+n > limit {
		return false
	}
	s.bytes += n
	return true
}

func (s *starting) give(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes -= n
}

// completeOnce reports whether a pool was complete at any time since the start. It checks a pool at most once in
// a poll interval, whatever the number of waiting requests.
func (h *Handler) completeOnce(p *tables.Pool) bool {
	s := &h.start
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pools == nil {
		s.pools = map[string]*poolStart{}
	}
	st := s.pools[p.Name]
	if st == nil {
		st = &poolStart{}
		s.pools[p.Name] = st
	}
	if now := time.Now(); !st.complete && now.Sub(st.checkedAt) >= startPollInterval {
		st.checkedAt = now
		st.complete = h.cfg.Catalog.Complete(p)
	}
	return st.complete
}

// awaitTables waits on a VM that is starting until check returns the tables for a request, whose first check
// failed. The body is read first, since a caller gives up on a request that was not read within a second. It
// returns false if the VM does not count as starting. done must be called at the end of the request.
func (h *Handler) awaitTables(ctx context.Context, x *exchange.Exchange, check func(*http.Request) (*lookup.Index, error)) (index *lookup.Index, done func(), isStarting bool, err error) {
	account, closeAccount := h.cfg.Inbound.ForRequest(x.W, x.R)
	body := &heldBody{start: &h.start, account: account, close: closeAccount}
	wait, isStarting := h.startQuery(x).wait()
	if !isStarting || h.start.hadTables.Load() || h.cfg.Closing() {
		return nil, body.release, false, nil
	}
	result := startFull
	defer func() { h.recordStartWait(x, startTables, result) }()
	until := x.Received.Add(wait.Std())
	if x.R.ContentLength > DefaultMaxBodyBytes {
		// Only the tables may allow such a body, so it stays unread.
		until = earlier(until, x.Received.Add(tablesTimeout))
	} else if err := h.readEarly(ctx, x, body); err != nil {
		if !errors.Is(err, errStartFull) {
			result = startNoBody
		}
		return nil, body.release, true, err
	}
	// Only requests that are complete count, so that clients whose bodies don't arrive keep no others out.
	if !h.start.enter() {
		return nil, body.release, true, errStartFull
	}
	defer h.start.leave()
	result, err = h.poll(ctx, until, func() (err error) {
		index, err = check(x.R)
		return err
	})
	return index, body.release, true, err
}

// awaitPool waits on a VM that is starting until the upstreams of the request's pool are first known. Requests
// that waited for the tables then go on in the order of their rank.
func (h *Handler) awaitPool(ctx context.Context, x *exchange.Exchange) error {
	wait, isStarting := h.startQuery(x).wait()
	if !isStarting || h.cfg.Closing() {
		return nil
	}
	pool, until := x.Forward.Pool, x.Received.Add(wait.Std())
	if !h.completeOnce(pool) {
		if err := h.pollPool(ctx, x, until); err != nil {
			return err
		}
	}
	if x.Account.StartWait > 0 && x.Forward.Tables.Ranked(pool.Name) {
		turn := time.Duration(min(maxDelayedRank, x.Forward.Priority)) * rankReleaseDelay
		_ = delay.Wait(ctx, min(turn, time.Until(until))) // A canceled request ends at its first attempt.
	}
	return nil
}

// pollPool waits until the upstreams of the request's pool are first known.
func (h *Handler) pollPool(ctx context.Context, x *exchange.Exchange, until time.Time) error {
	pool, what, text := x.Forward.Pool, startUpstream, "no upstream of the pool is known yet"
	if pool.Engine != nil {
		what, text = startPath, "no path runs every layer yet"
	}
	result := startFull
	defer func() { h.recordStartWait(x, what, result) }()
	if !h.start.take(0, x.Forward.BodyBytes) {
		return nil
	}
	defer h.start.give(x.Forward.BodyBytes)
	if !h.start.enter() {
		return nil
	}
	defer h.start.leave()
	var err error
	result, err = h.poll(ctx, until, func() error {
		if h.completeOnce(pool) {
			return nil
		}
		return errPoolUnknown
	})
	if err != nil && result != startClosing {
		// The time to return is not computed from the shortages of the pool, whose duration a start does not tell.
		return refusal.New(refusal.NoUpstream, http.StatusServiceUnavailable, "%s", text).WithRetryAfter(notReadyRetryAfter).WithCause(err)
	}
	return nil
}

// poll calls check until it returns nil, the time has come, the VM drains or the caller leaves. It returns the
// result of the wait and the last error.
func (h *Handler) poll(ctx context.Context, until time.Time, check func() error) (result string, err error) {
	for {
		err := check()
		left := time.Until(until)
		switch {
		case err == nil:
			return startFound, nil
		case h.cfg.Closing():
			return startClosing, err
		case left <= 0:
			return startTimeout, err
		}
		if werr := delay.Wait(ctx, min(startPollInterval, left)); werr != nil {
			return startLeft, werr
		}
	}
}

// recordStartWait logs and counts the wait of a request for what a starting VM did not know.
func (h *Handler) recordStartWait(x *exchange.Exchange, what, result string) {
	at := clock.FromStd(time.Since(x.Received))
	waited := at - x.Account.StartWait
	x.Account.StartWait = at
	h.cfg.Log.Decision("waitedForStart", x.ID, "for", what, "result", result, "pool", x.Account.Pool, "waitedMs", int64(waited),
		"atMs", int64(at), "vmAgeMs", int64(h.cfg.Clock.Now().Sub(h.started)))
	h.metrics.scope.Tagged(map[string]string{"for": what, "result": result}).Counter("start_waits_total").Inc(1)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
