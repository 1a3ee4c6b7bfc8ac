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
	"github.com/jasminecove/jasminecove/internal/control/catchup"
	"github.com/jasminecove/jasminecove/internal/node/decision"
	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/inbound"
	"github.com/jasminecove/jasminecove/internal/request/quarantine"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
	"github.com/jasminecove/jasminecove/internal/request/retryshare"
	"github.com/jasminecove/jasminecove/internal/request/shortage"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
)

// Config holds the settings and dependencies of a Handler.
type Config struct {
	Dialect    Dialect
	DataCentre string
	Clock      clock.Clock
	Source     *rng.Source
	Catalog    *catalog.Catalog
	Pool       *call.Pool
	Retries    retryshare.Limits
	// Lenders are the other VMs, from whose parts of the retry limits this VM may
	// borrow. It is nil for a single VM.
	Lenders Lenders
	// VMs returns the number of VMs that share the retry limits.
	VMs func() int
	// Ready returns the reason for which the VM accepts no requests, or nil.
	Ready func() error
	// StartWindow is for how long after New the VM counts as starting at most; see starting.go. 0 turns the waits
	// of the start off.
	StartWindow clock.Duration
	// Tables says how current the tables of this VM are.
	Tables func() catchup.Status
	// Closing reports whether callers' connections are to be closed after the response.
	Closing func() bool
	// OnStall is called with the first engine of a request that makes no progress. It
	// finds the engine at fault on the path and reports it to the catalog. It may be nil.
	OnStall func(ctx context.Context, engine, address string)
	// OnSuspect is called with an upstream that a response names at fault, that broke a
	// request off or does not accept connections, so that a dead one is detected early. It may
	// be nil.
	OnSuspect func(address, reason, requestID string)
	// Repath tells the first engine of a running request to switch to another path with
	// the same first hop. It is nil if engines do not support that.
	Repath func(ctx context.Context, engine, address, requestID string, hops []chain.Hop) error
	// Quarantine refuses requests on which, or on parts of which, upstreams crash. It may be nil.
	Quarantine *quarantine.Guard
	// Inbound is the memory budget for what callers send. It may be nil.
	Inbound *inbound.Budget
	// NoWaitQueue turns off the order of waiting streams by rank.
	NoWaitQueue bool
	// Demand tells VMs of each other's requests that lack capacity, so that less urgent ones give
	// way. It may be nil.
	Demand  Demand
	Log     *decision.Log
	Metrics tally.Scope
}

// Demand exchanges with other VMs how many requests lack capacity, by pool and rank, and derives what requests of
// less urgent ranks leave to them. It is safe for concurrent use.
type Demand interface {
	// SetWaiting sets the number of requests of a rank that wait for capacity at this VM.
	SetWaiting(pool string, rank, waiting int)
	// RecordRefused records that a request found no capacity. Those that Refuses turned away are not recorded.
	RecordRefused(pool string, rank int)
	// Reserve returns the share of each engine's memory and slots that a request leaves free.
	Reserve(pool string, rank int) float64
	// Refuses reports whether a request is to be refused at once. It is called once for each request.
	Refuses(pool string, rank int) bool
}

// Handler serves the requests of callers. It is safe for concurrent use.
type Handler struct {
	cfg      Config
	chain    exchange.Handler
	started  clock.Time
	inFlight atomic.Int64
	metrics  *metrics
	buffers  buffers
	start    starting
	// lastTicket is the ID of the last ticket of a waiting stream.
	lastTicket atomic.Uint64

	mu           sync.Mutex // Guards the fields below.
	src          *rng.Source
	retryShares  map[string]*retryshare.Share // By pool.
	loanRounds   map[string]*loanRound        // Loan rounds in progress, by pool.
	noLoansUntil map[string]clock.Time        // Time until which no loans are requested, by pool.
	shortages    map[shortageKey]*shortage.Tracker
	queues       map[string]*poolQueue // By pool.
}

// New returns a Handler.
func New(cfg Config) *Handler {
	h := &Handler{
		cfg: cfg, started: cfg.Clock.Now(), metrics: newMetrics(cfg.Metrics), src: cfg.Source,
		retryShares: map[string]*retryshare.Share{}, loanRounds: map[string]*loanRound{}, noLoansUntil: map[string]clock.Time{}, shortages: map[shortageKey]*shortage.Tracker{},
		queues: map[string]*poolQueue{},
	}
	direct := func(ctx context.Context, _ string, x *exchange.Exchange, next exchange.Handler) error {
		return next(ctx, x)
	}
	h.chain = exchange.Chain(direct, &routeFilter{h}, &organisationFilter{h}, &quarantineFilter{h}, &bodyFilter{h}, &sendFilter{h})
	return h
}

// unreadBodyTimeout bounds how long net/http reads the rest of a body that a refused request did not need:
// it does so before it sends the response, to use the connection again.
const unreadBodyTimeout = 100 * time.Millisecond

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// errAbort closes a connection whose response cannot be completed.
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
	h.recordOutcome(x, err)
	var refused *refusal.Refusal
	switch {
	case err == nil:
	case x.Account.Status != 0:
		// The response has started, so only closing the connection shows that it is incomplete.
		panic(errAbort)
	case r.Context().Err() != nil:
		panic(errAbort)
	case errors.As(err, &refused):
		h.refuse(w, x, refused)
	default:
		h.refuse(w, x, refusal.New(refusal.Internal, http.StatusBadGateway, "the request could not be finished").WithOutcome(refusal.Unknown))
	}
}

// refuse responds with a problem document. It sends Retry-After in seconds with fractions.
func (h *Handler) refuse(w http.ResponseWriter, x *exchange.Exchange, r *refusal.Refusal) {
	header := w.Header()
	if x.R.ContentLength != 0 && x.Forward.Body == nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout)) // Without it the response may wait.
	}
	if r.RetryAfter > 0 {
		const msPerSecond = 1000
		header.Set("Retry-After", strconv.FormatFloat(float64(r.RetryAfter)/msPerSecond, 'f', -1, 64))
	}
	header.Set(h.cfg.Dialect.RequestID, x.ID)
	r.WithRetryAfter(0).Write(w, x.ID)
}

// recordOutcome logs the outcome of the request and updates the metrics. A successful request
// writes a single log line.
func (h *Handler) recordOutcome(x *exchange.Exchange, err error) {
	a := &x.Account
	took := time.Since(x.Received)
	h.metrics.record(x, took, err)
	if err == nil {
		h.cfg.Log.Decision("answered", x.ID, "route", a.Route, "pool", a.Pool, "organisation", x.Organisation, "revision", x.Forward.Tables.Revision(),
			"status", a.Status, "outcome", x.Outcome, "firstMs", int64(a.FirstToken), "tookMs", took.Milliseconds(), "sends", len(a.Attempts),
			"events", a.Events, "pauseMs", int64(a.Pause), "upstream", a.Path.First, "hops", a.Path.Hops, "estimateFirstMs", a.Path.FirstMs, "estimateTokenMs", a.Path.TokenMs)
		return
	}
	st := h.cfg.Tables()
	h.cfg.Log.Decision("failed", x.ID, "route", a.Route, "pool", a.Pool, "organisation", x.Organisation,
		"revision", x.Forward.Tables.Revision(), "inForce", st.Revision, "inForceMs", st.Age, "wanted", st.Wanted, "behindMs", st.Behind,
		"status", a.Status, "outcome", x.Outcome, "cause", err.Error(), "tookMs", took.Milliseconds(), "sends", len(a.Attempts),
		"begun", a.Status != 0, "callerLeft", x.R.Context().Err() != nil, "promptParts", x.PromptParts, "fingerprints", x.Fingerprints)
}

// reportSuspect reports an upstream that may be dead, so that it is checked.
func (h *Handler) reportSuspect(address, reason, requestID string) {
	if h.cfg.OnSuspect != nil {
		h.cfg.OnSuspect(address, reason, requestID)
	}
}

// random returns a number in [0, 1).
func (h *Handler) random() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.src.Float64()
}

// countRequest counts a request to a pool towards its retry limit.
func (h *Handler) countRequest(pool string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retryShare(pool).RecordRequest(h.cfg.Clock.Now())
}

func (h *Handler) retryShare(pool string) *retryshare.Share {
	s := h.retryShares[pool]
	if s == nil {
		s = retryshare.New(h.cfg.Retries, h.started, h.cfg.VMs())
		h.retryShares[pool] = s
	}
	return s
}

// metrics are the Handler's metrics.
type metrics struct {
	scope     tally.Scope
	mu        sync.Mutex
	byOutcome map[outcomeKey]*outcomeMetrics
}

// outcomeKey holds the labels of one outcome.
type outcomeKey struct {
	kind, outcome, cause string
}

// outcomeMetrics are the metrics of one outcome.
type outcomeMetrics struct {
	count      tally.Counter
	duration   tally.Histogram
	firstEvent tally.Histogram
}

// latencyBuckets are the bucket bounds of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second,
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{scope: scope, byOutcome: map[outcomeKey]*outcomeMetrics{}}
}

// record counts a finished request by kind of route, outcome and cause.
func (m *metrics) record(x *exchange.Exchange, took time.Duration, err error) {
	key := outcomeKey{kind: routeKind(x), outcome: string(x.Outcome), cause: "none"}
	var r *refusal.Refusal
	switch {
	case errors.As(err, &r):
		key.cause = string(r.Kind)
	case err != nil:
		key.cause = "broken"
	}
	m.mu.Lock()
	e := m.byOutcome[key]
	if e == nil {
		s := m.scope.Tagged(map[string]string{"kind": key.kind, "outcome": key.outcome, "cause": key.cause})
		e = &outcomeMetrics{
			count: s.Counter("requests_total"), duration: s.Histogram("request_duration_seconds", latencyBuckets),
			firstEvent: s.Histogram("first_event_seconds", latencyBuckets),
		}
		m.byOutcome[key] = e
	}
	m.mu.Unlock()
	e.count.Inc(1)
	e.duration.RecordDuration(took)
	if first := x.Account.FirstToken; first > 0 {
		e.firstEvent.RecordDuration(first.Std())
	}
}

func routeKind(x *exchange.Exchange) string {
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
