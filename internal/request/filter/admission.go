package filter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/request/adaptive"
	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/fairqueue"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
)

// expireInterval is the interval at which expired tickets are refused.
const expireInterval = 20 * time.Millisecond

// LatencyTargets holds the target latencies of the adaptive limits.
type LatencyTargets struct {
	BetweenTokens clock.Duration // Mean time between two tokens of a response.
	ServiceCall   clock.Duration // Duration of a call to a service.
}

// Admission is the filter that queues requests and admits them within the concurrency limit
// of their pool.
type Admission struct {
	clock   clock.Clock
	targets LatencyTargets

	mu     sync.Mutex
	nextID uint64
	pools  map[string]*admissionPool
}

// admissionPool holds the queue, the limit and the waiting requests of one pool.
type admissionPool struct {
	queue   *fairqueue.Queue
	limit   *adaptive.Limit
	waiting map[uint64]chan fairqueue.Decision
}

// NewAdmission returns the filter.
func NewAdmission(clk clock.Clock, targets LatencyTargets) *Admission {
	return &Admission{clock: clk, targets: targets, pools: map[string]*admissionPool{}}
}

// Name implements exchange.Filter.
func (f *Admission) Name() string { return "admission" }

// Serve implements exchange.Filter.
func (f *Admission) Serve(ctx context.Context, x *exchange.Exchange, next exchange.Handler) error {
	began := time.Now()
	if err := f.admit(ctx, x); err != nil {
		return err
	}
	x.Account.Queued = clock.FromStd(time.Since(began))
	sent := time.Now()
	defer func() { f.release(x, time.Since(sent)) }()
	return next(ctx, x)
}

func (f *Admission) admit(ctx context.Context, x *exchange.Exchange) error {
	f.mu.Lock()
	p := f.pool(x)
	f.nextID++
	t := fairqueue.Ticket{
		ID: f.nextID, Organisation: x.Organisation, Weight: x.Weight,
		Deadline: f.clock.Now().Add(remaining(x.Deadline)),
	}
	d := p.queue.Offer(f.clock.Now(), t)
	var decision chan fairqueue.Decision
	if d.Verdict == fairqueue.Queued {
		decision = make(chan fairqueue.Decision, 1)
		p.waiting[t.ID] = decision
	}
	f.mu.Unlock()
	if d.Verdict != fairqueue.Queued {
		return verdictError(d)
	}
	select {
	case d = <-decision:
		return verdictError(d)
	case <-ctx.Done():
		return f.cancelTicket(ctx, x, p, t, decision)
	}
}

// cancelTicket cancels a ticket, or releases its slot if it was admitted in the meantime.
func (f *Admission) cancelTicket(ctx context.Context, x *exchange.Exchange, p *admissionPool, t fairqueue.Ticket, decision chan fairqueue.Decision) error {
	f.mu.Lock()
	delete(p.waiting, t.ID)
	p.queue.Cancel(t.Organisation, t.ID)
	f.mu.Unlock()
	select {
	case d := <-decision:
		if d.Verdict == fairqueue.Admitted {
			f.release(x, 0)
		}
	default:
	}
	return refusal.New(refusal.DeadlinePassed, http.StatusGatewayTimeout, "the request ended while it waited").WithCause(context.Cause(ctx))
}

// release frees a slot and reports the latency to the adaptive limit.
func (f *Admission) release(x *exchange.Exchange, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pool(x)
	now := f.clock.Now()
	if x.Model == nil && x.Outcome == refusal.Complete {
		p.limit.Observe(now, ratio(took, f.targets.ServiceCall), p.queue.InFlight())
	}
	p.deliver(p.queue.Done(now, x.Organisation, clock.FromStd(took)))
	p.deliver(p.queue.SetLimit(now, p.limit.Value()))
}

// ObserveTokenGap reports the time between two tokens of a response to the adaptive limit, while
// the response is still in progress.
func (f *Admission) ObserveTokenGap(x *exchange.Exchange, gap time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pool(x)
	now := f.clock.Now()
	before := p.limit.Value()
	p.limit.Observe(now, ratio(gap, f.targets.BetweenTokens), p.queue.InFlight())
	if after := p.limit.Value(); after != before {
		p.deliver(p.queue.SetLimit(now, after))
	}
}

// ratio returns a latency relative to its target.
func ratio(took time.Duration, target clock.Duration) float64 {
	return float64(took) / float64(target.Std())
}

// Run refuses expired tickets at a fixed interval until ctx is canceled.
func (f *Admission) Run(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.expire()
	}
}

func (f *Admission) expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pools {
		p.deliver(p.queue.Expire(f.clock.Now()))
	}
}

// PoolLoad is the admission state of a pool in the operator API.
type PoolLoad struct {
	InFlight int `json:"inFlight"`
	Queued   int `json:"queued"`
	Limit    int `json:"limit"`
}

// Loads returns the state of each pool in use.
func (f *Admission) Loads() map[string]PoolLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]PoolLoad{}
	for name, p := range f.pools {
		out[name] = PoolLoad{InFlight: p.queue.InFlight(), Queued: p.queue.Len(), Limit: p.limit.Value()}
	}
	return out
}

func (f *Admission) pool(x *exchange.Exchange) *admissionPool {
	p := f.pools[x.Pool.Name]
	if p == nil {
		limit := adaptive.New(x.Pool.Concurrency)
		p = &admissionPool{
			queue: fairqueue.New(limit.Value(), fairqueue.DefaultMaxWait), limit: limit,
			waiting: map[uint64]chan fairqueue.Decision{},
		}
		f.pools[x.Pool.Name] = p
	}
	return p
}

// deliver sends decisions to the requests that wait for them.
func (p *admissionPool) deliver(ds []fairqueue.Decision) {
	for _, d := range ds {
		if ch := p.waiting[d.Ticket.ID]; ch != nil {
			ch <- d
			delete(p.waiting, d.Ticket.ID)
		}
	}
}

func verdictError(d fairqueue.Decision) error {
	switch d.Verdict {
	case fairqueue.Refused:
		return refusal.New(refusal.Overloaded, http.StatusTooManyRequests, "the pool is at its limit").WithRetryAfter(d.RetryAfter)
	case fairqueue.RefusedDeadline:
		return refusal.New(refusal.DeadlineTooShort, http.StatusServiceUnavailable, "the request could not start before its deadline").WithRetryAfter(d.RetryAfter)
	}
	return nil
}
