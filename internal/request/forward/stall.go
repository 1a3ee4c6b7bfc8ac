package forward

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
)

// stallDetector watches the progress of one run. When a pause exceeds the estimate for the path,
// the first engine is asked which engine it waits for. If no engine is found at fault, the
// run is canceled before the caller would leave, if there is another path to try. Otherwise a
// slow run may still complete.
type stallDetector struct {
	s      *stream
	t      *target
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer

	mu           sync.Mutex
	lastProgress time.Time // Time of the last progress.
	timeout      time.Duration
	longest      time.Duration // Pause after which the run is canceled.
	other        chain.Request // Request for the path of another run.
	stopped      bool
	events       int64 // Events since the last observation.
	windowStart  time.Time
}

// eventsPerObservation is the number of events in one observation of a path's speed.
const eventsPerObservation = 8

func (s *stream) newStallDetector(ctx context.Context, t *target, cancel context.CancelCauseFunc) *stallDetector {
	w := &stallDetector{s: s, t: t, ctx: ctx, cancel: cancel, lastProgress: time.Now()}
	w.longest = s.longestPause()
	w.other = s.pathRequest()
	w.other.Exclude = maps.Clone(s.exclude)
	w.timeout = firstEventFactor*fromMillis(t.currentPath().FirstMs) + stallSlack
	w.mu.Lock() // The timer may fire before w.timer is set.
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.timeout, w.onTimer)
	return w
}

func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// progress records that events arrived.
func (w *stallDetector) progress(events int64) {
	now := time.Now()
	w.mu.Lock()
	first := w.windowStart.IsZero()
	if first {
		w.windowStart = now
		w.timeout = gapFactor*fromMillis(w.expectedGapMs()) + stallSlack
	}
	w.lastProgress = now
	var ratio float64
	if w.events += events; !first && w.events >= eventsPerObservation {
		if estimate := w.expectedGapMs() * float64(w.events); estimate > 0 {
			ratio = float64(now.Sub(w.windowStart)) / float64(fromMillis(estimate))
		}
		w.events, w.windowStart = 0, now
	}
	w.mu.Unlock()
	if ratio > 0 && len(w.t.currentPath().Hops) > 0 {
		w.s.h.cfg.Catalog.RecordStepTime(w.t.engineIDs(), ratio)
	}
}

// expectedGapMs returns the expected time from one event to the next.
func (w *stallDetector) expectedGapMs() float64 {
	tokens := 1
	if e := w.s.x.Forward.Pool.Engine; e != nil {
		tokens = max(1, e.EventTokens)
	}
	return float64(tokens) * w.t.currentPath().TokenMs
}

// onTimer handles the timer. A check that panics is made again.
func (w *stallDetector) onTimer() {
	w.mu.Lock()
	paused := time.Since(w.lastProgress)
	timeout, stopped := w.timeout, w.stopped
	w.mu.Unlock()
	if stopped || w.ctx.Err() != nil {
		return
	}
	next := paused + stallSlack
	crash.Contain("stall timer", func() { next = w.check(paused, timeout) })
	if w.ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		if paused < w.longest {
			next = min(next, w.longest)
		}
		w.timer.Reset(max(time.Millisecond, next-time.Since(w.lastProgress)))
	}
}

// check checks whether the run has paused for too long, and returns the pause after which to check again.
func (w *stallDetector) check(paused, timeout time.Duration) time.Duration {
	switch {
	case paused >= w.longest && w.hasOtherTarget():
		defer w.cancel(errStalled)
		w.reportSlow(paused)
		return timeout
	case paused >= w.longest:
		return paused + stallSlack
	case paused >= timeout && w.s.h.cfg.OnStall != nil && len(w.t.currentPath().Hops) > 0:
		w.s.h.cfg.OnStall(w.ctx, w.t.id, w.t.address)
		return paused + stallSlack
	}
	return timeout
}

// longestPause returns how long a run may pause before another one is tried.
func (s *stream) longestPause() time.Duration {
	timeout := s.x.Forward.Route.Events.CallerTimeout
	if timeout == 0 {
		timeout = defaultCallerTimeout
	}
	return time.Duration(stallFraction * float64(timeout.Std()))
}

// hasOtherTarget reports whether another run of the request could start at present without the
// engines of this one.
func (w *stallDetector) hasOtherTarget() bool {
	pool, c := w.s.x.Forward.Pool, w.s.h.cfg.Catalog
	if !w.s.x.Forward.Route.Events.Resumable {
		return false
	}
	r := w.other
	r.Exclude = maps.Clone(r.Exclude)
	for _, id := range w.t.engineIDs() {
		r.Exclude[id] = true
	}
	if pool.Engine == nil {
		_, err := c.Pick(pool, r.DataCentre, r.Exclude)
		return err == nil
	}
	_, release, err := c.ChoosePath(pool, r)
	if err != nil {
		return false
	}
	release()
	return true
}

// reportSlow reports a canceled run as a slow observation of its engines. An engine that blocks
// all its requests is then avoided although it still responds to health checks.
func (w *stallDetector) reportSlow(paused time.Duration) {
	w.mu.Lock()
	estimate := fromMillis(w.expectedGapMs())
	if w.windowStart.IsZero() {
		estimate = fromMillis(w.t.currentPath().FirstMs)
	}
	w.mu.Unlock()
	if estimate > 0 && len(w.t.currentPath().Hops) > 0 {
		w.s.h.cfg.Catalog.RecordStepTime(w.t.engineIDs(), float64(paused)/float64(estimate))
	}
}

func (w *stallDetector) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
