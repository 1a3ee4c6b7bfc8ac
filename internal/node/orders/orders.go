// Package orders gives the orders that placement calls for to engines. Only the
// VM whose replica leads gives orders, only within its lease, and each carries a
// fencing number of the replicated state. Where engines ignore the number, a new
// leader first waits until no order of an earlier one can be on its way.
package orders

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/upstream/engineapi"
	"github.com/jasminecove/jasminecove/internal/upstream/placement"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// Spans of the controller.
const (
	lookEvery = 500 * time.Millisecond
	// flight is the longest time that an order may be on its way.
	flight = 2 * clock.Second
	// quarantine is how long a new leader waits where fencing is ignored: the
	// flight of an earlier leader's last order. The earlier lease is over before
	// a new leader starts.
	quarantine = flight + clock.Second
	// keptShare is the part of the present capacity that a roll keeps when the
	// tables do not say how much.
	keptShare = 0.5
)

// Lease tells whether this VM's replica may act alone.
type Lease interface {
	// OrderLease returns the leader's term and the time left of its lease, 0
	// when the replica does not lead.
	OrderLease() (term uint64, left clock.Duration)
}

// Control commits the grant of orders.
type Control interface {
	Propose(ctx context.Context, c *fleetpb.Command) (*fleetpb.Result, error)
}

// Upstreams tells what is to be placed.
type Upstreams interface {
	Tables() *tables.Document
	Engines(pool tables.Pool) []*upstreampb.Announcement
	Bound(pool string) float64
}

// Controller gives orders while its VM leads.
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
	ledFrom clock.Time
}

// Run looks for orders to give until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.look(ctx)
		}
	}
}

func (c *Controller) look(ctx context.Context) {
	term, left := c.Lease.OrderLease()
	if left <= 0 {
		c.term = 0
		return
	}
	if term != c.term && !c.grant(ctx, term) {
		return
	}
	need := c.planner.Next(c.Clock.Now(), c.pools())
	if need == nil {
		return
	}
	c.give(ctx, need)
}

// grant takes a fencing number for this term of leadership.
func (c *Controller) grant(ctx context.Context, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, flight.Std())
	defer cancel()
	result, err := c.Control.Propose(ctx, &fleetpb.Command{Body: &fleetpb.Command_Grant{Grant: &fleetpb.GrantOrders{Holder: c.VM, Term: term}}})
	if err != nil || result.Fencing == 0 {
		return false
	}
	c.term, c.fencing, c.ledFrom = term, result.Fencing, c.Clock.Now()
	c.planner = placement.New()
	c.Log.Info("may give orders", "term", term, "fencing", c.fencing)
	return true
}

// pools returns the pools of engines that orders may be given to now.
func (c *Controller) pools() []placement.Pool {
	var out []placement.Pool
	quiet := c.Clock.Now().Sub(c.ledFrom) < quarantine
	for _, p := range c.Upstreams.Tables().Pools {
		if !p.IsModel() || quiet && p.Fencing != tables.FencingRefused {
			continue
		}
		keep := p.MinTokensPerSecond
		if keep == 0 {
			keep = c.Upstreams.Bound(p.Name) * keptShare
		}
		out = append(out, placement.Pool{Tables: p, Engines: c.Upstreams.Engines(p), MinTokensPerSecond: keep})
	}
	return out
}

// give sends an order if the lease outlasts its flight, or the engine refuses old
// numbers. The lease is read again right before.
func (c *Controller) give(ctx context.Context, need *placement.Proposal) {
	term, left := c.Lease.OrderLease()
	if term != c.term || left <= 0 {
		return
	}
	invariant.Check(c.Sink, left > 0, "noOrderWithoutLease", "order %s with %s left", need.Order.Id, left)
	need.Order.Fencing = c.fencing
	ctx, cancel := context.WithTimeout(ctx, flight.Std())
	defer cancel()
	reply, err := c.API.Order(ctx, need.Address, need.Order)
	if err != nil {
		c.Log.Warn("order not answered, it will be given again", "order", need.Order.Id, "error", err)
		return
	}
	if !reply.Accepted {
		c.Log.Warn("order refused", "order", need.Order.Id, "reason", reply.Reason, "fencing", reply.Fencing)
		return
	}
	c.planner.RecordAccepted(c.Clock.Now(), need.Engine)
	c.Log.Info("order accepted", "order", need.Order.Id, "why", need.Reason)
}
