// Package replica is the shell around one replica of the control state: it owns
// the journal, the timer and the queue, and carries out what the agreement and
// the state machine ask for. Many updates share one sync of the journal.
package replica

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/control/journal"
	"github.com/jasminecove/jasminecove/internal/control/raft"
	"github.com/jasminecove/jasminecove/internal/control/state"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Failures of a call to a replica.
const (
	ErrStopped = fault.Sentinel("replica: it has stopped")
	// ErrLost reports a command whose entry was replaced by another leader's.
	ErrLost = fault.Sentinel("replica: another leader took over before the command was committed")
	ErrBusy = fault.Sentinel("replica: too many calls wait")
)

// Constants of the shell.
const (
	tickEvery = 10 * time.Millisecond
	inboxSize = 8192
	maxBatch  = 1024
	// recordsPerSnapshot is how many records the journal holds before a snapshot
	// takes their place.
	recordsPerSnapshot = 4096
	// bytesPerSnapshot bounds the journal on VMs with a small disk.
	bytesPerSnapshot = 8 << 20
	// silentAfter is how long a member may stay unheard before a successor may
	// take its place.
	silentAfter   = 3 * clock.Second
	identityBytes = 8
)

// Sender carries messages to other replicas.
type Sender interface {
	// SendRaft sends to a replica on a VM. It may drop the message.
	SendRaft(vm string, m *fleetpb.RaftMessage)
}

// Config is what a replica is made of.
type Config struct {
	VM        string
	Disk      journal.Disk
	Clock     clock.Clock
	Source    *rng.Source
	Sink      invariant.Sink
	Log       hclog.Logger
	Sender    Sender
	Heartbeat clock.Duration // 0 takes the default.
	Election  clock.Duration
	// Voters is the number of voters that the group keeps; 0 sets no bound.
	Voters int
	// Changed is called in the replica's goroutine when commands were applied.
	Changed func(*state.State)
}

// Replica is one copy of the control state.
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
	err      atomic.Value // Of type error; why the replica stopped.

	// The fields below belong to the loop.
	nextTag   uint64
	proposals map[uint64]*proposal // By tag, until the index is known.
	waiting   map[uint64]*proposal // By index.
	reads     map[uint64]*read     // By tag.
	ready     []*read              // Confirmed, waiting to be applied.
	vms       map[string]string    // VM of each replica identity.
	saving    bool
	joins     map[string]*fleetpb.Replica
	retired   map[string]bool
	rosterAt  clock.Time

	status atomic.Pointer[Status]
}

// Status is a replica as operators see it.
type Status struct {
	ID        string         `json:"id"`
	Role      string         `json:"role"`
	Term      uint64         `json:"term"`
	Leader    string         `json:"leaderVM"`
	Commit    uint64         `json:"commit"`
	Last      uint64         `json:"last"`
	Snapshot  uint64         `json:"snapshot"`
	Voters    []string       `json:"voters"`          // VMs; one whose disk was replaced is named while its old replica votes.
	Votes     bool           `json:"votes,omitempty"` // This replica itself is one of the voters.
	Learners  []string       `json:"learners,omitempty"`
	Claims    int            `json:"claims"`
	Formed    bool           `json:"formed"`
	Changing  bool           `json:"membershipChanging,omitempty"` // A repair is not over yet.
	LeaseLeft clock.Duration `json:"leaseLeftMs"`
	Fencing   uint64         `json:"fencing"`

	leaseUntil clock.Time
}

// Open reads the data folder and prepares the replica. Run must follow.
func Open(cfg Config) (*Replica, error) {
	j, loaded, err := journal.Open(cfg.Disk)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		cfg: cfg, log: cfg.Log.Named("replica"), journal: j, identity: loaded.Identity,
		inbox: make(chan event, inboxSize), done: make(chan struct{}),
		proposals: map[uint64]*proposal{}, waiting: map[uint64]*proposal{}, reads: map[uint64]*read{},
		vms: map[string]string{}, joins: map[string]*fleetpb.Replica{}, retired: map[string]bool{},
	}
	if loaded.Identity == nil {
		r.identity = newIdentity(cfg.VM)
		if err := j.Begin(r.identity, raft.Durable{}); err != nil {
			return nil, err
		}
	}
	if loaded.CutBytes > 0 {
		r.log.Warn("torn tail cut off", "bytes", loaded.CutBytes)
	}
	return r, r.restart(loaded.Durable)
}

// newIdentity names a replica that has never voted.
func newIdentity(vm string) *fleetpb.Identity {
	var b [identityBytes]byte
	_, _ = rand.Read(b[:])
	return &fleetpb.Identity{Id: vm + "-" + hex.EncodeToString(b[:]), Vm: vm}
}

// restart builds the core and the state from what is durable.
func (r *Replica) restart(d raft.Durable) error {
	r.state = state.New(r.cfg.Sink)
	if d.Snapshot.Index > 0 {
		if err := r.state.Restore(d.Snapshot.Index, d.Snapshot.State); err != nil {
			return err
		}
	}
	r.hard = d.Hard
	opts := []raft.Option{raft.WithInvariants(r.cfg.Sink)}
	if r.cfg.Heartbeat > 0 {
		opts = append(opts, raft.WithTimes(r.cfg.Heartbeat, r.cfg.Election))
	}
	r.core = raft.New(r.identity.Id, r.cfg.Clock.Now(), r.cfg.Source, d, opts...)
	r.learnVMs()
	r.publish()
	return nil
}

// ID returns the replica's identity.
func (r *Replica) ID() string { return r.identity.Id }

// Status returns the newest status.
func (r *Replica) Status() Status { return *r.status.Load() }

// OrderLease returns the term of the replica's lead and the time that is left of
// its lease, 0 when it does not lead.
func (r *Replica) OrderLease() (term uint64, left clock.Duration) {
	s := r.status.Load()
	return s.Term, max(0, s.leaseUntil.Sub(r.cfg.Clock.Now()))
}

// Run carries the replica until ctx ends or its disk fails.
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.done)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	r.notify()
	batch := make([]event, 0, maxBatch)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return r.stop(ErrStopped, nil)
		case <-ticker.C:
			batch = append(batch, event{msg: raft.TickMsg{}})
		case e := <-r.inbox:
			batch = append(batch, e)
		}
		batch = r.fill(batch)
		if err := r.take(batch); err != nil {
			r.log.Error("stopped, the disk failed", "error", err)
			return r.stop(err, err)
		}
	}
}

// fill adds the events that wait already.
func (r *Replica) fill(batch []event) []event {
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

// stop fails everything that waits.
func (r *Replica) stop(reason, result error) error {
	r.err.Store(reason)
	for _, p := range r.proposals {
		p.finish(nil, ErrStopped)
	}
	for _, p := range r.waiting {
		p.finish(nil, ErrStopped)
	}
	if err := r.journal.Close(); err != nil && result == nil {
		return fmt.Errorf("close journal: %w", err)
	}
	return result
}

// publish makes the status visible to other goroutines.
func (r *Replica) publish() {
	m := r.core.Members()
	s := &Status{
		ID: r.identity.Id, Role: r.core.Role().String(), Term: r.core.Term(), Leader: r.vms[r.core.Leader()],
		Commit: r.core.Commit(), Last: r.core.LastIndex(), Snapshot: r.core.SnapshotIndex(),
		Claims: r.state.Claims(), Formed: m != nil, Changing: m != nil && !r.core.MembersCommitted(),
	}
	for _, v := range m.GetVoters() {
		s.Voters = append(s.Voters, v.Vm)
		s.Votes = s.Votes || v.Id == r.identity.Id
	}
	for _, l := range m.GetLearners() {
		s.Learners = append(s.Learners, l.Vm)
	}
	s.leaseUntil = r.core.LeaseUntil()
	s.LeaseLeft = max(0, s.leaseUntil.Sub(r.cfg.Clock.Now()))
	s.Fencing, _ = r.state.Fencing()
	r.status.Store(s)
}

// learnVMs remembers on which VM each member is.
func (r *Replica) learnVMs() {
	m := r.core.Members()
	for _, v := range m.GetVoters() {
		r.vms[v.Id] = v.Vm
	}
	for _, l := range m.GetLearners() {
		r.vms[l.Id] = l.Vm
	}
}

func (r *Replica) notify() {
	if r.cfg.Changed != nil {
		r.cfg.Changed(r.state)
	}
}
