package forward

import (
	"context"
	"sync"
	"time"
)

// stall watches the progress of one run. When a pause exceeds the estimate for the path,
// the first engine is asked which engine it waits for. If no engine is found at fault, the
// run is canceled after patience.
type stall struct {
	s      *stream
	t      *target
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer

	mu      sync.Mutex
	moved   time.Time // Time of the last progress.
	wait    time.Duration
	stopped bool
	events  int64 // Events since the last observation.
	since   time.Time
}

// observeEvery is the number of events in one observation of a path's speed.
const observeEvery = 8

func (s *stream) newStall(ctx context.Context, t *target, cancel context.CancelCauseFunc) *stall {
	w := &stall{s: s, t: t, ctx: ctx, cancel: cancel, moved: time.Now()}
	w.wait = firstFactor*milliseconds64(t.now().FirstMs) + askSlack
	w.mu.Lock() // The timer may fire before w.timer is set.
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.wait, w.due)
	return w
}

func milliseconds64(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// progress records that events arrived.
func (w *stall) progress(events int64) {
	now := time.Now()
	w.mu.Lock()
	first := w.since.IsZero()
	if first {
		w.since = now
		w.wait = gapFactor*milliseconds64(w.gapMs()) + askSlack
	}
	w.moved = now
	var ratio float64
	if w.events += events; !first && w.events >= observeEvery {
		if estimate := w.gapMs() * float64(w.events); estimate > 0 {
			ratio = float64(now.Sub(w.since)) / float64(milliseconds64(estimate))
		}
		w.events, w.since = 0, now
	}
	w.mu.Unlock()
	if ratio > 0 && len(w.t.now().Hops) > 0 {
		w.s.h.cfg.Catalog.RecordStepTime(w.t.engines(), ratio)
	}
}

// gapMs returns the expected time from one event to the next.
func (w *stall) gapMs() float64 {
	tokens := 1
	if e := w.s.x.Forward.Pool.Engine; e != nil {
		tokens = max(1, e.EventTokens)
	}
	return float64(tokens) * w.t.now().TokenMs
}

// due handles the timer: it checks whether the run has paused for too long.
func (w *stall) due() {
	w.mu.Lock()
	paused := time.Since(w.moved)
	wait, stopped := w.wait, w.stopped
	w.mu.Unlock()
	switch {
	case stopped || w.ctx.Err() != nil:
		return
	case paused >= patience:
		w.blame(paused)
		w.cancel(errStalled)
		return
	case paused >= wait && w.s.h.cfg.OnStall != nil && len(w.t.now().Hops) > 0:
		w.s.h.cfg.OnStall(w.ctx, w.t.id, w.t.address)
		wait = paused + askSlack
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(max(time.Millisecond, min(wait, patience)-time.Since(w.moved)))
	}
}

// blame reports a canceled run as a slow observation of its engines. An engine that blocks
// all its requests is then avoided although it still responds to health checks.
func (w *stall) blame(paused time.Duration) {
	w.mu.Lock()
	estimate := milliseconds64(w.gapMs())
	if w.since.IsZero() {
		estimate = milliseconds64(w.t.now().FirstMs)
	}
	w.mu.Unlock()
	if estimate > 0 && len(w.t.now().Hops) > 0 {
		w.s.h.cfg.Catalog.RecordStepTime(w.t.engines(), float64(paused)/float64(estimate))
	}
}

func (w *stall) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
