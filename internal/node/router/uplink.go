package router

import (
	"context"
	"net"

	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/node/uplink"
	"github.com/jasminecove/jasminecove/internal/routing/detour"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

const (
	// tunnelBytes is what a connection for or through another VM is charged: two buffers, and those of its goroutines, stream
	// and socket.
	tunnelBytes = 40 << 10
	// tunnelsPart is the part of the descriptors that connections for other VMs may take.
	tunnelsPart = 4
)

// openUplink creates the pool of connections to upstreams, which lead through other VMs when this one cannot open them.
func (r *Router) openUplink(src *rng.Source) {
	r.uplink = uplink.New(uplink.Config{
		Clock: r.clock, Source: rng.New(src.Uint64()), VM: r.cfg.Settings.VM, Dial: r.cfg.Dial, Fleet: peers{r},
		Upstreams: r.catalog.Addresses, Admits: r.admitsTunnel, MaxTunnels: int(r.resources.Descriptors) / tunnelsPart,
		Take: r.takeTunnel, OnLost: func() { r.pool.DropAll() }, Log: r.log, Metrics: r.tel.Metrics,
	})
	r.pool = call.NewPool(
		call.WithDial(r.uplink.Dial), call.WithReuse(func() bool { return !r.uplink.Lost() }), call.WithSilence(r.uplink.CheckSilent),
	)
}

// admitsTunnel reports whether a connection to an upstream may be opened for another VM.
func (r *Router) admitsTunnel(address string) bool {
	return !r.draining.Load() && r.catalog.AdmitsTunnels(address)
}

// takeTunnel charges a connection for or through another VM to the memory for callers' requests, of which that VM would be
// one.
func (r *Router) takeTunnel(ctx context.Context, vm string) (free func(), err error) {
	if r.inbound == nil {
		return func() {}, nil
	}
	a := r.inbound.Open(vm, func() {})
	a.Protect(true)
	if err := a.Take(ctx, tunnelBytes); err != nil {
		a.Close()
		return nil, err
	}
	return a.Close, nil
}

// peers is the uplink.Fleet of a Router.
type peers struct{ r *Router }

// Tunnel implements uplink.Fleet.
func (p peers) Tunnel(ctx context.Context, vm string, t *fleetpb.Tunnel) (net.Conn, *fleetpb.TunnelReply, error) {
	return p.r.plane.Tunnel(ctx, vm, t)
}

// TunnelPeers implements uplink.Fleet.
func (p peers) TunnelPeers() []detour.Peer { return p.r.plane.TunnelPeers() }
