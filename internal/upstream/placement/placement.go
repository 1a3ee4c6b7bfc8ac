// Package placement decides which order to give to which engine, one at a time:
// to close a gap in a model's layers, and to roll engines to the version that the
// tables ask for without dropping the pool's capacity below what it must keep.
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

// Constants of placement.
const (
	// settle is how long a need must last before an order follows from it.
	settle = 3 * clock.Second
	// loadBound is how long an engine may take to load; until then no other order
	// is given, because the weight store's rate is shared.
	loadBound = 60 * clock.Second
)

// Pool is what a decision rests on.
type Pool struct {
	Tables  tables.Pool
	Engines []*upstreampb.Announcement // Live engines of the pool's model.
	Keep    float64                    // Tokens a second that a roll must leave in service.
}

// Need is an order that is called for, and why.
type Need struct {
	Order   *upstreampb.Order
	Engine  string
	Address string
	Why     string
}

// Planner keeps the time that a need has lasted, and the order under way. It is
// not safe for concurrent use.
type Planner struct {
	since   map[string]clock.Time
	pending string // Engine that was ordered last.
	until   clock.Time
}

// New returns a Planner without orders under way.
func New() *Planner { return &Planner{since: map[string]clock.Time{}} }

// Next returns the order to give now, or nil. The caller gives it its fencing
// number.
func (p *Planner) Next(now clock.Time, pools []Pool) *Need {
	if p.busy(now, pools) {
		return nil
	}
	seen := map[string]bool{}
	var chosen *Need
	for _, pool := range pools {
		n := need(pool)
		if n == nil {
			continue
		}
		seen[n.Order.Id] = true
		if p.since[n.Order.Id] == 0 {
			p.since[n.Order.Id] = now
		}
		if chosen == nil && now.Sub(p.since[n.Order.Id]) >= settle {
			chosen = n
		}
	}
	for id := range p.since {
		if !seen[id] {
			delete(p.since, id)
		}
	}
	return chosen
}

// Given notes that an engine was ordered.
func (p *Planner) Given(now clock.Time, engine string) {
	p.pending, p.until = engine, now.Add(loadBound)
}

// busy reports whether the engine that was ordered last is still loading.
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

// need returns the most urgent order of a pool.
func need(pool Pool) *Need {
	if n := closeGap(pool); n != nil {
		return n
	}
	return roll(pool)
}

// closeGap moves an engine to layers that none holds, from the range that has the
// most to spare.
func closeGap(pool Pool) *Need {
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
	donor := mostSpare(pool.Engines)
	if donor == nil {
		return nil
	}
	return order(pool, donor, donor.Version, from, to, fmt.Sprintf("no engine holds layers %d to %d", from, to))
}

// mostSpare returns an engine of the range that most others hold too.
func mostSpare(engines []*upstreampb.Announcement) *upstreampb.Announcement {
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

// roll moves one engine to the version that the tables ask for, when what is left
// meanwhile is what the pool must keep.
func roll(pool Pool) *Need {
	want := pool.Tables.Version
	if want == "" {
		return nil
	}
	for _, e := range ordered(pool.Engines) {
		if e.Version == want || e.Leaving {
			continue
		}
		if capacityWithout(pool, e) < pool.Keep {
			continue
		}
		return order(pool, e, want, e.LayerFrom, e.LayerTo, fmt.Sprintf("version %s is asked for, %s is held", want, e.Version))
	}
	return nil
}

// ordered returns the engines by range, so that a version's path is complete as
// early as possible: the first engine of each range goes first.
func ordered(engines []*upstreampb.Announcement) []*upstreampb.Announcement {
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

// capacityWithout is what the versions can serve while an engine loads.
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

// order describes an order. Its id is the same until the engine has taken it, so
// that it may be given again.
func order(pool Pool, e *upstreampb.Announcement, version string, from, to uint32, why string) *Need {
	return &Need{
		Engine: e.Id, Address: e.Address, Why: why,
		Order: &upstreampb.Order{
			Id:    fmt.Sprintf("%s/%s@%s/%d-%d/after-%d", e.Id, pool.Tables.Model, version, from, to, e.Fencing),
			Model: pool.Tables.Model, Version: version, LayerFrom: from, LayerTo: to,
		},
	}
}

func replicas(engines []*upstreampb.Announcement) []plan.Replica {
	out := make([]plan.Replica, 0, len(engines))
	for _, e := range engines {
		if !e.Leaving {
			out = append(out, plan.Replica{ID: e.Id, From: e.LayerFrom, To: e.LayerTo, Rate: e.TokensPerSecond})
		}
	}
	return out
}
