// Package loadsum sums up how much of the upstreams' capacity the requests of many VMs hold,
// what requests lack, and gathers the slow engines that the VMs found.
// One VM of each data centre is its collector: the others report to it, and get the sums of
// all data centres in return. A VM so learns the load of the whole fleet from one call,
// whatever the size of the fleet.
//
// A Collector is deterministic and does no I/O.
package loadsum

import (
	"maps"
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rendezvous"
	"github.com/jasminecove/jasminecove/internal/request/demand"
	"github.com/jasminecove/jasminecove/internal/routing/ratecap"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Lifetime is how long a report or a sum counts.
const Lifetime = 3 * clock.Second

// Rate limits of upstreams in one sum.
const (
	maxChangedLimits = 8
	maxOtherLimits   = 2
)

// Choose returns the VM that collects the reports of a data centre, out of its live VMs. It
// skips VMs for which avoid returns true, unless there is no other.
func Choose(dataCentre string, vms []string, avoid func(vm string) bool) string {
	ranked := rendezvous.Rank("load of "+dataCentre, vms)
	if at := slices.IndexFunc(ranked, func(vm string) bool { return !avoid(vm) }); at >= 0 {
		return ranked[at]
	}
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0]
}

// Collector holds the reports of the VMs of one data centre, and the sums of the others. It is
// not safe for concurrent use.
type Collector struct {
	dataCentre string
	reports    map[string]report // By VM.
	own        map[string]load   // Sum of the reports, by upstream.
	others     map[string]sum    // By data centre.
	nextLimit  int               // Where the turn of unchanged limits goes on.
}

// load is what requests hold on one upstream.
type load struct {
	requests, tokens int64
}

type report struct {
	at             clock.Time
	boot, sequence uint64
	holds          []*fleetpb.Hold
	slow           []*fleetpb.Slow
	limits         []*fleetpb.RateLimit
	demand         []*fleetpb.PoolDemand
	rate           float32
}

type sum struct {
	at clock.Time // When it was made.
	*fleetpb.LoadSum
}

// New returns a Collector for a data centre.
func New(dataCentre string) *Collector {
	return &Collector{dataCentre: dataCentre, reports: map[string]report{}, own: map[string]load{}, others: map[string]sum{}}
}

// Report records the report of a VM of this data centre, unless it is older than an earlier one.
func (c *Collector) Report(now clock.Time, vm string, o *fleetpb.Occupancy) {
	previous := c.reports[vm]
	if o.Boot < previous.boot || o.Boot == previous.boot && o.Sequence <= previous.sequence {
		return
	}
	c.add(previous.holds, -1)
	c.add(o.Holds, 1)
	c.reports[vm] = report{at: now, boot: o.Boot, sequence: o.Sequence, holds: o.Holds, slow: o.Slow, limits: o.Limits, demand: o.Demand, rate: o.Rate}
}

// add adds holds to the sum, or subtracts them if sign is -1.
func (c *Collector) add(holds []*fleetpb.Hold, sign int64) {
	for _, h := range holds {
		l := c.own[h.Upstream]
		l.requests += sign * int64(h.Requests)
		l.tokens += sign * int64(h.Tokens)
		if l == (load{}) {
			delete(c.own, h.Upstream)
			continue
		}
		c.own[h.Upstream] = l
	}
}

// Merge records sums of other data centres that their collectors sent.
func (c *Collector) Merge(now clock.Time, sums []*fleetpb.LoadSum) {
	for _, s := range sums {
		at := now.Add(-clock.Duration(s.AgeMs))
		if s.DataCentre != c.dataCentre && at > c.others[s.DataCentre].at {
			c.others[s.DataCentre] = sum{at, s}
		}
	}
}

// Own returns the sum of the reports of this data centre, in no particular order.
func (c *Collector) Own(now clock.Time) *fleetpb.LoadSum {
	for vm, r := range c.reports {
		if now.Sub(r.at) > Lifetime {
			c.add(r.holds, -1)
			delete(c.reports, vm)
		}
	}
	out := &fleetpb.LoadSum{DataCentre: c.dataCentre, Vms: uint32(len(c.reports)), Holds: make([]*fleetpb.Hold, 0, len(c.own))}
	for _, r := range c.reports {
		out.Slow = append(out.Slow, r.slow...)
		out.Rate += r.rate
	}
	out.Limits = c.limits(now)
	out.Demand = c.demand()
	for id, l := range c.own {
		out.Holds = append(out.Holds, &fleetpb.Hold{Upstream: id, Requests: uint32(l.requests), Tokens: uint64(l.tokens)})
	}
	return out
}

// limits returns the newest reports of upstreams' rate limits: those that changed lately, and some
// others in turn.
func (c *Collector) limits(now clock.Time) []*fleetpb.RateLimit {
	newest := map[string]*fleetpb.RateLimit{}
	for _, r := range c.reports {
		age := max(0, now.Sub(r.at))
		for _, l := range r.limits {
			ageMs := (clock.Duration(l.AgeMs) + age).Uint32()
			if n := newest[l.Upstream]; n != nil && n.AgeMs <= ageMs {
				continue
			}
			newest[l.Upstream] = &fleetpb.RateLimit{
				Upstream: l.Upstream, StartedMs: l.StartedMs, Rate: l.Rate, Lifted: l.Lifted, AgeMs: ageMs,
				UnchangedMs: (clock.Duration(l.UnchangedMs) + age).Uint32(),
			}
		}
	}
	all := make([]*fleetpb.RateLimit, 0, len(newest))
	for _, id := range slices.Sorted(maps.Keys(newest)) {
		all = append(all, newest[id])
	}
	return ratecap.Select(all, maxChangedLimits, maxOtherLimits, &c.nextLimit)
}

// demand returns the sums of the reported demand, by pool and rank, within the limits of reports.
func (c *Collector) demand() []*fleetpb.PoolDemand {
	type key struct {
		pool string
		rank uint32
	}
	sums := map[key]*fleetpb.PoolDemand{}
	var out []*fleetpb.PoolDemand
	for _, r := range c.reports {
		for _, d := range r.demand {
			k := key{d.Pool, d.Priority}
			if sums[k] == nil {
				sums[k] = &fleetpb.PoolDemand{Pool: d.Pool, Priority: d.Priority}
				out = append(out, sums[k])
			}
			sums[k].Waiting = min(demand.MaxAmount, sums[k].Waiting+d.Waiting)
			sums[k].Refused = min(demand.MaxAmount, sums[k].Refused+d.Refused)
		}
	}
	return demand.Bound(out)
}

// All returns the sums of all data centres.
func (c *Collector) All(now clock.Time) []*fleetpb.LoadSum {
	out := []*fleetpb.LoadSum{c.Own(now)}
	for dc, s := range c.others {
		if now.Sub(s.at) > Lifetime {
			delete(c.others, dc)
			continue
		}
		out = append(out, &fleetpb.LoadSum{DataCentre: dc, Vms: s.Vms, Holds: s.Holds, Slow: s.Slow, Limits: s.Limits, Demand: s.Demand, Rate: s.Rate, AgeMs: now.Sub(s.at).Uint32()})
	}
	return out
}
