package forward

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/quarantine"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
)

// maxEarlyBreaks is the number of runs of one request that may break before they have survived,
// unless runs with each of its parts have survived recently.
const maxEarlyBreaks = 2

// quarantineFilter refuses requests with a part on which upstreams crash.
type quarantineFilter struct{ h *Handler }

// Name implements exchange.Filter.
func (f *quarantineFilter) Name() string { return "quarantine" }

// Serve implements exchange.Filter.
func (f *quarantineFilter) Serve(ctx context.Context, x *exchange.Exchange, next exchange.Handler) error {
	if err := f.h.checkQuarantine(x); err != nil {
		return err
	}
	return next(ctx, x)
}

// checkQuarantine returns the refusal of a request with a quarantined part, or nil.
func (h *Handler) checkQuarantine(x *exchange.Exchange) error {
	b, quarantined := h.cfg.Quarantine.Check(x.Forward.SharedParts)
	if !quarantined {
		return nil
	}
	return refusal.New(refusal.Quarantined, http.StatusServiceUnavailable, "the prompt part %s is quarantined: %d or more upstreams crashed on it", b.Part, b.Crashes).
		WithRetryAfter(b.Left).WithCause(errQuarantined)
}

// suspect watches the runs of one request for what they say of its prompt parts.
type suspect struct {
	h      *Handler
	x      *exchange.Exchange
	run    *suspectRun
	broken int // Runs that broke before they had survived.
}

// suspectRun is one run of a suspect. It is safe for concurrent use.
type suspectRun struct {
	h *Handler
	x *exchange.Exchange

	mu         sync.Mutex
	upstreams  []quarantine.Run // The upstreams that the run depends on.
	firstEvent time.Time        // Zero before the first event.
	survived   bool
}

// begin starts to watch a run that depends on the given upstreams.
func (s *suspect) begin(upstreams []string) {
	s.run = &suspectRun{h: s.h, x: s.x}
	s.run.setUpstreams(upstreams)
}

// broke records that the current run broke.
func (s *suspect) broke() {
	if !s.run.hasSurvived() {
		s.broken++
		s.run.report()
	}
}

// setUpstreams sets the upstreams that the run depends on.
func (r *suspectRun) setUpstreams(ids []string) {
	if r.h.cfg.Quarantine == nil || len(r.x.Forward.SharedParts) == 0 {
		return
	}
	upstreams := make([]quarantine.Run, len(ids))
	for i, startedMs := range r.h.cfg.Catalog.StartTimes(ids) {
		upstreams[i] = quarantine.Run{RequestID: r.x.ID, Upstream: ids[i], StartedMs: startedMs, Parts: r.x.Forward.SharedParts}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upstreams = upstreams
}

// progress records that events of the run arrived.
func (r *suspectRun) progress(now time.Time) {
	r.mu.Lock()
	if r.firstEvent.IsZero() {
		r.firstEvent = now
	}
	survives := !r.survived && now.Sub(r.firstEvent) >= quarantine.SurviveTime.Std()
	r.mu.Unlock()
	if survives {
		r.survive()
	}
}

func (r *suspectRun) survive() {
	r.mu.Lock()
	r.survived = true
	r.mu.Unlock()
	r.h.cfg.Quarantine.RunSurvived(r.x.Forward.SharedParts)
}

func (r *suspectRun) hasSurvived() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.survived
}

// complete records that the run is complete. Without framing, a crash looks like the end of the
// answer.
func (r *suspectRun) complete(framed bool) {
	switch {
	case r.hasSurvived():
	case framed:
		r.survive()
	default:
		r.report()
	}
}

// report reports the run as broken. It counts against its parts if one of its upstreams is found
// to have ended.
func (r *suspectRun) report() {
	r.mu.Lock()
	upstreams := r.upstreams
	r.mu.Unlock()
	for _, u := range upstreams {
		r.h.cfg.Quarantine.RunBroke(u)
	}
}

// lost records that an upstream of the run ended, also if the run goes on without it.
func (r *suspectRun) lost(upstream string) {
	r.mu.Lock()
	survived, upstreams := r.survived, r.upstreams
	r.mu.Unlock()
	if survived {
		return
	}
	for _, u := range upstreams {
		if u.Upstream == upstream {
			r.h.cfg.Quarantine.RunBroke(u)
		}
	}
}

// sinceFirstEvent returns the time since the first event of the run in ms, or -1 before it.
func (r *suspectRun) sinceFirstEvent() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstEvent.IsZero() {
		return -1
	}
	return time.Since(r.firstEvent).Milliseconds()
}

// isRepeated reports whether too many runs of the request broke to try another one.
func (s *suspect) isRepeated() bool {
	parts := s.x.Forward.SharedParts
	return s.broken >= maxEarlyBreaks && len(parts) > 0 && !s.h.cfg.Quarantine.Sound(parts)
}

// isBreak reports whether an error means that an upstream broke off a run, rather than that the
// caller left or the deadline passed.
func isBreak(err error) bool {
	return err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}
