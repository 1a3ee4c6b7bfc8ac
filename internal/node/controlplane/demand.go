package controlplane

import (
	"context"
	"slices"
	"sync"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/base/rendezvous"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// demandTTL is how long a VM's reported demand is counted.
const demandTTL = 5 * clock.Second

// demandAggregator sums the demand of the organisations whose home is this VM. Each VM
// therefore reports its demand to few other VMs, whatever the size of the fleet.
type demandAggregator struct {
	clock clock.Clock

	mu   sync.Mutex
	byVM map[string]map[string]demandReport // By organisation, then by VM.
}

// demandReport is the demand that one VM reported.
type demandReport struct {
	rate float32
	at   clock.Time
}

func newDemandAggregator(clk clock.Clock) *demandAggregator {
	return &demandAggregator{clock: clk, byVM: map[string]map[string]demandReport{}}
}

// report records a VM's demand and returns the sums over all VMs.
func (a *demandAggregator) report(vm string, d *fleetpb.Demand) *fleetpb.Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	sums := &fleetpb.Demand{}
	for _, o := range d.Organisations {
		byVM := a.byVM[o.Name]
		if byVM == nil {
			byVM = map[string]demandReport{}
			a.byVM[o.Name] = byVM
		}
		byVM[vm] = demandReport{rate: o.Rate, at: now}
		sum := &fleetpb.OrganisationDemand{Name: o.Name}
		for other, r := range byVM {
			if now.Sub(r.at) > demandTTL {
				delete(byVM, other)
				continue
			}
			sum.Rate += r.rate
			sum.Vms++
		}
		sums.Organisations = append(sums.Organisations, sum)
	}
	return sums
}

// demandLoop reports this VM's demand to the home VMs and applies the sums that they return.
func (p *Plane) demandLoop(ctx context.Context) {
	delay.Every(ctx, demandInterval, func() {
		if p.cfg.Limits == nil {
			return
		}
		byHome := map[string]*fleetpb.Demand{}
		vms := p.liveVMs()
		p.cfg.Limits.SetVMs(max(len(vms), len(p.Members())))
		for org, rate := range p.cfg.Limits.Demands() {
			home := rendezvous.Choose(org, vms)
			if byHome[home] == nil {
				byHome[home] = &fleetpb.Demand{}
			}
			byHome[home].Organisations = append(byHome[home].Organisations, &fleetpb.OrganisationDemand{Name: org, Rate: float32(rate)})
		}
		for home, d := range byHome {
			crash.Go("demand report", func() { p.reportDemand(ctx, home, d) })
		}
	})
}

// reportDemand reports demand to one home VM and applies the demand of the other VMs.
func (p *Plane) reportDemand(ctx context.Context, home string, d *fleetpb.Demand) {
	sums := p.callDemand(ctx, home, d)
	for _, sum := range sums.GetOrganisations() {
		at := slices.IndexFunc(d.Organisations, func(o *fleetpb.OrganisationDemand) bool { return o.Name == sum.Name })
		if at >= 0 {
			p.cfg.Limits.SetOtherDemand(sum.Name, float64(sum.Rate-d.Organisations[at].Rate))
		}
	}
}

// callDemand reports demand to one home VM and returns the sums, or nil if the call failed.
func (p *Plane) callDemand(ctx context.Context, home string, d *fleetpb.Demand) *fleetpb.Demand {
	if home == p.cfg.Settings.VM {
		return p.demand.report(home, d)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := p.callVM(ctx, home, &fleetpb.Call{Body: &fleetpb.Call_Demand{Demand: d}})
	if err != nil {
		return nil
	}
	return reply.Demand
}

// Others returns the names of the other live VMs.
func (p *Plane) Others() []string {
	return slices.DeleteFunc(p.liveVMs(), func(vm string) bool { return vm == p.cfg.Settings.VM })
}

// liveVMs returns the names of the live VMs.
func (p *Plane) liveVMs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, m := range p.gossip.Live() {
		out = append(out, m.Vm)
	}
	return out
}
