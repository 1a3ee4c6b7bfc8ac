package raft

import (
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Errors of a proposal or a read.
const (
	ErrNotLeader          = fault.Sentinel("raft: not the leader")
	ErrTransferInProgress = fault.Sentinel("raft: leadership transfer in progress")
	ErrMembershipPending  = fault.Sentinel("raft: an earlier membership change is not committed")
	ErrMembershipStep     = fault.Sentinel("raft: a membership change may add or remove only one voter")
	ErrNotCaughtUp        = fault.Sentinel("raft: the learner has not caught up with the committed log")
)

// Msg is an input to Core.Update.
type Msg interface{ isMsg() }

// TickMsg lets the core check its timers.
type TickMsg struct{}

// PeerMsg is a message from another replica.
type PeerMsg struct {
	Message *fleetpb.RaftMessage
}

// ProposeMsg proposes a command. The caller chooses the Tag, which identifies the
// proposal on this replica: the ProposalResult in Effects.Proposed carries the
// same Tag.
type ProposeMsg struct {
	Command []byte
	Tag     uint64
}

// MembershipMsg proposes a new membership. Its Tag is used as in ProposeMsg.
type MembershipMsg struct {
	Membership *fleetpb.Membership
	Tag        uint64
}

// ReadMsg requests the read index: the index that must be applied before a
// linearizable read is served. The ReadResult in Effects.Reads carries the same Tag.
type ReadMsg struct {
	Tag uint64
}

// SyncedMsg reports that every entry up to Index is durable on this replica.
type SyncedMsg struct {
	Index uint64
	Term  uint64 // Of the entry at Index.
}

// CompactMsg is a local input, which is never sent to other replicas: the replica
// passes its core a snapshot of the state after applying the entry at Index, so
// that the core can discard older log entries. The core may keep some of them for
// replicas that are behind.
type CompactMsg struct {
	Index uint64
	State []byte
}

// TransferMsg asks the leader to transfer leadership to a replica, or to the
// most up-to-date one when To is empty. Replicas for which Avoid, which may be nil,
// reports true are chosen last.
type TransferMsg struct {
	To    string
	Avoid func(id string) bool
}

func (TickMsg) isMsg()       {}
func (PeerMsg) isMsg()       {}
func (ProposeMsg) isMsg()    {}
func (MembershipMsg) isMsg() {}
func (ReadMsg) isMsg()       {}
func (SyncedMsg) isMsg()     {}
func (CompactMsg) isMsg()    {}
func (TransferMsg) isMsg()   {}

// Snapshot is the state after applying the entry at Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership *fleetpb.Membership
	State      []byte
}

// ProposalResult is the response to a ProposeMsg or MembershipMsg: the position of the
// new entry, or an error. The entry is committed only when it appears in
// Effects.Committed with the same term.
type ProposalResult struct {
	Tag   uint64
	Index uint64
	Term  uint64
	Err   error
}

// ReadResult is the response to a ReadMsg: the read may be served once Index is applied.
type ReadResult struct {
	Tag   uint64
	Index uint64
	Err   error
}

// Effects are the actions that the caller must perform, in this order: send
// Send; make Hard, TruncateFrom, Append and Restore durable; send SendAfterSync; apply
// Committed; pass a SyncedMsg to the core.
type Effects struct {
	Hard          *fleetpb.HardState
	TruncateFrom  uint64 // Durable entries from this index on are discarded; 0 means none.
	Append        []*fleetpb.Entry
	Restore       *Snapshot // Replaces the log and the state.
	Send          []*fleetpb.RaftMessage
	SendAfterSync []*fleetpb.RaftMessage
	Committed     []*fleetpb.Entry
	Proposed      []ProposalResult
	Reads         []ReadResult
}

// Empty reports whether the effects contain no action.
func (e *Effects) Empty() bool {
	return e.Hard == nil && e.TruncateFrom == 0 && len(e.Append) == 0 && e.Restore == nil && len(e.Send) == 0 &&
		len(e.SendAfterSync) == 0 && len(e.Committed) == 0 && len(e.Proposed) == 0 && len(e.Reads) == 0
}
