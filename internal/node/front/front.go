// Package front serves callers: it reads requests within stated bounds, runs
// them through the filter chain, and accounts for each.
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
	"github.com/jasminecove/jasminecove/internal/request/refusal"
)

// RequestIDHeader carries a request's id.
const RequestIDHeader = "X-Request-Id"

// Bounds of what callers send.
const (
	readBodyTimeout = 10 * time.Second
	maxIDBytes      = 128
)

// Server serves callers.
type Server struct {
	chain    exchange.Handler
	tables   filter.Tables
	accounts *accounts.Store
	tel      *telemetry.Telemetry
	log      hclog.Logger
	maxBody  int64
	ready    func() error
	inFlight atomic.Int64

	requests map[refusal.Outcome]tally.Counter
	refused  tally.Scope
	took     tally.Timer
	first    tally.Timer
}

// New returns a Front. ready says why the VM takes no requests, or nil.
func New(tel *telemetry.Telemetry, tables filter.Tables, store *accounts.Store, maxBody int64, ready func() error, filters ...exchange.Filter) *Server {
	f := &Server{
		tables: tables, accounts: store, tel: tel, log: tel.Log.Named("front"), maxBody: maxBody, ready: ready,
		requests: map[refusal.Outcome]tally.Counter{},
		refused:  tel.Metrics,
		took:     tel.Metrics.Timer("request_duration"),
		first:    tel.Metrics.Timer("first_token_duration"),
	}
	for _, o := range []refusal.Outcome{refusal.Complete, refusal.NotRun, refusal.Unknown} {
		f.requests[o] = tel.Metrics.Tagged(map[string]string{"outcome": string(o)}).Counter("requests")
	}
	f.chain = exchange.Chain(f.span, filters...)
	return f
}

// Handler returns the callers' interface.
func (f *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", f.serveReady)
	mux.HandleFunc("GET /v1/models", f.serveModels)
	mux.HandleFunc("/v1/chat/completions", f.serveModel(completion.ParseChat))
	mux.HandleFunc("/v1/completions", f.serveModel(completion.ParseText))
	mux.HandleFunc("/", f.serveService)
	return mux
}

// InFlight returns the requests under way.
func (f *Server) InFlight() int64 { return f.inFlight.Load() }

func (f *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := f.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// modelEntry is one model.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (f *Server) serveModels(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	seen := map[string]bool{}
	for _, r := range f.tables.Tables().Routes {
		if m := r.Match.Model; m != "" && !seen[m] {
			seen[m] = true
			list.Data = append(list.Data, modelEntry{ID: m, Object: "model", OwnedBy: "jasminecove"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// serveModel serves a completion whose body parse reads.
func (f *Server) serveModel(parse func([]byte) (*exchange.ModelCall, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f.serve(w, r, func(x *exchange.Exchange) error {
			if r.Method != http.MethodPost {
				w.Header().Set("Allow", http.MethodPost)
				return refusal.New(refusal.MethodNotAllowed, http.StatusMethodNotAllowed, "method %s is not allowed for this path", r.Method)
			}
			if err := f.readBody(x); err != nil {
				return err
			}
			call, err := parse(x.Body)
			x.Model = call
			return err
		})
	}
}

func (f *Server) serveService(w http.ResponseWriter, r *http.Request) {
	f.serve(w, r, f.readBody)
}

// serve prepares an exchange and runs it through the chain.
func (f *Server) serve(w http.ResponseWriter, r *http.Request, prepare func(*exchange.Exchange) error) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	x := &exchange.Exchange{ID: requestID(r), Received: time.Now(), R: r, Outcome: refusal.NotRun}
	rec := &statusWriter{ResponseWriter: w}
	x.W = rec
	w.Header().Set(RequestIDHeader, x.ID)
	ctx := f.tel.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := f.tel.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("request.id", x.ID)))
	defer span.End()
	x.Account.Trace = span.SpanContext().TraceID().String()
	f.tel.Propagator.Inject(ctx, propagation.HeaderCarrier(r.Header))
	err := prepare(x)
	if err == nil {
		err = f.chain(ctx, x)
	}
	if err != nil {
		f.refuse(x, rec, err)
		span.SetStatus(codes.Error, err.Error())
	}
	f.account(x, rec, err)
}

// refuse answers with a problem document unless the answer has begun.
func (f *Server) refuse(x *exchange.Exchange, rec *statusWriter, err error) {
	var r *refusal.Refusal
	if !errors.As(err, &r) {
		r = refusal.New(refusal.Internal, http.StatusInternalServerError, "the request could not be finished").WithOutcome(refusal.Unknown).WithCause(err)
	}
	x.Outcome = r.Outcome
	x.Account.Refusal = r.Error()
	if rec.status == 0 {
		r.Write(rec, x.ID)
	}
	f.refused.Tagged(map[string]string{"kind": string(r.Kind)}).Counter("refusals").Inc(1)
}

// account remembers what became of the request.
func (f *Server) account(x *exchange.Exchange, rec *statusWriter, err error) {
	took := time.Since(x.Received)
	a := x.Account
	a.ID, a.Organisation, a.Began = x.ID, x.Organisation, x.Received
	a.Took, a.Outcome, a.Status = clock.FromStd(took), x.Outcome, rec.status
	f.accounts.Add(a)
	f.requests[x.Outcome].Inc(1)
	f.took.Record(took)
	if a.FirstToken > 0 {
		f.first.Record(a.FirstToken.Std())
	}
	if err != nil {
		f.log.Debug("request refused", "request", x.ID, "reason", err)
	}
}

// readBody reads the body within its bounds of size and time.
func (f *Server) readBody(x *exchange.Exchange) error {
	if x.R.ContentLength > f.maxBody {
		return refusal.New(refusal.TooLarge, http.StatusRequestEntityTooLarge, "the body is larger than %d bytes", f.maxBody)
	}
	control := http.NewResponseController(x.W)
	_ = control.SetReadDeadline(time.Now().Add(readBodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(x.W, x.R.Body, f.maxBody))
	_ = control.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return refusal.New(refusal.TooLarge, http.StatusRequestEntityTooLarge, "the body is larger than %d bytes", f.maxBody)
	case err != nil:
		return refusal.New(refusal.BadRequest, http.StatusRequestTimeout, "the body did not arrive in time").WithCause(err)
	}
	x.Body = body
	return nil
}

// span wraps a filter in a trace span.
func (f *Server) span(ctx context.Context, name string, x *exchange.Exchange, next exchange.Handler) error {
	if !trace.SpanFromContext(ctx).IsRecording() {
		return next(ctx, x)
	}
	ctx, span := f.tel.Tracer.Start(ctx, name)
	defer span.End()
	err := next(ctx, x)
	if err != nil {
		span.RecordError(err)
	}
	return err
}

// requestID takes the caller's id, or makes one.
func requestID(r *http.Request) string {
	id := r.Header.Get(RequestIDHeader)
	if id != "" && len(id) <= maxIDBytes && printable(id) {
		return id
	}
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func printable(s string) bool {
	for _, c := range s {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// statusWriter remembers the status that was written.
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

// Unwrap lets http.ResponseController reach the connection.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
