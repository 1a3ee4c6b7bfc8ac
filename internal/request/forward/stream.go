package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/request/eventstream"
	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
)

// Limits of streams.
const (
	// waitPart is the fraction of the route's objective that a request may wait for
	// capacity on a path before it is refused. The rest is left for its first event.
	waitPart = 0.7
	// roomLook is the interval at which a waiting request looks for a path whose capacity
	// was released or whose engines were newly announced.
	roomLook = 25 * time.Millisecond
	// resumeWait is how long a broken stream waits for a path with capacity.
	resumeWait = 1500 * time.Millisecond
	// A run may pause for firstFactor (before its first event) or gapFactor (between
	// events) times the estimate plus askSlack. After that, its first engine is asked which
	// engine it waits for.
	firstFactor = 4
	gapFactor   = 5
	askSlack    = 250 * time.Millisecond
	// patience is how long a run may pause before another one is tried although no engine
	// was found at fault. Callers disconnect after a pause of two seconds.
	patience = 1700 * time.Millisecond
	// movedPause is how long an engine gets no requests after it was found to hold other
	// layers than announced: long enough for its next announcement. refusedPause applies
	// to an engine that had no capacity or depended on an engine that had none.
	movedPause   = 1200 * clock.Millisecond
	refusedPause = 400 * clock.Millisecond
	// maxRuns is the maximum number of runs of one request.
	maxRuns = 5
	// urgencies is the number of urgency levels that engines support.
	urgencies = 10
)

// stream is a request whose response is an event stream.
type stream struct {
	h       *Handler
	x       *exchange.Exchange
	exclude map[string]bool
	prompt  int
	answer  int
	asked   int64     // ID of the event after which the caller resumes, or 0.
	last    int64     // ID of the last event sent to the caller.
	begun   bool      // The response header was sent to the caller.
	runs    int       // Runs that may have started.
	passed  time.Time // Time of the last write of events to the caller.
	refused int       // Attempts that an upstream rejected without running them.
	arrived bool      // An upstream may have received the request, so another attempt is a retry.
	// used holds the upstreams that may have run the request as the first of a path.
	used map[string]bool
}

func newStream(h *Handler, x *exchange.Exchange) *stream {
	s := &stream{h: h, x: x, exclude: map[string]bool{}, used: map[string]bool{}}
	usualPrompt, usualAnswer := 0, 0
	if e := x.Forward.Pool.Engine; e != nil {
		usualPrompt, usualAnswer = e.MeanPromptTokens, e.MeanAnswerTokens
	}
	s.prompt, s.answer = h.cfg.Dialect.size(x.R.Header, usualPrompt, usualAnswer)
	if n, err := strconv.ParseInt(x.R.Header.Get(h.cfg.Dialect.LastEventID), 10, 64); err == nil {
		s.asked, s.last = n, n
	}
	return s
}

// runEnd is the result of one run.
type runEnd struct {
	notRun bool   // The upstream did not start the run.
	status int    // Status of a response that is not an event stream.
	ours   bool   // The response was passed on or writing to the caller failed.
	cause  error  // Nil if the stream is complete.
	fault  string // Address of the engine at fault, if the response names one.
}

// run starts runs of the request until the caller has received the complete stream.
func (s *stream) run(ctx context.Context) error {
	for {
		t, err := s.choose(ctx)
		if err != nil {
			return s.give(err)
		}
		p := t.now()
		s.x.Account.Path = exchange.PathEstimate{First: t.id, Hops: len(p.Hops), FirstMs: p.FirstMs, TokenMs: p.TokenMs}
		end := s.one(ctx, t)
		s.x.Account.Events = s.last - s.asked
		t.close()
		s.note(t, end)
		if !end.notRun && end.cause != nil && !end.ours {
			s.runs++
			s.used[t.id] = true
		}
		switch {
		case end.cause == nil:
			s.x.Outcome = refusal.Complete
			return nil
		case end.ours || ctx.Err() != nil:
			return s.give(end.cause)
		}
		if err := s.again(ctx, end); err != nil {
			return s.give(errors.Join(err, end.cause))
		}
	}
}

// again returns nil if a request whose run failed may be sent again, or the reason against it.
func (s *stream) again(ctx context.Context, end runEnd) error {
	route := s.x.Forward.Route
	if end.notRun {
		s.refused++
		if s.refused > maxRefused {
			return errAttempts
		}
	} else {
		if !route.Events.Resumable {
			return errNoResume
		}
		if s.runs >= maxRuns || s.x.Forward.Pool.Engine == nil && s.firsts() != nil {
			return errAttempts
		}
	}
	s.arrived = s.arrived || !errors.Is(end.cause, call.ErrNotSent)
	if s.arrived && !s.h.mayRepeat(ctx, s.x.Forward.Pool.Name, s.x.ID) {
		return errNoBudget
	}
	return nil
}

// firsts returns the upstreams at which another run may start. It returns nil, which
// allows any upstream, until the route's attempts are used up; after that only upstreams
// that were used before. An upstream that has terminated does not count as an attempt.
func (s *stream) firsts() map[string]bool {
	counted := 0
	for id := range s.used {
		if _, live := s.h.cfg.Catalog.Upstream(id); live {
			counted++
		}
	}
	if counted < max(1, s.x.Forward.Route.Attempts) {
		return nil
	}
	return s.used
}

// choose returns a target, waiting for capacity if there is none at first.
func (s *stream) choose(ctx context.Context) (*target, error) {
	wait := time.Duration(waitPart * float64(s.x.Forward.Route.Objective.Std()))
	if s.begun || s.runs > 0 {
		wait = resumeWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	look := time.NewTicker(roomLook)
	defer look.Stop()
	for {
		room := s.h.cfg.Catalog.CapacityFreed()
		t, err := s.find()
		if err == nil {
			return t, nil
		}
		if errors.Is(err, chain.ErrMissingLayers) && len(s.exclude) > 0 {
			// An excluded engine is better than none.
			clear(s.exclude)
			continue
		}
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-timer.C:
			return nil, err
		case <-room:
		case <-look.C:
		}
	}
}

func (s *stream) find() (*target, error) {
	pool := s.x.Forward.Pool
	if pool.Engine == nil {
		u, err := s.h.cfg.Catalog.Pick(pool, s.h.cfg.DataCentre, s.exclude)
		if err != nil {
			return nil, err
		}
		return &target{id: u.ID, address: u.Address, release: s.h.cfg.Catalog.ReserveUpstream(u.ID)}, nil
	}
	p, release, err := s.h.cfg.Catalog.ChoosePath(pool, chain.Request{
		Prompt: s.prompt, Answer: s.answer, DataCentre: s.h.cfg.DataCentre, Exclude: s.exclude, AllowedFirst: s.firsts(),
	})
	if err != nil {
		return nil, err
	}
	return &target{id: p.Hops[0].Engine, address: p.Hops[0].Address, path: p, release: release}, nil
}

// one sends the request to a target and relays its events.
func (s *stream) one(ctx context.Context, t *target) runEnd {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.watch(ctx, t, cancel)
	stall := s.newStall(ctx, t, cancel)
	defer stall.stop()
	d := &s.h.cfg.Dialect
	sent := send{
		upstream: t.id, organisation: s.x.Organisation, path: t.now().Hops, left: left(s.x),
		urgency: min(urgencies-1, max(0, s.x.Forward.Priority)),
	}
	if s.last > 0 {
		sent.lastEvent = strconv.FormatInt(s.last, 10)
	}
	a, err := s.h.cfg.Pool.Do(ctx, t.address, call.Request{
		Method: s.x.R.Method, Head: d.head(s.x.R, len(s.x.Body), sent), Body: s.x.Body, IDHeader: d.RequestID, ID: s.x.ID,
		Fresh: !s.x.Forward.Route.Events.Resumable,
	})
	if err != nil {
		return runEnd{notRun: errors.Is(err, call.ErrNotSent), cause: reason(ctx, err)}
	}
	defer a.Close()
	if a.Status >= http.StatusMultipleChoices || a.Header.Get(d.Integrity) == "" {
		return s.failure(ctx, a)
	}
	return s.relay(ctx, a, stall)
}

// reason returns the cause of the context's cancellation, or err if it was not canceled.
func reason(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// failure handles a response that is not an event stream. It passes the response on if no
// other run is allowed.
func (s *stream) failure(ctx context.Context, a *call.Response) runEnd {
	d := &s.h.cfg.Dialect
	end := runEnd{status: a.Status, notRun: d.notRun(a.Status, a.Header), fault: a.Header.Get(d.FaultyEngine), cause: errNotEvents}
	route := s.x.Forward.Route
	again := end.notRun || route.Events.Resumable && s.runs+1 < max(1, route.Attempts) && a.Status >= http.StatusInternalServerError
	if s.begun || again {
		return end
	}
	body, err := io.ReadAll(io.LimitReader(a, maxAnswer+1))
	if err != nil || len(body) > maxAnswer || a.Header.Get(d.Integrity) == "" {
		end.cause = errors.Join(errNotEvents, reason(ctx, err))
		return end
	}
	p := &plain{h: s.h, x: s.x}
	return runEnd{ours: true, status: a.Status, cause: p.pass(answer{status: a.Status, header: a.Header, body: body})}
}

// relay passes complete events on as they arrive.
func (s *stream) relay(ctx context.Context, a *call.Response, stall *stall) runEnd {
	split := eventstream.ResumeAfter(s.last)
	buf := make([]byte, 4<<10)
	var out []byte
	for {
		n, err := a.Read(buf)
		if n > 0 {
			var order error
			out, order = split.Feed(out[:0], buf[:n])
			if len(out) > 0 {
				stall.progress(split.LastID - s.last)
				now := time.Now()
				if s.begun {
					s.x.Account.Pause = max(s.x.Account.Pause, clock.FromStd(now.Sub(s.passed)))
				}
				s.passed = now
				if werr := s.emit(a, out); werr != nil {
					return runEnd{ours: true, cause: werr}
				}
				s.last = split.LastID
			}
			if order != nil {
				return runEnd{cause: order}
			}
		}
		switch {
		case err == nil:
		case !errors.Is(err, io.EOF):
			return runEnd{cause: reason(ctx, err)}
		case split.HasPartial():
			return runEnd{cause: errCutEvent}
		case !s.begun && s.asked == 0:
			return runEnd{cause: errCutEvent}
		default:
			// A stream that is resumed after its last event has no more events.
			s.begin(a)
			return runEnd{}
		}
	}
}

// emit writes events to the caller, preceded by the header of the first run's response.
func (s *stream) emit(a *call.Response, events []byte) error {
	s.begin(a)
	if _, err := s.x.W.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(s.x.W).Flush()
}

// begin writes the header of the first run's response, once.
func (s *stream) begin(a *call.Response) {
	if s.begun {
		return
	}
	s.begun = true
	s.x.Account.Status = a.Status
	s.x.Account.FirstToken = clock.FromStd(time.Since(s.x.Received))
	copyAnswerHeader(s.x.W.Header(), a.Header)
	s.x.W.WriteHeader(a.Status)
}

// note records the result of a run and updates the health of its engines.
func (s *stream) note(t *target, end runEnd) {
	s.x.Account.Attempts = append(s.x.Account.Attempts, exchange.Attempt{Upstream: t.id, Result: strconv.Itoa(end.status)})
	c := s.h.cfg.Catalog
	if end.cause == nil {
		c.RecordAnswer(t.id, false)
		return
	}
	if end.ours {
		return
	}
	p := t.now()
	s.h.cfg.Log.Decision("runEnded", s.x.ID, "upstream", t.id, "address", t.address, "hops", len(p.Hops), "path", FormatPath(p.Hops), "status", end.status,
		"notRun", end.notRun, "fault", end.fault, "cause", end.cause.Error(), "lastEvent", s.last, "run", len(s.x.Account.Attempts),
		"estimateFirstMs", p.FirstMs, "estimateTokenMs", p.TokenMs,
		"atMs", time.Since(s.x.Received).Milliseconds(), "leftMs", int64(left(s.x)))
	if errors.Is(end.cause, context.Canceled) || errors.Is(end.cause, context.DeadlineExceeded) {
		return
	}
	s.blame(t, end)
}

// blame excludes or pauses the engine at fault, if the result of the run identifies it.
func (s *stream) blame(t *target, end runEnd) {
	c := s.h.cfg.Catalog
	if end.fault != "" {
		if id, ok := c.ByAddress(end.fault); ok {
			s.exclude[id] = true
			pause := refusedPause
			if end.status == http.StatusMisdirectedRequest {
				pause = movedPause
			}
			c.MarkBusy(id, pause)
			s.suspect(end.fault, "named at fault by another engine")
			return
		}
	}
	switch {
	case errors.Is(end.cause, errStalled):
		for _, id := range t.engines() {
			s.exclude[id] = true
		}
	case errors.Is(end.cause, errLost):
		// The catalog already marks the engine as dead.
	case end.notRun && end.status != 0:
		s.exclude[t.id] = true
		c.MarkBusy(t.id, busyPause)
	case end.notRun:
		s.exclude[t.id] = true
		c.MarkUnreachable(t.id)
		s.suspect(t.address, "connection failed")
	default:
		// A broken run counts as an error of its upstream, which may still serve other
		// requests. If the upstream is gone, the next connection attempt fails.
		s.exclude[t.id] = true
		c.RecordAnswer(t.id, true)
		s.suspect(t.address, "run broke")
	}
}

// suspect reports an engine that may be dead, so that it is checked.
func (s *stream) suspect(address, reason string) {
	if s.h.cfg.OnSuspect != nil && s.x.Forward.Pool.Engine != nil {
		s.h.cfg.OnSuspect(address, reason, s.x.ID)
	}
}

// give returns the refusal for a request whose stream could not be completed.
func (s *stream) give(cause error) error {
	switch {
	case s.x.Account.Status != 0 || s.runs > 0:
		s.x.Outcome = refusal.Unknown
		if errors.Is(cause, context.DeadlineExceeded) {
			return refusal.New(refusal.DeadlinePassed, http.StatusGatewayTimeout, "the answer was not whole in time").WithOutcome(refusal.Unknown).WithCause(cause)
		}
		return refusal.New(refusal.UpstreamFailed, http.StatusBadGateway, "the answer could not be completed").WithOutcome(refusal.Unknown).WithCause(cause)
	case errors.Is(cause, chain.ErrFull):
		return refusal.New(refusal.Overloaded, http.StatusServiceUnavailable, "every path is full").WithRetryAfter(s.back()).WithCause(cause)
	}
	return refusal.New(refusal.NoUpstream, http.StatusServiceUnavailable, "no path runs every layer").WithRetryAfter(s.back()).WithCause(cause)
}

// back returns a Retry-After value in ms. It is random, so that callers that were refused
// at the same time do not retry at the same time.
func (s *stream) back() clock.Duration {
	const least, spread = 500, 1500
	return clock.Duration(least + spread*s.h.random())
}
