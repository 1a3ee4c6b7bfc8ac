package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jasminecove/jasminecove/internal/standin/model"
	"github.com/jasminecove/jasminecove/internal/wire/framing"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// UpgradeProtocol is the name in the Upgrade header of a stage stream.
const UpgradeProtocol = "jasminecove-stage/1"

// sendQueue bounds the batches that wait for a stream's link.
const sendQueue = 4096

// stream is one stage stream from a VM.
type stream struct {
	conn   net.Conn
	queue  chan delayed
	mu     sync.Mutex
	silent bool
	closed chan struct{}
	once   sync.Once
}

// delayed is a batch that is due at an instant.
type delayed struct {
	frames []*upstreampb.StageFrame
	due    time.Time
}

// serveStage upgrades a request to a stage stream.
func (e *Engine) serveStage(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	hijacker, ok := w.(http.Hijacker)
	if !ok || r.Header.Get("Upgrade") != UpgradeProtocol {
		http.Error(w, "upgrade to "+UpgradeProtocol+" needed", http.StatusUpgradeRequired)
		return
	}
	conn, buf, err := hijacker.Hijack()
	if err != nil {
		return
	}
	_, _ = buf.WriteString("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + UpgradeProtocol + "\r\n\r\n")
	_ = buf.Flush()
	s := &stream{conn: conn, queue: make(chan delayed, sendQueue), closed: make(chan struct{})}
	e.mu.Lock()
	e.conns[s] = struct{}{}
	s.silent = e.faults.MuteAllStreams
	e.mu.Unlock()
	go s.write(e.linkRate)
	e.read(ctx, s, framing.NewReader(buf.Reader))
	s.close()
	e.mu.Lock()
	delete(e.conns, s)
	e.mu.Unlock()
}

// read takes frames from a stream until it ends.
func (e *Engine) read(ctx context.Context, s *stream, r *framing.Reader) {
	for {
		var batch upstreampb.StageBatch
		if err := r.Read(&batch); err != nil {
			return
		}
		for _, f := range batch.Frames {
			if reply := immediate(f); reply != nil {
				s.send([]*upstreampb.StageFrame{reply}, e.linkDelay.Std())
				continue
			}
			select {
			case e.work <- job{frame: f, from: s}:
			case <-ctx.Done():
				return
			}
		}
	}
}

// immediate answers the frames that need no run of layers.
func immediate(f *upstreampb.StageFrame) *upstreampb.StageFrame {
	switch f.Kind {
	case upstreampb.StageFrame_PING:
		return &upstreampb.StageFrame{Kind: upstreampb.StageFrame_PONG, Position: f.Position}
	case upstreampb.StageFrame_TOKENIZE:
		input, count := model.EncodePrompt(string(f.Payload))
		return &upstreampb.StageFrame{Kind: upstreampb.StageFrame_TOKENS, Session: f.Session, Count: count, Payload: input}
	}
	return nil
}

// send queues a batch that is due after the delay.
func (s *stream) send(frames []*upstreampb.StageFrame, delay time.Duration) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		return
	}
	select {
	case s.queue <- delayed{frames: frames, due: time.Now().Add(delay)}:
	case <-s.closed:
	}
}

// write sends queued batches when they are due, at the link's rate.
func (s *stream) write(bytesPerSecond float64) {
	w := framing.NewWriter(s.conn)
	free := time.Now()
	for {
		var d delayed
		select {
		case d = <-s.queue:
		case <-s.closed:
			return
		}
		if wait := time.Until(d.due); wait > 0 {
			time.Sleep(wait)
		}
		free = paced(free, d.frames, bytesPerSecond)
		if err := w.Write(&upstreampb.StageBatch{Frames: d.frames}); err != nil {
			s.close()
			return
		}
	}
}

// paced sleeps until the link has room for the frames.
func paced(free time.Time, frames []*upstreampb.StageFrame, bytesPerSecond float64) time.Time {
	if bytesPerSecond <= 0 {
		return free
	}
	if now := time.Now(); free.Before(now) {
		free = now
	}
	size := 0
	for _, f := range frames {
		size += len(f.Payload)
	}
	free = free.Add(time.Duration(float64(size) / bytesPerSecond * float64(time.Second)))
	if wait := time.Until(free); wait > minSleep {
		time.Sleep(wait)
	}
	return free
}

// silence makes the stream carry nothing any more while it stays open.
func (s *stream) silence() {
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
}

func (s *stream) close() {
	s.once.Do(func() {
		close(s.closed)
		_ = s.conn.Close()
	})
}
