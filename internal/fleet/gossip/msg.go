package gossip

import (
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Msg is an input of a Core.
type Msg interface{ isMsg() }

// TickMsg reports that time has passed.
type TickMsg struct {
	Upstreams uint64 // Hash of the upstreams that this VM knows.
}

// PeerMsg carries a message from another VM.
type PeerMsg struct {
	Message *fleetpb.GossipMessage
}

// DigestsMsg carries digests to send to other VMs.
type DigestsMsg struct {
	Digests []*fleetpb.Digest
	Except  string // VM that the digests came from, if any, which does not get them back.
}

// RevisionMsg reports the tables revision in force on this VM.
type RevisionMsg struct {
	Revision uint64
}

// DrainMsg reports whether this VM is draining.
type DrainMsg struct {
	Draining bool
}

// ActivityMsg reports that another VM sent a message other than gossip, or answered a probe of
// its connection, which also proves that it is alive.
type ActivityMsg struct {
	VM string
}

// LeaveMsg reports that this VM is stopping.
type LeaveMsg struct{}

// StampMsg carries a newer stamp of the leader, which shows how recent this VM's view of
// the control state is.
type StampMsg struct {
	Stamp uint64
}

func (TickMsg) isMsg()     {}
func (PeerMsg) isMsg()     {}
func (DigestsMsg) isMsg()  {}
func (RevisionMsg) isMsg() {}
func (DrainMsg) isMsg()    {}
func (LeaveMsg) isMsg()    {}
func (ActivityMsg) isMsg() {}
func (StampMsg) isMsg()    {}

// Outgoing is a message to send.
type Outgoing struct {
	Address string
	Message *fleetpb.GossipMessage
}

// Event is a change of a VM that the caller acts on.
type Event struct {
	Member *fleetpb.Member
	// Previous is the previous state, or -1 for a VM that was unknown.
	Previous int32
}

// Effects are the results of an update that the caller must act on.
type Effects struct {
	Send       []Outgoing
	Events     []Event
	Digests    []*fleetpb.Digest   // Received from another VM. The caller returns those that are new in a DigestsMsg.
	From       string              // VM that the digests came from.
	Revision   uint64              // A tables revision in force at From, newer than any received before.
	Stamp      uint64              // A stamp newer than any received before.
	HomeHashes []*fleetpb.HomeHash // Hashes of the upstreams of each home, received from From.
	// UpstreamsDiffer is a VM that has known other upstreams than this VM for some time, or "".
	UpstreamsDiffer string
	// Queued is set while updates wait for the next tick to be sent.
	Queued bool
}
