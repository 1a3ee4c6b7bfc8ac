// Package placer gives engines the orders that lead to the planned layers, from the VM
// that leads and holds the order lease. An order without an answer may still be
// carried out: it names the count of orders that the engine had taken, so that a late
// one that others have overtaken is refused by the engine.
package placer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/node/decision"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
	"github.com/jasminecove/jasminecove/internal/routing/layers"
)

// Failures of an order.
const (
	// ErrRefused reports an order that the engine did not take, because its count of
	// orders or its state is another.
	ErrRefused = fault.Sentinel("placer: the engine refused the order")
	// ErrUnknown reports an order without an answer. It may be carried out later.
	ErrUnknown = fault.Sentinel("placer: the order was not answered")
)

// Spans of the controller.
const (
	lookEvery = 100 * time.Millisecond
	// settle is how long the set of engines must stay the same before a first plan.
	settle = 1500 * clock.Millisecond
	// viewSettle is how long the process must have run before it judges by its view
	// of engines that one is lost: more than two spans between announcements.
	viewSettle = 3500 * clock.Millisecond
	// gapPatience is how long an engine that was lost has to come back before others
	// take its layers.
	gapPatience = 700 * clock.Millisecond
	// growPatience is how long a gap stays before engines in use grow into it.
	growPatience = 3500 * clock.Millisecond
	// newSpan is how long an engine counts as new; see layers.Engine.
	newSpan = 2500 * clock.Millisecond
	// askEvery is the span between two questions to an engine whether it has carried
	// out its order, from the time on when it should have.
	askEvery = 150 * clock.Millisecond
	// settleLimit bounds that wait.
	settleLimit = 4 * clock.Second
	// leaseMargin is the lease that must be left when an order is sent.
	leaseMargin  = 50 * clock.Millisecond
	orderTimeout = 1 * time.Second
	askTimeout   = 300 * time.Millisecond
	// unknownPause is how long an engine gets no other order after one without an
	// answer.
	unknownPause = 1500 * clock.Millisecond
	// refusedPause is how long an engine that refused an order gets no other.
	refusedPause = 1 * clock.Second
	// loadSlack is added to the expected time of a load before an engine counts as
	// settled though it does not show its range.
	loadSlack = 4 * clock.Second
)

// Order is one order to an engine.
type Order struct {
	Engine, Address string
	From, To        int
	Expected        int64 // Orders that the engine has taken so far.
	Term            uint64
}

// Report is an engine's own account.
type Report struct {
	Taken    int64 // Orders that it has taken since its start.
	Busy     bool
	From, To int      // Layers that it holds.
	Stalled  []string // Addresses of engines that its requests wait for in vain.
}

// API reaches engines.
type API interface {
	// Place gives an order. It returns ErrRefused, ErrUnknown or nil.
	Place(ctx context.Context, o Order) error
	// Report asks for an engine's account.
	Report(ctx context.Context, id, address string) (Report, error)
	// Repath orders an engine to lead a running request along another path.
	Repath(ctx context.Context, id, address, requestID string, hops []chain.Hop) error
}

// Lease tells whether this VM may give orders.
type Lease interface {
	OrderLease() (term uint64, left clock.Duration)
}

// Controller places layers. Run drives it.
type Controller struct {
	Clock   clock.Clock
	Lease   Lease
	Catalog *catalog.Catalog
	API     API
	Log     *decision.Log

	term    uint64
	known   map[string]*engineState // By id.
	seen    int                     // Engines at the last look.
	changed clock.Time              // When seen changed.
	first   clock.Time              // When an engine was first seen.
	began   clock.Time
	gapAt   clock.Time // Since when there is a gap that only engines in use could close.
}

// engineState is what the controller knows of one process of an engine.
type engineState struct {
	started  uint64
	taken    int64
	takenOK  bool // taken is known.
	from, to int  // Range of the order under way.
	until    clock.Time
	done     clock.Time // When the order should be carried out; 0 after that.
}

// Run places layers until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.began = c.Clock.Now()
	for delay.Wait(ctx, lookEvery) == nil {
		term, leaseLeft := c.Lease.OrderLease()
		if leaseLeft <= leaseMargin {
			continue
		}
		if term != c.term {
			// Another VM may have given orders since.
			c.term, c.known, c.seen, c.first, c.gapAt = term, map[string]*engineState{}, 0, 0, 0
		}
		index := c.Catalog.Tables()
		if index == nil {
			continue
		}
		for _, p := range index.Document().Pools {
			if p.Engine != nil {
				c.place(ctx, p)
			}
		}
	}
}

// place plans one pool and carries the plan out.
func (c *Controller) place(ctx context.Context, p tables.Pool) {
	now := c.Clock.Now()
	upstreams := map[string]*registry.Upstream{}
	var engines []layers.Engine
	members := c.Catalog.Members(p.Service)
	anyHeld := slices.ContainsFunc(members, func(u *registry.Upstream) bool { return u.LayerTo > u.LayerFrom })
	c.askDone(ctx, now, members)
	for _, u := range members {
		k, ok := p.Engine.Kind(u.Accelerator)
		if !ok || u.Leaving || c.Catalog.DeadFor(u.Id) >= gapPatience {
			continue
		}
		upstreams[u.Id] = u
		e := layers.Engine{ID: u.Id, DataCentre: u.DataCentre, MemoryMB: k.MemoryMB, From: int(u.LayerFrom), To: int(u.LayerTo), Settled: true}
		c.underWay(now, u, &e)
		e.New = e.To == e.From && anyHeld && now.Sub(u.FirstSeen) < newSpan
		engines = append(engines, e)
	}
	stable := c.stable(now, len(engines))
	if len(engines) == 0 || now.Sub(c.began) < viewSettle || !anyHeld && !stable {
		return
	}
	m := layers.Model{Layers: p.Engine.Layers, LayerMB: p.Engine.LayerMB, TokenMB: p.Engine.CacheBytesPerToken / 1e6}
	orders := c.plan(now, m, engines)
	var sends sync.WaitGroup
	for _, o := range orders {
		u := upstreams[o.Engine]
		st := c.state(u)
		share := clock.Duration(float64(p.Engine.LoadTime) * float64(o.To-o.From) / float64(p.Engine.Layers))
		sends.Add(1)
		go func() {
			defer sends.Done()
			c.order(ctx, u, st, o, share)
		}()
	}
	sends.Wait()
}

// plan returns the orders to give now. Engines in use grow only into a gap that has
// stayed for a while, because the lost engine may come back or its successor join.
func (c *Controller) plan(now clock.Time, m layers.Model, engines []layers.Engine) []layers.Order {
	if orders := layers.Plan(m, engines, false); len(orders) > 0 {
		return orders
	}
	orders := layers.Plan(m, engines, true)
	if len(orders) == 0 {
		c.gapAt = 0
		return nil
	}
	if c.gapAt == 0 {
		c.gapAt = now
	}
	if now.Sub(c.gapAt) < growPatience {
		return nil
	}
	c.gapAt = 0
	return orders
}

// askDone asks engines whose order should be carried out by now, and tells what they
// hold before they announce it.
func (c *Controller) askDone(ctx context.Context, now clock.Time, members []*registry.Upstream) {
	for _, u := range members {
		st := c.known[u.Id]
		if st == nil || st.started != u.StartedMs || st.done == 0 || now.Before(st.done) {
			continue
		}
		if int(u.LayerFrom) == st.from && int(u.LayerTo) == st.to {
			st.done = 0
			continue
		}
		st.done = now.Add(askEvery)
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		r, err := c.API.Report(ctx, u.Id, u.Address)
		cancel()
		if err != nil {
			c.Log.Decision("engineReportFailed", u.Id, "address", u.Address, "error", err.Error())
			st.done = 0
			continue
		}
		if !r.Busy && r.From == st.from && r.To == st.to {
			st.done = 0
			c.Catalog.RecordPlacement(u, r.From, r.To, true)
		}
	}
}

// underWay replaces an engine's range by the one that an order leads to.
func (c *Controller) underWay(now clock.Time, u *registry.Upstream, e *layers.Engine) {
	st := c.known[u.Id]
	if st == nil || st.started != u.StartedMs || st.until == 0 {
		return
	}
	if e.From == st.from && e.To == st.to || !now.Before(st.until) {
		st.until = 0
		return
	}
	e.From, e.To, e.Settled = st.from, st.to, false
}

// stable reports whether the set of engines has stayed the same for a while.
func (c *Controller) stable(now clock.Time, engines int) bool {
	if engines > 0 && c.first == 0 {
		c.first = now
	}
	if engines != c.seen {
		c.seen, c.changed = engines, now
	}
	return now.Sub(c.changed) >= settle || c.first > 0 && now.Sub(c.first) >= settleLimit
}

// state returns what is known of an engine's present process.
func (c *Controller) state(u *registry.Upstream) *engineState {
	st := c.known[u.Id]
	if st == nil || st.started != u.StartedMs {
		// A process that holds nothing has usually taken no order.
		st = &engineState{started: u.StartedMs, takenOK: u.LayerTo == u.LayerFrom}
		c.known[u.Id] = st
	}
	return st
}

// order gives one order and notes its outcome.
func (c *Controller) order(ctx context.Context, u *registry.Upstream, st *engineState, o layers.Order, load clock.Duration) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !st.takenOK {
		r, err := c.API.Report(ctx, u.Id, u.Address)
		if err != nil {
			c.Log.Decision("engineReportFailed", u.Id, "address", u.Address, "error", err.Error())
			st.until, st.from, st.to = c.Clock.Now().Add(unknownPause), int(u.LayerFrom), int(u.LayerTo)+1
			return
		}
		st.taken, st.takenOK = r.Taken, true
	}
	if term, leaseLeft := c.Lease.OrderLease(); term != c.term || leaseLeft <= leaseMargin {
		return
	}
	err := c.API.Place(ctx, Order{Engine: u.Id, Address: u.Address, From: o.From, To: o.To, Expected: st.taken, Term: c.term})
	now := c.Clock.Now()
	switch {
	case err == nil:
		st.taken++
		st.from, st.to, st.until = o.From, o.To, now.Add(load*loadCrowd+loadSlack)
		st.done = now.Add(load)
	case errors.Is(err, ErrRefused):
		// It may still carry out an earlier order.
		st.takenOK = false
		st.from, st.to, st.until = o.From, o.To, now.Add(refusedPause)
	default:
		st.takenOK = false
		st.from, st.to, st.until = o.From, o.To, now.Add(unknownPause)
	}
	text := "taken"
	if err != nil {
		text = err.Error()
	}
	c.Log.Decision("layersOrdered", u.Id, "address", u.Address, "from", o.From, "to", o.To, "heldFrom", u.LayerFrom, "heldTo", u.LayerTo,
		"reason", o.Reason, "expected", st.taken, "term", c.term, "outcome", text, "heardMsAgo", int64(now.Sub(u.LastSeen)))
}

// loadCrowd is by how much loads that run at once may slow each other.
const loadCrowd = 4
