// Package front serves callers: it reads requests within limits of size and time, runs them
// through the filter chain, and records the outcome of each.
package front

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/node/accounts"
	"github.com/jasminecove/jasminecove/internal/node/telemetry"
	"github.com/jasminecove/jasminecove/internal/request/completion"
	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/filter"
	"github.com/jasminecove/jasminecove/internal/request/inbound"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
)

// RequestIDHeader is the header that carries the request id.
const RequestIDHeader = "X-Request-Id"

// maxIDBytes is the maximum size of a caller's request id.
const maxIDBytes = 128

// Server serves the callers' interface over HTTP.
type Server struct {
	chain    exchange.Handler
	tables   filter.Tables
	accounts *accounts.Store
	tel      *telemetry.Telemetry
	log      hclog.Logger
	maxBody  int64
	budget   *inbound.Budget // Nil if the memory for requests is not limited.
	ready    func() error
	inFlight atomic.Int64

	requests   map[refusal.Outcome]tally.Counter
	refusals   tally.Scope
	duration   tally.Timer
	firstToken tally.Timer
}

// New returns a Server. Bodies of up to maxBody bytes are charged to the budget, which may be nil. The
// function ready returns nil if the VM accepts requests, or the reason why not.
func New(tel *telemetry.Telemetry, tables filter.Tables, store *accounts.Store, maxBody int64, budget *inbound.Budget, ready func() error, filters ...exchange.Filter) *Server {
	s := &Server{
		tables: tables, accounts: store, tel: tel, log: tel.Log.Named("front"), maxBody: maxBody, budget: budget, ready: ready,
		requests:   map[refusal.Outcome]tally.Counter{},
		refusals:   tel.Metrics,
		duration:   tel.Metrics.Timer("request_duration"),
		firstToken: tel.Metrics.Timer("first_token_duration"),
	}
	for _, o := range []refusal.Outcome{refusal.Complete, refusal.NotRun, refusal.Unknown} {
		s.requests[o] = tel.Metrics.Tagged(map[string]string{"outcome": string(o)}).Counter("requests")
	}
	s.chain = exchange.Chain(s.span, filters...)
	return s
}

// Handler returns the handler of the callers' interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /v1/models", s.serveModels)
	mux.HandleFunc("/v1/chat/completions", s.serveModel(completion.ParseChat))
	mux.HandleFunc("/v1/completions", s.serveModel(completion.ParseText))
	mux.HandleFunc("/", s.serveService)
	return mux
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) serveModels(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	seen := map[string]bool{}
	for _, r := range s.tables.Tables().Routes {
		if m := r.Match.Model; m != "" && !seen[m] {
			seen[m] = true
			list.Data = append(list.Data, modelEntry{ID: m, Object: "model", OwnedBy: "jasminecove"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// serveModel returns a handler for completions whose body is parsed by parse.
func (s *Server) serveModel(parse func([]byte) (*exchange.ModelCall, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.serve(w, r, func(x *exchange.Exchange) (func(), error) {
			if r.Method != http.MethodPost {
				w.Header().Set("Allow", http.MethodPost)
				return func() {}, refusal.New(refusal.MethodNotAllowed, http.StatusMethodNotAllowed, "method %s is not allowed for this path", r.Method)
			}
			release, err := s.readBody(x)
			if err == nil {
				x.Model, err = parse(x.Body)
			}
			return release, err
		})
	}
}

func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, s.readBody)
}

// serve creates an exchange, prepares it and runs it through the filter chain. prepare reads the body, and
// returns what releases it when the request ends.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, prepare func(*exchange.Exchange) (release func(), err error)) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	x := &exchange.Exchange{ID: requestID(r), Received: time.Now(), R: r, Outcome: refusal.NotRun}
	rec := &statusWriter{ResponseWriter: w}
	x.W = rec
	w.Header().Set(RequestIDHeader, x.ID)
	ctx := s.tel.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.tel.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("request.id", x.ID)))
	defer span.End()
	x.Account.Trace = span.SpanContext().TraceID().String()
	s.tel.Propagator.Inject(ctx, propagation.HeaderCarrier(r.Header))
	release, err := prepare(x)
	defer release()
	if err == nil {
		err = s.chain(ctx, x)
	}
	if err != nil {
		s.refuse(x, rec, err)
		span.SetStatus(codes.Error, err.Error())
	}
	s.record(x, rec, err)
}

// refuse responds with a problem document unless the response has started.
func (s *Server) refuse(x *exchange.Exchange, rec *statusWriter, err error) {
	var r *refusal.Refusal
	if !errors.As(err, &r) {
		r = refusal.New(refusal.Internal, http.StatusInternalServerError, "the request could not be finished").WithOutcome(refusal.Unknown).WithCause(err)
	}
	x.Outcome = r.Outcome
	x.Account.Refusal = r.Error()
	if rec.status == 0 {
		r.Write(rec, x.ID)
	}
	s.refusals.Tagged(map[string]string{"kind": string(r.Kind)}).Counter("refusals").Inc(1)
}

// record stores the record of the request and updates the metrics.
func (s *Server) record(x *exchange.Exchange, rec *statusWriter, err error) {
	took := time.Since(x.Received)
	a := x.Account
	a.ID, a.Organisation, a.Began = x.ID, x.Organisation, x.Received
	a.Took, a.Outcome, a.Status = clock.FromStd(took), x.Outcome, rec.status
	s.accounts.Add(a)
	s.requests[x.Outcome].Inc(1)
	s.duration.Record(took)
	if a.FirstToken > 0 {
		s.firstToken.Record(a.FirstToken.Std())
	}
	if err != nil {
		s.log.Debug("request refused", "request", x.ID, "reason", err)
	}
}

// span runs a filter in a trace span if the request is traced.
func (s *Server) span(ctx context.Context, name string, x *exchange.Exchange, next exchange.Handler) error {
	if !trace.SpanFromContext(ctx).IsRecording() {
		return next(ctx, x)
	}
	ctx, span := s.tel.Tracer.Start(ctx, name)
	defer span.End()
	err := next(ctx, x)
	if err != nil {
		span.RecordError(err)
	}
	return err
}

// requestID returns the caller's request id if it is valid, or a new random one.
func requestID(r *http.Request) string {
	id := r.Header.Get(RequestIDHeader)
	if id != "" && len(id) <= maxIDBytes && printable(id) {
		return id
	}
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// printable reports whether a string consists of printable ASCII characters without spaces.
func printable(s string) bool {
	for _, c := range s {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// statusWriter records the status of the response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *statusWriter) Write(data []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.ResponseWriter.Write(data)
}

// Flush implements http.Flusher.
func (w *statusWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
