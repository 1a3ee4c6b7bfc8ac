// Package placer assigns layers to engines by sending them placement orders. Only the
// leader VM sends orders, while it holds the order lease. An order that got no reply may
// still be executed later: each order carries the number of orders that the engine had
// accepted when it was sent, so that the engine refuses a delayed order after a newer one.
package placer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/node/decision"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/routing/layers"
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
