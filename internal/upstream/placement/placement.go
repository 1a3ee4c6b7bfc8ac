// Package placement decides which order to send to which engine, one at a time: to fill a
// gap in a model's layers, and to roll engines to the version set in the tables without
// reducing the pool's capacity below its minimum.
package placement

import (
	"fmt"
	"slices"
	"strings"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/routing/plan"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// Timing of orders.
const (
	// settleDelay is how long an order must be needed before it is proposed.
	settleDelay = 3 * clock.Second
	// loadTimeout is how long an engine may take to load. Meanwhile no other order is
	// proposed, because engines share the bandwidth of the weight store.
	loadTimeout = 60 * clock.Second
)

// Pool is the state of a pool from which orders are derived.
type Pool struct {
	Tables             tables.Pool
	Engines            []*upstreampb.Announcement // Live engines of the pool's model.
	MinTokensPerSecond float64                    // Tokens per second that must remain in service during a roll.
}

// Proposal is an order to send, with the reason for it.
type Proposal struct {
	Order   *upstreampb.Order
	Engine  string
	Address string
	Reason  string
}

// Planner records since when each order has been needed, and the order in progress. It is
// not safe for concurrent use.
type Planner struct {
	since   map[string]clock.Time // By order id.
	pending string                // Engine that got the last order.
	until   clock.Time            // When its load times out.
}

// New returns a Planner without an order in progress.
func New() *Planner { return &Planner{since: map[string]clock.Time{}} }

// Next returns the order to send now, or nil. The caller sets its fencing number.
func (p *Planner) Next(now clock.Time, pools []Pool) *Proposal {
	if p.busy(now, pools) {
		return nil
	}
	needed := map[string]bool{}
	var chosen *Proposal
	for _, pool := range pools {
		proposal := mostUrgent(pool)
		if proposal == nil {
			continue
		}
		needed[proposal.Order.Id] = true
		if p.since[proposal.Order.Id] == 0 {
			p.since[proposal.Order.Id] = now
		}
		if chosen == nil && now.Sub(p.since[proposal.Order.Id]) >= settleDelay {
			chosen = proposal
		}
	}
	for id := range p.since {
		if !needed[id] {
			delete(p.since, id)
		}
	}
	return chosen
}

// RecordAccepted records that an engine has accepted an order.
func (p *Planner) RecordAccepted(now clock.Time, engine string) {
	p.pending, p.until = engine, now.Add(loadTimeout)
}

// busy reports whether the engine that got the last order is still loading.
func (p *Planner) busy(now clock.Time, pools []Pool) bool {
	if p.pending == "" || !now.Before(p.until) {
		p.pending = ""
		return false
	}
	for _, pool := range pools {
		for _, e := range pool.Engines {
			if e.Id == p.pending && !e.Leaving && (pool.Tables.Version == "" || e.Version == pool.Tables.Version) {
				p.pending = ""
				return false
			}
		}
	}
	return true
}

// mostUrgent returns the most urgent order of a pool, or nil.
func mostUrgent(pool Pool) *Proposal {
	if proposal := fillGap(pool); proposal != nil {
		return proposal
	}
	return roll(pool)
}

// fillGap moves an engine to layers that no engine holds, from the range that most engines
// hold.
func fillGap(pool Pool) *Proposal {
	from, missing := plan.MissingLayers(pool.Tables.Layers, replicas(pool.Engines))
	if !missing {
		return nil
	}
	to := pool.Tables.Layers
	for _, e := range pool.Engines {
		if e.LayerFrom > from && e.LayerFrom < to {
			to = e.LayerFrom
		}
	}
	spare := redundant(pool.Engines)
	if spare == nil {
		return nil
	}
	return order(pool, spare, spare.Version, from, to, fmt.Sprintf("no engine holds layers %d to %d", from, to))
}

// redundant returns an engine of the range that most engines hold, or nil when no range is
// held by more than one.
func redundant(engines []*upstreampb.Announcement) *upstreampb.Announcement {
	holders := map[[2]uint32][]*upstreampb.Announcement{}
	for _, e := range engines {
		if !e.Leaving {
			key := [2]uint32{e.LayerFrom, e.LayerTo}
			holders[key] = append(holders[key], e)
		}
	}
	var best []*upstreampb.Announcement
	for _, group := range holders {
		if len(group) < 2 {
			continue
		}
		if len(group) > len(best) || len(group) == len(best) && group[0].LayerFrom < best[0].LayerFrom {
			best = group
		}
	}
	if best == nil {
		return nil
	}
	return slices.MinFunc(best, func(a, b *upstreampb.Announcement) int { return strings.Compare(a.Id, b.Id) })
}

// roll moves one engine to the version set in the tables, if the other engines provide the
// pool's minimum capacity while it loads.
func roll(pool Pool) *Proposal {
	want := pool.Tables.Version
	if want == "" {
		return nil
	}
	for _, e := range rollOrder(pool.Engines) {
		if e.Version == want || e.Leaving {
			continue
		}
		if capacityWithout(pool, e) < pool.MinTokensPerSecond {
			continue
		}
		return order(pool, e, want, e.LayerFrom, e.LayerTo, fmt.Sprintf("the tables require version %s, the engine holds %s", want, e.Version))
	}
	return nil
}

// rollOrder returns the engines in the order in which they are rolled: first the first
// engine of each range, so that the new version has a complete path as early as possible.
func rollOrder(engines []*upstreampb.Announcement) []*upstreampb.Announcement {
	rank := map[uint32]int{}
	ranks := map[string]int{}
	sorted := slices.Clone(engines)
	slices.SortFunc(sorted, func(a, b *upstreampb.Announcement) int { return strings.Compare(a.Id, b.Id) })
	for _, e := range sorted {
		ranks[e.Id] = rank[e.LayerFrom]
		rank[e.LayerFrom]++
	}
	slices.SortStableFunc(sorted, func(a, b *upstreampb.Announcement) int { return ranks[a.Id] - ranks[b.Id] })
	return sorted
}

// capacityWithout returns the sum of the capacities of all versions while an engine loads,
// in tokens per second.
func capacityWithout(pool Pool, without *upstreampb.Announcement) float64 {
	byVersion := map[string][]*upstreampb.Announcement{}
	for _, e := range pool.Engines {
		if e.Id != without.Id && !e.Leaving {
			byVersion[e.Version] = append(byVersion[e.Version], e)
		}
	}
	sum := 0.0
	for _, engines := range byVersion {
		sum += plan.Compute(pool.Tables.Layers, replicas(engines)).Bound
	}
	return sum
}

// order builds an order. Its id stays the same until the engine has accepted an order, so
// that it can be sent again.
func order(pool Pool, e *upstreampb.Announcement, version string, from, to uint32, reason string) *Proposal {
	return &Proposal{
		Engine: e.Id, Address: e.Address, Reason: reason,
		Order: &upstreampb.Order{
			Id:    fmt.Sprintf("%s/%s@%s/%d-%d/after-%d", e.Id, pool.Tables.Model, version, from, to, e.Fencing),
			Model: pool.Tables.Model, Version: version, LayerFrom: from, LayerTo: to,
		},
	}
}

// replicas returns the engines that are not leaving, as the planner of paths takes them.
func replicas(engines []*upstreampb.Announcement) []plan.Replica {
	out := make([]plan.Replica, 0, len(engines))
	for _, e := range engines {
		if !e.Leaving {
			out = append(out, plan.Replica{ID: e.Id, From: e.LayerFrom, To: e.LayerTo, Rate: e.TokensPerSecond})
		}
	}
	return out
}
