// Package replica runs one replica of the control state. It owns the journal, the
// timer and the event queue, performs the effects of the Raft core and applies
// committed commands to the state. Events are processed in batches that share one
// sync of the journal.
package replica

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/control/journal"
	"github.com/jasminecove/jasminecove/internal/control/raft"
	"github.com/jasminecove/jasminecove/internal/control/state"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Errors of a call to a replica.
const (
	ErrStopped = fault.Sentinel("replica: stopped")
	// ErrSuperseded reports a command whose log entry was replaced by another leader's.
	ErrSuperseded = fault.Sentinel("replica: superseded by another leader before the command was committed")
	// ErrUnencodable reports a command that no replica can store.
	ErrUnencodable = fault.Sentinel("replica: the command cannot be encoded")
	// ErrPanicked reports a replica that stopped at a panic, after which its memory is not to be trusted. What
	// its journal holds is.
	ErrPanicked = fault.Sentinel("replica: stopped by a panic")
	ErrBusy     = fault.Sentinel("replica: too many pending calls")
)

// Intervals and limits.
const (
	tickInterval = 10 * time.Millisecond
	inboxSize    = 8192
	maxBatch     = 1024
	// recordsPerSnapshot is the number of journal records that triggers a snapshot.
	recordsPerSnapshot = 4096
	// bytesPerSnapshot is the journal size that triggers a snapshot. It bounds the
	// journal on VMs with a small disk.
	bytesPerSnapshot = 8 << 20
	// unresponsiveTimeout is the time without a reply after which a member counts as
	// unresponsive and may be replaced.
	unresponsiveTimeout = 3 * clock.Second
	// leavingTimeout is how long a replica counts as leaving after it was last said to.
	leavingTimeout = 2 * clock.Second
	identityBytes  = 8
)

// Sender sends messages to other replicas.
type Sender interface {
	// SendRaft sends a message to the replica on a VM. It may drop the message.
	SendRaft(vm string, m *fleetpb.RaftMessage)
}

// Config configures a replica.
type Config struct {
	VM                string
	Disk              journal.Disk
	Clock             clock.Clock
	Source            *rng.Source
	Sink              invariant.Sink
	Log               hclog.Logger
	Sender            Sender
	HeartbeatInterval clock.Duration // 0 means the default of package raft, for the election timeout too.
	ElectionTimeout   clock.Duration // Minimum election timeout.
	// FirstStart marks a replica that is created on an empty disk as a founder.
	FirstStart bool
	// TargetVoters is the number of voters to maintain; 0 means no limit.
	TargetVoters int
	// HasLeft reports whether a VM has announced that it stops and has not come back since. It
	// is called in the replica's goroutine and may be nil.
	HasLeft func(vm string) bool
	// OnChange is called in the replica's goroutine after the state has changed.
	OnChange func(*state.State)
}

// Replica is one replica of the control state.
type Replica struct {
	cfg      Config
	log      hclog.Logger
	journal  *journal.Journal
	identity *fleetpb.Identity
	core     *raft.Core
	state    *state.State
	hard     *fleetpb.HardState
	inbox    chan event
	done     chan struct{}
	err      atomic.Value // Of type error: the reason why the replica stopped.

	// The fields below are accessed only by the loop.
	nextTag             uint64
	proposals           map[uint64]*proposal // By tag, until the index is known.
	uncommitted         map[uint64]*proposal // By index, until the entry is applied.
	reads               map[uint64]*read     // By tag.
	confirmed           []*read              // Confirmed reads whose index is not applied yet.
	vms                 map[string]string    // VM of each replica, by identifier.
	snapshotInProgress  bool
	snapshotWriters     sync.WaitGroup
	joins               map[string]*fleetpb.Replica
	retired             map[string]bool
	leaving             map[string]clock.Time // When replicas were last said to leave.
	membershipCheckedAt clock.Time

	status atomic.Pointer[Status]
}

// Status is the status of a replica that is shown to operators.
type Status struct {
	ID                 string         `json:"id"`
	Role               string         `json:"role"`
	Term               uint64         `json:"term"`
	Leader             string         `json:"leaderVM"`
	Commit             uint64         `json:"commit"`
	Last               uint64         `json:"last"`
	Snapshot           uint64         `json:"snapshot"`
	Voters             []string       `json:"voters"`          // VMs. A VM whose disk was replaced is listed while its old replica is a voter.
	IsVoter            bool           `json:"votes,omitempty"` // Whether this replica is a voter.
	Learners           []string       `json:"learners,omitempty"`
	Claims             int            `json:"claims"`
	Formed             bool           `json:"formed"`
	MembershipChanging bool           `json:"membershipChanging,omitempty"` // The latest membership is not committed yet.
	LeaseLeft          clock.Duration `json:"leaseLeftMs"`
	Fencing            uint64         `json:"fencing"`

	leaseUntil clock.Time
}

// Open loads the data folder and returns a replica; call Run to start it.
func Open(cfg Config) (r *Replica, err error) {
	j, loaded, err := journal.Open(cfg.Disk)
	if err != nil {
		return nil, err
	}
	opened := false
	defer func() {
		if !opened { // By an error or a panic: the folder must not stay locked.
			_ = j.Close()
		}
	}()
	r = &Replica{
		cfg: cfg, log: cfg.Log.Named("replica"), journal: j, identity: loaded.Identity,
		inbox: make(chan event, inboxSize), done: make(chan struct{}),
		proposals: map[uint64]*proposal{}, uncommitted: map[uint64]*proposal{}, reads: map[uint64]*read{},
		vms: map[string]string{}, joins: map[string]*fleetpb.Replica{}, retired: map[string]bool{}, leaving: map[string]clock.Time{},
	}
	if loaded.Identity == nil {
		r.identity = newIdentity(cfg.VM, cfg.FirstStart)
		if err := j.Init(r.identity, raft.PersistentState{}); err != nil {
			return nil, err
		}
	}
	if loaded.TruncatedBytes > 0 {
		r.log.Warn("truncated an incomplete record at the end of the journal", "bytes", loaded.TruncatedBytes)
	}
	if err := r.rebuild(loaded.State); err != nil {
		return nil, err
	}
	opened = true
	return r, nil
}

// newIdentity returns the identity of a new replica. Its identifier is random, so
// that a replica with an empty disk is never taken for one that has voted.
func newIdentity(vm string, founder bool) *fleetpb.Identity {
	var b [identityBytes]byte
	_, _ = rand.Read(b[:])
	return &fleetpb.Identity{Id: vm + "-" + hex.EncodeToString(b[:]), Vm: vm, Founder: founder}
}

// rebuild builds the core and the state from the persistent state.
func (r *Replica) rebuild(d raft.PersistentState) error {
	r.state = state.New(r.cfg.Sink)
	if d.Snapshot.Index > 0 {
		if err := r.state.Restore(d.Snapshot.Index, d.Snapshot.State); err != nil {
			return err
		}
	}
	r.hard = d.Hard
	opts := []raft.Option{raft.WithInvariants(r.cfg.Sink)}
	if r.cfg.HeartbeatInterval > 0 {
		opts = append(opts, raft.WithTiming(r.cfg.HeartbeatInterval, r.cfg.ElectionTimeout))
	}
	r.core = raft.New(r.identity.Id, r.cfg.Clock.Now(), r.cfg.Source, d, opts...)
	r.recordVMs()
	r.publish()
	return nil
}

// ID returns the replica's identifier.
func (r *Replica) ID() string { return r.identity.Id }

// IsFounder reports whether the replica was created at a first start of the fleet, so that it may form a
// group.
func (r *Replica) IsFounder() bool { return r.identity.Founder }

// Status returns the latest published status.
func (r *Replica) Status() Status { return *r.status.Load() }

// OrderLease returns the current term and the remaining time of the leader lease,
// which is 0 when the replica is not the leader.
func (r *Replica) OrderLease() (term uint64, left clock.Duration) {
	s := r.status.Load()
	return s.Term, max(0, s.leaseUntil.Sub(r.cfg.Clock.Now()))
}

// Run runs the replica until ctx ends, its disk fails or it panics. After a panic the replica must be opened
// again, since what it holds in memory may be half changed.
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.done)
	err := error(ErrPanicked)
	crash.Contain("replica", func() { err = r.loop(ctx) })
	if err == nil {
		return r.stop(ErrStopped, nil)
	}
	r.log.Error("replica stopped", "error", err)
	return r.stop(err, err)
}

// loop processes events until ctx ends or the disk fails.
func (r *Replica) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	r.notify()
	batch := make([]event, 0, maxBatch)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			batch = append(batch, event{msg: raft.TickMsg{}})
		case e := <-r.inbox:
			batch = append(batch, e)
		}
		batch = r.fillBatch(batch)
		if err := r.processBatch(batch); err != nil {
			return err
		}
	}
}

// fillBatch adds the events that are already queued, up to maxBatch.
func (r *Replica) fillBatch(batch []event) []event {
	for len(batch) < maxBatch {
		select {
		case e := <-r.inbox:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// stop fails the pending proposals and closes the journal.
func (r *Replica) stop(reason, result error) error {
	r.err.Store(reason)
	r.snapshotWriters.Wait() // The next replica writes the same files.
	for _, p := range r.proposals {
		p.finish(nil, ErrStopped)
	}
	for _, p := range r.uncommitted {
		p.finish(nil, ErrStopped)
	}
	if err := r.journal.Close(); err != nil && result == nil {
		return fmt.Errorf("close journal: %w", err)
	}
	return result
}

// publish updates the status for other goroutines.
func (r *Replica) publish() {
	m := r.core.Membership()
	s := &Status{
		ID: r.identity.Id, Role: r.core.Role().String(), Term: r.core.Term(), Leader: r.vms[r.core.Leader()],
		Commit: r.core.CommitIndex(), Last: r.core.LastIndex(), Snapshot: r.core.SnapshotIndex(),
		Claims: r.state.ClaimCount(), Formed: m != nil, MembershipChanging: m != nil && !r.core.MembershipCommitted(),
	}
	for _, v := range m.GetVoters() {
		s.Voters = append(s.Voters, v.Vm)
		s.IsVoter = s.IsVoter || v.Id == r.identity.Id
	}
	for _, l := range m.GetLearners() {
		s.Learners = append(s.Learners, l.Vm)
	}
	s.leaseUntil = r.core.LeaseUntil()
	s.LeaseLeft = max(0, s.leaseUntil.Sub(r.cfg.Clock.Now()))
	s.Fencing, _ = r.state.Fencing()
	r.status.Store(s)
}

// recordVMs records the VM of each member.
func (r *Replica) recordVMs() {
	m := r.core.Membership()
	for _, v := range m.GetVoters() {
		r.vms[v.Id] = v.Vm
	}
	for _, l := range m.GetLearners() {
		r.vms[l.Id] = l.Vm
	}
}

// notify reports the state. The receiver only reads it, so that its panic leaves the replica whole.
func (r *Replica) notify() {
	if r.cfg.OnChange != nil {
		crash.Contain("change of the control state", func() { r.cfg.OnChange(r.state) })
	}
}
