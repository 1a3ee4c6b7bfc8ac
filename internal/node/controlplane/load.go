package controlplane

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/fleet/loadsum"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Timing of the exchange of the load.
const (
	// loadCallTimeout bounds a call to a collector.
	loadCallTimeout = 400 * time.Millisecond
	// avoidCollector is how long a collector that did not answer is not called.
	avoidCollector = 3 * clock.Second
	// exchangeInterval is the interval at which collectors fetch each other's sums.
	exchangeInterval = 1 * clock.Second
)

// loads is the VM's part in the exchange of the load on upstreams.
type loads struct {
	mu          sync.Mutex
	collector   *loadsum.Collector
	exchangedAt clock.Time
	avoidUntil  map[string]clock.Time // By VM.
}

// ShareOccupancy sends a report of this VM's occupancy and findings to its gossip targets.
func (p *Plane) ShareOccupancy(o *fleetpb.Occupancy) {
	if p.transport == nil {
		return
	}
	targets := p.targets()
	for _, address := range targets {
		p.transport.Send(address, &fleetpb.Envelope{Body: &fleetpb.Envelope_Occupancy{Occupancy: o}})
	}
}

// targets returns the fleet addresses of the gossip targets.
func (p *Plane) targets() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gossip.Targets()
}

// TargetsAll reports whether the gossip targets are all other VMs.
func (p *Plane) TargetsAll() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gossip.TargetsAll()
}

// ReportLoad reports this VM's occupancy to the collector of its data centre, and returns the
// sums of all data centres. The sum of the own one includes the report.
func (p *Plane) ReportLoad(ctx context.Context, o *fleetpb.Occupancy) ([]*fleetpb.LoadSum, error) {
	self := p.cfg.Settings
	vm := p.collectorOf(self.DataCentre)
	if vm == self.VM {
		return p.collect(self.VM, o), nil
	}
	return p.callCollector(ctx, vm, &fleetpb.ReportLoad{Occupancy: o})
}

// collectorOf returns the VM that collects the load of a data centre.
func (p *Plane) collectorOf(dataCentre string) string {
	var vms []string
	for _, m := range p.Members() {
		if (m.State == fleetpb.Member_ALIVE || m.State == fleetpb.Member_SUSPECT) && m.DataCentre == dataCentre && !m.Draining {
			vms = append(vms, m.Vm)
		}
	}
	now := p.cfg.Clock.Now()
	p.loads.mu.Lock()
	defer p.loads.mu.Unlock()
	return loadsum.Choose(dataCentre, vms, func(vm string) bool { return now < p.loads.avoidUntil[vm] })
}

// callCollector calls a collector and avoids it for a while if it does not answer.
func (p *Plane) callCollector(ctx context.Context, vm string, r *fleetpb.ReportLoad) ([]*fleetpb.LoadSum, error) {
	ctx, cancel := context.WithTimeout(ctx, loadCallTimeout)
	defer cancel()
	reply, err := p.callVM(ctx, vm, &fleetpb.Call{Body: &fleetpb.Call_Load{Load: r}})
	if err != nil {
		p.avoid(vm)
		p.log.Debug("failed to report the load", "vm", vm, "error", err)
		return nil, err
	}
	if !areValidSums(reply.Loads) {
		p.log.Error("ignored sums of load with a field out of range", "vm", vm)
		return nil, ErrOutOfRange
	}
	return reply.Loads, nil
}

// avoid leaves a VM out of the choice of collectors for a while.
func (p *Plane) avoid(vm string) {
	now := p.cfg.Clock.Now()
	p.loads.mu.Lock()
	defer p.loads.mu.Unlock()
	maps.DeleteFunc(p.loads.avoidUntil, func(_ string, until clock.Time) bool { return until <= now })
	p.loads.avoidUntil[vm] = now.Add(avoidCollector)
}

// handleLoad answers a call to this VM as the collector of its data centre.
func (p *Plane) handleLoad(vm string, r *fleetpb.ReportLoad) *fleetpb.Reply {
	if r.Occupancy != nil && !isValidOccupancy(r.Occupancy) {
		p.log.Error("refused a report of load with a field out of range", "vm", vm)
		return &fleetpb.Reply{Code: fleetpb.Reply_REFUSED, Detail: "a field is out of range"}
	}
	if r.Occupancy == nil {
		p.loads.mu.Lock()
		defer p.loads.mu.Unlock()
		return &fleetpb.Reply{Loads: []*fleetpb.LoadSum{p.loads.collector.Own(p.cfg.Clock.Now())}}
	}
	return &fleetpb.Reply{Loads: p.collect(vm, r.Occupancy)}
}

// collect records a VM's report and returns the sums.
func (p *Plane) collect(vm string, o *fleetpb.Occupancy) []*fleetpb.LoadSum {
	now := p.cfg.Clock.Now()
	p.loads.mu.Lock()
	defer p.loads.mu.Unlock()
	if now.Sub(p.loads.exchangedAt) >= exchangeInterval {
		p.loads.exchangedAt = now
		crash.Go("load exchange", p.exchangeLoads)
	}
	p.loads.collector.Report(now, vm, o)
	return p.loads.collector.All(now)
}

// exchangeLoads fetches the sums of the other data centres.
func (p *Plane) exchangeLoads() {
	for _, dc := range p.otherDataCentres() {
		go func() {
			defer crash.Recover("load exchange of a data centre")
			sums, err := p.callCollector(context.Background(), p.collectorOf(dc), &fleetpb.ReportLoad{})
			if err != nil {
				return
			}
			p.loads.mu.Lock()
			defer p.loads.mu.Unlock()
			p.loads.collector.Merge(p.cfg.Clock.Now(), sums)
		}()
	}
}

// otherDataCentres returns the data centres of the live VMs other than the own one.
func (p *Plane) otherDataCentres() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	seen := map[string]bool{p.cfg.Settings.DataCentre: true}
	for _, m := range p.gossip.Live() {
		if !seen[m.DataCentre] {
			seen[m.DataCentre] = true
			out = append(out, m.DataCentre)
		}
	}
	return out
}
