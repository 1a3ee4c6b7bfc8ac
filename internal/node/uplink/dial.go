package uplink

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// attempt is the result of one way to an upstream.
type attempt struct {
	vm   string // Empty for the direct one.
	conn net.Conn
	code fleetpb.TunnelReply_Code
	err  error
	// answered is set if the VM replied.
	answered bool
}

// Dial is a call.Dial. It tries the direct way first, unless the links are lost, and then other VMs. An error wraps
// call.ErrUnconfirmed if no other VM with healthy links has failed to reach the upstream, so that the fault may be this
// VM's. Where there are no other VMs, the error of the direct connection stands.
func (u *Uplink) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	u.mu.Lock()
	direct := u.core.IsDirect(u.cfg.Clock.Now(), address)
	u.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	d := &dial{u: u, ctx: ctx, address: address, network: network, results: make(chan attempt, maxPeers+1)}
	defer d.finish(cancel)
	if direct {
		d.start("")
		if a, done := d.await(directHeadStart); done {
			return a.conn, a.err
		}
	}
	if round := d.choosePeers(); round != nil {
		if a, done := d.awaitRound(round); done {
			return a.conn, a.err
		}
		d.choosePeers()
	}
	for _, vm := range d.peers {
		if d.confirmed >= maxConfirmations {
			break
		}
		d.start(vm)
		if a, done := d.await(peerHeadStart); done {
			return a.conn, a.err
		}
	}
	if !direct && d.confirmed == 0 {
		d.start("")
	}
	for d.running > 0 {
		if a, done := d.await(0); done {
			return a.conn, a.err
		}
	}
	return nil, d.err()
}

// dial is one connection that is being opened.
type dial struct {
	u                *Uplink
	ctx              context.Context
	network, address string
	alone            bool // There is no other VM.
	peers            []string
	round            chan struct{} // Closed when the connection is open or failed, if it is the one that has other VMs asked.
	results          chan attempt
	running          int
	pending          bool  // The direct connection was started and has no result.
	failed           error // Of the direct connection, or of a VM if there is none.
	confirmed        int   // VMs with healthy links that did not reach the upstream.
	notListening     bool  // The upstream refused that VM's connection.
}

// choosePeers chooses the VMs to ask, unless others were asked for the same upstream just now. If another connection has
// them asked, it returns the channel that is closed when that one has a result.
func (d *dial) choosePeers() (running <-chan struct{}) {
	all := d.u.cfg.Fleet.TunnelPeers()
	d.alone = len(all) == 0
	d.u.mu.Lock()
	defer d.u.mu.Unlock()
	now := d.u.cfg.Clock.Now()
	ask, confirmed := d.u.core.BeginRound(now, d.address)
	round := d.u.rounds[d.address]
	switch {
	case confirmed:
		d.confirmed++
	case !ask:
		return round
	case round == nil:
		d.round = make(chan struct{})
		d.u.rounds[d.address] = d.round
	}
	if ask {
		d.peers = d.u.core.Peers(now, all, maxPeers)
	}
	return nil
}

// awaitRound waits for the result of another connection, or for an open one. done is as for await.
func (d *dial) awaitRound(round <-chan struct{}) (a attempt, done bool) {
	if a, done := d.awaitUntil(round); done {
		return a, true
	}
	select {
	case <-round:
		return attempt{}, false
	case <-d.ctx.Done():
		return attempt{err: d.err()}, true
	}
}

// start tries a way to the upstream, through a VM or directly.
func (d *dial) start(vm string) {
	d.running++
	d.pending = d.pending || vm == ""
	go func() {
		defer crash.Recover("connection to an upstream")
		a := attempt{vm: vm, err: call.ErrUnconfirmed} // Also after a panic.
		defer func() { d.results <- a }()
		if vm == "" {
			a.conn, a.err = d.u.dialDirect(d.ctx, d.network, d.address)
			return
		}
		a = d.u.dialThrough(d.ctx, vm, d.address)
	}()
}

// await waits for an open connection, at most for a time; 0 stands for no limit. done is set if there is one, or the
// caller has given it up. await returns before that time once the next way need not wait for those that were started.
func (d *dial) await(limit time.Duration) (a attempt, done bool) {
	if limit == 0 {
		return d.awaitUntil(nil)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return d.awaitUntil(ctx.Done())
}

// awaitUntil is await with a channel that is closed at the limit.
func (d *dial) awaitUntil(expired <-chan struct{}) (a attempt, done bool) {
	for d.running > 0 {
		select {
		case <-d.ctx.Done():
			return attempt{err: d.err()}, true
		case <-expired:
			return attempt{}, false
		case a = <-d.results:
			d.running--
			if a.err == nil && a.conn != nil {
				if a.vm != "" && d.pending {
					d.u.recordFailed(d.address) // Another VM was faster in spite of the head start.
				}
				return a, true
			}
			d.record(a)
			if d.running == 0 || a.vm != "" || len(d.peers) == 0 {
				return attempt{}, false
			}
		}
	}
	return attempt{}, false
}

// record records a failed attempt.
func (d *dial) record(a attempt) {
	if a.vm == "" {
		d.pending = false
	}
	if a.vm == "" || d.failed == nil {
		d.failed = a.err
	}
	if a.answered && (a.code == fleetpb.TunnelReply_UNREACHABLE || a.code == fleetpb.TunnelReply_NOT_LISTENING) {
		d.confirmed++
		d.u.mu.Lock()
		d.u.core.Confirmed(d.address)
		d.u.mu.Unlock()
		d.notListening = d.notListening || a.code == fleetpb.TunnelReply_NOT_LISTENING
	}
}

// err returns the error of a connection that could not be opened.
func (d *dial) err() error {
	err := d.failed
	if err == nil {
		err = context.Cause(d.ctx)
	}
	switch {
	case d.alone:
		return err
	case d.confirmed == 0:
		return fmt.Errorf("%w: %w", call.ErrUnconfirmed, err)
	case d.notListening && !errors.Is(err, syscall.ECONNREFUSED):
		return fmt.Errorf("%w: %w", syscall.ECONNREFUSED, err)
	}
	return err
}

// finish cancels the attempts that still run, and closes their connections.
func (d *dial) finish(cancel context.CancelFunc) {
	cancel()
	if d.round != nil {
		d.u.mu.Lock()
		delete(d.u.rounds, d.address)
		d.u.mu.Unlock()
		close(d.round)
	}
	if d.running == 0 {
		return
	}
	go func() {
		defer crash.Recover("connection to an upstream")
		for range d.running {
			if a := <-d.results; a.conn != nil {
				_ = a.conn.Close()
			}
		}
	}()
}

// dialDirect opens a direct connection and records the result, unless it was given up.
func (u *Uplink) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := u.cfg.Dial(ctx, network, address)
	switch {
	case err == nil:
		u.recordConnected(address)
	case !errors.Is(context.Cause(ctx), context.Canceled):
		u.recordFailed(address)
	}
	return conn, err
}

// dialThrough opens a connection through another VM. It is charged, since what arrives over the link is held here until it
// is read.
func (u *Uplink) dialThrough(ctx context.Context, vm, address string) attempt {
	free, err := u.cfg.Take(ctx, vm)
	if err != nil {
		return attempt{vm: vm, err: fmt.Errorf("connection through VM %s: %w", vm, err)}
	}
	conn, reply, err := u.cfg.Fleet.Tunnel(ctx, vm, &fleetpb.Tunnel{Address: address})
	a := attempt{vm: vm, code: reply.GetCode(), err: err, answered: err == nil}
	if conn != nil {
		a.conn = &charged{Conn: conn, free: free}
		u.recordDetoured(vm, address)
		return a
	}
	free()
	if err == nil {
		a.err = fmt.Errorf("%w %s: %s: %s", errNoTunnel, vm, reply.Code, reply.Detail)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case err == nil && a.code != fleetpb.TunnelReply_CUT_OFF && a.code != fleetpb.TunnelReply_UNAVAILABLE:
		u.core.PeerAnswered(vm)
	case !errors.Is(context.Cause(ctx), context.Canceled):
		u.core.PeerFailed(u.cfg.Clock.Now(), vm)
	}
	return a
}
