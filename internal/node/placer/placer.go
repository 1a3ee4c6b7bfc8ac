// Package placer assigns layers to engines by sending them placement orders. Only the
// leader VM sends orders, while it holds the order lease. An order that got no reply may
// still be executed later: each order carries the number of orders that the engine had
// accepted when it was sent, so that the engine refuses a delayed order after a newer one.
package placer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/node/decision"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
	"github.com/jasminecove/jasminecove/internal/routing/layers"
)

// Errors of an order.
const (
	// ErrRefused reports an order that the engine refused, because its order count or
	// its state differs from the expected one.
	ErrRefused = fault.Sentinel("placer: the engine refused the order")
	// ErrUnanswered reports an order that got no reply. The engine may still execute it.
	ErrUnanswered = fault.Sentinel("placer: no reply to the order")
	// ErrOtherProcess reports an engine that has started again since it announced itself.
	ErrOtherProcess = fault.Sentinel("placer: another process of the engine reports")
)

// Intervals, delays and timeouts of the controller.
const (
	planInterval = 100 * time.Millisecond
	// firstPlanDelay is how long the set of engines must stay the same before the first
	// plan.
	firstPlanDelay = 1500 * clock.Millisecond
	// panicPause is how long no layers are placed after a panic, which would probably come again.
	panicPause = 2 * clock.Second
	// viewSettleDelay is how long the process must have run before it treats an engine
	// missing from its view as lost: more than two announcement intervals.
	viewSettleDelay = 3500 * clock.Millisecond
	// replaceDelay is how long a lost engine may take to return before other engines are
	// given its layers.
	replaceDelay = 700 * clock.Millisecond
	// growDelay is how long a gap must persist before engines in use are extended to
	// cover it.
	growDelay = 1200 * clock.Millisecond
	// newEnginePeriod is how long an engine counts as new; see layers.Engine.
	newEnginePeriod = 1300 * clock.Millisecond
	// reportInterval is the interval at which an engine is asked whether it has executed
	// its order, once the expected load time is over.
	reportInterval = 150 * clock.Millisecond
	// firstPlanTimeout bounds the wait for a stable set of engines before the first plan.
	firstPlanTimeout = 4 * clock.Second
	// minLeaseLeft is the remaining lease that is required to send an order.
	minLeaseLeft = 50 * clock.Millisecond
	orderTimeout = 1 * time.Second
	// vacateDelay is how long requests may take to leave an engine that gives up layers, and to
	// be reported as gone.
	vacateDelay = 600 * time.Millisecond
	// maxCutRequests is how many requests that did not leave may be cut, to resume elsewhere. The
	// engine waits for more than these, which can take many seconds.
	maxCutRequests = 3
	reportTimeout  = 300 * time.Millisecond
	// unansweredDelay is how long an engine gets no further order after one that got no
	// reply.
	unansweredDelay = 1500 * clock.Millisecond
	// refusedDelay is how long an engine gets no further order after it refused one.
	refusedDelay = 1 * clock.Second
	// loadMargin is added to the expected load time. After that an engine counts as settled
	// even if it does not announce the ordered range.
	loadMargin = 4 * clock.Second
)

// Order is one order to an engine.
type Order struct {
	Engine, Address string
	From, To        int
	Expected        int64 // Number of orders that the engine has accepted so far.
	Cut             bool  // Requests on layers that the engine gives up are cut. Otherwise it waits for them.
	Term            uint64
}

// Report is the state that an engine reports about itself.
type Report struct {
	Taken    int64 // Number of orders accepted since the engine started.
	Busy     bool
	Leaving  bool
	From, To int      // Layers that the engine holds.
	Pace     float64  // How many times longer than usual its work takes; 0 if it did not say.
	Stalled  []string // Addresses of engines that its requests wait for without progress.
	// StartedMs is when the process that reports started, as a Unix time in ms; 0 if it did not say.
	StartedMs uint64
}

// IsOf reports whether the report may be of the process that started at a given time, where 0 is unknown.
// Another process may have started under the same id.
func (r Report) IsOf(startedMs uint64) bool {
	return r.StartedMs == startedMs || r.StartedMs == 0 || startedMs == 0
}

// Upstreams finds live upstreams.
type Upstreams interface {
	ByAddress(address string) (id string, ok bool)
	Upstream(id string) (*registry.Upstream, bool)
}

// SentBy reports whether the report may be of an engine that was asked, and whose process still runs.
func (r Report) SentBy(u *registry.Upstream, known Upstreams) bool {
	current, live := known.Upstream(u.Id)
	return live && current.StartedMs == u.StartedMs && r.IsOf(u.StartedMs)
}

// Awaited returns the upstreams that requests on the engine that reports wait for. Those may only be other
// engines of the same service.
func (r Report) Awaited(u *registry.Upstream, known Upstreams) []*registry.Upstream {
	var awaited []*registry.Upstream
	for _, address := range r.Stalled {
		id, ok := known.ByAddress(address)
		if !ok || id == u.Id {
			continue
		}
		if other, live := known.Upstream(id); live && other.Name == u.Name {
			awaited = append(awaited, other)
		}
	}
	return awaited
}

// API sends calls to engines.
type API interface {
	// Place sends an order. It returns ErrRefused, ErrUnanswered or nil.
	Place(ctx context.Context, o Order) error
	// Report asks an engine for its state.
	Report(ctx context.Context, id, address string) (Report, error)
	// Repath orders an engine to move a running request to another path.
	Repath(ctx context.Context, id, address, requestID string, hops []chain.Hop) error
}

// Lease reports whether this VM may send orders.
type Lease interface {
	OrderLease() (term uint64, left clock.Duration)
}

// Controller places layers on engines. Run is its loop.
type Controller struct {
	Clock   clock.Clock
	Lease   Lease
	Catalog *catalog.Catalog
	API     API
	Log     *decision.Log

	term           uint64
	states         map[string]*engineState // By engine id.
	engineCount    int                     // Number of engines at the last check.
	countChangedAt clock.Time              // When engineCount last changed.
	firstSeenAt    clock.Time              // When an engine was first seen.
	startedAt      clock.Time
	gapSince       clock.Time // Since when there is a gap that only engines in use could close.
	pausedUntil    clock.Time // After a panic.
}

// engineState is the state of the placement on one process of an engine.
type engineState struct {
	startedMs     uint64
	accepted      int64
	acceptedKnown bool       // accepted is valid.
	blockedUntil  clock.Time // The engine gets no order before this time.
	from, to      int        // Range of the pending order.
	pendingUntil  clock.Time
	checkAt       clock.Time // When the order should have been executed; 0 once that is settled.
}

// Run places layers until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.startedAt = c.Clock.Now()
	for delay.Wait(ctx, planInterval) == nil {
		term, leaseLeft := c.Lease.OrderLease()
		if leaseLeft <= minLeaseLeft {
			continue
		}
		if term != c.term {
			// Another VM may have sent orders in the meantime.
			c.term, c.states, c.engineCount, c.firstSeenAt, c.gapSince = term, map[string]*engineState{}, 0, 0, 0
		}
		index := c.Catalog.Tables()
		if index == nil {
			continue
		}
		if c.Clock.Now().Before(c.pausedUntil) {
			continue
		}
		for _, p := range index.Document().Pools {
			if p.Engine != nil && !crash.Contain("placement", func() { c.placePool(ctx, p) }) {
				c.pausedUntil = c.Clock.Now().Add(panicPause)
			}
		}
	}
}

// placePool plans one pool and sends the resulting orders.
func (c *Controller) placePool(ctx context.Context, p tables.Pool) {
	now := c.Clock.Now()
	upstreams := map[string]*registry.Upstream{}
	var engines []layers.Engine
	members := c.Catalog.Members(p.Service)
	anyHeld := slices.ContainsFunc(members, func(u *registry.Upstream) bool { return holdsLayers(p.Engine, u) })
	c.checkCompletion(ctx, now, members)
	for _, u := range members {
		k, ok := p.Engine.Kind(u.Accelerator)
		if !ok || u.Leaving || c.Catalog.DeadFor(u.Id) >= replaceDelay {
			continue
		}
		upstreams[u.Id] = u
		e := layers.Engine{ID: u.Id, DataCentre: u.DataCentre, MemoryMB: k.MemoryMB, StepFactor: k.StepFactor, From: int(u.LayerFrom), To: int(u.LayerTo), Settled: true, Requests: c.Catalog.Requests(u.Id)}
		c.applyPending(now, u, &e)
		e.New = e.To == e.From && anyHeld && now.Sub(u.FirstSeen) < newEnginePeriod
		engines = append(engines, e)
	}
	stable := c.stable(now, len(engines))
	if len(engines) == 0 || now.Sub(c.startedAt) < viewSettleDelay || !anyHeld && !stable {
		return
	}
	m := layers.Model{Layers: p.Engine.Layers, LayerMB: p.Engine.LayerMB, TokenMB: p.Engine.CacheBytesPerToken / 1e6, Slots: p.Engine.Slots,
		RequestTokens: float64(p.Engine.DefaultPromptTokens + p.Engine.DefaultAnswerTokens)}
	orders := c.plan(now, m, engines)
	var sends sync.WaitGroup
	for _, o := range orders {
		u := upstreams[o.Engine]
		st := c.state(u)
		loadTime := clock.Duration(float64(p.Engine.LoadTime) * float64(o.To-o.From) / float64(p.Engine.Layers))
		sends.Add(1)
		go func() {
			defer crash.Report("order")
			defer sends.Done()
			crash.Contain("order", func() { c.sendOrder(ctx, u, st, o, loadTime) })
		}()
	}
	sends.Wait()
}

// holdsLayers reports whether an engine holds layers of the model, as far as its accelerator can.
func holdsLayers(e *tables.Engine, u *registry.Upstream) bool {
	k, ok := e.Kind(u.Accelerator)
	held := int(u.LayerTo) - int(u.LayerFrom)
	return ok && held > 0 && int(u.LayerTo) <= e.Layers && float64(held)*e.LayerMB <= k.MemoryMB
}

// plan returns the orders to send now. Engines in use are extended only to cover a gap that
// has persisted for growDelay, because the lost engine may return or a replacement may join.
func (c *Controller) plan(now clock.Time, m layers.Model, engines []layers.Engine) []layers.Order {
	if orders := layers.Plan(m, engines, false); len(orders) > 0 {
		return orders
	}
	orders := layers.Plan(m, engines, true)
	if len(orders) == 0 {
		c.gapSince = 0
		return nil
	}
	if c.gapSince == 0 {
		c.gapSince = now
	}
	if now.Sub(c.gapSince) < growDelay {
		return nil
	}
	c.gapSince = 0
	return orders
}

// checkCompletion asks engines whose order should be executed by now for their state, all at the same time, and
// adds the layers that they hold to the catalog before they announce them.
func (c *Controller) checkCompletion(ctx context.Context, now clock.Time, members []*registry.Upstream) {
	var asked sync.WaitGroup
	defer asked.Wait()
	for _, u := range members {
		st := c.states[u.Id]
		if st == nil || st.startedMs != u.StartedMs || st.checkAt == 0 || now.Before(st.checkAt) {
			continue
		}
		if int(u.LayerFrom) == st.from && int(u.LayerTo) == st.to {
			st.checkAt = 0
			continue
		}
		st.checkAt = now.Add(reportInterval)
		asked.Go(func() {
			defer crash.Report("report of an ordered engine")
			crash.Contain("report of an ordered engine", func() { c.checkOrder(ctx, u, st) })
		})
	}
}

// checkOrder asks an engine whether it has executed its order.
func (c *Controller) checkOrder(ctx context.Context, u *registry.Upstream, st *engineState) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := c.API.Report(ctx, u.Id, u.Address)
	if err != nil {
		c.Log.Decision("engineReportFailed", u.Id, "address", u.Address, "error", err.Error())
		st.checkAt = 0
		return
	}
	if !r.Busy && r.IsOf(u.StartedMs) && r.From == st.from && r.To == st.to {
		st.checkAt = 0
		c.Catalog.RecordPlacement(u, r.From, r.To, true)
	}
}

// applyPending replaces an engine's range by that of its pending order.
func (c *Controller) applyPending(now clock.Time, u *registry.Upstream, e *layers.Engine) {
	st := c.states[u.Id]
	if st == nil || st.startedMs != u.StartedMs {
		return
	}
	if now < st.blockedUntil {
		e.Settled = false
	}
	if st.pendingUntil == 0 {
		return
	}
	if e.From == st.from && e.To == st.to || !now.Before(st.pendingUntil) {
		st.pendingUntil = 0
		return
	}
	e.From, e.To, e.Settled = st.from, st.to, false
}

// stable reports whether the number of engines has not changed for firstPlanDelay, or
// firstPlanTimeout has passed since the first engine was seen.
func (c *Controller) stable(now clock.Time, engines int) bool {
	if engines > 0 && c.firstSeenAt == 0 {
		c.firstSeenAt = now
	}
	if engines != c.engineCount {
		c.engineCount, c.countChangedAt = engines, now
	}
	return now.Sub(c.countChangedAt) >= firstPlanDelay || c.firstSeenAt > 0 && now.Sub(c.firstSeenAt) >= firstPlanTimeout
}

// state returns the placement state of an engine's current process.
func (c *Controller) state(u *registry.Upstream) *engineState {
	st := c.states[u.Id]
	if st == nil || st.startedMs != u.StartedMs {
		// A process that holds no layers has usually accepted no order.
		st = &engineState{startedMs: u.StartedMs, acceptedKnown: u.LayerTo == u.LayerFrom}
		c.states[u.Id] = st
	}
	return st
}

// sendOrder sends one order and records its outcome.
func (c *Controller) sendOrder(ctx context.Context, u *registry.Upstream, st *engineState, o layers.Order, loadTime clock.Duration) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !st.acceptedKnown {
		r, err := c.API.Report(ctx, u.Id, u.Address)
		if err == nil && !r.IsOf(u.StartedMs) {
			err = ErrOtherProcess
		}
		if err != nil {
			c.Log.Decision("engineReportFailed", u.Id, "address", u.Address, "error", err.Error())
			st.blockedUntil = c.Clock.Now().Add(unansweredDelay)
			return
		}
		st.accepted, st.acceptedKnown = r.Taken, true
	}
	if term, leaseLeft := c.Lease.OrderLease(); term != c.term || leaseLeft <= minLeaseLeft {
		return
	}
	cut := false
	if o.From > int(u.LayerFrom) || o.To < int(u.LayerTo) {
		cut = c.vacate(ctx, u.Id) <= maxCutRequests
	}
	err := c.API.Place(ctx, Order{Engine: u.Id, Address: u.Address, From: o.From, To: o.To, Expected: st.accepted, Term: c.term, Cut: cut})
	now := c.Clock.Now()
	switch {
	case err == nil:
		st.accepted++
		st.from, st.to, st.pendingUntil = o.From, o.To, now.Add(loadTime*maxLoadSlowdown+loadMargin)
		st.checkAt = now.Add(loadTime)
	case errors.Is(err, ErrRefused):
		// The engine may still be executing an earlier order.
		st.acceptedKnown = false
		st.blockedUntil = now.Add(refusedDelay)
	default:
		st.acceptedKnown = false
		st.from, st.to, st.pendingUntil = o.From, o.To, now.Add(unansweredDelay)
	}
	text := "taken"
	if err != nil {
		text = err.Error()
	}
	c.Log.Decision("layersOrdered", u.Id, "address", u.Address, "from", o.From, "to", o.To, "heldFrom", u.LayerFrom, "heldTo", u.LayerTo,
		"reason", o.Reason, "expected", st.accepted, "term", c.term, "outcome", text, "heardMsAgo", int64(now.Sub(u.LastSeen)))
}

// vacate has requests led around an engine that gives up layers, and returns how many are left.
func (c *Controller) vacate(ctx context.Context, id string) (left int) {
	before := c.Catalog.Requests(id)
	if before == 0 {
		return 0
	}
	c.Catalog.Vacate(id)
	_ = delay.Wait(ctx, vacateDelay)
	left = c.Catalog.Requests(id)
	c.Log.Decision("engineVacated", id, "requests", before, "left", left)
	return left
}

// maxLoadSlowdown is the largest factor by which concurrent loads are expected to slow each
// other down.
const maxLoadSlowdown = 4
