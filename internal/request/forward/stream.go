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

// Constants of streams.
const (
	// waitPart is the part of the route's objective for which a request waits for room
	// on a path before it is refused. What is left serves for its first event.
	waitPart = 0.7
	// roomLook is the span between two looks for a path that others made room on, or
	// whose engines have just become known.
	roomLook = 25 * time.Millisecond
	// resumeWait is how long a broken stream waits for a path that has room.
	resumeWait = 1500 * time.Millisecond
	// firstFactor and gapFactor times the estimate, and askSlack, is how long a run may
	// pause before its first engine is asked whom it waits for.
	firstFactor = 4
	gapFactor   = 5
	askSlack    = 250 * time.Millisecond
	// patience is how long a run may pause before another is tried though no engine was
	// found at fault; callers leave at two seconds.
	patience = 1700 * time.Millisecond
	// movedPause is for how long an engine whose layers are not those known gets no
	// requests: until it has announced itself again. refusedPause is for one that had
	// no room or depended on one that had none.
	movedPause   = 1200 * clock.Millisecond
	refusedPause = 400 * clock.Millisecond
	// maxRuns bounds the runs of one request.
	maxRuns = 5
	// urgencies is the number of ranks that engines know.
	urgencies = 10
)

// stream is a request whose answer is a stream of events.
type stream struct {
	h       *Handler
	x       *exchange.Exchange
	exclude map[string]bool
	prompt  int
	answer  int
	asked   int64     // Number of the event after which the caller asked to go on.
	last    int64     // Number of the newest event that the caller has.
	begun   bool      // The answer's head was sent to the caller.
	runs    int       // Runs that may have begun.
	passed  time.Time // When events were last passed on.
	refused int       // Sends that an upstream refused unrun.
	arrived bool      // An upstream got the request, so that another send is a repeat.
	// used are the upstreams that may have run it, as the first of their path.
	used map[string]bool
}

func newStream(h *Handler, x *exchange.Exchange) *stream {
	s := &stream{h: h, x: x, exclude: map[string]bool{}, used: map[string]bool{}}
	usualPrompt, usualAnswer := 0, 0
	if e := x.Forward.Pool.Engine; e != nil {
		usualPrompt, usualAnswer = e.UsualPrompt, e.UsualAnswer
	}
	s.prompt, s.answer = h.cfg.Dialect.size(x.R.Header, usualPrompt, usualAnswer)
	if n, err := strconv.ParseInt(x.R.Header.Get(h.cfg.Dialect.LastEvent), 10, 64); err == nil {
		s.asked, s.last = n, n
	}
	return s
}

// runEnd is how one run ended.
type runEnd struct {
	notRun bool   // The upstream did not begin to run it.
	status int    // Status of an answer that is no stream.
	ours   bool   // The answer was passed on, or the caller left.
	cause  error  // Nil when the stream is whole.
	fault  string // Address of the engine that is at fault, when told.
}

// run drives runs of the request until the caller has the whole stream.
func (s *stream) run(ctx context.Context) error {
	for {
		t, err := s.choose(ctx)
		if err != nil {
			return s.give(err)
		}
		p := t.now()
		s.x.Account.Path = exchange.Path{First: t.id, Hops: len(p.Hops), FirstMs: p.FirstMs, TokenMs: p.TokenMs}
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

// again decides whether a request whose run ended early is sent once more.
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

// firsts returns the upstreams that another run may begin at: any while the route's
// attempts allow a new one, and then only those that were used. One that has ended
// counts for no attempt.
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

// choose finds a path, and waits a little for room.
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
		room := s.h.cfg.Catalog.Room()
		t, err := s.find()
		if err == nil {
			return t, nil
		}
		if errors.Is(err, chain.ErrGap) && len(s.exclude) > 0 {
			// An engine that was avoided is better than none.
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
		return &target{id: u.ID, address: u.Address, release: s.h.cfg.Catalog.HoldOne(u.ID)}, nil
	}
	p, release, err := s.h.cfg.Catalog.ChoosePath(pool, chain.Request{
		Prompt: s.prompt, Answer: s.answer, Home: s.h.cfg.DataCentre, Exclude: s.exclude, First: s.firsts(),
	})
	if err != nil {
		return nil, err
	}
	return &target{id: p.Hops[0].Engine, address: p.Hops[0].Address, path: p, release: release}, nil
}

// one sends the request to a target and passes its events on.
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

// reason returns why a run was ended, when this side ended it.
func reason(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// failure takes an answer that is no stream. It is passed on where another run would
// not be allowed.
func (s *stream) failure(ctx context.Context, a *call.Response) runEnd {
	d := &s.h.cfg.Dialect
	end := runEnd{status: a.Status, notRun: d.notRun(a.Status, a.Header), fault: a.Header.Get(d.Culprit), cause: errNotEvents}
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

// relay passes whole events on as they arrive.
func (s *stream) relay(ctx context.Context, a *call.Response, stall *stall) runEnd {
	split := eventstream.After(s.last)
	buf := make([]byte, 4<<10)
	var out []byte
	for {
		n, err := a.Read(buf)
		if n > 0 {
			var order error
			out, order = split.Feed(out[:0], buf[:n])
			if len(out) > 0 {
				stall.progress(split.Last - s.last)
				now := time.Now()
				if s.begun {
					s.x.Account.Pause = max(s.x.Account.Pause, clock.FromStd(now.Sub(s.passed)))
				}
				s.passed = now
				if werr := s.emit(a, out); werr != nil {
					return runEnd{ours: true, cause: werr}
				}
				s.last = split.Last
			}
			if order != nil {
				return runEnd{cause: order}
			}
		}
		switch {
		case err == nil:
		case !errors.Is(err, io.EOF):
			return runEnd{cause: reason(ctx, err)}
		case split.Rest():
			return runEnd{cause: errCutEvent}
		case !s.begun && s.asked == 0:
			return runEnd{cause: errCutEvent}
		default:
			// A stream that is resumed after its last event ends without another.
			s.begin(a)
			return runEnd{}
		}
	}
}

// emit writes events to the caller, after the head of the first run's answer.
func (s *stream) emit(a *call.Response, events []byte) error {
	s.begin(a)
	if _, err := s.x.W.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(s.x.W).Flush()
}

// begin writes the head of the first run's answer, once.
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

// note keeps what a run told of the engines on its path.
func (s *stream) note(t *target, end runEnd) {
	s.x.Account.Sends = append(s.x.Account.Sends, exchange.Send{Upstream: t.id, Result: strconv.Itoa(end.status)})
	c := s.h.cfg.Catalog
	if end.cause == nil {
		c.Answered(t.id, false)
		return
	}
	if end.ours {
		return
	}
	p := t.now()
	s.h.cfg.Log.Decision("runEnded", s.x.ID, "upstream", t.id, "address", t.address, "hops", len(p.Hops), "path", FormatPath(p.Hops), "status", end.status,
		"notRun", end.notRun, "fault", end.fault, "cause", end.cause.Error(), "lastEvent", s.last, "run", len(s.x.Account.Sends),
		"estimateFirstMs", p.FirstMs, "estimateTokenMs", p.TokenMs,
		"atMs", time.Since(s.x.Received).Milliseconds(), "leftMs", int64(left(s.x)))
	if errors.Is(end.cause, context.Canceled) || errors.Is(end.cause, context.DeadlineExceeded) {
		return
	}
	s.blame(t, end)
}

// blame pauses the engine at fault, as far as the end of a run tells which that is.
func (s *stream) blame(t *target, end runEnd) {
	c := s.h.cfg.Catalog
	if end.fault != "" {
		if id, ok := c.ByAddress(end.fault); ok {
			s.exclude[id] = true
			pause := refusedPause
			if end.status == http.StatusMisdirectedRequest {
				pause = movedPause
			}
			c.Busy(id, pause)
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
		// The catalog knows which one it was.
	case end.notRun && end.status != 0:
		s.exclude[t.id] = true
		c.Busy(t.id, busyPause)
	case end.notRun:
		s.exclude[t.id] = true
		c.Unreachable(t.id)
		s.suspect(t.address, "connection failed")
	default:
		// A run that broke is a fault of its upstream, which goes on with others. If it
		// is gone, the next connection tells.
		s.exclude[t.id] = true
		c.Answered(t.id, true)
		s.suspect(t.address, "run broke")
	}
}

// suspect has an engine looked at that may be dead.
func (s *stream) suspect(address, reason string) {
	if s.h.cfg.Suspected != nil && s.x.Forward.Pool.Engine != nil {
		s.h.cfg.Suspected(address, reason, s.x.ID)
	}
}

// give ends a request whose stream is not whole.
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

// back returns when a refused caller should come back. Spans differ, so that those who
// were refused together do not return together.
func (s *stream) back() clock.Duration {
	const least, spread = 500, 1500
	return clock.Duration(least + spread*s.h.random())
}
