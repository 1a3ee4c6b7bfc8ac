package stagelink

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
	"github.com/jasminecove/jasminecove/internal/wire/framing"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// upgradeProtocol is the name in the Upgrade header of a stage stream.
const upgradeProtocol = "jasminecove-stage/1"

// maxBatch bounds the number of frames in one write.
const maxBatch = 256

// stream is one connection of a link.
type stream struct {
	link       *Link
	conn       net.Conn
	buf        *bufio.Reader
	receivedAt atomic.Int64 // Unix time in ns of the last batch read.
}

// dial opens a connection to the engine and upgrades it to a stage stream.
func dial(ctx context.Context, l *Link) (*stream, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	buf, err := upgrade(conn, l.address)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return &stream{link: l, conn: conn, buf: buf}, nil
}

// upgrade requests the upgrade to the stage protocol and returns a reader of its frames.
func upgrade(conn net.Conn, address string) (*bufio.Reader, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/v1/stage", nil)
	if err != nil {
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", upgradeProtocol)
	if err := req.Write(conn); err != nil {
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	resp, buf, err := call.ReadHead(conn, req)
	if err != nil {
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		return nil, ErrNotUpgraded
	}
	return buf, nil
}

// serve reads and writes frames until the connection ends or a probe times out.
func (s *stream) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.receivedAt.Store(time.Now().UnixNano())
	readResult := make(chan error, 1)
	crash.Go("stage link reader", func() {
		err := error(errPanicked)
		defer func() {
			readResult <- err
			cancel()
		}()
		err = s.read()
	})
	defer func() { _ = s.conn.Close() }()
	err := s.write(ctx)
	_ = s.conn.Close()
	readErr := <-readResult
	if err == nil {
		err = readErr
	}
	return err
}

// read delivers the frames received until the connection ends.
func (s *stream) read() error {
	r := framing.NewReader(s.buf)
	for {
		var batch upstreampb.StageBatch
		if err := r.Read(&batch); err != nil {
			return err
		}
		s.receivedAt.Store(time.Now().UnixNano())
		for _, f := range batch.Frames {
			if f.Kind != upstreampb.StageFrame_PONG {
				s.link.deliver(f)
			}
		}
	}
}

// write sends queued frames in batches, and a probe at each probe interval.
func (s *stream) write(ctx context.Context) error {
	w := framing.NewWriter(s.conn)
	batch := &upstreampb.StageBatch{Frames: make([]*upstreampb.StageFrame, 0, maxBatch)}
	probe := time.NewTicker(s.link.probeInterval.Std())
	defer probe.Stop()
	for {
		batch.Frames = batch.Frames[:0]
		select {
		case <-ctx.Done():
			return nil
		case <-probe.C:
			if s.sinceReceived() > s.link.probeTimeout.Std() {
				return ErrProbeTimeout
			}
			batch.Frames = append(batch.Frames, &upstreampb.StageFrame{Kind: upstreampb.StageFrame_PING})
		case f := <-s.link.out:
			batch.Frames = append(batch.Frames, f)
		}
		batch.Frames = s.appendQueued(batch.Frames)
		_ = s.conn.SetWriteDeadline(time.Now().Add(s.link.probeTimeout.Std()))
		if err := w.Write(batch); err != nil {
			return err
		}
	}
}

// appendQueued appends the frames that are already queued, up to maxBatch.
func (s *stream) appendQueued(frames []*upstreampb.StageFrame) []*upstreampb.StageFrame {
	for len(frames) < maxBatch {
		select {
		case f := <-s.link.out:
			frames = append(frames, f)
		default:
			return frames
		}
	}
	return frames
}

// sinceReceived returns the time since the last batch from the engine.
func (s *stream) sinceReceived() time.Duration {
	return time.Duration(time.Now().UnixNano() - s.receivedAt.Load())
}
