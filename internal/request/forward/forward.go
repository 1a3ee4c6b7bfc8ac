package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/node/decision"
	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
	"github.com/jasminecove/jasminecove/internal/request/retryshare"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
)

// Config is what a Handler is made of.
type Config struct {
	Dialect    Dialect
	DataCentre string
	Clock      clock.Clock
	Source     *rng.Source
	Catalog    *catalog.Catalog
	Pool       *call.Pool
	Retries    retryshare.Limits
	// Lenders are the other VMs, whose parts of the retry limits this one may borrow
	// from; nil for a lone VM.
	Lenders Lenders
	// VMs returns how many VMs share the retry limits.
	VMs func() int
	// Ready says why the VM takes no requests, or nil.
	Ready func() error
	// Closing reports whether connections of callers should end with their answer.
	Closing func() bool
	// Stalled is told of an engine whose request makes no progress, so that the one at
	// fault on its path is found and told to the catalog.
	Stalled func(ctx context.Context, engine, address string)
	// Suspected is told of an engine that an answer names at fault, or that broke a run,
	// so that a dead one is found without waiting; nil where nobody looks.
	Suspected func(address, reason, requestID string)
	// Repath orders the first engine of a running request to lead it along another
	// path, whose first hop is the same; nil where engines cannot.
	Repath  func(ctx context.Context, engine, address, requestID string, hops []chain.Hop) error
	Log     *decision.Log
	Metrics tally.Scope
}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	cfg      Config
	chain    exchange.Handler
	started  clock.Time
	inFlight atomic.Int64
	meters   *meters

	mu      sync.Mutex // Guards the fields below.
	src     *rng.Source
	retries map[string]*retryshare.Share // By pool.
	rounds  map[string]*loanRound        // Under way, by pool.
	noLoans map[string]clock.Time        // Until when nobody is asked, by pool.
}

// New returns a Handler.
func New(cfg Config) *Handler {
	h := &Handler{
		cfg: cfg, started: cfg.Clock.Now(), meters: newMeters(cfg.Metrics), src: cfg.Source,
		retries: map[string]*retryshare.Share{}, rounds: map[string]*loanRound{}, noLoans: map[string]clock.Time{},
	}
	plain := func(ctx context.Context, _ string, x *exchange.Exchange, next exchange.Handler) error {
		return next(ctx, x)
	}
	h.chain = exchange.Chain(plain, &routeFilter{h}, &organisationFilter{h}, &bodyFilter{h}, &sendFilter{h})
	return h
}

// InFlight returns the requests under way.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// errAbort ends a connection whose answer cannot be completed.
var errAbort = http.ErrAbortHandler

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.cfg.Closing() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange.Exchange{ID: r.Header.Get(h.cfg.Dialect.RequestID), Received: time.Now(), R: r, W: w, Outcome: refusal.NotRun}
	err := h.chain(r.Context(), x)
	h.account(x, err)
	var refused *refusal.Refusal
	switch {
	case err == nil:
	case x.Account.Status != 0:
		// The answer has begun: only the end of the connection shows that it is not whole.
		panic(errAbort)
	case r.Context().Err() != nil:
		panic(errAbort)
	case errors.As(err, &refused):
		h.refuse(w, x, refused)
	default:
		h.refuse(w, x, refusal.New(refusal.Internal, http.StatusBadGateway, "the request could not be finished").WithOutcome(refusal.Unknown))
	}
}

// refuse answers with a problem document. A span to come back after is told in seconds
// with fractions.
func (h *Handler) refuse(w http.ResponseWriter, x *exchange.Exchange, r *refusal.Refusal) {
	header := w.Header()
	if r.RetryAfter > 0 {
		const msPerSecond = 1000
		header.Set("Retry-After", strconv.FormatFloat(float64(r.RetryAfter)/msPerSecond, 'f', -1, 64))
	}
	header.Set(h.cfg.Dialect.RequestID, x.ID)
	r.WithRetryAfter(0).Write(w, x.ID)
}

// account logs and counts what became of the request. One that went well costs one
// line.
func (h *Handler) account(x *exchange.Exchange, err error) {
	a := &x.Account
	took := time.Since(x.Received)
	h.meters.ended(x, took, err)
	if err == nil {
		h.cfg.Log.Decision("answered", x.ID, "route", a.Route, "pool", a.Pool, "organisation", x.Organisation,
			"status", a.Status, "outcome", x.Outcome, "firstMs", int64(a.FirstToken), "tookMs", took.Milliseconds(), "sends", len(a.Sends),
			"events", a.Events, "pauseMs", int64(a.Pause), "upstream", a.Path.First, "hops", a.Path.Hops, "estimateFirstMs", a.Path.FirstMs, "estimateTokenMs", a.Path.TokenMs)
		return
	}
	h.cfg.Log.Decision("failed", x.ID, "route", a.Route, "pool", a.Pool, "organisation", x.Organisation,
		"status", a.Status, "outcome", x.Outcome, "cause", err.Error(), "tookMs", took.Milliseconds(), "sends", len(a.Sends),
		"begun", a.Status != 0, "callerLeft", x.R.Context().Err() != nil)
}

// random returns a number from 0 to below 1.
func (h *Handler) random() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.src.Float64()
}

// countFirst counts a request of a pool for the retry share.
func (h *Handler) countFirst(pool string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.share(pool).First(h.cfg.Clock.Now())
}

func (h *Handler) share(pool string) *retryshare.Share {
	s := h.retries[pool]
	if s == nil {
		s = retryshare.New(h.cfg.Retries, h.started, h.cfg.VMs())
		h.retries[pool] = s
	}
	return s
}

// meters are the Handler's metrics.
type meters struct {
	scope tally.Scope
	mu    sync.Mutex
	ends  map[endKey]*endMeters
}

// endKey names one kind of end.
type endKey struct {
	kind, outcome, cause string
}

// endMeters count one kind of end.
type endMeters struct {
	count tally.Counter
	took  tally.Histogram
	first tally.Histogram
}

// latencyBuckets are the bounds of latency histograms.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second,
}

func newMeters(scope tally.Scope) *meters {
	return &meters{scope: scope, ends: map[endKey]*endMeters{}}
}

// ended counts the end of a request by kind of route, outcome and cause.
func (m *meters) ended(x *exchange.Exchange, took time.Duration, err error) {
	key := endKey{kind: kindOf(x), outcome: string(x.Outcome), cause: "none"}
	var r *refusal.Refusal
	switch {
	case errors.As(err, &r):
		key.cause = string(r.Kind)
	case err != nil:
		key.cause = "broken"
	}
	m.mu.Lock()
	e := m.ends[key]
	if e == nil {
		s := m.scope.Tagged(map[string]string{"kind": key.kind, "outcome": key.outcome, "cause": key.cause})
		e = &endMeters{
			count: s.Counter("requests_total"), took: s.Histogram("request_duration_seconds", latencyBuckets),
			first: s.Histogram("first_event_seconds", latencyBuckets),
		}
		m.ends[key] = e
	}
	m.mu.Unlock()
	e.count.Inc(1)
	e.took.RecordDuration(took)
	if first := x.Account.FirstToken; first > 0 {
		e.first.RecordDuration(first.Std())
	}
}

func kindOf(x *exchange.Exchange) string {
	switch r := x.Forward.Route; {
	case r == nil:
		return "none"
	case r.Events != nil:
		return "events"
	case r.Calls == "":
		return "default"
	default:
		return string(r.Calls)
	}
}
