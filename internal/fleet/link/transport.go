// Package link transports messages between VMs over QUIC with mutual TLS. Each VM
// keeps one connection to each VM that it sends to, with one stream for ordered
// messages, and a stream for each call and each connection to an upstream that the
// other VM opens for it. Application-level probes detect connections
// that no longer carry data, which are replaced.
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
	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/fleet/keys"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/framing"
)

// Errors of a transport.
const (
	ErrClosed        = fault.Sentinel("link: transport closed")
	ErrNotOpen       = fault.Sentinel("link: no open connection to the VM")
	ErrProbeTimeout  = fault.Sentinel("link: no reply to probes within the probe timeout")
	ErrIdle          = fault.Sentinel("link: connection idle")
	errUnknownStream = fault.Sentinel("link: unknown stream type")
)

// Stream types, sent as the first byte of each stream.
const (
	streamMessages = 'M'
	streamCall     = 'C'
	streamTunnel   = 'T'
)

// Defaults and limits.
const (
	defaultProbeInterval = 500 * clock.Millisecond
	defaultProbeTimeout  = 1500 * clock.Millisecond
	defaultIdleTimeout   = 5 * clock.Second
	handshakeTimeout     = 2 * time.Second
	// quicIdleTimeout is the time without packets after which QUIC closes a connection.
	quicIdleTimeout = 10 * time.Second
	// maxQueued bounds the messages that wait to be sent to one VM.
	maxQueued          = 4096
	maxIncomingStreams = 4096
	// callTimeout bounds the handling of an incoming call.
	callTimeout = 10 * time.Second
	// Receive windows bound what is held of a stream, and of a connection, until it is read.
	maxStreamWindowBytes     = 256 << 10
	maxConnectionWindowBytes = 1 << 20
)

// Handler receives what other VMs send.
type Handler interface {
	// Message handles a message. It must not block.
	Message(fromVM string, e *fleetpb.Envelope)
	// Call handles a call and returns the reply.
	Call(ctx context.Context, fromVM string, c *fleetpb.Call) *fleetpb.Reply
	// Answered reports that a VM answered a probe. It must not block.
	Answered(vm string)
}

// Stats counts the traffic of a transport.
type Stats struct {
	SentMessages int64 `json:"sentMessages"`
	SentBytes    int64 `json:"sentBytes"`
	Dropped      int64 `json:"dropped"`
	Replaced     int64 `json:"replaced"` // Connections that failed the probe.
	Dialed       int64 `json:"dialed"`   // Connections opened.
	Peers        int   `json:"peers"`
}

// Transport holds a VM's connections to other VMs.
type Transport struct {
	ring          *keys.Ring
	handler       Handler
	clock         clock.Clock
	log           hclog.Logger
	probeInterval clock.Duration
	probeTimeout  clock.Duration
	idleTimeout   clock.Duration
	tunnels       Tunnels // Nil if this VM opens none for others.

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
	dialed       atomic.Int64
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
		ring: ring, handler: handler, clock: clock.NewSystem(), log: log.Named("link"),
		probeInterval: defaultProbeInterval, probeTimeout: defaultProbeTimeout, idleTimeout: defaultIdleTimeout,
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
	t.spawn("link accept", func() { crash.Restart(t.ctx, "link accept", t.accept) })
	return t, nil
}

func (t *Transport) config() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: quicIdleTimeout, MaxIncomingStreams: maxIncomingStreams,
		EnableStreamResetPartialDelivery: true, // Tunnels deliver what came before a reset.
		InitialStreamReceiveWindow:       maxStreamWindowBytes, MaxStreamReceiveWindow: maxStreamWindowBytes, MaxConnectionReceiveWindow: maxConnectionWindowBytes,
	}
}

// Address returns the address that the transport listens on.
func (t *Transport) Address() string { return t.socket.LocalAddr().String() }

// Stats returns the transport's counters.
func (t *Transport) Stats() Stats {
	t.mu.Lock()
	peers := len(t.peers)
	t.mu.Unlock()
	return Stats{
		SentMessages: t.sentMessages.Load(), SentBytes: t.sentBytes.Load(),
		Dropped: t.dropped.Load(), Replaced: t.replaced.Load(), Dialed: t.dialed.Load(), Peers: peers,
	}
}

// Send queues a message to the VM at an address. It drops the message when the
// queue is full or the VM cannot be reached.
func (t *Transport) Send(address string, e *fleetpb.Envelope) {
	if p := t.peer(address); p == nil || !p.enqueue(e) {
		t.dropped.Add(1)
	}
}

// Call sends a call to the VM at an address and waits for the reply.
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
	if err := framing.NewWriter(countingStream{stream, t}).Write(c); err != nil {
		return nil, err
	}
	_ = stream.Close()
	late := time.AfterFunc(t.probeInterval.Std(), p.callUnanswered)
	defer late.Stop()
	reply := &fleetpb.Reply{}
	if err := framing.NewReader(stream).Read(reply); err != nil {
		return nil, fmt.Errorf("read reply: %w", err)
	}
	return reply, nil
}

// countingStream counts the bytes written to a stream.
type countingStream struct {
	*quic.Stream
	t *Transport
}

// Write implements io.Writer.
func (c countingStream) Write(data []byte) (int, error) {
	n, err := c.Stream.Write(data)
	c.t.sentBytes.Add(int64(n))
	return n, err
}

// peer returns the peer at an address and starts it if there is none.
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
		name := "link to " + address
		t.spawn(name, func() { crash.Restart(t.ctx, name, p.run) })
	}
	return p
}

// remove removes a peer whose connection is idle.
func (t *Transport) remove(p *peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers[p.address] == p {
		delete(t.peers, p.address)
	}
}

// spawn runs f in a goroutine that Close waits for, and contains a panic of it.
func (t *Transport) spawn(name string, f func()) {
	t.tasks.Add(1)
	go func() {
		defer crash.Recover(name)
		defer t.tasks.Done()
		f()
	}()
}

// Close closes all connections and waits for the goroutines.
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
