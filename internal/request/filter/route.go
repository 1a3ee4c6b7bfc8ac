package filter

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/control/catchup"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
)

// Tables gives access to the active tables.
type Tables interface {
	Tables() *tables.Document
}

// A request that would be refused by outdated tables waits up to outdatedTimeout for newer ones, which are checked
// for each outdatedPollInterval.
const (
	outdatedTimeout      = 700 * time.Millisecond
	outdatedPollInterval = 20 * time.Millisecond
	outdatedRetryAfter   = 500 * clock.Millisecond
)

// Route is the filter that determines the route and the pool of a request.
type Route struct {
	tables Tables
	status func() catchup.Status
}

// NewRoute returns the filter. status says how current the tables are.
func NewRoute(t Tables, status func() catchup.Status) *Route {
	return &Route{tables: t, status: status}
}

// Name implements exchange.Filter.
func (f *Route) Name() string { return "route" }

// Serve implements exchange.Filter.
func (f *Route) Serve(ctx context.Context, x *exchange.Exchange, next exchange.Handler) error {
	doc, route, err := f.decide(ctx, x)
	if err != nil {
		return err
	}
	x.Route = route
	x.Pool, _ = doc.Pool(route.Pool)
	x.Account.Route, x.Account.Pool = route.Name, route.Pool
	if route.Deadline == 0 {
		return next(ctx, x)
	}
	if end := x.Received.Add(route.Deadline.Std()); end.Before(x.Deadline) {
		x.Deadline = end
	}
	ctx, cancel := context.WithDeadline(ctx, x.Deadline)
	defer cancel()
	return next(ctx, x)
}

// decide returns the route of a request and the tables that have it. No request is refused by tables of which this
// VM knows that newer ones are committed, nor served by them once these have been known for long.
func (f *Route) decide(ctx context.Context, x *exchange.Exchange) (*tables.Document, tables.Route, error) {
	for waited := time.Duration(0); ; waited += outdatedPollInterval {
		status := f.status() // Read before the tables, which may be replaced meanwhile.
		doc := f.tables.Tables()
		route, err := findOpenRoute(doc, x)
		if !status.IsOutdated() && (err == nil || !status.IsBehind()) {
			return doc, route, err
		}
		if waited >= outdatedTimeout {
			return nil, route, refusal.New(refusal.NotReady, http.StatusServiceUnavailable, "newer tables are committed and not in force here yet").WithRetryAfter(outdatedRetryAfter).WithCause(err)
		}
		if werr := delay.Wait(ctx, outdatedPollInterval); werr != nil {
			return nil, route, werr
		}
	}
}

// findOpenRoute returns the route of a request if it is open to the request's organisation.
func findOpenRoute(doc *tables.Document, x *exchange.Exchange) (tables.Route, error) {
	route, err := findRoute(doc, x)
	if err == nil && len(route.Organisations) > 0 && !slices.Contains(route.Organisations, x.Organisation) {
		err = refusal.New(refusal.Forbidden, http.StatusForbidden, "route %q is not open to the organisation", route.Name)
	}
	return route, err
}

func findRoute(doc *tables.Document, x *exchange.Exchange) (tables.Route, error) {
	if x.Model != nil {
		route, ok := doc.RouteForModel(x.Model.Model)
		if !ok {
			return route, refusal.New(refusal.UnknownModel, http.StatusNotFound, "no route serves model %q", x.Model.Model)
		}
		return route, nil
	}
	route, known, ok := doc.RouteForPath(x.R.Method, x.R.URL.Path)
	if ok {
		return route, nil
	}
	if known {
		return route, refusal.New(refusal.MethodNotAllowed, http.StatusMethodNotAllowed, "method %s is not allowed for this path", x.R.Method)
	}
	return route, refusal.New(refusal.UnknownRoute, http.StatusNotFound, "no route matches path %q", x.R.URL.Path)
}

// expired reports whether a deadline has passed.
func expired(deadline time.Time) bool { return !time.Now().Before(deadline) }
