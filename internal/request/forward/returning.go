package forward

import (
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/request/shortage"
)

// callerWaitFraction is the part of their remaining time up to which callers honour Retry-After, as a divisor.
const callerWaitFraction = 3

// shortageKey identifies a kind of shortage of a pool.
type shortageKey struct {
	pool string
	full bool // All paths are full. Otherwise layers are missing.
}

// gapRemains reports whether layers will probably be missing for longer than the request would
// wait, because other requests were refused for that before.
func (s *stream) gapRemains(wait time.Duration) bool {
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	return s.h.shortage(shortageKey{s.x.Forward.Pool.Name, false}).Remaining(s.h.cfg.Clock.Now()).Std() > wait
}

// retryAfter returns after what time the caller should return: when the shortage of paths has
// probably ended. Callers wait for a part of the time that they have left.
func (s *stream) retryAfter(full bool) clock.Duration {
	longest := remaining(s.x) / callerWaitFraction
	random := s.h.random()
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	return s.h.shortage(shortageKey{s.x.Forward.Pool.Name, full}).Refused(s.h.cfg.Clock.Now(), random, longest)
}

// shortage returns the tracker of a kind of shortage. The caller must hold h.mu.
func (h *Handler) shortage(key shortageKey) *shortage.Tracker {
	t := h.shortages[key]
	if t == nil {
		usual := shortage.GapDuration
		if key.full {
			usual = shortage.FullDuration
		}
		t = shortage.New(usual)
		h.shortages[key] = t
	}
	return t
}

// recordAccepted records that a request found a path through a pool.
func (h *Handler) recordAccepted(pool string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, full := range []bool{false, true} {
		h.shortage(shortageKey{pool, full}).Accepted(h.cfg.Clock.Now())
	}
}
