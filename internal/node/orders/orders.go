// Package orders sends the orders that placement requires to engines. Only the VM whose
// replica leads sends orders, only while its lease is valid, and each order carries a
// fencing token from the replicated state. Where engines ignore the token, a new leader
// first waits until no order of a previous leader can still be in flight.
package orders

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/upstream/engineapi"
	"github.com/jasminecove/jasminecove/internal/upstream/placement"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// Intervals, delays and limits of the controller.
const (
	planInterval = 500 * time.Millisecond
	// orderTimeout is the longest time that an order may be in flight.
	orderTimeout = 2 * clock.Second
	// unfencedDelay is how long a new leader waits where fencing is ignored: until the last
	// order of the previous leader is no longer in flight. The previous lease has expired
	// before a new leader starts.
	unfencedDelay = orderTimeout + clock.Second
	// defaultKeepShare is the fraction of the current capacity that a rolling update keeps
	// when the tables specify none.
	defaultKeepShare = 0.5
)

// Lease reports whether this VM's replica is the leader and holds the lease.
type Lease interface {
	// OrderLease returns the leader's term and the time left of its lease. The time left is 0
	// when the replica does not lead.
	OrderLease() (term uint64, left clock.Duration)
}

// Control commits commands to the replicated state.
type Control interface {
	Propose(ctx context.Context, c *fleetpb.Command) (*fleetpb.Result, error)
}

// Upstreams provides the tables and the engines to place layers on.
type Upstreams interface {
	Tables() *tables.Document
	Engines(pool tables.Pool) []*upstreampb.Announcement
	Bound(pool string) float64
}

// Controller sends orders while its VM leads.
type Controller struct {
	VM        string
	Clock     clock.Clock
	Lease     Lease
	Control   Control
	Upstreams Upstreams
	API       engineapi.API
	Sink      invariant.Sink
	Log       hclog.Logger

	planner *placement.Planner
	term    uint64
	fencing uint64
	granted clock.Time // When the fencing token of this term was granted.
}

// Run plans and sends orders until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !crash.Contain("orders", func() { c.step(ctx) }) {
				c.term = 0 // The next step begins anew, with another fencing token.
			}
		}
	}
}

// step sends the next order, if one is needed and this VM leads.
func (c *Controller) step(ctx context.Context) {
	term, left := c.Lease.OrderLease()
	if left <= 0 {
		c.term = 0
		return
	}
	if term != c.term && !c.grant(ctx, term) {
		return
	}
	proposal := c.planner.Next(c.Clock.Now(), c.pools())
	if proposal == nil {
		return
	}
	c.send(ctx, proposal)
}

// grant obtains a fencing token for this term of leadership.
func (c *Controller) grant(ctx context.Context, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Std())
	defer cancel()
	result, err := c.Control.Propose(ctx, &fleetpb.Command{Body: &fleetpb.Command_Grant{Grant: &fleetpb.GrantOrders{Holder: c.VM, Term: term}}})
	if err != nil || result.Fencing == 0 {
		return false
	}
	c.term, c.fencing, c.granted = term, result.Fencing, c.Clock.Now()
	c.planner = placement.New()
	c.Log.Info("may give orders", "term", term, "fencing", c.fencing)
	return true
}

// pools returns the pools whose engines may be sent orders now.
func (c *Controller) pools() []placement.Pool {
	var out []placement.Pool
	waiting := c.Clock.Now().Sub(c.granted) < unfencedDelay
	for _, p := range c.Upstreams.Tables().Pools {
		if !p.IsModel() || waiting && p.Fencing != tables.FencingRefused {
			continue
		}
		keep := p.MinTokensPerSecond
		if keep == 0 {
			keep = c.Upstreams.Bound(p.Name) * defaultKeepShare
		}
		out = append(out, placement.Pool{Tables: p, Engines: c.Upstreams.Engines(p), MinTokensPerSecond: keep})
	}
	return out
}

// send sends an order. The lease is read again right before. An order may still be in flight
// when the lease ends: an engine that enforces fencing refuses it once the next leader has a
// token, and for other engines the next leader waits unfencedDelay.
func (c *Controller) send(ctx context.Context, proposal *placement.Proposal) {
	term, left := c.Lease.OrderLease()
	if term != c.term || left <= 0 {
		return
	}
	invariant.Check(c.Sink, left > 0, "noOrderWithoutLease", "order %s with %s left", proposal.Order.Id, left)
	proposal.Order.Fencing = c.fencing
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Std())
	defer cancel()
	reply, err := c.API.Order(ctx, proposal.Address, proposal.Order)
	if err != nil {
		c.Log.Warn("no reply to order, will be sent again", "order", proposal.Order.Id, "error", err)
		return
	}
	if !reply.Accepted {
		c.Log.Warn("order refused", "order", proposal.Order.Id, "reason", reply.Reason, "fencing", reply.Fencing)
		return
	}
	c.planner.RecordAccepted(c.Clock.Now(), proposal.Engine)
	c.Log.Info("order accepted", "order", proposal.Order.Id, "why", proposal.Reason)
}
