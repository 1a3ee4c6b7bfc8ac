package link

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/fleet/keys"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/framing"
)

// redialDelay is the delay between attempts to dial an unreachable VM.
const redialDelay = 100 * time.Millisecond

// peer holds the outgoing connection to one VM and the queue of messages for it.
type peer struct {
	t       *Transport
	address string
	queue   chan *fleetpb.Envelope
	check   chan struct{} // Wakes the writer to check the connection; capacity 1.
	usedAt  atomic.Int64  // clock.Time of the last message or call.
	held    atomic.Int64  // Open tunnels.

	mu       sync.Mutex
	conn     *quic.Conn
	ready    chan struct{} // Closed once conn is set.
	liveness liveness      // Of conn.
}

func newPeer(t *Transport, address string) *peer {
	p := &peer{t: t, address: address, queue: make(chan *fleetpb.Envelope, maxQueued), check: make(chan struct{}, 1), ready: make(chan struct{})}
	p.markUsed()
	return p
}

func (p *peer) markUsed() { p.usedAt.Store(int64(p.t.clock.Now())) }

// idleFor returns the time since the last message or call, or 0 while there are open tunnels.
func (p *peer) idleFor() clock.Duration {
	if p.held.Load() > 0 {
		return 0
	}
	return p.t.clock.Now().Sub(clock.Time(p.usedAt.Load()))
}

// enqueue queues a message. It reports false when the queue is full.
func (p *peer) enqueue(e *fleetpb.Envelope) bool {
	p.markUsed()
	select {
	case p.queue <- e:
		return true
	default:
		return false
	}
}

// connection returns the open connection, waiting until there is one.
func (p *peer) connection(ctx context.Context) (*quic.Conn, error) {
	p.markUsed()
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
		p.liveness = liveness{interval: p.t.probeInterval, timeout: p.t.probeTimeout}
		close(p.ready)
		return
	}
	if p.conn != nil {
		p.conn = nil
		p.ready = make(chan struct{})
	}
}

// callUnanswered has the connection probed, because a call on it was not answered for a while.
func (p *peer) callUnanswered() {
	p.mu.Lock()
	p.liveness.callUnanswered()
	p.mu.Unlock()
	p.wakeWriter()
}

// wakeWriter has the writer check the connection.
func (p *peer) wakeWriter() {
	select {
	case p.check <- struct{}{}:
	default:
	}
}

// run keeps a connection open until it is idle or the transport is closed.
func (p *peer) run() {
	for p.t.ctx.Err() == nil {
		err := p.session()
		if err == ErrProbeTimeout {
			p.t.replaced.Add(1)
			p.t.log.Info("no probe reply from peer, replacing the connection", "address", p.address)
			continue
		}
		if err == ErrIdle || p.idleFor() > p.t.idleTimeout {
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
	p.t.dialed.Add(1)
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
	p.setConn(conn)
	vm := keys.PeerVM(conn.ConnectionState().TLS)
	p.t.spawn("link probes of "+vm, func() { p.readProbes(vm, stream) })
	return p.write(conn, stream)
}

// readProbes reads the replies of a VM to probes.
func (p *peer) readProbes(vm string, stream *quic.Stream) {
	r := framing.NewReader(stream)
	for {
		var e fleetpb.Envelope
		if err := r.Read(&e); err != nil {
			return
		}
		p.received(e.GetProbe())
		crash.Contain("answer of "+vm, func() { p.t.handler.Answered(vm) })
	}
}

// received records the reply to a probe.
func (p *peer) received(probe *fleetpb.Probe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.liveness.received(probe.GetSequence(), probe.GetAnswersCarried())
}

// write sends the queued messages and probes the connection.
func (p *peer) write(conn *quic.Conn, stream *quic.Stream) error {
	w := framing.NewWriter(countingStream{stream, p.t})
	timer := time.NewTimer(p.t.idleTimeout.Std())
	defer timer.Stop()
	for {
		var e *fleetpb.Envelope
		select {
		case <-conn.Context().Done():
			return ErrNotOpen
		case <-p.t.ctx.Done():
			return ErrClosed
		case e = <-p.queue:
		case <-p.check:
		case <-timer.C:
			if p.idleFor() >= p.t.idleTimeout {
				return ErrIdle
			}
		}
		e, wait, failed := p.prepare(e)
		if failed {
			return ErrProbeTimeout
		}
		timer.Reset(wait.Std())
		if e == nil {
			continue
		}
		_ = stream.SetWriteDeadline(time.Now().Add(p.t.probeTimeout.Std()))
		if err := p.send(w, e); err != nil {
			return err
		}
	}
}

// send writes a message, and drops one that cannot be sent, so that the connection still carries the
// others. A probe that the message carried is sent alone.
func (p *peer) send(w *framing.Writer, e *fleetpb.Envelope) error {
	err := w.Write(e)
	if !framing.IsUnsendable(err) {
		if err == nil {
			p.t.sentMessages.Add(1)
		}
		return err
	}
	p.t.dropped.Add(1)
	p.t.log.Error("dropped a message that cannot be sent", "address", p.address, "type", fmt.Sprintf("%T", e.Body), "error", err)
	if e.ProbeSequence == 0 {
		return nil
	}
	return w.Write(&fleetpb.Envelope{Body: &fleetpb.Envelope_Probe{Probe: &fleetpb.Probe{Sequence: e.ProbeSequence}}})
}

// prepare returns the message to send now, if any: e with a probe added, or a separate probe
// if e is nil and a probe is due. It also returns how long to wait for the next message, and
// whether the connection has failed.
func (p *peer) prepare(e *fleetpb.Envelope) (send *fleetpb.Envelope, wait clock.Duration, failed bool) {
	now := p.t.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.liveness.failed(now) {
		return nil, 0, true
	}
	if p.held.Load() > 0 {
		p.liveness.callUnanswered() // A tunnel may wait for bytes without sending any.
	}
	if e == nil {
		if sequence := p.liveness.due(now); sequence != 0 {
			e = &fleetpb.Envelope{Body: &fleetpb.Envelope_Probe{Probe: &fleetpb.Probe{Sequence: sequence}}}
		}
	} else if sequence := p.liveness.messageSent(now); sequence != 0 {
		// The message may be queued for other peers too, so a copy carries the probe.
		e = &fleetpb.Envelope{From: e.From, Body: e.Body, ProbeSequence: sequence}
	}
	limit := p.t.idleTimeout
	if p.held.Load() > 0 {
		limit = min(limit, p.t.probeInterval) // The other VM expects to hear of this one as long as it carries tunnels.
	}
	return e, p.liveness.wait(now, limit), false
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
