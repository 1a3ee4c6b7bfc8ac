package link_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/fleet/link"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// dialer opens tunnels with direct connections.
type dialer struct{}

func (dialer) OpenTunnel(ctx context.Context, _ string, q *fleetpb.Tunnel) (net.Conn, *fleetpb.TunnelReply) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", q.Address)
	if err != nil {
		return nil, &fleetpb.TunnelReply{Code: fleetpb.TunnelReply_NOT_LISTENING, Detail: err.Error()}
	}
	return c, &fleetpb.TunnelReply{Code: fleetpb.TunnelReply_OPEN}
}

// upstream serves one connection after the other.
func upstream(t *testing.T, serve func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// TestTunnelCarriesBytes sends more than the receive windows hold, both ways, to an upstream that answers at once, and
// checks that the end of its connection is the end of the tunnel.
func TestTunnelCarriesBytes(t *testing.T) {
	_, of := newKeys(t, "a", "b")
	a, _ := open(t, of["a"])
	b, _ := open(t, of["b"], link.WithTunnels(dialer{}))
	body := bytes.Repeat([]byte("0123456789abcdef"), 128<<10)
	address := upstream(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "ready")
		got := make([]byte, len(body))
		_, _ = io.ReadFull(c, got)
		_, _ = c.Write(got)
		_ = c.Close()
	})
	c, reply, err := a.Tunnel(t.Context(), b.Address(), &fleetpb.Tunnel{Address: address})
	assert.NilError(t, err)
	assert.Equal(t, reply.Code, fleetpb.TunnelReply_OPEN)
	defer func() { _ = c.Close() }()
	go func() { _, _ = c.Write(body) }()
	got, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, append([]byte("ready"), body...)), "%d bytes", len(got))
}

// TestTunnelOfBrokenConnection guards against answers that look complete although the connection to the upstream, or the
// VM in between, was lost.
func TestTunnelOfBrokenConnection(t *testing.T) {
	_, of := newKeys(t, "a", "b")
	for name, with := range map[string]func(c *net.TCPConn, b *link.Transport){
		"reset by the upstream": func(c *net.TCPConn, _ *link.Transport) { _ = c.SetLinger(0); _ = c.Close() },
		"the VM stops":          func(_ *net.TCPConn, b *link.Transport) { go b.Close() },
	} {
		a, _ := open(t, of["a"])
		b, _ := open(t, of["b"], link.WithTunnels(dialer{}))
		address := upstream(t, func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "part")
			time.Sleep(50 * time.Millisecond)
			with(c, b)
		})
		c, _, err := a.Tunnel(t.Context(), b.Address(), &fleetpb.Tunnel{Address: address})
		assert.NilError(t, err, name)
		got, err := io.ReadAll(c)
		assert.Equal(t, string(got), "part", name)
		assert.Assert(t, err != nil && !errors.Is(err, io.EOF), name)
		_ = c.Close()
	}
}

// TestTunnelOfResetWithinRequest guards against parts of responses that look complete because the copy of the request
// received the reset of the connection to the upstream. What the upstream sent before it must arrive.
func TestTunnelOfResetWithinRequest(t *testing.T) {
	const rounds = 20
	_, of := newKeys(t, "a", "b")
	a, _ := open(t, of["a"])
	b, _ := open(t, of["b"], link.WithTunnels(dialer{}))
	response := strings.Repeat("response", 4<<10)
	reset := func(delay time.Duration) func(c *net.TCPConn) {
		return func(c *net.TCPConn) {
			time.Sleep(delay)
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
	for name, test := range map[string]struct {
		end     func(c *net.TCPConn)
		regular bool
	}{
		"reset at once":          {reset(0), false},
		"reset soon":             {reset(5 * time.Millisecond), false},
		"half-closed and reset":  {func(c *net.TCPConn) { _ = c.CloseWrite(); reset(5 * time.Millisecond)(c) }, true},
		"half-closed, rest read": {func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c); _ = c.Close() }, true},
	} {
		for _, size := range []int{100 << 10, 1 << 20, 4 << 20} {
			address := upstream(t, func(c *net.TCPConn) {
				_, _ = io.ReadFull(c, make([]byte, 1000))
				_, _ = io.WriteString(c, response)
				test.end(c)
			})
			for range rounds {
				c, _, err := a.Tunnel(t.Context(), b.Address(), &fleetpb.Tunnel{Address: address})
				assert.NilError(t, err)
				go func() { _, _ = c.Write(make([]byte, size)) }()
				got, err := io.ReadAll(c)
				assert.Equal(t, err == nil, test.regular, "%s, %d bytes: %v", name, size, err)
				assert.Equal(t, string(got), response, "%s, %d bytes: %v", name, size, err)
				_ = c.Close()
			}
		}
	}
}

// TestUnframedResponseThroughTunnel checks both ends of a call through another VM: a part is never the whole, and a whole
// response is served although the rest of the upload is refused.
func TestUnframedResponseThroughTunnel(t *testing.T) {
	const rounds = 10
	_, of := newKeys(t, "a", "b")
	a, _ := open(t, of["a"])
	b, _ := open(t, of["b"], link.WithTunnels(dialer{}))
	pool := call.NewPool(call.WithDial(func(ctx context.Context, _, address string) (net.Conn, error) {
		c, _, err := a.Tunnel(ctx, b.Address(), &fleetpb.Tunnel{Address: address})
		return c, err
	}))
	drain := func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }
	reset := func(c *net.TCPConn) { time.Sleep(5 * time.Millisecond); _ = c.SetLinger(0) }
	const size = 4 << 20
	for name, test := range map[string]struct {
		read  int64
		end   func(c *net.TCPConn)
		whole bool
	}{
		"reset":                {0, reset, false},
		"reset at the half":    {size / 2, reset, false},
		"reset at the end":     {size, reset, false},
		"early, rest read":     {0, func(c *net.TCPConn) { _ = c.CloseWrite(); drain(c) }, true},
		"early, rest not read": {0, func(c *net.TCPConn) { _ = c.CloseWrite(); reset(c) }, true},
		"upload ending":        {size - 1, func(c *net.TCPConn) { _ = c.CloseWrite(); drain(c) }, true},
		"upload ended":         {size, func(*net.TCPConn) {}, true},
	} {
		head := "POST / HTTP/1.1\r\nHost: x\r\n\r\n"
		address := upstream(t, func(c *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, c, int64(len(head))+test.read)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nbody")
			test.end(c)
			_ = c.Close()
		})
		for range rounds {
			resp, err := pool.Do(t.Context(), address, call.Request{Method: "POST", Head: []byte(head), Body: [][]byte{make([]byte, size)}, Fresh: true})
			var body []byte
			if err == nil {
				body, err = io.ReadAll(resp)
				resp.Close()
			}
			assert.Equal(t, err == nil, test.whole, "%s: %v", name, err)
			assert.Assert(t, !test.whole || string(body) == "body", "%s: %q", name, body)
		}
	}
}

// TestTunnelEndsWithItsCaller guards against upstreams that go on after the near end of a tunnel was closed.
func TestTunnelEndsWithItsCaller(t *testing.T) {
	_, of := newKeys(t, "a", "b")
	a, _ := open(t, of["a"])
	b, _ := open(t, of["b"], link.WithTunnels(dialer{}))
	closed := make(chan time.Time, 1)
	address := upstream(t, func(c *net.TCPConn) {
		_, _ = io.Copy(io.Discard, c)
		closed <- time.Now()
	})
	c, _, err := a.Tunnel(t.Context(), b.Address(), &fleetpb.Tunnel{Address: address})
	assert.NilError(t, err)
	_, err = io.WriteString(c, "request")
	assert.NilError(t, err)
	at := time.Now()
	assert.NilError(t, c.Close())
	select {
	case end := <-closed:
		assert.Assert(t, end.Sub(at) < 500*time.Millisecond)
	case <-time.After(2 * time.Second):
		t.Fatal("the upstream's connection is still open")
	}
}

// TestTunnelOutlivesIdleLink guards against a tunnel that ends because its link carries nothing else.
func TestTunnelOutlivesIdleLink(t *testing.T) {
	_, of := newKeys(t, "a", "b")
	a, _ := open(t, of["a"], link.WithIdleTimeout(200*clock.Millisecond))
	b, _ := open(t, of["b"], link.WithTunnels(dialer{}))
	address := upstream(t, func(c *net.TCPConn) {
		time.Sleep(time.Second)
		_, _ = io.WriteString(c, "late")
		_ = c.Close()
	})
	c, _, err := a.Tunnel(t.Context(), b.Address(), &fleetpb.Tunnel{Address: address})
	assert.NilError(t, err)
	got, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "late")
}

// freezable is the way to a VM, as a UDP proxy of one client.
type freezable struct {
	net.PacketConn
	frozen atomic.Bool
}

// newFreezable returns a proxy that loses all packets once it is frozen, and its address.
func newFreezable(t *testing.T, vm string) (*freezable, string) {
	t.Helper()
	front, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	back, err := net.Dial("udp", vm)
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = front.Close(), back.Close() })
	f := &freezable{PacketConn: front}
	var client atomic.Pointer[net.Addr]
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, from, err := front.ReadFrom(buf)
			if err != nil {
				return
			}
			client.Store(&from)
			if !f.frozen.Load() {
				_, _ = back.Write(buf[:n])
			}
		}
	}()
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := back.Read(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if to := client.Load(); to != nil && !f.frozen.Load() {
				_, _ = front.WriteTo(buf[:n], *to)
			}
		}
	}()
	return f, front.LocalAddr().String()
}

// TestTunnelOfFrozenVM guards against connections that wait for a VM that is frozen, or that the link to is lost: open
// ones, and those that are being opened.
func TestTunnelOfFrozenVM(t *testing.T) {
	const bound = 3 * time.Second // From a loss until requests are served without what was lost.
	_, of := newKeys(t, "a", "b")
	a, _ := open(t, of["a"])
	b, _ := open(t, of["b"], link.WithTunnels(dialer{}))
	way, vm := newFreezable(t, b.Address())
	address := upstream(t, func(c *net.TCPConn) { _, _ = io.WriteString(c, "part") })
	c, _, err := a.Tunnel(t.Context(), vm, &fleetpb.Tunnel{Address: address})
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.ReadFull(c, make([]byte, 4))
	assert.NilError(t, err)
	way.frozen.Store(true)
	at := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, _, err = a.Tunnel(ctx, vm, &fleetpb.Tunnel{Address: address})
	assert.Assert(t, err != nil && time.Since(at) < 400*time.Millisecond, "%v after %s", err, time.Since(at))
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !errors.Is(err, io.EOF) && time.Since(at) < bound, "%v after %s", err, time.Since(at))
}

// TestTunnelOfLostVM guards against upstreams that work on for a VM that was killed or froze, as no packet ends its
// connections.
func TestTunnelOfLostVM(t *testing.T) {
	const bound = 3 * time.Second
	_, of := newKeys(t, "a", "b")
	a, _ := open(t, of["a"])
	b, _ := open(t, of["b"], link.WithTunnels(dialer{}))
	way, vm := newFreezable(t, b.Address())
	closed := make(chan time.Time, 1)
	address := upstream(t, func(c *net.TCPConn) {
		_, _ = io.Copy(io.Discard, c)
		closed <- time.Now()
	})
	c, _, err := a.Tunnel(t.Context(), vm, &fleetpb.Tunnel{Address: address})
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	time.Sleep(bound)
	select {
	case <-closed:
		t.Fatal("the connection of a VM that waits was closed")
	default:
	}
	way.frozen.Store(true)
	at := time.Now()
	select {
	case end := <-closed:
		assert.Assert(t, end.Sub(at) < bound, "%s", end.Sub(at))
	case <-time.After(15 * time.Second):
		t.Fatal("the upstream's connection is still open")
	}
}

// TestTunnelRefused checks that a VM that opens no tunnels, or cannot reach the upstream, says so.
func TestTunnelRefused(t *testing.T) {
	_, of := newKeys(t, "a", "b")
	a, _ := open(t, of["a"])
	none, _ := open(t, of["b"])
	b, _ := open(t, of["b"], link.WithTunnels(dialer{}))
	for address, want := range map[string]fleetpb.TunnelReply_Code{
		none.Address(): fleetpb.TunnelReply_UNAVAILABLE, b.Address(): fleetpb.TunnelReply_NOT_LISTENING,
	} {
		c, reply, err := a.Tunnel(t.Context(), address, &fleetpb.Tunnel{Address: "127.0.0.1:1"})
		assert.NilError(t, err)
		assert.Equal(t, reply.Code, want)
		assert.Assert(t, c == nil)
	}
}
