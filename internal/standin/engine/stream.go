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

// UpgradeProtocol is the protocol name in the Upgrade header of a stage stream.
const UpgradeProtocol = "jasminecove-stage/1"

// maxQueuedBatches is the number of batches that can wait for a stream's link
// before senders block.
const maxQueuedBatches = 4096

// stream is one stage stream from a VM.
type stream struct {
	conn   net.Conn
	queue  chan delayedBatch
	mu     sync.Mutex
	muted  bool // Nothing more is sent, while the stream stays open.
	closed chan struct{}
	once   sync.Once
}

// delayedBatch is a batch of frames with the time at which to send it.
type delayedBatch struct {
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
	s := &stream{conn: conn, queue: make(chan delayedBatch, maxQueuedBatches), closed: make(chan struct{})}
	e.mu.Lock()
	e.streams[s] = struct{}{}
	s.muted = e.faults.MuteAllStreams
	e.mu.Unlock()
	go s.write(e.linkBytesPerSecond)
	e.read(ctx, s, framing.NewReader(buf.Reader))
	s.close()
	e.mu.Lock()
	delete(e.streams, s)
	e.mu.Unlock()
}

// read receives frames from a stream until the stream ends: it queues those that
// need the layers and replies to the others at once.
func (e *Engine) read(ctx context.Context, s *stream, r *framing.Reader) {
	for {
		var batch upstreampb.StageBatch
		if err := r.Read(&batch); err != nil {
			return
		}
		for _, f := range batch.Frames {
			if reply := immediateReply(f); reply != nil {
				s.send([]*upstreampb.StageFrame{reply}, e.linkDelay.Std())
				continue
			}
			select {
			case e.jobs <- job{frame: f, stream: s}:
			case <-ctx.Done():
				return
			}
		}
	}
}

// immediateReply returns the reply to a frame that does not need the layers, or nil
// for other frames.
func immediateReply(f *upstreampb.StageFrame) *upstreampb.StageFrame {
	switch f.Kind {
	case upstreampb.StageFrame_PING:
		return &upstreampb.StageFrame{Kind: upstreampb.StageFrame_PONG, Position: f.Position}
	case upstreampb.StageFrame_TOKENIZE:
		input, count := model.EncodePrompt(string(f.Payload))
		return &upstreampb.StageFrame{Kind: upstreampb.StageFrame_TOKENS, Session: f.Session, Count: count, Payload: input}
	}
	return nil
}

// send queues a batch to be sent after the delay.
func (s *stream) send(frames []*upstreampb.StageFrame, delay time.Duration) {
	s.mu.Lock()
	muted := s.muted
	s.mu.Unlock()
	if muted {
		return
	}
	select {
	case s.queue <- delayedBatch{frames: frames, due: time.Now().Add(delay)}:
	case <-s.closed:
	}
}

// write sends each queued batch at its time, at the link's bandwidth.
func (s *stream) write(bytesPerSecond float64) {
	w := framing.NewWriter(s.conn)
	free := time.Now()
	for {
		var d delayedBatch
		select {
		case d = <-s.queue:
		case <-s.closed:
			return
		}
		if wait := time.Until(d.due); wait > 0 {
			time.Sleep(wait)
		}
		free = awaitLink(free, d.frames, bytesPerSecond)
		if err := w.Write(&upstreampb.StageBatch{Frames: d.frames}); err != nil {
			s.close()
			return
		}
	}
}

// awaitLink sleeps for the time that the frames take on the link, and returns the
// time at which the link is free again.
func awaitLink(free time.Time, frames []*upstreampb.StageFrame, bytesPerSecond float64) time.Time {
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

// mute drops everything that is sent on the stream from now on and keeps it open.
func (s *stream) mute() {
	s.mu.Lock()
	s.muted = true
	s.mu.Unlock()
}

func (s *stream) close() {
	s.once.Do(func() {
		close(s.closed)
		_ = s.conn.Close()
	})
}
