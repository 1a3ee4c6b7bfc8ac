package session

import (
	"slices"

	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// hopLost requests a path without the lost replica. Replicas that are lost during
// recovery are excluded as well.
func (s *Session) hopLost(replica string) []Cmd {
	if s.hopOf(replica) < 0 {
		return nil
	}
	if !slices.Contains(s.lost, replica) {
		s.lost = append(s.lost, replica)
	}
	return s.needPath()
}

// cacheMissing rebuilds the awaited hop on the same replica, which has lost its
// cache, for example by a restart under the same id. A replica that loses it more than
// maxCacheLosses times between two tokens is treated as lost.
func (s *Session) cacheMissing(replica string) []Cmd {
	s.cacheLosses++
	if s.cacheLosses > maxCacheLosses {
		return s.hopLost(replica)
	}
	s.lineage++
	s.ledger.adopt(s.lineage)
	return s.replayHop(s.hop)
}

// hopLeaving schedules the move off a replica for when its hop is idle.
func (s *Session) hopLeaving(replica string) []Cmd {
	if s.hopOf(replica) < 0 || slices.Contains(s.leaving, replica) {
		return nil
	}
	s.leaving = append(s.leaving, replica)
	return s.appendPendingMove(nil)
}

// appendPendingMove appends the request for a path without the leaving replicas. The move
// is deferred while a leaving replica's hop is in flight, because its cache is about to
// change, and until the first token, because before it there is little to move.
func (s *Session) appendPendingMove(cmds []Cmd) []Cmd {
	if s.phase != phaseHop || len(s.leaving) == 0 || s.position == 0 {
		return cmds
	}
	for _, replica := range s.leaving {
		k := s.hopOf(replica)
		if k < 0 || k == s.hop {
			continue
		}
		// The hop in flight continues, but its result is dropped. The frame is sent
		// again in the new lineage, and the engine answers it from its cache.
		return append(cmds, s.needPath()...)
	}
	return cmds
}

func (s *Session) needPath() []Cmd {
	s.pathRequests++
	if s.pathRequests > maxPathRequests {
		return s.finish(ErrNoPath)
	}
	s.phase = phasePath
	s.request++
	return []Cmd{NeedPathCmd{
		Request:   s.request,
		Current:   s.path,
		Lost:      slices.Clone(s.lost),
		Leaving:   slices.Clone(s.leaving),
		Positions: s.position,
	}}
}

// newPath continues on a new path. If a single stage changed, it rebuilds only that
// stage; otherwise it rebuilds the whole path.
func (s *Session) newPath(m PathMsg) []Cmd {
	if s.phase != phasePath || m.Request != s.request {
		return nil
	}
	if len(m.Path) == 0 {
		return s.noPath()
	}
	k, single := s.changedHop(m.Path)
	if !single {
		return s.rebuild(m.Path)
	}
	if k < 0 {
		return s.resend()
	}
	return s.replace(k, m)
}

// noPath ends the session with ErrNoPath, unless every replica of the current path still
// works.
func (s *Session) noPath() []Cmd {
	if len(s.lost) == 0 {
		s.leaving = nil
		return s.resend()
	}
	return s.finish(ErrNoPath)
}

// resend sends the frame in flight again on the same path, with a new lineage.
func (s *Session) resend() []Cmd {
	s.lineage++
	s.ledger.adopt(s.lineage)
	return []Cmd{s.sendHop()}
}

// replace puts a new replica at hop k and rebuilds its cache.
func (s *Session) replace(k int, m PathMsg) []Cmd {
	old := s.path[k]
	s.path = slices.Clone(m.Path)
	s.lineage++
	s.ledger.adopt(s.lineage)
	s.forget(old.Replica)
	if m.PreferImport {
		s.replacedHop = old
		s.phase = phaseImport
		return []Cmd{ImportCmd{From: old, To: s.path[k]}}
	}
	return append(s.closeHop(old), s.replayHop(k)...)
}

// imported continues after a cache import, or replays the inputs if the import failed.
func (s *Session) imported(ok bool) []Cmd {
	if s.phase != phaseImport {
		return nil
	}
	cmds := s.closeHop(s.replacedHop)
	if ok {
		s.counts.Imports++
		return append(cmds, s.sendHop())
	}
	for k, h := range s.path {
		if h.LayerFrom == s.replacedHop.LayerFrom {
			return append(cmds, s.replayHop(k)...)
		}
	}
	return append(cmds, s.rebuild(s.path)...)
}

// replayHop sends hop k its earlier inputs and then sends the frame in flight again. It
// rebuilds the whole path if the inputs were not retained.
func (s *Session) replayHop(k int) []Cmd {
	// Hops before the one in flight have already run the positions in flight.
	end := s.position
	if k < s.hop {
		end += s.count
	}
	chunks, ok := s.retained.replay(k, end)
	if !ok {
		return s.rebuild(s.path)
	}
	s.counts.Replays++
	cmds := make([]Cmd, 0, len(chunks)+1)
	for _, c := range chunks {
		cmds = append(cmds, s.send(k, upstreampb.StageFrame_REPLAY, c.position, c.count, c.payload))
	}
	return append(cmds, s.sendHop())
}

// rebuild runs the prompt and all accepted tokens through a path again. Accepted tokens
// are not delivered to the caller a second time.
func (s *Session) rebuild(path []Hop) []Cmd {
	s.counts.Rebuilds++
	var cmds []Cmd
	for _, h := range s.path {
		if !slices.Contains(path, h) {
			cmds = append(cmds, s.closeHop(h)...)
		}
	}
	return append(cmds, s.start(path)...)
}

// closeHop frees the cache on a replica that the session no longer uses.
func (s *Session) closeHop(h Hop) []Cmd {
	return []Cmd{SendCmd{Replica: h.Replica, Frame: &upstreampb.StageFrame{
		Kind: upstreampb.StageFrame_CLOSE, Session: s.id, Lineage: s.lineage,
	}}}
}

// changedHop compares a new path with the current one. single is true when all layer
// ranges are the same and at most one hop has another replica; k is the index of that
// hop, or -1 when nothing changed.
func (s *Session) changedHop(path []Hop) (k int, single bool) {
	if len(path) != len(s.path) {
		return -1, false
	}
	k = -1
	for i, h := range path {
		if h.LayerFrom != s.path[i].LayerFrom || h.LayerTo != s.path[i].LayerTo {
			return -1, false
		}
		if h.Replica == s.path[i].Replica {
			continue
		}
		if k >= 0 {
			return -1, false
		}
		k = i
	}
	return k, true
}

func (s *Session) hopOf(replica string) int {
	return slices.IndexFunc(s.path, func(h Hop) bool { return h.Replica == replica })
}

func (s *Session) forget(replica string) {
	drop := func(r string) bool { return r == replica }
	s.lost = slices.DeleteFunc(s.lost, drop)
	s.leaving = slices.DeleteFunc(s.leaving, drop)
}
