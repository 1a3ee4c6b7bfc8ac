package filter

import (
	"context"
	"net/http"
	"sync"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/ratelimit"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
)

// Limits is the filter that enforces the request rate of each organisation over all VMs.
type Limits struct {
	clock clock.Clock

	mu     sync.Mutex
	limits map[string]*ratelimit.Limit
}

// NewLimits returns the filter. Organisations without a rate are not limited.
func NewLimits(clk clock.Clock, organisations []Organisation) *Limits {
	f := &Limits{clock: clk, limits: map[string]*ratelimit.Limit{}}
	for _, o := range organisations {
		if o.Rate > 0 {
			f.limits[o.Name] = ratelimit.New(o.Rate)
		}
	}
	return f
}

// Name implements exchange.Filter.
func (f *Limits) Name() string { return "limits" }

// Serve implements exchange.Filter.
func (f *Limits) Serve(ctx context.Context, x *exchange.Exchange, next exchange.Handler) error {
	if ok, after := f.take(x.Organisation); !ok {
		return refusal.New(refusal.OrganisationLimit, http.StatusTooManyRequests, "the organisation is above its rate").WithRetryAfter(after)
	}
	return next(ctx, x)
}

func (f *Limits) take(org string) (bool, clock.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.limits[org]
	if l == nil {
		return true, 0
	}
	return l.Take(f.clock.Now())
}

// Demands returns the demand at this VM in requests per second, keyed by organisation. It
// includes only organisations that have a rate and a demand above 0.
func (f *Limits) Demands() map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]float64{}
	for name, l := range f.limits {
		if d := l.Demand(); d > 0 {
			out[name] = d
		}
	}
	return out
}

// SetOtherDemand sets an organisation's demand at other VMs, in requests per second.
func (f *Limits) SetOtherDemand(org string, others float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.limits[org]; l != nil {
		l.SetOtherDemand(f.clock.Now(), others)
	}
}

// SetVMs sets the number of VMs that share the rates.
func (f *Limits) SetVMs(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.limits {
		l.SetVMs(n)
	}
}
