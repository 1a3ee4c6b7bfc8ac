package controlplane

import (
	"context"
	"fmt"
	"net"

	"github.com/jasminecove/jasminecove/internal/routing/detour"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// minTunnelPeers is the number of gossip targets below which all live VMs may be asked for connections.
const minTunnelPeers = 4

// Tunnel implements uplink.Fleet.
func (p *Plane) Tunnel(ctx context.Context, vm string, t *fleetpb.Tunnel) (net.Conn, *fleetpb.TunnelReply, error) {
	address, ok := p.address(vm)
	if !ok {
		return nil, nil, fmt.Errorf("%s: %w", vm, ErrUnknownVM)
	}
	return p.transport.Tunnel(ctx, address, t)
}

// TunnelPeers implements uplink.Fleet. It returns the live gossip targets, to which there are open links; traffic within
// the data centre costs less. Too few of them may all be without links.
func (p *Plane) TunnelPeers() []detour.Peer {
	if p.transport == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gossip == nil {
		return nil
	}
	var targets, all []detour.Peer
	for _, m := range p.gossip.Live() {
		if m.Vm == p.cfg.Settings.VM || m.Draining {
			continue
		}
		peer := detour.Peer{VM: m.Vm, Near: m.DataCentre == p.cfg.Settings.DataCentre}
		all = append(all, peer)
		if p.gossip.IsTarget(m.Vm) {
			targets = append(targets, peer)
		}
	}
	if len(targets) < minTunnelPeers {
		return all
	}
	return targets
}
