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

// HopLostMsg reports that this session can no longer use a replica, for example
// after a connection reset or a missed hop deadline.
type HopLostMsg struct {
	Replica string
}

// HopResumedMsg reports that the connection to a replica was replaced, so that the
// frame in flight may not have arrived.
type HopResumedMsg struct {
	Replica string
}

// HopLeavingMsg reports that a replica is draining: it still works, but the session
// should move off it soon.
type HopLeavingMsg struct {
	Replica string
}

// PathMsg is the reply to the NeedPathCmd with the same Request. An empty path means
// that there is none.
type PathMsg struct {
	Request int
	Path    []Hop
	// PreferImport is true when copying the cache from the replaced replica is expected
	// to be faster than replaying the inputs on the new one.
	PreferImport bool
}

// ImportedMsg is the reply to an ImportCmd.
type ImportedMsg struct {
	OK bool
}

// CancelMsg ends the session because its caller canceled it.
type CancelMsg struct{}

func (StartMsg) isMsg()      {}
func (FrameMsg) isMsg()      {}
func (HopLostMsg) isMsg()    {}
func (HopResumedMsg) isMsg() {}
func (HopLeavingMsg) isMsg() {}
func (PathMsg) isMsg()       {}
func (ImportedMsg) isMsg()   {}
func (CancelMsg) isMsg()     {}

// Cmd is an effect that the driver of a Session carries out.
type Cmd interface{ isCmd() }

// SendCmd sends a frame to a replica.
type SendCmd struct {
	Replica string
	Frame   *upstreampb.StageFrame
}

// TokenCmd delivers one accepted token to the caller. Index counts from 0.
type TokenCmd struct {
	Token uint32
	Text  []byte // Text of the token, as the engine returned it.
	Index int
}

// NeedPathCmd requests a path to replace the current one.
type NeedPathCmd struct {
	Request   int
	Current   []Hop    // Current path.
	Lost      []string // Replicas that must not be used.
	Leaving   []string // Replicas to avoid where others exist.
	Positions uint32   // Cached positions that a new replica would need.
}

// ImportCmd requests a copy of the session's cache from one replica to another.
type ImportCmd struct {
	From Hop
	To   Hop
}

// DoneCmd ends the session. Err is nil when the answer is complete.
type DoneCmd struct {
	Err error
}

func (SendCmd) isCmd()     {}
func (TokenCmd) isCmd()    {}
func (NeedPathCmd) isCmd() {}
func (ImportCmd) isCmd()   {}
func (DoneCmd) isCmd()     {}
