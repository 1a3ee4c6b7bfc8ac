package controlplane

import (
	"context"
	"time"

	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// partExchangeInterval is the interval between two exchanges with one gossip target, which repair
// what was lost or missed.
const partExchangeInterval = 1 * time.Second

// partsLoop exchanges what is known of requests and prompt parts on which upstreams crash. Changes are sent at
// once.
func (p *Plane) partsLoop(ctx context.Context) {
	ticker := time.NewTicker(partExchangeInterval)
	defer ticker.Stop()
	for round := 0; ; {
		exchange := false
		select {
		case <-ctx.Done():
			return
		case <-p.cfg.Parts.Changed():
		case <-ticker.C:
			p.cfg.Parts.Tick()
			exchange = true
			round++
		}
		targets := p.targets()
		if len(targets) == 0 {
			continue
		}
		all, byVM := p.cfg.Parts.TakeUnsent(len(targets))
		if len(all) > 0 {
			for _, address := range targets {
				p.sendParts(address, &fleetpb.PartRecords{Records: all})
			}
		}
		for vm, m := range byVM {
			if address, ok := p.address(vm); ok {
				p.sendParts(address, m)
			}
		}
		if exchange {
			p.sendParts(targets[round%len(targets)], &fleetpb.PartRecords{Records: p.cfg.Parts.Next(), Exchange: true})
		}
	}
}

func (p *Plane) sendParts(address string, m *fleetpb.PartRecords) {
	p.transport.Send(address, &fleetpb.Envelope{Body: &fleetpb.Envelope_Parts{Parts: m}})
}

// handleParts takes what another VM sent, and sends back what that VM is to know.
func (p *Plane) handleParts(vm string, m *fleetpb.PartRecords) {
	if p.cfg.Parts == nil {
		return
	}
	reply := p.cfg.Parts.Receive(vm, m)
	if address, ok := p.address(vm); ok && reply != nil {
		p.sendParts(address, reply)
	}
}
