package replica

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/control/raft"
	"github.com/jasminecove/jasminecove/internal/control/state"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// NotLeaderError reports a call to a replica that is not the leader.
type NotLeaderError struct {
	Leader string // VM of the leader, if known.
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "replica: there is no leader known"
	}
	return "replica: the leader is on VM " + e.Leader
}

// proposal is a command that is not applied yet.
type proposal struct {
	command []byte
	term    uint64
	done    chan proposalResult
}

// proposalResult is the result of a proposal.
type proposalResult struct {
	result *fleetpb.Result
	err    error
}

func (p *proposal) finish(result *fleetpb.Result, err error) {
	select {
	case p.done <- proposalResult{result: result, err: err}:
	default: // A panic ended the loop after the proposal had its result.
	}
}

// read is a pending linearizable read.
type read struct {
	index uint64
	run   func(*state.State)
	done  chan error
}

// post queues an event and waits for room in the queue. It returns false when the
// replica has stopped.
func (r *Replica) post(e event) bool {
	select {
	case r.inbox <- e:
		return true
	case <-r.done:
		return false
	}
}

// Deliver queues a message from another replica. It drops the message when the
// queue is full, because the sender retransmits.
func (r *Replica) Deliver(fromVM string, m *fleetpb.RaftMessage) {
	select {
	case r.inbox <- event{msg: raft.PeerMsg{Message: m}, fromVM: fromVM}:
	default:
	}
}

// Propose commits a command and returns its result. After an error the command
// may still have been committed; a retry with the same change identifier is safe.
func (r *Replica) Propose(ctx context.Context, c *fleetpb.Command) (*fleetpb.Result, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnencodable, err)
	}
	p := &proposal{command: data, done: make(chan proposalResult, 1)}
	if !r.post(event{proposal: p}) {
		return nil, ErrStopped
	}
	select {
	case end := <-p.done:
		return end.result, end.err
	case <-ctx.Done():
		return nil, fmt.Errorf("propose: %w", context.Cause(ctx))
	case <-r.done:
		return nil, ErrStopped
	}
}

// Read performs a linearizable read: it runs f on the state once everything that
// was committed before the call has been applied.
func (r *Replica) Read(ctx context.Context, f func(*state.State)) error {
	rd := &read{run: f, done: make(chan error, 1)}
	if !r.post(event{read: rd}) {
		return ErrStopped
	}
	select {
	case err := <-rd.done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("read: %w", context.Cause(ctx))
	case <-r.done:
		return ErrStopped
	}
}

// TransferLeadership asks a leader to transfer its leadership, if possible to a replica that
// does not leave itself. It does not wait for the transfer.
func (r *Replica) TransferLeadership() { r.post(event{msg: raft.TransferMsg{Avoid: r.isLeaving}}) }

// Leave tells a leader that a replica's VM is about to stop. It reports whether the VM should
// wait until a successor has taken the replica's place. It must be repeated within
// leavingTimeout while the VM waits.
func (r *Replica) Leave(ctx context.Context, id string) (waiting bool, err error) {
	done := make(chan bool, 1)
	ok := r.post(event{run: func() {
		r.leaving[id] = r.cfg.Clock.Now()
		delete(r.joins, r.vms[id])
		done <- r.awaitsSuccessor(id)
	}})
	if !ok {
		return false, ErrStopped
	}
	select {
	case waiting := <-done:
		return waiting, nil
	case <-ctx.Done():
		return false, fmt.Errorf("leave: %w", context.Cause(ctx))
	case <-r.done:
		return false, ErrStopped
	}
}

// Join asks the leader to add a replica as a learner. Replicas other than the
// leader ignore it.
func (r *Replica) Join(j *fleetpb.Replica) {
	r.post(event{run: func() {
		r.joins[j.Vm] = j
		r.vms[j.Id] = j.Vm
		delete(r.retired, j.Vm)
	}})
}

// Retire asks the leader to remove a VM's replica from the group.
func (r *Replica) Retire(vm string) {
	r.post(event{run: func() {
		r.retired[vm] = true
		delete(r.joins, vm)
	}})
}

// Bootstrap starts a new group of voters that includes this replica. It does
// nothing when the replica already belongs to a group.
func (r *Replica) Bootstrap(ctx context.Context, voters []*fleetpb.Replica) error {
	done := make(chan error, 1)
	ok := r.post(event{run: func() {
		if r.core.Membership() != nil {
			done <- nil
			return
		}
		d := raft.Bootstrap(voters)
		if err := r.journal.Rewrite(d); err != nil {
			done <- err
			return
		}
		done <- r.rebuild(d)
	}})
	if !ok {
		return ErrStopped
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("form: %w", context.Cause(ctx))
	case <-r.done:
		return ErrStopped
	}
}

// handleProposed handles the core's response to a proposal: the index of its entry, or
// an error.
func (r *Replica) handleProposed(p raft.ProposalResult) {
	wait := r.proposals[p.Tag]
	if wait == nil {
		return
	}
	delete(r.proposals, p.Tag)
	if p.Err != nil {
		wait.finish(nil, r.notLeader(p.Err))
		return
	}
	if earlier := r.uncommitted[p.Index]; earlier != nil {
		earlier.finish(nil, ErrSuperseded)
	}
	wait.term = p.Term
	r.uncommitted[p.Index] = wait
}

// confirmReads handles the core's responses to reads.
func (r *Replica) confirmReads(reads []raft.ReadResult) {
	for _, rd := range reads {
		wait := r.reads[rd.Tag]
		if wait == nil {
			continue
		}
		delete(r.reads, rd.Tag)
		if rd.Err != nil {
			wait.done <- r.notLeader(rd.Err)
			continue
		}
		wait.index = rd.Index
		r.confirmed = append(r.confirmed, wait)
	}
}

// runReads runs the confirmed reads whose index has been applied.
func (r *Replica) runReads() {
	kept := r.confirmed[:0]
	for _, rd := range r.confirmed {
		if r.state.AppliedIndex() < rd.index {
			kept = append(kept, rd)
			continue
		}
		err := error(ErrPanicked)
		crash.Contain("read of the control state", func() { rd.run(r.state); err = nil })
		rd.done <- err
	}
	r.confirmed = kept
}

func (r *Replica) notLeader(err error) error {
	return fmt.Errorf("%w: %w", &NotLeaderError{Leader: r.vms[r.core.Leader()]}, err)
}
