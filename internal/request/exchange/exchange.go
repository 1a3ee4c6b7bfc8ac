// Package exchange holds a request on its way through the filter chain.
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

// Exchange is one request and what the filters found out about it.
type Exchange struct {
	ID           string
	Organisation string
	Weight       float64 // The organisation's share.
	Priority     uint32
	Received     time.Time
	Deadline     time.Time

	W       http.ResponseWriter
	R       *http.Request
	Body    []byte     // The request's body, read whole.
	Model   *ModelCall // Set on calls of models.
	Route   tables.Route
	Pool    tables.Pool
	Forward Forwarded // Set on forwarded requests.
	Outcome refusal.Outcome
	Account Account
}

// ModelCall is a completion that a caller asked for.
type ModelCall struct {
	Model     string
	Prompt    string
	MaxTokens int
	Stream    bool
	Chat      bool
	Usage     bool // The stream ends with the usage.
}

// Forwarded is what the chain finds out about a request that is passed on as it is.
type Forwarded struct {
	Tables *lookup.Index // Tables in force when the request arrived.
	Route  *tables.Route
	Pool   *tables.Pool
	// Priority is the organisation's, or else the route's; 0 is the highest.
	Priority int
}

// Account is what became of a request, for explain.
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
	FirstToken   clock.Duration  `json:"firstTokenMs,omitempty"`
	Sends        []Send          `json:"sends,omitempty"`
	Claim        string          `json:"claim,omitempty"`
	Session      *driver.Report  `json:"session,omitempty"`
	// Events is how many events of a stream were passed on, and Path the estimate of
	// its newest run.
	Events int64 `json:"events,omitempty"`
	// Pause is the longest time between two events that were passed on.
	Pause clock.Duration `json:"pauseMs,omitempty"`
	Path  Path           `json:"path,omitzero"`
}

// Path is what was expected of a path of engines when it was chosen.
type Path struct {
	First   string  `json:"first"` // First engine.
	Hops    int     `json:"hops"`
	FirstMs float64 `json:"firstMs"`
	TokenMs float64 `json:"tokenMs"`
}

// Send is one attempt at a service.
type Send struct {
	Upstream string `json:"upstream"`
	Result   string `json:"result"`
}

// Handler serves an exchange. A returned *refusal.Refusal becomes a problem
// document if nothing was written yet.
type Handler func(ctx context.Context, x *Exchange) error

// Filter does one job on an exchange and hands it on to next.
type Filter interface {
	Name() string
	Serve(ctx context.Context, x *Exchange, next Handler) error
}

// Around wraps each filter of a chain, for example in a trace span.
type Around func(ctx context.Context, name string, x *Exchange, next Handler) error

// Chain returns the handler that runs the filters in order.
func Chain(around Around, filters ...Filter) Handler {
	handler := func(context.Context, *Exchange) error { return nil }
	for i := len(filters) - 1; i >= 0; i-- {
		handler = link(around, filters[i], handler)
	}
	return handler
}

func link(around Around, f Filter, next Handler) Handler {
	return func(ctx context.Context, x *Exchange) error {
		return around(ctx, f.Name(), x, func(ctx context.Context, x *Exchange) error {
			return f.Serve(ctx, x, next)
		})
	}
}
