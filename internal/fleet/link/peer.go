package link

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/framing"
)

// redialDelay is the delay between attempts to dial an unreachable VM.
const redialDelay = 100 * time.Millisecond

// peer holds the outgoing connection to one VM and the queue of messages for it.
type peer struct {
	t         *Transport
	address   string
	queue     chan *fleetpb.Envelope
	repliedAt atomic.Int64 // Unix time in ns of the last reply to a probe.
	usedAt    atomic.Int64 // Unix time in ns of the last message or call.

	mu    sync.Mutex
	conn  *quic.Conn
	ready chan struct{} // Closed once conn is set.
}

func newPeer(t *Transport, address string) *peer {
	p := &peer{t: t, address: address, queue: make(chan *fleetpb.Envelope, maxQueued), ready: make(chan struct{})}
	p.usedAt.Store(time.Now().UnixNano())
	return p
}

// enqueue queues a message. It reports false when the queue is full.
func (p *peer) enqueue(e *fleetpb.Envelope) bool {
	p.usedAt.Store(time.Now().UnixNano())
	select {
	case p.queue <- e:
		return true
	default:
		return false
	}
}

// connection returns the open connection, waiting until there is one.
func (p *peer) connection(ctx context.Context) (*quic.Conn, error) {
	p.usedAt.Store(time.Now().UnixNano())
	for {
		p.mu.Lock()
		conn, ready := p.conn, p.ready
		p.mu.Unlock()
		if conn != nil && conn.Context().Err() == nil {
			return conn, nil
		}
		select {
		case <-ready:
		case <-ctx.Done():
			return nil, fmt.Errorf("%s: %w", p.address, ErrNotOpen)
		case <-p.t.ctx.Done():
			return nil, ErrClosed
		}
	}
}

// setConn records the open connection, or with nil that there is none.
func (p *peer) setConn(conn *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn != nil {
		p.conn = conn
		close(p.ready)
		return
	}
	if p.conn != nil {
		p.conn = nil
		p.ready = make(chan struct{})
	}
}

// run keeps a connection open until it is idle or the transport is closed.
func (p *peer) run() {
	for p.t.ctx.Err() == nil {
		err := p.session()
		if err == ErrIdle {
			p.t.remove(p)
			return
		}
		if err == ErrProbeTimeout {
			p.t.replaced.Add(1)
			p.t.log.Info("no probe reply from peer, replacing the connection", "address", p.address)
			continue
		}
		if p.elapsed(&p.usedAt) > p.t.idleTimeout.Std() {
			p.t.remove(p)
			return
		}
		p.discardFor(redialDelay)
	}
}

// session opens one connection and sends messages on it until it ends.
func (p *peer) session() error {
	ctx, cancel := context.WithTimeout(p.t.ctx, handshakeTimeout)
	defer cancel()
	// Each connection gets its own socket: a middlebox that lost the state of the
	// old connection may also block a new one from the same port.
	conn, err := quic.DialAddr(ctx, p.address, p.t.ring.Client(), p.t.config())
	if err != nil {
		return fmt.Errorf("dial %s: %w", p.address, err)
	}
	defer func() {
		p.setConn(nil)
		_ = conn.CloseWithError(0, "")
	}()
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return fmt.Errorf("open stream: %w", err)
	}
	if _, err := stream.Write([]byte{streamMessages}); err != nil {
		return fmt.Errorf("open stream: %w", err)
	}
	p.repliedAt.Store(time.Now().UnixNano())
	p.setConn(conn)
	p.t.spawn(func() { p.readProbes(stream) })
	return p.write(conn, stream)
}

// readProbes reads the replies to probes.
func (p *peer) readProbes(stream *quic.Stream) {
	r := framing.NewReader(stream)
	for {
		var e fleetpb.Envelope
		if err := r.Read(&e); err != nil {
			return
		}
		p.repliedAt.Store(time.Now().UnixNano())
	}
}

// write sends queued messages, and a probe at each probe interval.
func (p *peer) write(conn *quic.Conn, stream *quic.Stream) error {
	w := framing.NewWriter(countingStream{stream, p.t})
	probe := time.NewTicker(p.t.probeInterval.Std())
	defer probe.Stop()
	sequence := uint64(0)
	for {
		var e *fleetpb.Envelope
		select {
		case <-conn.Context().Done():
			return ErrNotOpen
		case <-p.t.ctx.Done():
			return ErrClosed
		case e = <-p.queue:
		case <-probe.C:
			if p.elapsed(&p.repliedAt) > p.t.probeTimeout.Std() {
				return ErrProbeTimeout
			}
			if p.elapsed(&p.usedAt) > p.t.idleTimeout.Std() {
				return ErrIdle
			}
			sequence++
			e = &fleetpb.Envelope{Body: &fleetpb.Envelope_Probe{Probe: &fleetpb.Probe{Sequence: sequence}}}
		}
		_ = stream.SetWriteDeadline(time.Now().Add(p.t.probeTimeout.Std()))
		if err := w.Write(e); err != nil {
			return err
		}
		p.t.sentMessages.Add(1)
	}
}

// discardFor discards the queued messages for the duration d.
func (p *peer) discardFor(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-p.queue:
			p.t.dropped.Add(1)
		case <-timer.C:
			return
		case <-p.t.ctx.Done():
			return
		}
	}
}

// elapsed returns the time since a Unix time in ns.
func (p *peer) elapsed(since *atomic.Int64) time.Duration {
	return time.Duration(time.Now().UnixNano() - since.Load())
}
