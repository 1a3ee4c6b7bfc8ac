package forward

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/quarantine"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
	"github.com/jasminecove/jasminecove/internal/routing/lookup"
)

// Limits and delays of the filters.
const (
	// notReadyRetryAfter is the Retry-After value of a VM that has not loaded the tables yet.
	notReadyRetryAfter = 500 * clock.Millisecond
	// tablesTimeout is how long a request waits for a newly started process to load the
	// tables. It is below the second after which callers give up on a request that has
	// not been read. tablesPollInterval is the interval between two checks.
	tablesTimeout      = 700 * time.Millisecond
	tablesPollInterval = 20 * time.Millisecond
)

// routeFilter determines the route, the pool and the deadline.
type routeFilter struct{ h *Handler }

// Name implements exchange.Filter.
func (f *routeFilter) Name() string { return "route" }

// Serve implements exchange.Filter.
func (f *routeFilter) Serve(ctx context.Context, x *exchange.Exchange, next exchange.Handler) error {
	index, done, err := f.tables(ctx, x)
	defer done()
	var refused *refusal.Refusal
	switch {
	case errors.As(err, &refused):
		return err
	case err != nil:
		return refusal.New(refusal.NotReady, http.StatusServiceUnavailable, "the tables in force are not known yet").WithRetryAfter(notReadyRetryAfter).WithCause(err)
	}
	x.Forward.Tables = index
	route, ok := index.Route(x.R.Host, x.R.URL.Path)
	if !ok {
		return refusal.New(refusal.UnknownRoute, http.StatusNotFound, "no route matches the host and path")
	}
	if err := f.h.cfg.Dialect.checkNumbers(x.R.Header); err != nil {
		return err
	}
	x.Forward = exchange.Forwarded{Tables: index, Route: route, Priority: route.Priority}
	x.PromptParts = quarantine.Parts(strings.Join(x.R.Header.Values(f.h.cfg.Dialect.PromptParts), ","))
	x.Account.Route = route.Name
	x.Account.Pool = lookup.PickPool(route, f.h.random())
	x.Forward.Pool, ok = index.Pool(x.Account.Pool)
	if !ok {
		return refusal.New(refusal.NoUpstream, http.StatusServiceUnavailable, "the route's pool is not known").WithRetryAfter(notReadyRetryAfter)
	}
	limit := route.Deadline
	if requested := headerMillis(x.R.Header, f.h.cfg.Dialect.Deadline); requested > 0 {
		limit = min(limit, requested)
	}
	x.Deadline = x.Received.Add(limit.Std())
	return next(ctx, x)
}

// tables returns the tables by which a request is handled. A VM that is starting receives them shortly, see
// awaitTables. Later a request waits up to tablesTimeout for them. So does one that would be refused by tables
// of which this VM knows that newer ones are committed, and any one if these have been known for long. done must be called at the end of the request.
func (f *routeFilter) tables(ctx context.Context, x *exchange.Exchange) (index *lookup.Index, done func(), err error) {
	done = func() {}
	if index, err = f.check(x.R); err == nil {
		return index, done, nil
	}
	if !errors.Is(err, errOutdated) {
		if index, done, ok, err := f.h.awaitTables(ctx, x, f.check); ok {
			return index, done, err
		}
	}
	for waited := time.Duration(0); waited < tablesTimeout && !f.h.cfg.Closing(); waited += tablesPollInterval {
		if werr := delay.Wait(ctx, tablesPollInterval); werr != nil {
			return nil, done, werr
		}
		if index, err = f.check(x.R); err == nil {
			return index, done, nil
		}
	}
	return nil, done, err
}

// check returns the tables by which a request can be handled now, or the reason why it cannot.
func (f *routeFilter) check(r *http.Request) (*lookup.Index, error) {
	status, err := f.h.cfg.Tables(), f.h.cfg.Ready()
	index := f.h.cfg.Catalog.Tables()
	switch {
	case err != nil:
		return nil, err
	case index == nil:
		return nil, errNoTables
	case status.IsOutdated(), status.IsBehind() && !f.h.admits(index, r):
		return nil, errOutdated
	}
	f.h.start.recordTables()
	return index, nil
}

// admits reports whether tables have a route for a request, and know its key if the route needs one.
func (h *Handler) admits(index *lookup.Index, r *http.Request) bool {
	route, ok := index.Route(r.Host, r.URL.Path)
	if !ok {
		return false
	}
	_, known := index.Organisation(h.cfg.Dialect.key(r.Header))
	return known || !index.RequiresKey() || route.Anonymous
}

// organisationFilter determines the organisation from the request's key.
type organisationFilter struct{ h *Handler }

// Name implements exchange.Filter.
func (f *organisationFilter) Name() string { return "organisation" }

// Serve implements exchange.Filter.
func (f *organisationFilter) Serve(ctx context.Context, x *exchange.Exchange, next exchange.Handler) error {
	index := x.Forward.Tables
	o, known := index.Organisation(f.h.cfg.Dialect.key(x.R.Header))
	switch {
	case known:
		x.Organisation = o.Name
		x.Forward.Priority = index.Rank(x.Forward.Route, o)
	case index.RequiresKey() && !x.Forward.Route.Anonymous:
		return refusal.New(refusal.Unauthorized, http.StatusUnauthorized, "the key is not known")
	}
	return next(ctx, x)
}

// sendFilter sends the request to upstreams. It is the last filter of the chain.
type sendFilter struct{ h *Handler }

// Name implements exchange.Filter.
func (f *sendFilter) Name() string { return "send" }

// Serve implements exchange.Filter.
func (f *sendFilter) Serve(ctx context.Context, x *exchange.Exchange, _ exchange.Handler) error {
	ctx, cancel := context.WithDeadline(ctx, x.Deadline)
	defer cancel()
	if err := f.h.awaitPool(ctx, x); err != nil {
		return err
	}
	f.h.countRequest(x.Forward.Pool.Name)
	if x.Forward.Route.Events != nil {
		return newStream(f.h, x).run(ctx)
	}
	return (&plainCall{h: f.h, x: x, watch: f.h.watchRequest(x), exclude: map[string]bool{}}).run(ctx)
}

// remaining returns the time until a request's deadline, in ms.
func remaining(x *exchange.Exchange) clock.Duration {
	return clock.Duration(time.Until(x.Deadline) / time.Millisecond)
}
