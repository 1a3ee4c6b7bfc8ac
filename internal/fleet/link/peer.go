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

// redialDelay is the span between dials of a VM that cannot be reached.
const redialDelay = 100 * time.Millisecond

// peer is the link to one VM.
type peer struct {
	t       *Transport
	address string
	queue   chan *fleetpb.Envelope
	heard   atomic.Int64 // Unix time in ns of the last answer to a probe.
	used    atomic.Int64 // Unix time in ns of the last use.

	mu    sync.Mutex
	conn  *quic.Conn
	ready chan struct{} // Closed when conn is set.
}

func newPeer(t *Transport, address string) *peer {
	p := &peer{t: t, address: address, queue: make(chan *fleetpb.Envelope, queueSize), ready: make(chan struct{})}
	p.used.Store(time.Now().UnixNano())
	return p
}

func (p *peer) offer(e *fleetpb.Envelope) bool {
	p.used.Store(time.Now().UnixNano())
	select {
	case p.queue <- e:
		return true
	default:
		return false
	}
}

// connection waits for the link to be open.
func (p *peer) connection(ctx context.Context) (*quic.Conn, error) {
	p.used.Store(time.Now().UnixNano())
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

// run keeps the link open until it is idle or the transport closes.
func (p *peer) run() {
	for p.t.ctx.Err() == nil {
		err := p.session()
		if err == ErrIdle {
			p.t.forget(p)
			return
		}
		if err == ErrSilent {
			p.t.replaced.Add(1)
			p.t.log.Info("connection went silent, replacing it", "address", p.address)
			continue
		}
		if p.quiet(&p.used) > p.t.idle.Std() {
			p.t.forget(p)
			return
		}
		p.drop(redialDelay)
	}
}

// session opens one connection and carries messages on it until it ends.
func (p *peer) session() error {
	ctx, cancel := context.WithTimeout(p.t.ctx, handshakeTimeout)
	defer cancel()
	// A socket of its own for each connection: what lost track of an old one
	// between the two ends may also hold up a new one from the same port.
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
	p.heard.Store(time.Now().UnixNano())
	p.setConn(conn)
	p.t.task(func() { p.readProbes(stream) })
	return p.write(conn, stream)
}

// readProbes takes the answers to probes.
func (p *peer) readProbes(stream *quic.Stream) {
	r := framing.NewReader(stream)
	for {
		var e fleetpb.Envelope
		if err := r.Read(&e); err != nil {
			return
		}
		p.heard.Store(time.Now().UnixNano())
	}
}

// write sends queued messages, and probes in between.
func (p *peer) write(conn *quic.Conn, stream *quic.Stream) error {
	w := framing.NewWriter(counted{stream, p.t})
	probe := time.NewTicker(p.t.probeEvery.Std())
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
			if p.quiet(&p.heard) > p.t.silence.Std() {
				return ErrSilent
			}
			if p.quiet(&p.used) > p.t.idle.Std() {
				return ErrIdle
			}
			sequence++
			e = &fleetpb.Envelope{Body: &fleetpb.Envelope_Probe{Probe: &fleetpb.Probe{Sequence: sequence}}}
		}
		_ = stream.SetWriteDeadline(time.Now().Add(p.t.silence.Std()))
		if err := w.Write(e); err != nil {
			return err
		}
		p.t.sentMessages.Add(1)
	}
}

// drop waits and throws away what is queued meanwhile.
func (p *peer) drop(span time.Duration) {
	timer := time.NewTimer(span)
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

func (p *peer) quiet(since *atomic.Int64) time.Duration {
	return time.Duration(time.Now().UnixNano() - since.Load())
}
