package catalog

import (
	"slices"
	"strings"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// occupancyLifetime is how long another VM's occupancy report remains valid.
const occupancyLifetime = 3 * clock.Second

// usage is the load of requests on one upstream.
type usage struct {
	requests int
	tokens   int // Tokens times layers.
}

// vmUsage is the latest occupancy report of one VM.
type vmUsage struct {
	boot, sequence uint64
	at             clock.Time // When the report was received.
	byUpstream     map[string]usage
}

// Reserve counts a request on the engines of its path until the returned function is
// called.
func (c *Catalog) Reserve(p chain.Path) (release func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reserve(p)
}

func (c *Catalog) reserve(p chain.Path) (release func()) {
	for _, h := range p.Hops {
		c.addUsage(h.Engine, 1, p.Tokens*(h.To-h.From))
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, h := range p.Hops {
			c.addUsage(h.Engine, -1, -p.Tokens*(h.To-h.From))
		}
		close(c.capacityFreed)
		c.capacityFreed = make(chan struct{})
	}
}

// ReserveUpstream counts a call on one upstream until the returned function is called.
func (c *Catalog) ReserveUpstream(id string) (release func()) {
	return c.Reserve(chain.Path{Hops: []chain.Hop{{Engine: id}}})
}

func (c *Catalog) addUsage(id string, requests, tokens int) {
	h := c.ownUsage[id]
	if h == nil {
		h = &usage{}
		c.ownUsage[id] = h
	}
	h.requests += requests
	h.tokens += tokens
	if h.requests == 0 {
		delete(c.ownUsage, id)
	}
}

// CapacityFreed returns a channel that is closed when a request of this VM next releases
// its capacity.
func (c *Catalog) CapacityFreed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.capacityFreed
}

// Occupancy returns this VM's report to other VMs: the load of its requests on each
// upstream, and the dead upstreams and layer placements that it reports.
func (c *Catalog) Occupancy() *fleetpb.Occupancy {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := &fleetpb.Occupancy{Holds: make([]*fleetpb.Hold, 0, len(c.ownUsage))}
	for id, h := range c.ownUsage {
		o.Holds = append(o.Holds, &fleetpb.Hold{Upstream: id, Requests: uint32(h.requests), Tokens: uint64(max(0, h.tokens))})
	}
	now := c.clock.Now()
	o.Unreachable = c.deadToReport(now)
	o.Placed = c.placementsToReport(now)
	slices.SortFunc(o.Holds, func(a, b *fleetpb.Hold) int { return strings.Compare(a.Upstream, b.Upstream) })
	return o
}

// MergeOccupancy merges another VM's occupancy report. A report that is older than the
// latest one of that VM does not change the load.
func (c *Catalog) MergeOccupancy(vm string, o *fleetpb.Occupancy) {
	for _, id := range o.Unreachable {
		c.MarkDead(id, false)
	}
	c.mergePlacements(o.Placed)
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.otherUsage[vm]
	if previous != nil && (o.Boot < previous.boot || o.Boot == previous.boot && o.Sequence <= previous.sequence) {
		return
	}
	next := &vmUsage{boot: o.Boot, sequence: o.Sequence, at: c.clock.Now(), byUpstream: make(map[string]usage, len(o.Holds))}
	for _, h := range o.Holds {
		next.byUpstream[h.Upstream] = usage{requests: int(h.Requests), tokens: int(h.Tokens)}
	}
	c.otherUsage[vm] = next
}

// usageOf returns the load of all VMs' requests on an upstream. It scales the sum up for
// VMs without a valid report.
func (c *Catalog) usageOf(id string, now clock.Time) usage {
	var sum usage
	if h := c.ownUsage[id]; h != nil {
		sum = *h
	}
	for vm, v := range c.otherUsage {
		if now.Sub(v.at) > occupancyLifetime {
			delete(c.otherUsage, vm)
			continue
		}
		h := v.byUpstream[id]
		sum.requests += h.requests
		sum.tokens += h.tokens
	}
	// VMs without a valid report are assumed to send as much as the others on average.
	if reporting, all := 1+len(c.otherUsage), c.vmCount(); all > reporting {
		sum.requests = sum.requests * all / reporting
		sum.tokens = sum.tokens * all / reporting
	}
	return sum
}
