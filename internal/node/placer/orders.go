package placer

import (
	"context"
	"errors"
	"sync"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/routing/layers"
)

// maxLoadSlowdown is the largest factor by which concurrent loads are expected to slow each
// other down.
const maxLoadSlowdown = 4

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
