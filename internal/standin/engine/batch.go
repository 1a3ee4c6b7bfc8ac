package engine

import (
	"context"
	"slices"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/standin/model"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// job is one frame to run.
type job struct {
	frame *upstreampb.StageFrame
	from  *stream
}

// entry is the state of one session on the engine.
type entry struct {
	lineage  uint32
	cache    *model.Cache
	last     *upstreampb.StageFrame // Outcome of the newest STEP.
	lastFrom uint32                 // First position of the newest STEP.
	used     uint64                 // Order of the last use.
}

// Limits of one batch.
const (
	maxBatch   = 256
	stallCheck = 5 * time.Millisecond
	// minSleep is the shortest debt of time that is slept off at once.
	minSleep = 500 * time.Microsecond
	// lateDelay is how much later Faults.Late sends outcomes again.
	lateDelay = 30 * time.Millisecond
)

// runBatches runs queued frames in batches at the engine's speed. Time is
// owed and slept off in sum, so that the speed holds whatever a single sleep
// takes.
func (e *Engine) runBatches(ctx context.Context) {
	batch := make([]job, 0, maxBatch)
	free := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-e.work:
			batch = append(batch[:0], j)
		}
		if now := time.Now(); free.Before(now) {
			free = now
		}
		batch = e.fill(batch)
		e.waitWhileStalled(ctx)
		if ctx.Err() != nil {
			return
		}
		free = free.Add(e.cost(batch))
		if wait := time.Until(free); wait > minSleep {
			_ = delay.Wait(ctx, wait)
		}
		e.runBatch(batch)
	}
}

func (e *Engine) fill(batch []job) []job {
	for len(batch) < maxBatch {
		select {
		case j := <-e.work:
			batch = append(batch, j)
			continue
		default:
		}
		break
	}
	slices.SortStableFunc(batch, func(a, b job) int { return int(b.frame.Priority) - int(a.frame.Priority) })
	return batch
}

func (e *Engine) waitWhileStalled(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		stalled := e.faults.Stall
		e.mu.Unlock()
		if !stalled {
			return
		}
		_ = delay.Wait(ctx, stallCheck)
	}
}

// cost is the time that a batch takes.
func (e *Engine) cost(batch []job) time.Duration {
	positions := 0.0
	for _, j := range batch {
		if j.frame.Count == 1 {
			positions++
			continue
		}
		positions += float64(j.frame.Count) / prefillFactor
	}
	e.mu.Lock()
	slow := max(e.faults.Slowdown, 1)
	e.mu.Unlock()
	return time.Duration(positions * slow / e.speed * float64(time.Second))
}

// runBatch runs the frames and sends one batch of outcomes to each stream.
func (e *Engine) runBatch(batch []job) {
	out := map[*stream][]*upstreampb.StageFrame{}
	e.mu.Lock()
	for _, j := range batch {
		if f := e.run(j.frame); f != nil {
			out[j.from] = append(out[j.from], f)
		}
	}
	faults := e.faults
	delay := (e.linkDelay + faults.ExtraDelay).Std()
	e.mu.Unlock()
	for s, frames := range out {
		if faults.DuplicateResults {
			frames = append(frames, frames...)
		}
		s.send(frames, delay)
		if faults.ResendLate {
			time.AfterFunc(lateDelay, func() { s.send(frames, delay) })
		}
	}
}

// run takes one frame through the engine's layers. The outcome of a frame that
// was run before is sent again and not computed twice.
func (e *Engine) run(f *upstreampb.StageFrame) *upstreampb.StageFrame {
	if f.Kind == upstreampb.StageFrame_CLOSE {
		if s := e.sessions[f.Session]; s != nil && f.Lineage >= s.lineage {
			delete(e.sessions, f.Session)
		}
		return nil
	}
	if f.LayerFrom != e.layerFrom || f.LayerTo != e.layerTo {
		return failed(f, upstreampb.FailReason_WRONG_LAYERS)
	}
	s := e.session(f)
	if f.Lineage < s.lineage {
		return failed(f, upstreampb.FailReason_STALE_LINEAGE)
	}
	s.lineage = f.Lineage
	if s.repeats(f) {
		return s.again(f)
	}
	if f.Position == 0 {
		s.cache = model.NewCache(e.layerFrom, e.layerTo)
		s.last = nil
	}
	if s.cache == nil || s.cache.Positions != f.Position {
		return failed(f, upstreampb.FailReason_CACHE_MISSING)
	}
	return e.step(s, f)
}

// session returns the frame's session, new if need be.
func (e *Engine) session(f *upstreampb.StageFrame) *entry {
	s := e.sessions[f.Session]
	if s == nil {
		s = &entry{}
		e.sessions[f.Session] = s
	}
	e.uses++
	s.used = e.uses
	if len(e.sessions) > maxSessionsInCache {
		e.evict()
	}
	return s
}

// evict drops the session that was used the longest ago.
func (e *Engine) evict() {
	var oldest uint64
	var id uint64
	for k, s := range e.sessions {
		if oldest == 0 || s.used < oldest {
			oldest, id = s.used, k
		}
	}
	delete(e.sessions, id)
}

func (s *entry) repeats(f *upstreampb.StageFrame) bool {
	return f.Kind == upstreampb.StageFrame_STEP && s.last != nil && s.cache != nil &&
		s.lastFrom == f.Position && s.last.Count == f.Count && s.cache.Positions == f.Position+f.Count
}

func (s *entry) again(f *upstreampb.StageFrame) *upstreampb.StageFrame {
	r := result(f, s.last.Payload)
	r.Token, r.Last = s.last.Token, s.last.Last
	return r
}

func (e *Engine) step(s *entry, f *upstreampb.StageFrame) *upstreampb.StageFrame {
	payload, err := s.cache.Run(f.Payload, f.Count, e.width)
	if err != nil {
		return failed(f, upstreampb.FailReason_UNSPECIFIED)
	}
	if f.Kind == upstreampb.StageFrame_REPLAY {
		s.last = nil
		return nil
	}
	if f.Count == 1 {
		e.tokens++
	}
	r := result(f, payload)
	if e.layerTo == e.modelLayers {
		r.Token, r.Last = model.DecodeToken(payload, f.Count, e.width)
		r.Payload = []byte(model.TokenText(r.Token))
	}
	s.last, s.lastFrom = r, f.Position
	return r
}

func result(f *upstreampb.StageFrame, payload []byte) *upstreampb.StageFrame {
	return &upstreampb.StageFrame{
		Kind: upstreampb.StageFrame_RESULT, Session: f.Session, Lineage: f.Lineage,
		Position: f.Position, Count: f.Count, LayerFrom: f.LayerFrom, LayerTo: f.LayerTo, Payload: payload,
	}
}

func failed(f *upstreampb.StageFrame, reason upstreampb.FailReason) *upstreampb.StageFrame {
	r := result(f, nil)
	r.Kind, r.Reason = upstreampb.StageFrame_FAILED, uint32(reason)
	return r
}
