package gossip

import (
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Msg is an input of a Core.
type Msg interface{ isMsg() }

// TickMsg says that time has passed.
type TickMsg struct{}

// PeerMsg is a message from another VM.
type PeerMsg struct {
	Message *fleetpb.GossipMessage
}

// DigestsMsg has digests to tell other VMs.
type DigestsMsg struct {
	Digests []*fleetpb.Digest
	Except  string // VM that they came from, if any.
}

// RevisionMsg says which tables revision is in force here.
type RevisionMsg struct {
	Revision uint64
}

// DrainMsg says whether this VM drains.
type DrainMsg struct {
	Draining bool
}

// HeardMsg says that another VM sent something else than gossip, which shows as well
// that it lives.
type HeardMsg struct {
	VM string
}

// LeaveMsg says that this VM is stopping.
type LeaveMsg struct{}

// StampMsg gives a newer stamp of the leader, which shows how fresh this VM's
// view of the control state is.
type StampMsg struct {
	Stamp uint64
}

func (TickMsg) isMsg()     {}
func (PeerMsg) isMsg()     {}
func (DigestsMsg) isMsg()  {}
func (RevisionMsg) isMsg() {}
func (DrainMsg) isMsg()    {}
func (LeaveMsg) isMsg()    {}
func (HeardMsg) isMsg()    {}
func (StampMsg) isMsg()    {}

// Out is a message to send.
type Out struct {
	Address string
	Message *fleetpb.GossipMessage
}

// Event is a change that the shell acts on.
type Event struct {
	Member *fleetpb.Member
	// Was is the state before, or -1 for a VM that was not known.
	Was int32
}

// Effects are what the shell must carry out.
type Effects struct {
	Send     []Out
	Events   []Event
	Digests  []*fleetpb.Digest // Heard from others; those that are news come back in a DigestsMsg.
	From     string            // VM that the digests came from.
	Revision uint64            // A newer revision than any heard before, at From.
	Stamp    uint64            // A newer stamp than any heard before.
	Wants    []*fleetpb.HomeHash
}
