package catalog

import (
	"slices"
	"strings"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// holdsLife is how long another VM's occupancy report remains valid.
const holdsLife = 3 * clock.Second

// hold is the load of requests on one upstream.
type hold struct {
	requests int
	tokens   int // Tokens times layers.
}

// vmHolds is the latest occupancy report of one VM.
type vmHolds struct {
	boot, sequence uint64
	at             clock.Time      // When the report was received.
	byID           map[string]hold // By upstream.
}

// Reserve counts a request on the engines of its path until the returned function is
// called.
func (c *Catalog) Reserve(p chain.Path) (release func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hold(p)
}

func (c *Catalog) hold(p chain.Path) (release func()) {
	for _, h := range p.Hops {
		c.take(h.Engine, 1, p.Tokens*(h.To-h.From))
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, h := range p.Hops {
			c.take(h.Engine, -1, -p.Tokens*(h.To-h.From))
		}
		close(c.room)
		c.room = make(chan struct{})
	}
}

// ReserveUpstream counts a call on one upstream until the returned function is called.
func (c *Catalog) ReserveUpstream(id string) (release func()) {
	return c.Reserve(chain.Path{Hops: []chain.Hop{{Engine: id}}})
}

func (c *Catalog) take(id string, requests, tokens int) {
	h := c.own[id]
	if h == nil {
		h = &hold{}
		c.own[id] = h
	}
	h.requests += requests
	h.tokens += tokens
	if h.requests == 0 {
		delete(c.own, id)
	}
}

// CapacityFreed returns a channel that is closed when a request of this VM next releases its
// capacity.
func (c *Catalog) CapacityFreed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.room
}

// Occupancy returns this VM's report to other VMs: the load of its requests on each
// upstream, and the dead upstreams and layer placements that it reports.
func (c *Catalog) Occupancy() *fleetpb.Occupancy {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := &fleetpb.Occupancy{Holds: make([]*fleetpb.Hold, 0, len(c.own))}
	for id, h := range c.own {
		o.Holds = append(o.Holds, &fleetpb.Hold{Upstream: id, Requests: uint32(h.requests), Tokens: uint64(max(0, h.tokens))})
	}
	now := c.clock.Now()
	o.Unreachable = c.deadHere(now)
	o.Placed = c.placedHere(now)
	slices.SortFunc(o.Holds, func(a, b *fleetpb.Hold) int { return strings.Compare(a.Upstream, b.Upstream) })
	return o
}

// MergeOccupancy merges another VM's occupancy report. A report that is older than the
// latest one of that VM does not change the load.
func (c *Catalog) MergeOccupancy(vm string, o *fleetpb.Occupancy) {
	for _, id := range o.Unreachable {
		c.MarkDead(id, false)
	}
	c.takePlaced(o.Placed)
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.others[vm]
	if was != nil && (o.Boot < was.boot || o.Boot == was.boot && o.Sequence <= was.sequence) {
		return
	}
	next := &vmHolds{boot: o.Boot, sequence: o.Sequence, at: c.clock.Now(), byID: make(map[string]hold, len(o.Holds))}
	for _, h := range o.Holds {
		next.byID[h.Upstream] = hold{requests: int(h.Requests), tokens: int(h.Tokens)}
	}
	c.others[vm] = next
}

// held returns the load of all VMs' requests on an upstream. It scales the sum up for
// VMs without a valid report.
func (c *Catalog) held(id string, now clock.Time) hold {
	var sum hold
	if h := c.own[id]; h != nil {
		sum = *h
	}
	for vm, v := range c.others {
		if now.Sub(v.at) > holdsLife {
			delete(c.others, vm)
			continue
		}
		h := v.byID[id]
		sum.requests += h.requests
		sum.tokens += h.tokens
	}
	// VMs without a valid report are assumed to send as much as the others on average.
	if told, all := 1+len(c.others), c.vms(); all > told {
		sum.requests = sum.requests * all / told
		sum.tokens = sum.tokens * all / told
	}
	return sum
}
