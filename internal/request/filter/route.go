package filter

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
)

// Tables gives access to the active tables.
type Tables interface {
	Tables() *tables.Document
}

// Route is the filter that determines the route and the pool of a request.
type Route struct {
	tables Tables
}

// NewRoute returns the filter.
func NewRoute(t Tables) *Route { return &Route{tables: t} }

// Name implements exchange.Filter.
func (f *Route) Name() string { return "route" }

// Serve implements exchange.Filter.
func (f *Route) Serve(ctx context.Context, x *exchange.Exchange, next exchange.Handler) error {
	doc := f.tables.Tables()
	route, err := findRoute(doc, x)
	if err != nil {
		return err
	}
	if len(route.Organisations) > 0 && !slices.Contains(route.Organisations, x.Organisation) {
		return refusal.New(refusal.Forbidden, http.StatusForbidden, "route %q is not open to the organisation", route.Name)
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
