package engine

import (
	"context"
	"slices"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/standin/model"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// job is a received frame that waits for a batch.
type job struct {
	frame  *upstreampb.StageFrame
	stream *stream // The stream that the frame came on and its outcome goes to.
}

// sessionState is the state of one session on the engine.
type sessionState struct {
	lineage      uint32
	cache        *model.Cache
	last         *upstreampb.StageFrame // Result of the newest STEP.
	lastPosition uint32                 // First position of the newest STEP.
	lastUse      uint64                 // The engine's useCount at the last use.
}

// Limits and delays of batches.
const (
	maxBatch          = 256
	stallPollInterval = 5 * time.Millisecond
	// minSleep is the shortest wait for which the goroutine sleeps; shorter waits accumulate.
	minSleep = 500 * time.Microsecond
	// resendDelay is the delay after which Faults.ResendLate sends results again.
	resendDelay = 30 * time.Millisecond
)

// runBatches runs queued frames in batches at the engine's speed. It computes the
// end of each batch from the end of the one before, so that the mean speed does
// not depend on the precision of a single sleep.
func (e *Engine) runBatches(ctx context.Context) {
	batch := make([]job, 0, maxBatch)
	free := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-e.jobs:
			batch = append(batch[:0], j)
		}
		if now := time.Now(); free.Before(now) {
			free = now
		}
		batch = e.fillBatch(batch)
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

// fillBatch adds the frames that are queued, up to maxBatch, and sorts the batch
// by priority.
func (e *Engine) fillBatch(batch []job) []job {
	for len(batch) < maxBatch {
		select {
		case j := <-e.jobs:
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
		_ = delay.Wait(ctx, stallPollInterval)
	}
}

// cost returns the time that a batch takes.
func (e *Engine) cost(batch []job) time.Duration {
	positions := 0.0
	for _, j := range batch {
		if j.frame.Count == 1 {
			positions++
			continue
		}
		positions += float64(j.frame.Count) / prefillSpeedup
	}
	e.mu.Lock()
	slowdown := max(e.faults.Slowdown, 1)
	e.mu.Unlock()
	return time.Duration(positions * slowdown / e.tokensPerSecond * float64(time.Second))
}

// runBatch runs the frames and sends one batch of results to each stream.
func (e *Engine) runBatch(batch []job) {
	out := map[*stream][]*upstreampb.StageFrame{}
	e.mu.Lock()
	for _, j := range batch {
		if f := e.run(j.frame); f != nil {
			out[j.stream] = append(out[j.stream], f)
		}
	}
	faults := e.faults
	sendDelay := (e.linkDelay + faults.ExtraDelay).Std()
	e.mu.Unlock()
	for s, frames := range out {
		if faults.DuplicateResults {
			frames = append(frames, frames...)
		}
		s.send(frames, sendDelay)
		if faults.ResendLate {
			time.AfterFunc(resendDelay, func() { s.send(frames, sendDelay) })
		}
	}
}

// run processes one frame in the engine's layers and returns its result, or nil
// where the frame has none. A repeated frame gets the stored result and is not
// computed again.
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
	if s.isRepeat(f) {
		return s.repeatResult(f)
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

// session returns the frame's session and creates it if it does not exist.
func (e *Engine) session(f *upstreampb.StageFrame) *sessionState {
	s := e.sessions[f.Session]
	if s == nil {
		s = &sessionState{}
		e.sessions[f.Session] = s
	}
	e.useCount++
	s.lastUse = e.useCount
	if len(e.sessions) > maxSessionsInCache {
		e.evictOldest()
	}
	return s
}

// evictOldest removes the least recently used session.
func (e *Engine) evictOldest() {
	var oldest uint64
	var id uint64
	for k, s := range e.sessions {
		if oldest == 0 || s.lastUse < oldest {
			oldest, id = s.lastUse, k
		}
	}
	delete(e.sessions, id)
}

// isRepeat reports whether the frame repeats the newest STEP.
func (s *sessionState) isRepeat(f *upstreampb.StageFrame) bool {
	return f.Kind == upstreampb.StageFrame_STEP && s.last != nil && s.cache != nil &&
		s.lastPosition == f.Position && s.last.Count == f.Count && s.cache.Positions == f.Position+f.Count
}

// repeatResult returns the result of the newest STEP as the reply to f.
func (s *sessionState) repeatResult(f *upstreampb.StageFrame) *upstreampb.StageFrame {
	r := resultFrame(f, s.last.Payload)
	r.Token, r.Last = s.last.Token, s.last.Last
	return r
}

// step runs a STEP or REPLAY frame on the session's cache.
func (e *Engine) step(s *sessionState, f *upstreampb.StageFrame) *upstreampb.StageFrame {
	payload, err := s.cache.Run(f.Payload, f.Count, e.positionBytes)
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
	r := resultFrame(f, payload)
	if e.layerTo == e.modelLayers {
		r.Token, r.Last = model.DecodeToken(payload, f.Count, e.positionBytes)
		r.Payload = []byte(model.TokenText(r.Token))
	}
	s.last, s.lastPosition = r, f.Position
	return r
}

func resultFrame(f *upstreampb.StageFrame, payload []byte) *upstreampb.StageFrame {
	return &upstreampb.StageFrame{
		Kind: upstreampb.StageFrame_RESULT, Session: f.Session, Lineage: f.Lineage,
		Position: f.Position, Count: f.Count, LayerFrom: f.LayerFrom, LayerTo: f.LayerTo, Payload: payload,
	}
}

func failed(f *upstreampb.StageFrame, reason upstreampb.FailReason) *upstreampb.StageFrame {
	r := resultFrame(f, nil)
	r.Kind, r.Reason = upstreampb.StageFrame_FAILED, uint32(reason)
	return r
}
