package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
)

// Constants of calls to plain services.
const (
	// tryFactor times the route's objective is how long a repeatable call waits for an
	// upstream before another is tried.
	tryFactor = 2
	// shortestTry bounds that wait below.
	shortestTry = 60 * time.Millisecond
	// maxAnswer bounds an answer that is held until it is whole.
	maxAnswer = 16 << 20
	// maxRefused is how many upstreams in a row may refuse a request unrun.
	maxRefused = 4
	// busyPause is for how long an upstream that refused gets no other request.
	busyPause = 60 * clock.Millisecond
	// fullBack is the span after which a caller of a full pool should come back.
	fullBack = 300 * clock.Millisecond
)

// plain is a call whose answer is passed on when it is whole.
type plain struct {
	h       *Handler
	x       *exchange.Exchange
	exclude map[string]bool
	ran     int  // Sends that may have run.
	arrived bool // An upstream got the request, so that another send is a repeat.
}

// answer is what one send led to.
type answer struct {
	status int
	header http.Header
	body   []byte
	notRun bool // The upstream did not run the request.
	err    error
}

// run sends the call until an answer can be passed on, or none may come any more.
func (p *plain) run(ctx context.Context) error {
	route, pool := p.x.Forward.Route, p.x.Forward.Pool
	repeatable := route.Repeatable(p.x.R.Method)
	most := max(1, route.Attempts)
	var last answer
	for try := 0; ; try++ {
		u, err := p.h.cfg.Catalog.Pick(pool, p.h.cfg.DataCentre, p.exclude)
		if err != nil {
			return p.give(last, err)
		}
		if p.arrived && !p.h.mayRepeat(ctx, pool.Name, p.x.ID) {
			return p.give(last, errNoBudget)
		}
		more := repeatable && p.ran+1 < most
		last = p.send(ctx, u, route, more)
		p.exclude[u.ID] = true
		p.arrived = p.arrived || !errors.Is(last.err, call.ErrNotSent)
		p.note(u, last)
		switch {
		case last.err == nil && !last.notRun && (last.status < http.StatusInternalServerError || !more):
			return p.pass(last)
		case ctx.Err() != nil:
			return p.give(last, context.Cause(ctx))
		case last.notRun && try < maxRefused:
		case !last.notRun && more:
			p.ran++
		default:
			return p.give(last, last.err)
		}
	}
}

// send sends the call to one upstream and reads the whole answer.
func (p *plain) send(ctx context.Context, u catalog.Choice, route *tables.Route, more bool) answer {
	if more {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, max(shortestTry, tryFactor*route.Objective.Std()))
		defer cancel()
	}
	release := p.h.cfg.Catalog.ReserveUpstream(u.ID)
	defer release()
	d := &p.h.cfg.Dialect
	head := d.head(p.x.R, len(p.x.Body), send{upstream: u.ID, organisation: p.x.Organisation, left: left(p.x), urgency: -1})
	a, err := p.h.cfg.Pool.Do(ctx, u.Address, call.Request{
		Method: p.x.R.Method, Head: head, Body: p.x.Body, IDHeader: d.RequestID, ID: p.x.ID,
		Fresh: !route.Repeatable(p.x.R.Method),
	})
	if err != nil {
		return answer{notRun: errors.Is(err, call.ErrNotSent), err: err}
	}
	defer a.Close()
	body, err := io.ReadAll(io.LimitReader(a, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errTooLong
	}
	out := answer{status: a.Status, header: a.Header, body: body, notRun: d.notRun(a.Status, a.Header), err: err}
	if err == nil && out.status < http.StatusMultipleChoices && a.Header.Get(d.Integrity) == "" {
		out.err = errNoIntegrity
	}
	return out
}

// notRun reports whether an answer says that its upstream did not run the request.
func (d *Dialect) notRun(status int, h http.Header) bool {
	return status == http.StatusMisdirectedRequest || h.Get(d.NotRun) != ""
}

// note keeps what a send told of its upstream.
func (p *plain) note(u catalog.Choice, a answer) {
	result := strconv.Itoa(a.status)
	switch {
	case a.err != nil && a.notRun:
		result = a.err.Error()
		p.h.cfg.Catalog.MarkUnreachable(u.ID)
	case a.err != nil:
		// An answer that was lost is a fault of the upstream, which goes on with others.
		result = a.err.Error()
		p.h.cfg.Catalog.RecordAnswer(u.ID, true)
	case a.notRun:
		p.h.cfg.Catalog.MarkBusy(u.ID, busyPause)
	default:
		p.h.cfg.Catalog.RecordAnswer(u.ID, a.status >= http.StatusInternalServerError)
	}
	p.x.Account.Sends = append(p.x.Account.Sends, exchange.Send{Upstream: u.ID, Result: result})
	if a.err != nil || a.notRun || a.status >= http.StatusInternalServerError {
		p.h.cfg.Log.Decision("sent", p.x.ID, "upstream", u.ID, "address", u.Address, "send", len(p.x.Account.Sends), "status", a.status,
			"notRun", a.notRun, "error", errText(a.err), "atMs", time.Since(p.x.Received).Milliseconds(), "leftMs", int64(left(p.x)))
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// pass returns an upstream's answer as it came.
func (p *plain) pass(a answer) error {
	p.x.Outcome = refusal.Complete
	p.x.Account.Status = a.status
	header := p.x.W.Header()
	copyAnswerHeader(header, a.header)
	header.Set("Content-Length", strconv.Itoa(len(a.body)))
	p.x.W.WriteHeader(a.status)
	if _, err := p.x.W.Write(a.body); err != nil {
		return refusal.New(refusal.Internal, http.StatusBadGateway, "the caller did not take the answer").WithCause(err)
	}
	return nil
}

// copyAnswerHeader copies what an upstream's answer says beside its framing.
func copyAnswerHeader(to, from http.Header) {
	named := connectionNamed(from)
	for name, values := range from {
		if !channelHeaders[name] && !named[name] {
			to[name] = values
		}
	}
}

// give ends a call without an answer to pass on. Only what certainly has not run is
// refused as such.
func (p *plain) give(last answer, cause error) error {
	if last.err == nil && last.status != 0 && !last.notRun {
		// An upstream's own failure is passed on.
		return p.pass(last)
	}
	if p.ran > 0 || last.err != nil && !last.notRun {
		p.x.Outcome = refusal.Unknown
		if errors.Is(cause, context.DeadlineExceeded) {
			return refusal.New(refusal.DeadlinePassed, http.StatusGatewayTimeout, "no answer came in time").WithOutcome(refusal.Unknown).WithCause(cause)
		}
		return refusal.New(refusal.UpstreamFailed, http.StatusBadGateway, "the upstream's answer was lost").WithOutcome(refusal.Unknown).WithCause(cause)
	}
	kind := refusal.Overloaded
	if errors.Is(cause, catalog.ErrNoUpstream) && len(p.exclude) == 0 {
		kind = refusal.NoUpstream
	}
	return refusal.New(kind, http.StatusServiceUnavailable, "no upstream of the pool could take the call").WithRetryAfter(fullBack).WithCause(cause)
}
