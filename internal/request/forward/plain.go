package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/node/listen"
	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/quarantine"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/routing/ratecap"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
)

// Limits of calls to plain services.
const (
	// attemptTimeoutFactor times the route's objective is how long a repeatable call waits for an
	// upstream before the next one is tried.
	attemptTimeoutFactor = 2
	// minAttemptTimeout is the minimum of that time.
	minAttemptTimeout = 60 * time.Millisecond
	// maxRejections is the maximum number of retries after upstreams rejected a request without
	// running it.
	maxRejections = 4
	// busyDelay is how long an upstream that rejected a request gets no new requests.
	busyDelay = 60 * clock.Millisecond
	// noCapacityRetryAfter is the Retry-After value for a pool without capacity.
	noCapacityRetryAfter = 300 * clock.Millisecond
	// limitWaitFraction is the fraction of the route's objective for which a call may wait until the
	// rate limits of upstreams allow it. limitSpread is the range of times at which calls that are
	// refused for the limits return.
	limitWaitFraction = 0.5
	limitSpread       = 700 * clock.Millisecond
)

// plainCall is a call whose response is passed on once it is complete.
type plainCall struct {
	h         *Handler
	x         *exchange.Exchange
	exclude   map[string]bool
	runs      int // Attempts that may have run.
	watch     *quarantine.Watch
	watched   *quarantine.WatchedRun // The current run.
	delivered bool                   // An upstream may have received the request, so another attempt is a retry.
}

// result is the result of one attempt.
type result struct {
	status  int
	header  http.Header
	body    []byte
	framed  bool // The end of the body is known without the end of the connection.
	notRun  bool // The upstream did not run the request.
	err     error
	release func() // Releases the body; may be nil.
}

// free releases the body of a result that is not passed on, or was.
func (r result) free() {
	if r.release != nil {
		r.release()
	}
}

// run sends the call until it has a response to pass on or no attempt is left.
func (p *plainCall) run(ctx context.Context) error {
	route, pool := p.x.Forward.Route, p.x.Forward.Pool
	repeatable := route.Repeatable(p.x.R.Method)
	maxAttempts := max(1, route.Attempts)
	var last result
	defer func() { last.free() }()
	for attempt := 0; ; attempt++ {
		if err := quarantineError(p.watch.Check()); err != nil {
			return p.fail(last, err)
		}
		u, err := p.pick(ctx)
		if err != nil {
			return p.fail(last, err)
		}
		if p.delivered && !p.h.allowRetry(ctx, pool.Name, p.x.ID) {
			return p.fail(last, errRetryLimit)
		}
		if err := listen.CheckClient(ctx); err != nil {
			return p.fail(last, err)
		}
		if err := quarantineError(p.watch.Admit()); err != nil {
			return p.fail(last, err)
		}
		mayRetry := repeatable && p.runs+1 < maxAttempts
		last.free()
		p.watched = p.watch.Begin([]string{u.ID})
		protect(ctx)
		last = p.send(ctx, u, route, mayRetry)
		p.judge(last)
		p.exclude[u.ID] = true
		p.delivered = p.delivered || !errors.Is(last.err, call.ErrNotSent)
		p.recordAttempt(u, last)
		switch {
		case last.err == nil && !last.notRun && (last.status < http.StatusInternalServerError || !mayRetry):
			return p.writeResponse(last)
		case ctx.Err() != nil:
			return p.fail(last, context.Cause(ctx))
		case last.notRun && attempt < maxRejections:
		case p.watch.Repeated():
			return p.fail(last, errRepeatedCrash)
		case !last.notRun && mayRetry:
			p.runs++
		default:
			return p.fail(last, last.err)
		}
	}
}

// pick returns an upstream. If all name rate limits, it waits for a part of the route's objective
// until one may get a request.
func (p *plainCall) pick(ctx context.Context) (catalog.Choice, error) {
	until := time.Now().Add(time.Duration(limitWaitFraction * float64(p.x.Forward.Route.Objective.Std())))
	for {
		u, err := p.h.cfg.Catalog.Pick(p.x.Forward.Pool, p.h.cfg.DataCentre, p.exclude)
		var limited *ratecap.UsedUpError
		if !errors.As(err, &limited) || time.Now().Add(limited.Wait.Std()).After(until) {
			return u, err
		}
		if err := delay.Wait(ctx, limited.Wait.Std()); err != nil {
			return u, err
		}
	}
}

// judge records what the result of an attempt says of the request.
func (p *plainCall) judge(a result) {
	switch {
	case errors.Is(a.err, call.ErrNotSent):
		p.watched.NotSent()
	case a.notRun:
		p.watched.Refused()
	case a.err == nil && a.status < http.StatusInternalServerError:
		p.watched.Complete(a.framed)
	case isBreak(a.err):
		p.watched.Broke()
	case a.err != nil:
		p.watched.Abandoned()
	}
}

// send sends the call to one upstream and reads the complete response.
func (p *plainCall) send(ctx context.Context, u catalog.Choice, route *tables.Route, mayRetry bool) result {
	if mayRetry {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, max(minAttemptTimeout, attemptTimeoutFactor*route.Objective.Std()))
		defer cancel()
	}
	release := p.h.cfg.Catalog.ReserveUpstream(u.ID)
	defer release()
	d := &p.h.cfg.Dialect
	head := d.requestHead(p.x.R, p.x.Forward.BodyBytes, attemptHeaders{upstream: u.ID, organisation: p.x.Organisation, remaining: remaining(p.x), urgency: -1})
	sent := p.h.beginSend(u.ID)
	a, err := p.h.cfg.Pool.Do(ctx, u.Address, call.Request{
		Method: p.x.R.Method, Head: head, Body: p.x.Forward.Body, IDHeader: d.RequestID, ID: p.x.ID,
		Fresh: !route.Repeatable(p.x.R.Method),
	})
	if err != nil {
		return result{notRun: errors.Is(err, call.ErrNotSent), err: err}
	}
	defer a.Close()
	p.h.recordResponse(sent, p.x.ID, a)
	body, free, err := p.h.buffers.readAll(a)
	out := result{status: a.Status, header: a.Header, body: body, notRun: d.notRun(a.Status, a.Header), framed: a.Framed, err: err, release: free}
	if err == nil && out.status < http.StatusMultipleChoices && a.Header.Get(d.Integrity) == "" {
		out.err = errNoIntegrity
	}
	return out
}

// notRun reports whether a response states that the upstream did not run the request. With any other status
// the upstream may have run it, whatever the header says.
func (d *Dialect) notRun(status int, h http.Header) bool {
	switch status {
	case http.StatusMisdirectedRequest:
		return true
	case http.StatusBadRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return h.Get(d.NotRun) != ""
	}
	return false
}

// recordAttempt records the result of an attempt and updates the health of its upstream.
func (p *plainCall) recordAttempt(u catalog.Choice, a result) {
	text := strconv.Itoa(a.status)
	switch {
	case a.err != nil && a.notRun:
		text = a.err.Error()
		p.h.cfg.Catalog.MarkUnreachable(u.ID, !errors.Is(a.err, call.ErrUnconfirmed))
		p.h.reportSuspect(u.Address, "connection failed", p.x.ID)
	case a.err != nil:
		// A lost response counts as an error of the upstream, which may still serve other requests.
		text = a.err.Error()
		p.h.cfg.Catalog.RecordBreak(u.ID)
		if isBreak(a.err) {
			p.h.reportSuspect(u.Address, "call broke", p.x.ID)
		}
	case a.notRun:
		p.h.cfg.Catalog.MarkBusy(u.ID, busyDelay)
	default:
		p.h.cfg.Catalog.RecordAnswer(u.ID, a.status >= http.StatusInternalServerError)
	}
	p.x.Account.Attempts = append(p.x.Account.Attempts, exchange.Attempt{Upstream: u.ID, Result: text})
	if a.err != nil || a.notRun || a.status >= http.StatusInternalServerError {
		p.h.cfg.Log.Decision("sent", p.x.ID, "upstream", u.ID, "address", u.Address, "send", len(p.x.Account.Attempts), "status", a.status,
			"notRun", a.notRun, "error", errText(a.err), "promptParts", p.x.PromptParts, "fingerprints", p.x.Fingerprints, "atMs", time.Since(p.x.Received).Milliseconds(), "leftMs", int64(remaining(p.x)))
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// writeResponse writes an upstream's response to the caller unchanged.
func (p *plainCall) writeResponse(a result) error {
	p.x.Outcome = refusal.Complete
	p.x.Account.Status = a.status
	header := p.x.W.Header()
	copyResponseHeader(header, a.header)
	header.Set("Content-Length", strconv.Itoa(len(a.body)))
	p.x.W.WriteHeader(a.status)
	if _, err := p.x.W.Write(a.body); err != nil {
		return refusal.New(refusal.Internal, http.StatusBadGateway, "the caller did not take the answer").WithCause(err)
	}
	return nil
}

// copyResponseHeader copies the end-to-end headers of an upstream's response.
func copyResponseHeader(to, from http.Header) {
	named := connectionHeaders(from)
	for name, values := range from {
		if !hopByHopHeaders[name] && !named[name] {
			to[name] = values
		}
	}
}

// fail ends a call that has no successful response. It reports the call as not run only
// if no attempt can have run.
func (p *plainCall) fail(last result, cause error) error {
	if last.err == nil && last.status != 0 && !last.notRun {
		// An error response of the upstream is passed on.
		return p.writeResponse(last)
	}
	if errors.Is(cause, errQuarantined) && p.runs == 0 {
		return cause
	}
	if p.runs > 0 || last.err != nil && !last.notRun {
		p.x.Outcome = refusal.Unknown
		if errors.Is(cause, context.DeadlineExceeded) {
			return refusal.New(refusal.DeadlinePassed, http.StatusGatewayTimeout, "no answer came in time").WithOutcome(refusal.Unknown).WithCause(cause)
		}
		return refusal.New(refusal.UpstreamFailed, http.StatusBadGateway, "the upstream's answer was lost").WithOutcome(refusal.Unknown).WithCause(cause)
	}
	if isLimited(cause) {
		return p.h.refuseLimited(cause, noCapacityRetryAfter+clock.Duration(p.h.random()*float64(limitSpread)))
	}
	kind := refusal.Overloaded
	if errors.Is(cause, catalog.ErrNoUpstream) && len(p.exclude) == 0 {
		kind = refusal.NoUpstream
	}
	return refusal.New(kind, http.StatusServiceUnavailable, "no upstream of the pool could take the call").WithRetryAfter(noCapacityRetryAfter).WithCause(cause)
}
