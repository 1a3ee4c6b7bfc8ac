package controlplane

import (
	"context"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// demandLife is how long a VM's word on its demand counts.
const demandLife = 5 * clock.Second

// demandHome sums up the demand for the organisations whose home this VM is. So
// each VM tells only a few others of its demand, whatever the size of the fleet.
type demandHome struct {
	clock clock.Clock

	mu   sync.Mutex
	byVM map[string]map[string]toldDemand // By organisation, then by VM.
}

// toldDemand is one VM's word.
type toldDemand struct {
	rate float32
	at   clock.Time
}

func newDemandHome(clk clock.Clock) *demandHome {
	return &demandHome{clock: clk, byVM: map[string]map[string]toldDemand{}}
}

// told takes a VM's demand and returns the sums over all VMs.
func (h *demandHome) told(vm string, d *fleetpb.Demand) *fleetpb.Demand {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	sums := &fleetpb.Demand{}
	for _, o := range d.Organisations {
		byVM := h.byVM[o.Name]
		if byVM == nil {
			byVM = map[string]toldDemand{}
			h.byVM[o.Name] = byVM
		}
		byVM[vm] = toldDemand{rate: o.Rate, at: now}
		sum := &fleetpb.OrganisationDemand{Name: o.Name}
		for other, t := range byVM {
			if now.Sub(t.at) > demandLife {
				delete(byVM, other)
				continue
			}
			sum.Rate += t.rate
			sum.Vms++
		}
		sums.Organisations = append(sums.Organisations, sum)
	}
	return sums
}

// homeOf returns the VM that is home to an organisation's limit: the one with the
// highest hash of both names, so that few organisations move when VMs change.
func homeOf(org string, vms []string) string {
	best, bestHash := "", uint64(0)
	for _, vm := range vms {
		if h := xxhash.Sum64String(org + "\x00" + vm); best == "" || h > bestHash {
			best, bestHash = vm, h
		}
	}
	return best
}

// demandLoop tells the homes of the demand here, and takes their sums.
func (p *Plane) demandLoop(ctx context.Context) {
	delay.Every(ctx, demandEvery, func() {
		if p.cfg.Limits == nil {
			return
		}
		byHome := map[string]*fleetpb.Demand{}
		vms := p.liveVMs()
		p.cfg.Limits.SetVMs(max(len(vms), len(p.Members())))
		for org, rate := range p.cfg.Limits.Demands() {
			home := homeOf(org, vms)
			if byHome[home] == nil {
				byHome[home] = &fleetpb.Demand{}
			}
			byHome[home].Organisations = append(byHome[home].Organisations, &fleetpb.OrganisationDemand{Name: org, Rate: float32(rate)})
		}
		for home, d := range byHome {
			go p.tellDemand(ctx, home, d)
		}
	})
}

func (p *Plane) tellDemand(ctx context.Context, home string, d *fleetpb.Demand) {
	sums := p.askDemand(ctx, home, d)
	for _, sum := range sums.GetOrganisations() {
		at := slices.IndexFunc(d.Organisations, func(o *fleetpb.OrganisationDemand) bool { return o.Name == sum.Name })
		if at >= 0 {
			p.cfg.Limits.SetOtherDemand(sum.Name, float64(sum.Rate-d.Organisations[at].Rate))
		}
	}
}

func (p *Plane) askDemand(ctx context.Context, home string, d *fleetpb.Demand) *fleetpb.Demand {
	if home == p.cfg.Settings.VM {
		return p.demand.told(home, d)
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
