package uplink

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// errNoTunnel reports that a VM did not open a connection to an upstream.
const errNoTunnel = fault.Sentinel("uplink: no connection through VM")

// OpenTunnel opens a connection to an upstream for another VM. It is always a direct one, so that tunnels never lead
// through a third VM. That the upstream is at fault is only said after another one has accepted a connection.
func (u *Uplink) OpenTunnel(ctx context.Context, vm string, t *fleetpb.Tunnel) (net.Conn, *fleetpb.TunnelReply) {
	// A VM that knows of no other upstream cannot tell whose fault a failed connection is.
	if u.Lost() && slices.ContainsFunc(u.upstreams(), func(a string) bool { return a != t.Address }) {
		return nil, &fleetpb.TunnelReply{Code: fleetpb.TunnelReply_CUT_OFF}
	}
	if !u.cfg.Admits(t.Address) {
		return nil, &fleetpb.TunnelReply{Detail: "the upstream takes no requests from here"}
	}
	free, err := u.take(ctx, vm)
	if err != nil {
		return nil, &fleetpb.TunnelReply{Detail: err.Error()}
	}
	conn, reply := u.open(ctx, t.Address)
	if conn == nil {
		free()
		return nil, reply
	}
	u.opened.Inc(1)
	return &charged{Conn: conn, free: free}, reply
}

// errTooManyTunnels reports that no further connection is opened for other VMs.
const errTooManyTunnels = fault.Sentinel("uplink: too many connections for other VMs")

// take charges a connection for another VM.
func (u *Uplink) take(ctx context.Context, vm string) (free func(), err error) {
	u.mu.Lock()
	ok := u.tunnels < u.cfg.MaxTunnels
	if ok {
		u.tunnels++
	}
	u.mu.Unlock()
	if !ok {
		return nil, errTooManyTunnels
	}
	leave := func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.tunnels--
	}
	charge, err := u.cfg.Take(ctx, vm)
	if err != nil {
		leave()
		return nil, err
	}
	return func() { charge(); leave() }, nil
}

// Tunnels returns the number of connections that are open for other VMs.
func (u *Uplink) Tunnels() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.tunnels
}

// open opens a direct connection. Beside one that is not accepted soon, the VM's own links are checked.
func (u *Uplink) open(ctx context.Context, address string) (net.Conn, *fleetpb.TunnelReply) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	var once sync.Once
	healthy := make(chan bool, 1)
	checkLinks := func() {
		once.Do(func() {
			go func() {
				defer crash.Recover("check of links")
				ok := false
				defer func() { healthy <- ok }()
				ok = u.isHealthy(address)
			}()
		})
	}
	timer := time.AfterFunc(controlHeadStart, checkLinks)
	conn, err := u.dialDirect(ctx, "tcp", address)
	timer.Stop()
	if err == nil {
		return conn, &fleetpb.TunnelReply{Code: fleetpb.TunnelReply_OPEN}
	}
	checkLinks()
	switch {
	case !<-healthy:
		return nil, &fleetpb.TunnelReply{Code: fleetpb.TunnelReply_CUT_OFF, Detail: err.Error()}
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, &fleetpb.TunnelReply{Code: fleetpb.TunnelReply_NOT_LISTENING, Detail: err.Error()}
	}
	return nil, &fleetpb.TunnelReply{Code: fleetpb.TunnelReply_UNREACHABLE, Detail: err.Error()}
}

// charged is a connection for or through another VM, whose charge is returned when it is closed.
type charged struct {
	net.Conn
	once sync.Once
	free func()
}

// Close implements net.Conn.
func (c *charged) Close() error {
	c.once.Do(c.free)
	return c.Conn.Close()
}
