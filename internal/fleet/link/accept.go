package link

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/fleet/keys"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/framing"
)

// accept accepts connections from other VMs until the transport is closed.
func (t *Transport) accept() {
	for {
		conn, err := t.listener.Accept(t.ctx)
		if err != nil {
			return
		}
		t.spawn("link connection", func() { t.serve(conn) })
	}
}

// incoming is a connection that another VM has opened.
type incoming struct {
	conn    *quic.Conn
	vm      string
	heardAt atomic.Int64 // clock.Time of the last message or tunnel.
	tunnels atomic.Int64
	watch   sync.Once // Starts to watch for silence.
}

// serve handles the streams of one connection.
func (t *Transport) serve(conn *quic.Conn) {
	in := &incoming{conn: conn, vm: keys.PeerVM(conn.ConnectionState().TLS)}
	for {
		stream, err := conn.AcceptStream(t.ctx)
		if err != nil {
			return
		}
		t.spawn("link stream of "+in.vm, func() { t.serveStream(in, stream) })
	}
}

func (t *Transport) serveStream(in *incoming, stream *quic.Stream) {
	defer func() {
		stream.CancelRead(0)
		_ = stream.Close()
	}()
	var kind [1]byte
	if _, err := io.ReadFull(stream, kind[:]); err != nil {
		return
	}
	switch kind[0] {
	case streamMessages:
		t.serveMessages(in, stream)
	case streamCall:
		t.serveCall(in.vm, stream)
	case streamTunnel:
		t.serveTunnel(in, stream)
	default:
		t.log.Warn("stream refused", "vm", in.vm, "error", errUnknownStream)
	}
}

// serveMessages passes messages to the handler and answers probes.
func (t *Transport) serveMessages(in *incoming, stream *quic.Stream) {
	r := framing.NewReader(stream)
	w := framing.NewWriter(countingStream{stream, t})
	for {
		e := &fleetpb.Envelope{}
		if err := r.Read(e); err != nil {
			return
		}
		in.heardAt.Store(int64(t.clock.Now()))
		sequence := e.ProbeSequence
		if p := e.GetProbe(); p != nil {
			sequence = p.Sequence
		} else {
			crash.Contain("message of "+in.vm, func() { t.handler.Message(in.vm, e) })
		}
		if sequence == 0 {
			continue
		}
		if err := w.Write(probeReply(sequence)); err != nil {
			return
		}
	}
}

func probeReply(sequence uint64) *fleetpb.Envelope {
	return &fleetpb.Envelope{Body: &fleetpb.Envelope_Probe{Probe: &fleetpb.Probe{Sequence: sequence, Reply: true, AnswersCarried: true}}}
}

func (t *Transport) serveCall(vm string, stream *quic.Stream) {
	c := &fleetpb.Call{}
	if err := framing.NewReader(stream).Read(c); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	reply := &fleetpb.Reply{Code: fleetpb.Reply_UNAVAILABLE, Detail: "the call panicked"}
	crash.Contain("call of "+vm, func() { reply = t.handler.Call(ctx, vm, c) })
	w := framing.NewWriter(countingStream{stream, t})
	if err := w.Write(reply); framing.IsUnsendable(err) {
		t.log.Error("a reply cannot be sent", "vm", vm, "call", fmt.Sprintf("%T", c.Body), "error", err)
		_ = w.Write(&fleetpb.Reply{Code: fleetpb.Reply_REFUSED, Detail: err.Error()})
	}
}
