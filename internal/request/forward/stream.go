package forward

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/node/listen"
	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/quarantine"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
)

// Limits of streams.
const (
	// pathWaitFraction is the fraction of the route's objective that a request may wait for
	// capacity on a path before it is refused. The rest is left for its first event.
	pathWaitFraction = 0.7
	// pathPollInterval is the interval at which a waiting request looks for a path whose capacity
	// was released or whose engines were newly announced.
	pathPollInterval = 25 * time.Millisecond
	// resumeTimeout is how long a broken stream waits for a path with capacity.
	resumeTimeout = 1500 * time.Millisecond
	// A run may pause for firstEventFactor (before its first event) or gapFactor (between
	// events) times the estimate plus stallSlack. After that, its first engine is asked which
	// engine it waits for.
	firstEventFactor = 4
	gapFactor        = 5
	stallSlack       = 250 * time.Millisecond
	// A run may pause for stallFraction of the time that callers wait for an event. After that
	// another one is tried although no engine was found at fault.
	stallFraction = 0.85
	// wrongLayersDelay is how long an engine gets no requests after it was found to hold other
	// layers than announced: long enough for its next announcement. noCapacityDelay applies
	// to an engine that had no capacity or depended on an engine that had none.
	wrongLayersDelay = 1200 * clock.Millisecond
	noCapacityDelay  = 400 * clock.Millisecond
	// maxRuns is the maximum number of runs of one request.
	maxRuns = 5
	// urgencyLevels is the number of urgency levels that engines support.
	urgencyLevels = 10
	// unreservedShare is the share of requests that leave nothing free for more urgent ones. While these alone
	// fill the pool, no other request of a less urgent kind is served, and each kind is to be served a quarter as
	// often as all.
	unreservedShare = 0.25
)

// stream is a request whose response is an event stream.
type stream struct {
	h            *Handler
	x            *exchange.Exchange
	exclude      map[string]bool
	promptTokens int
	answerTokens int
	resumeAfter  int64     // ID of the event after which the caller resumes, or 0.
	lastEvent    int64     // ID of the last event sent to the caller.
	headWritten  bool      // The response header was sent to the caller.
	runs         int       // Runs that may have started.
	lastWrite    time.Time // Time of the last write of events to the caller.
	watch        *quarantine.Watch
	watched      *quarantine.WatchedRun // The current run.
	rejections   int                    // Attempts that an upstream rejected without running them.
	delivered    bool                   // An upstream may have received the request, so another attempt is a retry.
	// firstEngines holds the upstreams that may have run the request as the first of a path.
	firstEngines map[string]bool
	unreserved   bool // Leaves nothing free for more urgent requests.
}

func newStream(h *Handler, x *exchange.Exchange) *stream {
	s := &stream{h: h, x: x, watch: h.watchRequest(x), exclude: map[string]bool{}, firstEngines: map[string]bool{}}
	usualPrompt, usualAnswer := 0, 0
	if e := x.Forward.Pool.Engine; e != nil {
		usualPrompt, usualAnswer = e.DefaultPromptTokens, e.DefaultAnswerTokens
	}
	s.promptTokens, s.answerTokens = h.cfg.Dialect.tokenCounts(x.R.Header, usualPrompt, usualAnswer)
	if n, err := strconv.ParseInt(x.R.Header.Get(h.cfg.Dialect.LastEventID), 10, 64); err == nil {
		s.resumeAfter, s.lastEvent = n, n
	}
	s.unreserved = !s.isRanked() || h.random() < unreservedShare
	return s
}

// isRanked reports whether less urgent requests to the pool give way to more urgent ones.
func (s *stream) isRanked() bool {
	f := s.x.Forward
	return s.h.cfg.Demand != nil && f.Tables.Ranked(f.Pool.Name)
}

// reserve returns the share of each engine that the request leaves free for more urgent ones. A stream that
// continues leaves nothing free.
func (s *stream) reserve() float64 {
	if s.unreserved || s.headWritten || s.runs > 0 || s.resumeAfter > 0 {
		return 0
	}
	return s.h.cfg.Demand.Reserve(s.x.Forward.Pool.Name, s.x.Forward.Priority)
}

// runResult is the result of one run.
type runResult struct {
	notRun       bool   // The upstream did not start the run.
	status       int    // Status of a response that is not an event stream.
	final        bool   // The response was passed on or writing to the caller failed.
	cause        error  // Nil if the stream is complete.
	unframed     bool   // The end of the stream is only known by the end of the connection.
	faultAddress string // Address of the engine at fault, if the response names one.
}

// run starts runs of the request until the caller has received the complete stream.
func (s *stream) run(ctx context.Context) error {
	for {
		t, err := s.waitForTarget(ctx)
		if err != nil {
			return s.fail(err)
		}
		if err := listen.CheckClient(ctx); err != nil {
			t.close()
			return s.fail(err)
		}
		if err := quarantineError(s.watch.Admit()); err != nil {
			t.close()
			return s.fail(err)
		}
		p := t.currentPath()
		s.x.Account.Path = exchange.PathEstimate{First: t.id, Hops: len(p.Hops), FirstMs: p.FirstMs, TokenMs: p.TokenMs}
		s.watched = s.watch.Begin(t.engineIDs())
		protect(ctx)
		chosen, began := time.Now(), s.headWritten
		end := s.runOnce(ctx, t)
		if s.headWritten && !began {
			s.recordFirstEvent(chosen)
		}
		s.x.Account.Events = s.lastEvent - s.resumeAfter
		t.close()
		s.recordRun(t, end)
		s.judgeRun(end)
		if !end.notRun && end.cause != nil && !end.final {
			s.runs++
			s.firstEngines[t.id] = true
		}
		switch {
		case end.cause == nil:
			s.x.Outcome = refusal.Complete
			return nil
		case end.final || ctx.Err() != nil:
			return s.fail(end.cause)
		}
		if err := s.checkRetry(ctx, end); err != nil {
			return s.fail(errors.Join(err, end.cause))
		}
	}
}

// judgeRun records what the end of a run says of the request. An upstream's own failure
// response says nothing.
func (s *stream) judgeRun(end runResult) {
	switch {
	case errors.Is(end.cause, call.ErrNotSent):
		s.watched.NotSent()
	case end.cause == nil && !end.final:
		s.watched.Complete(!end.unframed)
	case end.notRun:
		s.watched.Refused()
	case end.status != 0:
	case end.final || !isBreak(end.cause):
		s.watched.Abandoned()
	default:
		s.watched.Broke()
	}
}

// checkRetry returns nil if a request whose run failed may be sent again, or the reason against it.
func (s *stream) checkRetry(ctx context.Context, end runResult) error {
	route := s.x.Forward.Route
	if end.notRun {
		s.rejections++
		if s.rejections > maxRejections {
			return errAttemptsExhausted
		}
	} else {
		if !route.Events.Resumable {
			return errNotResumable
		}
		if s.watch.Repeated() {
			return errRepeatedCrash
		}
		if s.runs >= maxRuns || s.x.Forward.Pool.Engine == nil && s.allowedFirst() != nil {
			return errAttemptsExhausted
		}
	}
	s.delivered = s.delivered || !errors.Is(end.cause, call.ErrNotSent)
	if s.delivered && !s.h.allowRetry(ctx, s.x.Forward.Pool.Name, s.x.ID) {
		return errRetryLimit
	}
	return nil
}

// allowedFirst returns the upstreams at which another run may start. It returns nil, which
// allows any upstream, until the route's attempts are used up; after that only upstreams
// that were used before. An upstream that has terminated does not count as an attempt.
func (s *stream) allowedFirst() map[string]bool {
	counted := 0
	for id := range s.firstEngines {
		if _, live := s.h.cfg.Catalog.Upstream(id); live {
			counted++
		}
	}
	if counted < max(1, s.x.Forward.Route.Attempts) {
		return nil
	}
	return s.firstEngines
}

func (s *stream) findTarget() (*target, error) {
	pool := s.x.Forward.Pool
	if pool.Engine == nil {
		u, err := s.h.cfg.Catalog.Pick(pool, s.h.cfg.DataCentre, s.exclude)
		if err != nil {
			return nil, err
		}
		return &target{id: u.ID, address: u.Address, release: s.h.cfg.Catalog.ReserveUpstream(u.ID)}, nil
	}
	p, release, err := s.h.cfg.Catalog.ChoosePath(pool, s.pathRequest())
	if err != nil {
		return nil, err
	}
	return &target{id: p.Hops[0].Engine, address: p.Hops[0].Address, path: p, release: release}, nil
}

// pathRequest returns the request for the path of another run.
func (s *stream) pathRequest() chain.Request {
	return chain.Request{
		Prompt: s.promptTokens, Answer: s.answerTokens, DataCentre: s.h.cfg.DataCentre, Exclude: s.exclude, AllowedFirst: maps.Clone(s.allowedFirst()),
		Draw: s.h.random(), Reserve: s.reserve(),
	}
}

// runOnce sends the request to a target and relays its events.
func (s *stream) runOnce(ctx context.Context, t *target) runResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.watchEngines(ctx, t, s.watched, cancel)
	stall := s.newStallDetector(ctx, t, cancel)
	defer stall.stop()
	d := &s.h.cfg.Dialect
	headers := attemptHeaders{
		upstream: t.id, organisation: s.x.Organisation, path: t.currentPath().Hops, remaining: remaining(s.x),
		urgency: min(urgencyLevels-1, max(0, s.x.Forward.Priority)),
	}
	if s.lastEvent > 0 {
		headers.lastEvent = strconv.FormatInt(s.lastEvent, 10)
	}
	sent := s.h.beginSend(t.id)
	a, err := s.h.cfg.Pool.Do(ctx, t.address, call.Request{
		Method: s.x.R.Method, Head: d.requestHead(s.x.R, s.x.Forward.BodyBytes, headers), Body: s.x.Forward.Body, IDHeader: d.RequestID, ID: s.x.ID,
		Fresh: !s.x.Forward.Route.Events.Resumable,
	})
	if err != nil {
		return runResult{notRun: errors.Is(err, call.ErrNotSent), cause: causeOf(ctx, err)}
	}
	defer a.Close()
	s.h.recordResponse(sent, s.x.ID, a)
	if a.Status >= http.StatusMultipleChoices || a.Header.Get(d.Integrity) == "" {
		return s.handleFailure(ctx, a)
	}
	return s.relay(ctx, a, stall)
}

// causeOf returns the cause of the context's cancellation, or err if it was not canceled.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// handleFailure handles a response that is not an event stream. It passes the response on if no
// other run is allowed.
func (s *stream) handleFailure(ctx context.Context, a *call.Response) runResult {
	d := &s.h.cfg.Dialect
	end := runResult{status: a.Status, notRun: d.notRun(a.Status, a.Header), faultAddress: a.Header.Get(d.FaultyEngine), cause: errNotEventStream}
	route := s.x.Forward.Route
	retryable := end.notRun || route.Events.Resumable && s.runs+1 < max(1, route.Attempts) && a.Status >= http.StatusInternalServerError
	if s.headWritten || retryable {
		return end
	}
	body, free, err := s.h.buffers.readAll(a)
	defer free()
	if err != nil || a.Header.Get(d.Integrity) == "" {
		end.cause = errors.Join(errNotEventStream, causeOf(ctx, err))
		return end
	}
	p := &plainCall{h: s.h, x: s.x}
	return runResult{final: true, status: a.Status, cause: p.writeResponse(result{status: a.Status, header: a.Header, body: body})}
}

// recordRun records the result of a run and updates the health of its engines.
func (s *stream) recordRun(t *target, end runResult) {
	s.x.Account.Attempts = append(s.x.Account.Attempts, exchange.Attempt{Upstream: t.id, Result: strconv.Itoa(end.status)})
	c := s.h.cfg.Catalog
	if end.cause == nil {
		c.RecordAnswer(t.id, false)
		return
	}
	if end.final {
		return
	}
	p := t.currentPath()
	s.h.cfg.Log.Decision("runEnded", s.x.ID, "upstream", t.id, "address", t.address, "hops", len(p.Hops), "path", FormatPath(p.Hops), "status", end.status,
		"notRun", end.notRun, "fault", end.faultAddress, "cause", end.cause.Error(), "lastEvent", s.lastEvent, "run", len(s.x.Account.Attempts),
		"promptParts", s.x.PromptParts, "fingerprints", s.x.Fingerprints, "sinceFirstEventMs", int64(s.watched.SinceFirstEvent()),
		"estimateFirstMs", p.FirstMs, "estimateTokenMs", p.TokenMs,
		"atMs", time.Since(s.x.Received).Milliseconds(), "leftMs", int64(remaining(s.x)))
	if errors.Is(end.cause, context.Canceled) || errors.Is(end.cause, context.DeadlineExceeded) {
		return
	}
	s.penalize(t, end)
}

// penalize excludes or pauses the engine at fault, if the result of the run identifies it.
func (s *stream) penalize(t *target, end runResult) {
	c := s.h.cfg.Catalog
	if end.faultAddress != "" {
		if id, ok := c.ByAddress(end.faultAddress); ok && slices.Contains(t.engineIDs(), id) {
			s.exclude[id] = true
			pause := noCapacityDelay
			if end.status == http.StatusMisdirectedRequest {
				pause = wrongLayersDelay
			}
			c.MarkBusy(id, pause)
			s.h.reportSuspect(end.faultAddress, "named at fault by another engine", s.x.ID)
			return
		}
	}
	switch {
	case errors.Is(end.cause, errStalled):
		for _, id := range t.engineIDs() {
			s.exclude[id] = true
		}
	case errors.Is(end.cause, errEngineDead):
		// The catalog already marks the engine as dead.
	case end.notRun && end.status != 0:
		s.exclude[t.id] = true
		c.MarkBusy(t.id, busyDelay)
	case end.notRun:
		s.exclude[t.id] = true
		c.MarkUnreachable(t.id, !errors.Is(end.cause, call.ErrUnconfirmed))
		s.h.reportSuspect(t.address, "connection failed", s.x.ID)
	default:
		// A broken run counts as an error of its upstream, which may still serve other
		// requests. If the upstream is gone, the next connection attempt fails.
		s.exclude[t.id] = true
		c.RecordBreak(t.id)
		s.h.reportSuspect(t.address, "run broke", s.x.ID)
	}
}

// fail returns the refusal for a request whose stream could not be completed.
func (s *stream) fail(cause error) error {
	switch {
	case s.x.Account.Status != 0 || s.runs > 0:
		s.x.Outcome = refusal.Unknown
		if errors.Is(cause, context.DeadlineExceeded) {
			return refusal.New(refusal.DeadlinePassed, http.StatusGatewayTimeout, "the answer was not whole in time").WithOutcome(refusal.Unknown).WithCause(cause)
		}
		return refusal.New(refusal.UpstreamFailed, http.StatusBadGateway, "the answer could not be completed").WithOutcome(refusal.Unknown).WithCause(cause)
	case errors.Is(cause, errQuarantined):
		return cause
	case isLimited(cause):
		return s.h.refuseLimited(cause, s.retryAfter(true))
	case errors.Is(cause, chain.ErrMissingLayers), errors.Is(cause, catalog.ErrNoUpstream):
		return refusal.New(refusal.NoUpstream, http.StatusServiceUnavailable, "no path runs every layer").WithRetryAfter(s.retryAfter(false)).WithCause(cause)
	case errors.Is(cause, chain.ErrFull):
		var full *fullError
		queued := errors.As(cause, &full)
		if s.isRanked() && (!queued || !full.yielded) {
			s.h.cfg.Demand.RecordRefused(s.x.Forward.Pool.Name, s.x.Forward.Priority)
		}
		if queued {
			return refusal.New(refusal.Overloaded, http.StatusServiceUnavailable, "every path is full").WithRetryAfter(full.retryAfter).WithCause(cause)
		}
		return refusal.New(refusal.Overloaded, http.StatusServiceUnavailable, "every path is full").WithRetryAfter(s.retryAfter(true)).WithCause(cause)
	}
	return refusal.New(refusal.Overloaded, http.StatusServiceUnavailable, "the upstreams refused the request").WithRetryAfter(s.retryAfter(true)).WithCause(cause)
}
