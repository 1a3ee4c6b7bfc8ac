// Package session implements the state machine that computes one answer on the stages
// of a pipeline. A Session is deterministic and does no I/O: it takes a Msg and returns
// the commands that its driver carries out.
//
// Frames carry the session's identifier, its lineage and the position. The lineage is
// incremented each time the path changes, so that late frames of an earlier path are
// recognised and dropped.
package session

import (
	"fmt"

	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// Errors that end a session.
const (
	ErrNoPath   = fault.Sentinel("session: some layers have no usable replica")
	ErrCanceled = fault.Sentinel("session: canceled by the caller")
)

// Defaults and limits.
const (
	defaultMaxTokens   = 256
	defaultRetainBytes = 4 << 20
	// replayChunkBytes bounds the payload of one REPLAY frame.
	replayChunkBytes = 256 << 10
	// maxCacheLosses is the largest number of rebuilds of lost caches between two tokens.
	maxCacheLosses = 3
	// maxPathRequests is the largest number of path requests between two tokens.
	maxPathRequests = 64
)

// phase is the kind of message that the session waits for.
type phase int

const (
	phaseIdle phase = iota
	phaseHop
	phasePath
	phaseImport
	phaseDone
)

// Counts are the event counters of one session.
type Counts struct {
	Dropped  int // Dropped frames: of an older lineage, another position or another request.
	Rebuilds int // Rebuilds of the whole path.
	Replays  int // Single stages rebuilt by replay.
	Imports  int // Single stages rebuilt by cache import.
}

// Session is the state of one answer.
type Session struct {
	id             uint64
	prompt         []byte
	tokenBytes     func(token uint32) []byte
	maxTokens      int
	maxRetainBytes int
	priority       uint32
	sink           invariant.Sink

	phase        phase
	lineage      uint32
	path         []Hop
	hop          int    // Index of the hop in flight.
	position     uint32 // First position in flight.
	count        uint32 // Positions in flight.
	payload      []byte // Input of the hop in flight.
	promptLen    uint32
	tokens       []uint32
	leaving      []string // Replicas to move off when their hop is idle.
	lost         []string // Replicas that must not be used.
	replacedHop  Hop      // Hop being replaced in phaseImport.
	request      int      // Number of the latest NeedPathCmd.
	cacheLosses  int      // Rebuilds of lost caches since the last token.
	pathRequests int      // Path requests since the last token.
	retained     retention
	ledger       ledger
	counts       Counts
}

// New returns a session for a prompt of promptLen positions. tokenBytes encodes an
// accepted token as input of the first stage.
func New(id uint64, layers uint32, prompt []byte, promptLen uint32, tokenBytes func(uint32) []byte, opts ...Option) *Session {
	s := &Session{
		id:             id,
		prompt:         prompt,
		promptLen:      promptLen,
		tokenBytes:     tokenBytes,
		maxTokens:      defaultMaxTokens,
		maxRetainBytes: defaultRetainBytes,
		sink:           invariant.Fatal{},
	}
	for _, opt := range opts {
		opt(s)
	}
	s.ledger = ledger{layers: layers, sink: s.sink}
	return s
}

// ID returns the session's identifier.
func (s *Session) ID() uint64 { return s.id }

// Lineage returns the current lineage. The first one is 1.
func (s *Session) Lineage() uint32 { return s.lineage }

// Path returns the current path.
func (s *Session) Path() []Hop { return s.path }

// Counts returns the session's event counters.
func (s *Session) Counts() Counts { return s.counts }

// AwaitedReplica returns the replica whose result the session waits for, or "" if it
// waits for none.
func (s *Session) AwaitedReplica() string {
	if s.phase != phaseHop {
		return ""
	}
	return s.path[s.hop].Replica
}

// PositionsInFlight returns the number of positions in flight.
func (s *Session) PositionsInFlight() uint32 { return s.count }

// Update processes one message and returns the resulting commands.
func (s *Session) Update(msg Msg) []Cmd {
	if s.phase == phaseDone {
		return nil
	}
	switch m := msg.(type) {
	case StartMsg:
		return s.start(m.Path)
	case FrameMsg:
		return s.frame(m)
	case HopLostMsg:
		return s.hopLost(m.Replica)
	case HopResumedMsg:
		if s.AwaitedReplica() == m.Replica {
			return s.resend()
		}
	case HopLeavingMsg:
		return s.hopLeaving(m.Replica)
	case PathMsg:
		return s.newPath(m)
	case ImportedMsg:
		return s.imported(m.OK)
	case CancelMsg:
		return s.finish(ErrCanceled)
	}
	return nil
}

// start sets the path and runs the prompt and all accepted tokens through it as one
// step.
func (s *Session) start(path []Hop) []Cmd {
	if len(path) == 0 {
		return s.finish(ErrNoPath)
	}
	s.path = path
	s.lineage++
	s.lost = nil
	s.leaving = nil
	s.position = 0
	s.count = s.promptLen + uint32(len(s.tokens))
	s.retained = newRetention(len(path), s.maxRetainBytes)
	input := append([]byte(nil), s.prompt...)
	for _, t := range s.tokens {
		input = append(input, s.tokenBytes(t)...)
	}
	return s.step(input)
}

// step starts a step: it sends the input of the positions in flight to the first hop.
func (s *Session) step(input []byte) []Cmd {
	s.hop = 0
	s.payload = input
	s.ledger.begin()
	return []Cmd{s.sendHop()}
}

// sendHop returns the command that sends its input to the hop in flight.
func (s *Session) sendHop() Cmd {
	s.phase = phaseHop
	return s.send(s.hop, upstreampb.StageFrame_STEP, s.position, s.count, s.payload)
}

func (s *Session) send(hop int, kind upstreampb.StageFrame_Kind, position, count uint32, payload []byte) Cmd {
	h := s.path[hop]
	return SendCmd{Replica: h.Replica, Frame: &upstreampb.StageFrame{
		Kind:      kind,
		Session:   s.id,
		Lineage:   s.lineage,
		Position:  position,
		Count:     count,
		LayerFrom: h.LayerFrom,
		LayerTo:   h.LayerTo,
		Payload:   payload,
		Priority:  s.priority,
	}}
}

// frame processes a replica's result for the hop in flight. It drops frames that the
// session does not wait for.
func (s *Session) frame(m FrameMsg) []Cmd {
	if !s.expected(m) {
		s.counts.Dropped++
		return nil
	}
	f := m.Frame
	if f.Kind == upstreampb.StageFrame_FAILED {
		return s.failed(m)
	}
	h := s.path[s.hop]
	s.ledger.add(Pass{Replica: h.Replica, Lineage: s.lineage, LayerFrom: f.LayerFrom, LayerTo: f.LayerTo})
	s.retained.add(s.hop, s.payload, s.count)
	if s.hop+1 < len(s.path) {
		s.hop++
		s.payload = f.Payload
		return s.appendPendingMove([]Cmd{s.sendHop()})
	}
	return s.accept(f)
}

// failed processes a replica's FAILED reply to the frame in flight.
func (s *Session) failed(m FrameMsg) []Cmd {
	if upstreampb.FailReason(m.Frame.Reason) == upstreampb.FailReason_CACHE_MISSING {
		return s.cacheMissing(m.Replica)
	}
	return s.hopLost(m.Replica)
}

// expected reports whether a frame is the result or failure that the session waits for.
func (s *Session) expected(m FrameMsg) bool {
	f := m.Frame
	if f.Session != s.id || f.Lineage != s.lineage || s.phase != phaseHop {
		return false
	}
	h := s.path[s.hop]
	if m.Replica != h.Replica {
		return false
	}
	if f.Kind == upstreampb.StageFrame_FAILED {
		return true
	}
	return f.Kind == upstreampb.StageFrame_RESULT && f.Position == s.position && f.Count == s.count &&
		f.LayerFrom == h.LayerFrom && f.LayerTo == h.LayerTo
}

// accept delivers a token to the caller and starts the step for the next position, or
// finishes the answer.
func (s *Session) accept(f *upstreampb.StageFrame) []Cmd {
	s.ledger.accept(s.lineage)
	s.cacheLosses, s.pathRequests = 0, 0
	s.tokens = append(s.tokens, f.Token)
	token := TokenCmd{Token: f.Token, Text: f.Payload, Index: len(s.tokens) - 1}
	if f.Last || len(s.tokens) >= s.maxTokens {
		return append([]Cmd{token}, s.finish(nil)...)
	}
	s.position += s.count
	s.count = 1
	cmds := append([]Cmd{token}, s.step(s.tokenBytes(f.Token))...)
	return s.appendPendingMove(cmds)
}

// finish frees the caches on all stages and ends the session.
func (s *Session) finish(err error) []Cmd {
	cmds := s.closeAll()
	s.phase = phaseDone
	return append(cmds, DoneCmd{Err: err})
}

func (s *Session) closeAll() []Cmd {
	cmds := make([]Cmd, 0, len(s.path)+1)
	for i := range s.path {
		cmds = append(cmds, s.send(i, upstreampb.StageFrame_CLOSE, 0, 0, nil))
	}
	return cmds
}

// String describes the session for logs.
func (s *Session) String() string {
	return fmt.Sprintf("session %016x lineage %d position %d hop %d", s.id, s.lineage, s.position, s.hop)
}
