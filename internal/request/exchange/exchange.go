// Package exchange defines the filter chain and the state of a request in it.
package exchange

import (
	"context"
	"net/http"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/pipeline/driver"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
	"github.com/jasminecove/jasminecove/internal/routing/lookup"
)

// Exchange is a request with its response and the state that filters add.
type Exchange struct {
	ID           string
	Organisation string
	Weight       float64 // The organisation's weight in fair queueing.
	Priority     uint32
	Received     time.Time
	Deadline     time.Time

	W       http.ResponseWriter
	R       *http.Request
	Body    []byte     // The complete request body; see Forwarded for forwarded requests.
	Model   *ModelCall // Set for model calls.
	Route   tables.Route
	Pool    tables.Pool
	Forward Forwarded // Set for forwarded requests.
	// Fingerprints are the same for repetitions of the request by its caller.
	Fingerprints []string
	// PromptParts are the IDs of the parts of the prompt, in order. The last one is the request's own, or
	// its session's.
	PromptParts []string
	Outcome     refusal.Outcome
	Account     Account
}

// ModelCall is a completion request.
type ModelCall struct {
	Model        string
	Prompt       string
	Parts        []string // IDs of the messages, in order.
	MaxTokens    int
	Stream       bool
	Chat         bool
	IncludeUsage bool // Send the token usage at the end of the stream.
}

// Forwarded is the state of a request that is forwarded unchanged.
type Forwarded struct {
	Tables *lookup.Index // Tables that were active when the request arrived.
	Route  *tables.Route
	Pool   *tables.Pool
	// Priority is the rank of the request by urgency, see lookup.Index.Rank. 0 is the most urgent.
	Priority int
	// Body is the complete request body in pieces, and BodyBytes its size.
	Body      [][]byte
	BodyBytes int
}

// Account records how a request was processed, for the explain command.
type Account struct {
	ID           string          `json:"id"`
	Trace        string          `json:"trace,omitempty"`
	Organisation string          `json:"organisation"`
	Route        string          `json:"route,omitempty"`
	Pool         string          `json:"pool,omitempty"`
	Began        time.Time       `json:"began"`
	Took         clock.Duration  `json:"tookMs"`
	Outcome      refusal.Outcome `json:"outcome"`
	Status       int             `json:"status"`
	Refusal      string          `json:"refusal,omitempty"`
	Queued       clock.Duration  `json:"queuedMs"`
	// StartWait is the time after the arrival until which the request waited for the start of the VM.
	StartWait  clock.Duration `json:"startWaitMs,omitempty"`
	FirstToken clock.Duration `json:"firstTokenMs,omitempty"`
	Attempts   []Attempt      `json:"sends,omitempty"`
	Claim      string         `json:"claim,omitempty"`
	Session    *driver.Report `json:"session,omitempty"`
	// Events is the number of events that were passed on, and Path the estimate for the
	// latest run.
	Events int64 `json:"events,omitempty"`
	// Pause is the longest time between two events that were passed on.
	Pause clock.Duration `json:"pauseMs,omitempty"`
	Path  PathEstimate   `json:"path,omitzero"`
}

// PathEstimate is the latency estimate for a path of engines at the time it was chosen.
type PathEstimate struct {
	First   string  `json:"first"` // ID of the first engine.
	Hops    int     `json:"hops"`
	FirstMs float64 `json:"firstMs"`
	TokenMs float64 `json:"tokenMs"`
}

// Attempt is one attempt to send a request to an upstream.
type Attempt struct {
	Upstream string `json:"upstream"`
	Result   string `json:"result"`
}

// Handler serves an exchange. A returned *refusal.Refusal is sent as a problem document if
// no response has been written yet.
type Handler func(ctx context.Context, x *Exchange) error

// Filter is one step of the chain. Serve calls next to continue with the following filter.
type Filter interface {
	Name() string
	Serve(ctx context.Context, x *Exchange, next Handler) error
}

// Interceptor wraps the call of each filter of a chain, for example in a trace span.
type Interceptor func(ctx context.Context, name string, x *Exchange, next Handler) error

// Chain returns the handler that runs the filters in order.
func Chain(intercept Interceptor, filters ...Filter) Handler {
	handler := func(context.Context, *Exchange) error { return nil }
	for i := len(filters) - 1; i >= 0; i-- {
		handler = wrap(intercept, filters[i], handler)
	}
	return handler
}

func wrap(intercept Interceptor, f Filter, next Handler) Handler {
	return func(ctx context.Context, x *Exchange) error {
		return intercept(ctx, f.Name(), x, func(ctx context.Context, x *Exchange) error {
			return f.Serve(ctx, x, next)
		})
	}
}
