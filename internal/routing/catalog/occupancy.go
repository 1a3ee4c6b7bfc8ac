package catalog

import (
	"slices"
	"strings"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

const msPerSecond = 1000

// occupancyLifetime is how long another VM's occupancy report remains valid.
const occupancyLifetime = 3 * clock.Second

// usage is the load of requests on one upstream.
type usage struct {
	requests int
	tokens   int // Tokens times layers.
}

// otherUsage is the latest report of the load of other VMs: of one VM, or of those of one data
// centre.
type otherUsage struct {
	vms            int // Number of VMs that the report covers.
	boot, sequence uint64
	at             clock.Time // When the report was made.
	byUpstream     map[string]usage
	dataCentre     string
	perMs          float64 // Rate of requests to engines.
}

// Reserve counts a request on the engines of its path until the returned function is
// called.
func (c *Catalog) Reserve(p chain.Path) (release func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reserve(p)
}

func (c *Catalog) reserve(p chain.Path) (release func()) {
	c.ownRequests++
	for _, h := range p.Hops {
		c.addUsage(h.Engine, 1, p.Tokens*(h.To-h.From))
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ownRequests--
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
	o.Slow = c.pacesToReport(now)
	o.Limits = c.limits.Report(now)
	o.Rate, o.DataCentre = float32(c.rate.now(now)*msPerSecond), c.dataCentre
	o.Vacate = c.vacatedToReport(now)
	o.Leaving = c.registry.SaidLeaving(now)
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
	for _, id := range o.Vacate {
		c.Vacate(id)
	}
	c.mergeLeaving(o.Leaving)
	if o.FindingsOnly {
		return
	}
	c.mergeLimits(o.Limits, 0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mergePaces(o.Slow, 0)
	c.limits.MergeUse(c.clock.Now(), vm, o.Limits)
	previous := c.otherUsage[vm]
	if previous != nil && (o.Boot < previous.boot || o.Boot == previous.boot && o.Sequence <= previous.sequence) {
		return
	}
	now := c.clock.Now()
	c.otherUsage[vm] = &otherUsage{
		vms: 1, boot: o.Boot, sequence: o.Sequence, at: now, byUpstream: usageByUpstream(o.Holds),
		dataCentre: o.DataCentre, perMs: float64(o.Rate) / msPerSecond,
	}
	c.loadsAt, c.ahead = now, ahead{}
}

// Findings returns the part of this VM's report that other VMs need at once: the dead and leaving
// upstreams and layer placements. It returns nil if there are none.
func (c *Catalog) Findings() *fleetpb.Occupancy {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	o := &fleetpb.Occupancy{
		FindingsOnly: true, Unreachable: c.deadToReport(now), Placed: c.placementsToReport(now), Vacate: c.vacatedToReport(now), Leaving: c.registry.SaidLeaving(now),
	}
	if len(o.Unreachable)+len(o.Placed)+len(o.Vacate)+len(o.Leaving) == 0 {
		return nil
	}
	return o
}

// MergeLoads replaces the load of other VMs by the sums over data centres. The sum of this VM's
// own data centre includes its report.
func (c *Catalog) MergeLoads(report *fleetpb.Occupancy, sums []*fleetpb.LoadSum) {
	for _, s := range sums {
		c.mergeLimits(s.Limits, s.AgeMs)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for source, v := range c.otherUsage {
		if v.boot != 0 { // The report of a single VM.
			delete(c.otherUsage, source)
		}
	}
	for _, s := range sums {
		c.mergePaces(s.Slow, s.AgeMs)
		next := &otherUsage{vms: int(s.Vms), at: now.Add(-clock.Duration(s.AgeMs)), byUpstream: usageByUpstream(s.Holds), dataCentre: s.DataCentre, perMs: float64(s.Rate) / msPerSecond}
		if s.DataCentre == c.dataCentre {
			next.vms = max(0, next.vms-1)
			next.perMs = max(0, next.perMs-float64(report.Rate)/msPerSecond)
			for _, h := range report.Holds {
				u := next.byUpstream[h.Upstream]
				next.byUpstream[h.Upstream] = usage{requests: max(0, u.requests-int(h.Requests)), tokens: max(0, u.tokens-int(h.Tokens))}
			}
		}
		c.otherUsage[s.DataCentre] = next
	}
	c.loadsAt, c.ahead = now, ahead{}
}

func usageByUpstream(holds []*fleetpb.Hold) map[string]usage {
	out := make(map[string]usage, len(holds))
	for _, h := range holds {
		out[h.Upstream] = usage{requests: int(h.Requests), tokens: int(h.Tokens)}
	}
	return out
}

// reports are the valid reports of the load of other VMs.
type reports struct {
	sources []*otherUsage
	// unreported is the load that VMs without a valid report are assumed to cause, as a share of
	// that of the others: they are assumed to send as much as these on average.
	unreported float64
}

// validReports returns the valid reports of other VMs, and forgets the others.
func (c *Catalog) validReports(now clock.Time) reports {
	r, reporting := reports{sources: make([]*otherUsage, 0, len(c.otherUsage))}, 1
	for source, v := range c.otherUsage {
		if now.Sub(v.at) > occupancyLifetime {
			delete(c.otherUsage, source)
			continue
		}
		r.sources = append(r.sources, v)
		reporting += v.vms
	}
	r.unreported = float64(max(0, c.vmCount()-reporting)) / float64(reporting)
	return r
}

// usageOf returns the load of all VMs' requests on an upstream, if a share of the requests that
// other VMs reported remains.
func (c *Catalog) usageOf(id string, r reports, remaining float64) usage {
	var own, others usage
	if h := c.ownUsage[id]; h != nil {
		own = *h
	}
	for _, v := range r.sources {
		others = others.plus(v.byUpstream[id])
	}
	all := own.plus(others.times(remaining))
	return all.plus(all.times(r.unreported))
}

// Running returns the number of requests of all VMs that run on the engines of a pool, as far as it is known.
func (c *Catalog) Running(pool string) int {
	x := c.index.Load()
	if x == nil {
		return 0
	}
	p, known := x.Pool(pool)
	if !known {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n, reports := 0, c.validReports(c.clock.Now())
	for _, u := range c.view(p) {
		if u.LayerFrom == 0 { // Each request runs on one engine with the first layer.
			n += c.usageOf(u.Id, reports, 1).requests
		}
	}
	return n
}

func (u usage) plus(v usage) usage {
	return usage{requests: u.requests + v.requests, tokens: u.tokens + v.tokens}
}

func (u usage) times(factor float64) usage {
	return usage{requests: int(factor*float64(u.requests) + 0.5), tokens: int(factor*float64(u.tokens) + 0.5)}
}
