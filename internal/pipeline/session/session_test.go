package session_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jasminecove/jasminecove/internal/pipeline/session"
	"github.com/jasminecove/jasminecove/internal/standin/model"
	"github.com/jasminecove/jasminecove/internal/testkit/seeded"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

const layers = 12

// fakeEngine runs frames immediately and returns the replies, which the test delivers.
type fakeEngine struct {
	hop     session.Hop
	cache   *model.Cache
	lineage uint32
	lastPos uint32
	last    *upstreampb.StageFrame
	dead    bool
	runs    int
}

func (e *fakeEngine) handle(f *upstreampb.StageFrame) *upstreampb.StageFrame {
	if e.dead {
		return nil
	}
	if f.Kind == upstreampb.StageFrame_CLOSE {
		e.cache = nil
		return nil
	}
	if f.Lineage < e.lineage {
		return e.fail(f, upstreampb.FailReason_STALE_LINEAGE)
	}
	e.lineage = f.Lineage
	if e.cache == nil || f.Position == 0 {
		e.cache = model.NewCache(e.hop.LayerFrom, e.hop.LayerTo)
		e.last = nil
	}
	if e.last != nil && e.lastPos == f.Position && e.cache.Positions == f.Position+f.Count && f.Kind == upstreampb.StageFrame_STEP {
		again := clone(e.last)
		again.Lineage = f.Lineage
		return again
	}
	if e.cache.Positions != f.Position {
		return e.fail(f, upstreampb.FailReason_CACHE_MISSING)
	}
	out, err := e.cache.Run(f.Payload, f.Count, model.HiddenBytes)
	if err != nil {
		panic(err)
	}
	e.runs++
	if f.Kind == upstreampb.StageFrame_REPLAY {
		return nil
	}
	r := clone(f)
	r.Kind, r.Payload = upstreampb.StageFrame_RESULT, out
	if e.hop.LayerTo == layers {
		r.Token, r.Last = model.DecodeToken(out, f.Count, model.HiddenBytes)
	}
	e.last, e.lastPos = r, f.Position
	return r
}

func (e *fakeEngine) fail(f *upstreampb.StageFrame, reason upstreampb.FailReason) *upstreampb.StageFrame {
	r := clone(f)
	r.Kind, r.Reason, r.Payload = upstreampb.StageFrame_FAILED, uint32(reason), nil
	return r
}

func clone(f *upstreampb.StageFrame) *upstreampb.StageFrame {
	return &upstreampb.StageFrame{Kind: f.Kind, Session: f.Session, Lineage: f.Lineage, Position: f.Position, Count: f.Count,
		LayerFrom: f.LayerFrom, LayerTo: f.LayerTo, Payload: f.Payload, Token: f.Token, Last: f.Last}
}

// harness holds a session, its engines and the replies in flight.
type harness struct {
	s       *session.Session
	engines map[string]*fakeEngine
	replies []session.FrameMsg
	tokens  []uint32
	done    bool
	err     error
}

func newHarness(prompt string, opts ...session.Option) *harness {
	input, count := model.EncodePrompt(prompt)
	w := &harness{engines: map[string]*fakeEngine{}, s: session.New(7, layers, input, count, model.EncodeToken, opts...)}
	for r := range 3 {
		for k := range 3 {
			h := session.Hop{Replica: fmt.Sprintf("e%d%c", k, 'a'+r), LayerFrom: uint32(k * 4), LayerTo: uint32(k*4 + 4)}
			w.engines[h.Replica] = &fakeEngine{hop: h}
		}
	}
	return w
}

func (w *harness) path(lost, leaving []string) []session.Hop {
	var path []session.Hop
	for k := range 3 {
		var spare *session.Hop
		var found bool
		for r := range 3 {
			e := w.engines[fmt.Sprintf("e%d%c", k, 'a'+r)]
			if e.dead || slices.Contains(lost, e.hop.Replica) {
				continue
			}
			if slices.Contains(leaving, e.hop.Replica) {
				spare = &e.hop
				continue
			}
			path, found = append(path, e.hop), true
			break
		}
		if !found && spare == nil {
			return nil
		}
		if !found {
			path = append(path, *spare)
		}
	}
	return path
}

// repairPath returns a path that differs from the current one only in the unusable hops.
func (w *harness) repairPath(m session.NeedPathCmd) []session.Hop {
	fresh := w.path(m.Lost, m.Leaving)
	for i, h := range m.Current {
		if fresh == nil || slices.Contains(m.Lost, h.Replica) || slices.Contains(m.Leaving, h.Replica) || w.engines[h.Replica].dead {
			continue
		}
		fresh[i] = h
	}
	return fresh
}

func (w *harness) run(msg session.Msg, preferImport, importOK bool) {
	for _, cmd := range w.s.Update(msg) {
		switch c := cmd.(type) {
		case session.SendCmd:
			if r := w.engines[c.Replica].handle(c.Frame); r != nil {
				w.replies = append(w.replies, session.FrameMsg{Replica: c.Replica, Frame: r})
			}
		case session.TokenCmd:
			w.tokens = append(w.tokens, c.Token)
		case session.NeedPathCmd:
			w.run(session.PathMsg{Request: c.Request, Path: w.repairPath(c), PreferImport: preferImport}, preferImport, importOK)
		case session.ImportCmd:
			from, to := w.engines[c.From.Replica], w.engines[c.To.Replica]
			ok := importOK && !from.dead && from.cache != nil
			if ok {
				to.cache = model.NewCache(to.hop.LayerFrom, to.hop.LayerTo)
				copy(to.cache.States, from.cache.States)
				to.cache.Positions, to.lineage, to.last = from.cache.Positions, from.lineage, nil
			}
			w.run(session.ImportedMsg{OK: ok}, preferImport, importOK)
		case session.DoneCmd:
			w.done, w.err = true, c.Err
		}
	}
}

func TestSession(t *testing.T) {
	w := newHarness("summarize the inspection", session.WithMaxTokens(20))
	w.run(session.StartMsg{Path: w.path(nil, nil)}, false, false)
	for len(w.replies) > 0 {
		m := w.replies[0]
		w.replies = w.replies[1:]
		w.run(m, false, false)
	}
	assert.NilError(t, w.err)
	assert.Assert(t, w.done)
	assert.DeepEqual(t, w.tokens, model.ReferenceAnswer("summarize the inspection", layers, 20))
	for _, e := range w.engines {
		assert.Assert(t, e.cache == nil, "the session did not free a cache")
	}
}

func TestSessionNoPath(t *testing.T) {
	w := newHarness("a", session.WithMaxTokens(20))
	w.run(session.StartMsg{Path: w.path(nil, nil)}, false, false)
	for r := range 3 {
		w.engines[fmt.Sprintf("e1%c", 'a'+r)].dead = true
	}
	w.run(session.HopLostMsg{Replica: "e1a"}, false, false)
	assert.Assert(t, w.done)
	assert.ErrorIs(t, w.err, session.ErrNoPath)
}

// TestUpdateStaleFrame delivers a FAILED frame of an earlier lineage, and one of
// another session. Neither concerns the current path, so both must be dropped.
func TestUpdateStaleFrame(t *testing.T) {
	w := newHarness("a b c", session.WithMaxTokens(5))
	w.run(session.StartMsg{Path: w.path(nil, nil)}, false, false)
	awaited := w.s.AwaitedReplica()
	w.run(session.HopResumedMsg{Replica: awaited}, false, false)
	before := w.s.Lineage()
	stale := &upstreampb.StageFrame{Kind: upstreampb.StageFrame_FAILED, Session: w.s.ID(), Lineage: before - 1}
	assert.Equal(t, len(w.s.Update(session.FrameMsg{Replica: awaited, Frame: stale})), 0)
	assert.Equal(t, w.s.Lineage(), before)
	assert.Equal(t, w.s.Counts().Dropped, 1)
	other := &upstreampb.StageFrame{Kind: upstreampb.StageFrame_FAILED, Session: w.s.ID() + 1, Lineage: before}
	assert.Equal(t, len(w.s.Update(session.FrameMsg{Replica: awaited, Frame: other})), 0)
	assert.Equal(t, w.s.Counts().Dropped, 2)
}

// TestSessionRandomFaults delivers replies late, twice and out of order, while replicas
// fail, lose their caches and leave. It checks that the answer is complete and correct,
// or that the session ends with ErrNoPath after a correct prefix.
func TestSessionRandomFaults(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		want := rapid.IntRange(1, 40).Draw(t, "tokens")
		retain := rapid.SampledFrom([]int{0, 200, 1 << 20}).Draw(t, "retain")
		w := newHarness("draft a violation letter for the school kitchen", session.WithMaxTokens(want), session.WithRetainBytes(retain))
		w.run(session.StartMsg{Path: w.path(nil, nil)}, false, false)
		var old []session.FrameMsg
		deaths := 0
		for step := 0; !w.done && step < 5000; step++ {
			preferImport := rapid.Bool().Draw(t, "importFirst")
			importOK := rapid.Bool().Draw(t, "importOK")
			on := w.s.Path()
			pick := on[rapid.IntRange(0, len(on)-1).Draw(t, "hop")].Replica
			switch fault := rapid.IntRange(0, 60).Draw(t, "fault"); {
			case fault == 0 && deaths < 4:
				deaths++
				w.engines[pick].dead = true
				w.run(session.HopLostMsg{Replica: pick}, preferImport, importOK)
			case fault == 1:
				w.engines[pick].cache = nil
			case fault == 2:
				w.run(session.HopLeavingMsg{Replica: pick}, preferImport, importOK)
			case fault == 3 && len(old) > 0:
				w.run(old[rapid.IntRange(0, len(old)-1).Draw(t, "old")], preferImport, importOK)
			case fault == 4:
				// A hop deadline passes while the result is in flight.
				if r := w.s.AwaitedReplica(); r != "" {
					w.run(session.HopLostMsg{Replica: r}, preferImport, importOK)
				}
			case len(w.replies) > 0:
				i := rapid.IntRange(0, len(w.replies)-1).Draw(t, "next")
				m := w.replies[i]
				w.replies = slices.Delete(w.replies, i, i+1)
				old = append(old, m)
				w.run(m, preferImport, importOK)
			default:
				// No reply is in flight, so the awaited one was lost.
				if r := w.s.AwaitedReplica(); r != "" {
					w.run(session.HopLostMsg{Replica: r}, preferImport, importOK)
				}
			}
		}
		reference := model.ReferenceAnswer("draft a violation letter for the school kitchen", layers, want)
		if w.err != nil {
			assert.ErrorIs(t, w.err, session.ErrNoPath)
			assert.Assert(t, slices.Equal(w.tokens, reference[:len(w.tokens)]))
			return
		}
		assert.Assert(t, w.done, "not done after 5000 steps: %v", w.s)
		assert.DeepEqual(t, w.tokens, reference)
	})
}
