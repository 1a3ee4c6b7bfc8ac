package session

import (
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// Hop is one stage of a path: a replica and the layers it runs.
type Hop struct {
	Replica   string
	LayerFrom uint32
	LayerTo   uint32 // One past the last layer.
}

// Msg is an input of a Session.
type Msg interface{ isMsg() }

// StartMsg begins the session on a path that covers every layer.
type StartMsg struct {
	Path []Hop
}

// FrameMsg is a RESULT or FAILED frame from a replica.
type FrameMsg struct {
	Replica string
	Frame   *upstreampb.StageFrame
}

// HopLostMsg says that a replica can no longer be used by this session, for
// example after a reset or a missed hop deadline.
type HopLostMsg struct {
	Replica string
}

// HopResumedMsg says that the connection to a replica was replaced, so that the
// frame in flight may not have arrived.
type HopResumedMsg struct {
	Replica string
}

// HopLeavingMsg says that a replica still works but should be left soon.
type HopLeavingMsg struct {
	Replica string
}

// PathMsg answers the NeedPathCmd of the same Request. An empty path means that
// none exists.
type PathMsg struct {
	Request int
	Path    []Hop
	// ImportFirst says that copying the cache from the replaced replica is
	// estimated to be sooner than replaying into the new one.
	ImportFirst bool
}

// ImportedMsg answers an ImportCmd.
type ImportedMsg struct {
	OK bool
}

// CancelMsg ends the session because its caller went away.
type CancelMsg struct{}

func (StartMsg) isMsg()      {}
func (FrameMsg) isMsg()      {}
func (HopLostMsg) isMsg()    {}
func (HopResumedMsg) isMsg() {}
func (HopLeavingMsg) isMsg() {}
func (PathMsg) isMsg()       {}
func (ImportedMsg) isMsg()   {}
func (CancelMsg) isMsg()     {}

// Cmd is an effect that the shell carries out.
type Cmd interface{ isCmd() }

// SendCmd sends a frame to a replica.
type SendCmd struct {
	Replica string
	Frame   *upstreampb.StageFrame
}

// TokenCmd gives one accepted token to the caller. Index counts from 0.
type TokenCmd struct {
	Token uint32
	Text  []byte // As the engine spells it.
	Index int
}

// NeedPathCmd asks for a path in place of the present one. Lost names the
// replicas that must not be on it, Leaving those to avoid where others exist.
type NeedPathCmd struct {
	Request   int
	Present   []Hop
	Lost      []string
	Leaving   []string
	Positions uint32 // Cached positions that a new replica would need.
}

// ImportCmd asks to copy the session's cache between two replicas.
type ImportCmd struct {
	From Hop
	To   Hop
}

// DoneCmd ends the session. Err is nil when the answer is whole.
type DoneCmd struct {
	Err error
}

func (SendCmd) isCmd()     {}
func (TokenCmd) isCmd()    {}
func (NeedPathCmd) isCmd() {}
func (ImportCmd) isCmd()   {}
func (DoneCmd) isCmd()     {}
