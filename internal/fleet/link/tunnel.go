package link

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"sync"

	"github.com/quic-go/quic-go"

	"github.com/jasminecove/jasminecove/internal/base/asyncwrite"
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/framing"
)

const (
	// tunnelBufferBytes is the size of the buffer for each direction of a tunnel.
	tunnelBufferBytes = 8 << 10
	// tunnelBroken is the error code of a tunnel whose connection did not end regularly.
	tunnelBroken = 1
)

// Tunnels opens connections to upstreams for other VMs.
type Tunnels interface {
	// OpenTunnel opens a connection to an upstream. The connection is nil unless the reply says OPEN.
	OpenTunnel(ctx context.Context, vm string, t *fleetpb.Tunnel) (net.Conn, *fleetpb.TunnelReply)
}

// Tunnel asks the VM at an address for a connection to an upstream. The connection is nil unless the reply says OPEN.
// A connection that breaks at the other VM, or is lost with it, ends with an error other than io.EOF.
func (t *Transport) Tunnel(ctx context.Context, address string, q *fleetpb.Tunnel) (net.Conn, *fleetpb.TunnelReply, error) {
	p := t.peer(address)
	if p == nil {
		return nil, nil, ErrClosed
	}
	conn, err := p.connection(ctx)
	if err != nil {
		return nil, nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, nil, fmt.Errorf("open tunnel: %w", err)
	}
	c := &tunnel{Stream: stream, local: conn.LocalAddr(), remote: conn.RemoteAddr(), release: p.hold()}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	reply, err := c.open(q)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil || reply.Code != fleetpb.TunnelReply_OPEN {
		_ = c.Close()
		return nil, reply, err
	}
	return c, reply, nil
}

// tunnel is the near end of a tunnel.
type tunnel struct {
	*quic.Stream
	rest          io.Reader // Of the stream, after the reply.
	local, remote net.Addr
	once          sync.Once
	release       func()
}

// open sends the request for the connection and reads the reply.
func (c *tunnel) open(q *fleetpb.Tunnel) (*fleetpb.TunnelReply, error) {
	if _, err := c.Write([]byte{streamTunnel}); err != nil {
		return nil, fmt.Errorf("open tunnel: %w", err)
	}
	if err := framing.NewWriter(c.Stream).Write(q); err != nil {
		return nil, fmt.Errorf("open tunnel: %w", err)
	}
	reply, r := &fleetpb.TunnelReply{}, framing.NewReader(c.Stream)
	if err := r.Read(reply); err != nil {
		return nil, fmt.Errorf("open tunnel: %w", err)
	}
	c.rest = r.Rest()
	return reply, nil
}

// Read implements net.Conn.
func (c *tunnel) Read(buf []byte) (int, error) { return c.rest.Read(buf) }

// Close implements net.Conn. The other VM closes the connection to the upstream.
func (c *tunnel) Close() error {
	c.once.Do(func() {
		c.CancelRead(0)
		c.CancelWrite(0)
		c.release()
	})
	return nil
}

// LocalAddr implements net.Conn.
func (c *tunnel) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *tunnel) RemoteAddr() net.Addr { return c.remote }

// serveTunnel opens a connection for another VM and copies its bytes.
func (t *Transport) serveTunnel(in *incoming, stream *quic.Stream) {
	in.heardAt.Store(int64(t.clock.Now()))
	in.tunnels.Add(1)
	defer in.tunnels.Add(-1)
	in.watch.Do(func() { t.spawn("link watch of "+in.vm, func() { t.closeSilent(in) }) })
	q, r := &fleetpb.Tunnel{}, framing.NewReader(stream)
	if err := r.Read(q); err != nil {
		return
	}
	// The other VM cancels the stream when it gives the connection up.
	ctx, cancel := context.WithTimeout(stream.Context(), callTimeout)
	defer cancel()
	var conn net.Conn
	reply := &fleetpb.TunnelReply{Detail: "the VM opens no connections for others"}
	if t.tunnels != nil {
		crash.Contain("tunnel of "+in.vm, func() { conn, reply = t.tunnels.OpenTunnel(ctx, in.vm, q) })
	}
	if conn != nil {
		defer func() { _ = conn.Close() }()
	}
	if err := framing.NewWriter(countingStream{stream, t}).Write(reply); err != nil || conn == nil {
		return
	}
	t.copyTunnel(stream, r.Rest(), conn)
}

// closeSilent closes a connection with tunnels once nothing was heard of the other VM for longer than it takes that VM to
// find the connection lost. No packet tells that a VM was killed.
func (t *Transport) closeSilent(in *incoming) {
	limit := t.probeInterval + t.probeTimeout
	delay.Every(in.conn.Context(), (t.probeInterval / 2).Std(), func() {
		if in.tunnels.Load() > 0 && t.clock.Now().Sub(clock.Time(in.heardAt.Load())) > limit {
			_ = in.conn.CloseWithError(0, "silent")
		}
	})
}

// copyTunnel copies bytes both ways until one of the sides ends.
func (t *Transport) copyTunnel(stream *quic.Stream, requests io.Reader, conn net.Conn) {
	upload := asyncwrite.Start("tunnel", conn, func() error {
		_, err := io.CopyBuffer(onlyWriter{conn}, closingReader{requests, conn}, make([]byte, tunnelBufferBytes))
		return err
	})
	_, err := io.CopyBuffer(onlyWriter{countingStream{stream, t}}, onlyReader{conn}, make([]byte, tunnelBufferBytes))
	stream.CancelRead(0)
	if err = cmp.Or(err, upload.Stop()); err != nil {
		// What the upstream sent before the failure still arrives. It may hold a whole response with a length.
		stream.SetReliableBoundary()
		stream.CancelWrite(tunnelBroken)
	}
	_ = stream.Close()
	_ = conn.Close()
}

// closingReader closes the connection to the upstream once the other VM has closed its end, or is lost. A write that fails
// leaves the connection open, since what the upstream sent before may still be unread.
type closingReader struct {
	io.Reader
	conn io.Closer
}

// Read implements io.Reader.
func (r closingReader) Read(buf []byte) (int, error) {
	n, err := r.Reader.Read(buf)
	if err != nil {
		_ = r.conn.Close()
	}
	return n, err
}

// onlyReader and onlyWriter hide what would make io.CopyBuffer use a buffer of its own.
type (
	onlyReader struct{ io.Reader }
	onlyWriter struct{ io.Writer }
)

// hold keeps the connection to the VM open, and has it probed, until release is called.
func (p *peer) hold() (release func()) {
	p.held.Add(1)
	p.wakeWriter()
	return func() {
		p.held.Add(-1)
		p.markUsed()
	}
}
