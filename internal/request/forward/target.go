package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jasminecove/jasminecove/internal/request/quarantine"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
)

// repathTimeout bounds the call that changes the path of a running request.
const repathTimeout = 400 * time.Millisecond

// target is the destination of one run. Its path may change during the run.
type target struct {
	id, address string // Of the first upstream, which does not change.
	freed       func() // Called after the run's capacity was released; may be nil.

	mu      sync.Mutex
	path    chain.Path
	release func()
	watch   *catalog.Watch
	closed  bool
}

func (t *target) currentPath() chain.Path {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.path
}

// engineIDs returns the IDs of the engines that the run depends on.
func (t *target) engineIDs() []string {
	hops := t.currentPath().Hops
	if len(hops) == 0 {
		return []string{t.id}
	}
	ids := make([]string, len(hops))
	for i, h := range hops {
		ids[i] = h.Engine
	}
	return ids
}

// close releases the reserved capacity and the watch of the run.
func (t *target) close() {
	if t.freed != nil {
		defer t.freed()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.release()
	if t.watch != nil {
		t.watch.Stop()
	}
}

// replacePath replaces the path. It returns false if the run has ended.
func (t *target) replacePath(p chain.Path, release func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.release()
	t.path, t.release = p, release
	return true
}

// setWatch replaces the watch on the run's engines.
func (t *target) setWatch(w *catalog.Watch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		w.Stop()
		return
	}
	if t.watch != nil {
		t.watch.Stop()
	}
	t.watch = w
}

// watchEngines moves the run to another path when one of its engines is found dead, or cancels it
// if that fails. It also tries another path when an engine is about to give up layers, which
// otherwise waits for the run. Its callbacks may come when the stream has begun a later run.
func (s *stream) watchEngines(ctx context.Context, t *target, run *quarantine.WatchedRun, cancel context.CancelCauseFunc) {
	run.DependOn(t.engineIDs())
	lost := func(dead string) {
		moved := false
		defer func() {
			if !moved { // Also after a panic, as a watch calls lost once.
				cancel(errEngineDead)
			}
		}()
		run.Lost(dead)
		if _, quarantined := s.watch.Check(); quarantined || !s.repath(ctx, t, dead) {
			return
		}
		s.watchEngines(ctx, t, run, cancel)
		moved = true
	}
	vacate := func(id string) {
		if s.repath(ctx, t, id) {
			s.watchEngines(ctx, t, run, cancel)
		}
	}
	t.setWatch(s.h.cfg.Catalog.Watch(t.engineIDs(), lost, vacate))
}

// repath tells the first engine to route a running request around an engine. The other engines
// keep their state of the request, and no second run starts.
func (s *stream) repath(ctx context.Context, t *target, around string) bool {
	old := t.currentPath()
	if s.h.cfg.Repath == nil || len(old.Hops) == 0 || around == t.id || ctx.Err() != nil {
		return false
	}
	p, release, err := s.h.cfg.Catalog.ChoosePath(s.x.Forward.Pool, chain.Request{
		Prompt: s.promptTokens, Answer: s.answerTokens, DataCentre: s.h.cfg.DataCentre, Exclude: map[string]bool{around: true}, AllowedFirst: map[string]bool{t.id: true}, Running: true, Draw: s.h.random(),
	})
	if err != nil {
		return false
	}
	replaced := false
	defer func() {
		if !replaced {
			release()
		}
	}()
	if p.Hops[0] != old.Hops[0] || slices.ContainsFunc(p.Hops, func(h chain.Hop) bool { return h.Engine == around }) {
		return false
	}
	ctx, stop := context.WithTimeout(ctx, repathTimeout)
	defer stop()
	err = s.h.cfg.Repath(ctx, t.id, t.address, s.x.ID, p.Hops)
	s.h.cfg.Log.Decision("pathChanged", s.x.ID, "upstream", t.id, "around", around, "hops", len(p.Hops), "error", errText(err),
		"estimateTokenMs", p.TokenMs, "atMs", time.Since(s.x.Received).Milliseconds())
	replaced = err == nil && t.replacePath(p, release)
	return replaced
}
