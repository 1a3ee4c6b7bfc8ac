package raft

import (
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Failures of a proposal or a read.
const (
	ErrNotLeader     = fault.Sentinel("raft: this replica does not lead")
	ErrHandingOver   = fault.Sentinel("raft: the leader is handing over")
	ErrMemberPending = fault.Sentinel("raft: an earlier membership change is not committed yet")
	ErrMemberStep    = fault.Sentinel("raft: a membership change may add or remove one voter")
	ErrNotCaughtUp   = fault.Sentinel("raft: the learner has not caught up")
)

// Msg is an input of a Core.
type Msg interface{ isMsg() }

// TickMsg says that time has passed.
type TickMsg struct{}

// PeerMsg is a message from another replica.
type PeerMsg struct {
	Message *fleetpb.RaftMessage
}

// ProposeMsg asks to commit commands. Tag comes back in Effects.Proposed.
type ProposeMsg struct {
	Command []byte
	Tag     uint64
}

// MembershipMsg asks to change the members.
type MembershipMsg struct {
	Membership *fleetpb.Membership
	Tag        uint64
}

// ReadMsg asks for an index that a linearizable read must have applied.
type ReadMsg struct {
	Tag uint64
}

// SyncedMsg says that every entry up to Index is durable here.
type SyncedMsg struct {
	Index uint64
	Term  uint64 // Of the entry at Index.
}

// CompactMsg gives the state at Index as a snapshot, so that older entries may go.
type CompactMsg struct {
	Index uint64
	State []byte
}

// TransferMsg asks the leader to hand over to a replica, or to the best one when
// To is empty.
type TransferMsg struct {
	To string
}

func (TickMsg) isMsg()       {}
func (PeerMsg) isMsg()       {}
func (ProposeMsg) isMsg()    {}
func (MembershipMsg) isMsg() {}
func (ReadMsg) isMsg()       {}
func (SyncedMsg) isMsg()     {}
func (CompactMsg) isMsg()    {}
func (TransferMsg) isMsg()   {}

// Snapshot is the state after the entry at Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership *fleetpb.Membership
	State      []byte
}

// Proposal is the fate of a ProposeMsg or MembershipMsg. The entry is committed
// only when it comes back in Effects.Committed with the same term.
type Proposal struct {
	Tag   uint64
	Index uint64
	Term  uint64
	Err   error
}

// Read is the answer to a ReadMsg: the read may be served once Index is applied.
type Read struct {
	Tag   uint64
	Index uint64
	Err   error
}

// Effects are what the shell must carry out, in this order: send Send; make
// Hard, Cut, Append and Restore durable; send SendSynced; apply Committed; tell
// the core SyncedMsg.
type Effects struct {
	Hard       *fleetpb.HardState
	Cut        uint64 // Durable entries from this index on are void; 0 is none.
	Append     []*fleetpb.Entry
	Restore    *Snapshot // Replaces log and state.
	Send       []*fleetpb.RaftMessage
	SendSynced []*fleetpb.RaftMessage
	Committed  []*fleetpb.Entry
	Proposed   []Proposal
	Reads      []Read
}

// Empty reports whether there is nothing to do.
func (e *Effects) Empty() bool {
	return e.Hard == nil && e.Cut == 0 && len(e.Append) == 0 && e.Restore == nil && len(e.Send) == 0 &&
		len(e.SendSynced) == 0 && len(e.Committed) == 0 && len(e.Proposed) == 0 && len(e.Reads) == 0
}
