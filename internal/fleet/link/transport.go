// Package link carries messages between VMs over QUIC with mutual TLS. Each VM
// keeps one connection to each VM that it sends to: one stream for messages in
// order, and a stream for each call. A probe at the application's level finds
// connections that went silent and replaces them.
package link

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/quic-go/quic-go"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/fleet/keys"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/framing"
)

// Failures of a link.
const (
	ErrClosed   = fault.Sentinel("link: the transport is closed")
	ErrNotOpen  = fault.Sentinel("link: there is no connection to the VM")
	ErrSilent   = fault.Sentinel("link: the connection went silent")
	ErrIdle     = fault.Sentinel("link: the connection carried nothing")
	errBadStart = fault.Sentinel("link: a stream began with an unknown byte")
)

// Kinds of streams, the first byte of each.
const (
	streamMessages = 'M'
	streamCall     = 'C'
)

// Defaults.
const (
	defaultProbeEvery = 500 * clock.Millisecond
	defaultSilence    = 1500 * clock.Millisecond
	defaultIdle       = 30 * clock.Second
	handshakeTimeout  = 2 * time.Second
	idleTimeout       = 10 * time.Second
	queueSize         = 4096
	maxStreams        = 4096
	// callTimeout bounds the work on a call that came in.
	callTimeout = 10 * time.Second
)

// Handler takes what other VMs send.
type Handler interface {
	// Message takes a message. It must not block.
	Message(fromVM string, e *fleetpb.Envelope)
	// Call answers a call.
	Call(ctx context.Context, fromVM string, c *fleetpb.Call) *fleetpb.Reply
}

// Stats count what a transport carried.
type Stats struct {
	SentMessages int64 `json:"sentMessages"`
	SentBytes    int64 `json:"sentBytes"`
	Dropped      int64 `json:"dropped"`
	Replaced     int64 `json:"replaced"` // Connections found silent.
	Peers        int   `json:"peers"`
}

// Transport is a VM's end of all links.
type Transport struct {
	ring       *keys.Ring
	handler    Handler
	log        hclog.Logger
	probeEvery clock.Duration
	silence    clock.Duration
	idle       clock.Duration

	socket   *net.UDPConn
	quic     *quic.Transport
	listener *quic.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup

	mu     sync.Mutex
	peers  map[string]*peer
	closed bool

	sentMessages atomic.Int64
	sentBytes    atomic.Int64
	dropped      atomic.Int64
	replaced     atomic.Int64
}

// Listen starts a transport on a UDP address. Close ends it.
func Listen(ctx context.Context, address string, ring *keys.Ring, handler Handler, log hclog.Logger, opts ...Option) (*Transport, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("fleet address: %w", err)
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, fmt.Errorf("listen for VMs: %w", err)
	}
	secret, err := ring.ResetSecret()
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	reset := quic.StatelessResetKey(secret)
	t := &Transport{
		ring: ring, handler: handler, log: log.Named("link"),
		probeEvery: defaultProbeEvery, silence: defaultSilence, idle: defaultIdle,
		socket: socket, quic: &quic.Transport{Conn: socket, StatelessResetKey: &reset}, peers: map[string]*peer{},
	}
	for _, opt := range opts {
		opt(t)
	}
	t.ctx, t.cancel = context.WithCancel(ctx)
	t.listener, err = t.quic.Listen(ring.Server(), t.config())
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("listen for VMs: %w", err)
	}
	t.task(t.accept)
	return t, nil
}

func (t *Transport) config() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: idleTimeout, MaxIncomingStreams: maxStreams,
	}
}

// Address returns the address that the transport listens on.
func (t *Transport) Address() string { return t.socket.LocalAddr().String() }

// Stats returns the transport's counts.
func (t *Transport) Stats() Stats {
	t.mu.Lock()
	peers := len(t.peers)
	t.mu.Unlock()
	return Stats{
		SentMessages: t.sentMessages.Load(), SentBytes: t.sentBytes.Load(),
		Dropped: t.dropped.Load(), Replaced: t.replaced.Load(), Peers: peers,
	}
}

// Send queues a message to the VM at an address. It drops the message when the
// queue is full or the VM cannot be reached.
func (t *Transport) Send(address string, e *fleetpb.Envelope) {
	if p := t.peer(address); p == nil || !p.offer(e) {
		t.dropped.Add(1)
	}
}

// Call asks the VM at an address and waits for its reply.
func (t *Transport) Call(ctx context.Context, address string, c *fleetpb.Call) (*fleetpb.Reply, error) {
	p := t.peer(address)
	if p == nil {
		return nil, ErrClosed
	}
	conn, err := p.connection(ctx)
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("open call: %w", err)
	}
	defer stream.CancelRead(0)
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if _, err := stream.Write([]byte{streamCall}); err != nil {
		return nil, fmt.Errorf("write call: %w", err)
	}
	if err := framing.NewWriter(counted{stream, t}).Write(c); err != nil {
		return nil, err
	}
	_ = stream.Close()
	reply := &fleetpb.Reply{}
	if err := framing.NewReader(stream).Read(reply); err != nil {
		return nil, fmt.Errorf("read reply: %w", err)
	}
	return reply, nil
}

// counted counts the bytes that are written.
type counted struct {
	*quic.Stream
	t *Transport
}

// Write implements io.Writer.
func (c counted) Write(data []byte) (int, error) {
	n, err := c.Stream.Write(data)
	c.t.sentBytes.Add(int64(n))
	return n, err
}

// peer returns the link to an address, opening it if need be.
func (t *Transport) peer(address string) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil
	}
	p := t.peers[address]
	if p == nil {
		p = newPeer(t, address)
		t.peers[address] = p
		t.task(p.run)
	}
	return p
}

// forget drops a link that was idle.
func (t *Transport) forget(p *peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers[p.address] == p {
		delete(t.peers, p.address)
	}
}

func (t *Transport) task(f func()) {
	t.tasks.Add(1)
	go func() {
		defer t.tasks.Done()
		f()
	}()
}

// Close ends every link.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	_ = t.listener.Close()
	_ = t.quic.Close()
	_ = t.socket.Close()
	t.tasks.Wait()
}
