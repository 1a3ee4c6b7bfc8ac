package replica

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/control/raft"
	"github.com/jasminecove/jasminecove/internal/control/state"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// NotLeaderError reports a call to a replica that does not lead.
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

// proposal is a command on its way.
type proposal struct {
	command []byte
	term    uint64
	done    chan proposalEnd
}

// proposalEnd is the fate of a command.
type proposalEnd struct {
	result *fleetpb.Result
	err    error
}

func (p *proposal) finish(result *fleetpb.Result, err error) {
	p.done <- proposalEnd{result: result, err: err}
}

// read is a linearizable read on its way.
type read struct {
	index uint64
	run   func(*state.State)
	done  chan error
}

// post queues an event. It reports whether there was room.
func (r *Replica) post(e event) bool {
	select {
	case r.inbox <- e:
		return true
	case <-r.done:
		return false
	}
}

// Deliver takes a message from another replica. It drops it when the queue is
// full; the sender repeats what matters.
func (r *Replica) Deliver(fromVM string, m *fleetpb.RaftMessage) {
	select {
	case r.inbox <- event{msg: raft.PeerMsg{Message: m}, fromVM: fromVM}:
	default:
	}
}

// Propose commits a command and returns its result. After an error the command
// may have been committed all the same; sending it again with its change
// identifier is safe.
func (r *Replica) Propose(ctx context.Context, c *fleetpb.Command) (*fleetpb.Result, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	p := &proposal{command: data, done: make(chan proposalEnd, 1)}
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

// Read runs f on the state once it holds everything that was committed before
// the call.
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

// HandOver asks a leader to hand over. It returns at once.
func (r *Replica) HandOver() { r.post(event{msg: raft.TransferMsg{}}) }

// Join asks the leader to add a replica as a learner. Other replicas ignore it.
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

// Form starts a new group of voters, of which this replica is one. It does
// nothing when the replica belongs to a group already.
func (r *Replica) Form(ctx context.Context, voters []*fleetpb.Replica) error {
	done := make(chan error, 1)
	ok := r.post(event{run: func() {
		if r.core.Members() != nil {
			done <- nil
			return
		}
		d := raft.Bootstrap(voters)
		if err := r.journal.Rewrite(d); err != nil {
			done <- err
			return
		}
		done <- r.restart(d)
	}})
	if !ok {
		return ErrStopped
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("form: %w", context.Cause(ctx))
	}
}

// proposed learns the index of a command, or that it was refused.
func (r *Replica) proposed(p raft.Proposal) {
	wait := r.proposals[p.Tag]
	if wait == nil {
		return
	}
	delete(r.proposals, p.Tag)
	if p.Err != nil {
		wait.finish(nil, r.notLeader(p.Err))
		return
	}
	if earlier := r.waiting[p.Index]; earlier != nil {
		earlier.finish(nil, ErrLost)
	}
	wait.term = p.Term
	r.waiting[p.Index] = wait
}

// confirm takes the answers to reads.
func (r *Replica) confirm(reads []raft.Read) {
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
		r.ready = append(r.ready, wait)
	}
}

// runReads runs the confirmed reads whose index is applied.
func (r *Replica) runReads() {
	kept := r.ready[:0]
	for _, rd := range r.ready {
		if r.state.Applied() < rd.index {
			kept = append(kept, rd)
			continue
		}
		rd.run(r.state)
		rd.done <- nil
	}
	r.ready = kept
}

func (r *Replica) notLeader(err error) error {
	return fmt.Errorf("%w: %w", &NotLeaderError{Leader: r.vms[r.core.Leader()]}, err)
}
