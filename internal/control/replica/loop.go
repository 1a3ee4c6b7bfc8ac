package replica

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/control/raft"
	"github.com/jasminecove/jasminecove/internal/control/roster"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// membershipInterval is the interval between checks of the group's membership.
const membershipInterval = 100 * clock.Millisecond

// membershipPause is how long the membership is not checked after a check that panicked.
const membershipPause = 10 * clock.Second

// event is one input of the loop: a message for the core, a function, a proposal
// or a read.
type event struct {
	msg      raft.Msg
	run      func()
	proposal *proposal
	read     *read
	fromVM   string
}

// processBatch processes a batch of events with one sync of the journal.
func (r *Replica) processBatch(batch []event) error {
	var sum raft.Effects
	for _, e := range batch {
		out := r.update(e)
		r.send(out.Send)
		if out.Restore != nil {
			// The effects before the snapshot must be performed first.
			if err := r.perform(&sum); err != nil {
				return err
			}
			sum = raft.Effects{}
		}
		merge(&sum, &out)
		if out.Restore != nil {
			if err := r.perform(&sum); err != nil {
				return err
			}
			sum = raft.Effects{}
		}
	}
	if err := r.perform(&sum); err != nil {
		return err
	}
	if !crash.Contain("membership", r.manageMembership) {
		r.membershipCheckedAt = r.cfg.Clock.Now().Add(membershipPause)
	}
	r.publish()
	return nil
}

// update processes one event and returns the core's effects.
func (r *Replica) update(e event) raft.Effects {
	now := r.cfg.Clock.Now()
	switch {
	case e.run != nil:
		e.run()
		return raft.Effects{}
	case e.proposal != nil:
		r.nextTag++
		r.proposals[r.nextTag] = e.proposal
		return r.core.Update(now, raft.ProposeMsg{Command: e.proposal.command, Tag: r.nextTag})
	case e.read != nil:
		r.nextTag++
		r.reads[r.nextTag] = e.read
		return r.core.Update(now, raft.ReadMsg{Tag: r.nextTag})
	}
	if p, ok := e.msg.(raft.PeerMsg); ok && e.fromVM != "" {
		r.vms[p.Message.From] = e.fromVM
	}
	return r.core.Update(now, e.msg)
}

// merge adds later effects to earlier ones that have not been performed yet.
func merge(sum, next *raft.Effects) {
	if next.Hard != nil {
		sum.Hard = next.Hard
	}
	if next.TruncateFrom > 0 {
		sum.Append = slices.DeleteFunc(sum.Append, func(e *fleetpb.Entry) bool { return e.Index >= next.TruncateFrom })
		if sum.TruncateFrom == 0 || next.TruncateFrom < sum.TruncateFrom {
			sum.TruncateFrom = next.TruncateFrom
		}
	}
	if next.Restore != nil {
		sum.Restore = next.Restore
	}
	sum.Append = append(sum.Append, next.Append...)
	sum.SendAfterSync = append(sum.SendAfterSync, next.SendAfterSync...)
	sum.Committed = append(sum.Committed, next.Committed...)
	sum.Proposed = append(sum.Proposed, next.Proposed...)
	sum.Reads = append(sum.Reads, next.Reads...)
}

// perform makes effects durable and then performs the actions that depend on that.
func (r *Replica) perform(e *raft.Effects) error {
	if err := r.persist(e); err != nil {
		return err
	}
	r.send(e.SendAfterSync)
	for _, p := range e.Proposed {
		r.handleProposed(p)
	}
	r.apply(e.Committed)
	r.confirmReads(e.Reads)
	if len(e.Append) == 0 {
		r.runReads()
		return nil
	}
	last := e.Append[len(e.Append)-1]
	after := r.core.Update(r.cfg.Clock.Now(), raft.SyncedMsg{Index: last.Index, Term: last.Term})
	r.send(after.Send)
	r.send(after.SendAfterSync)
	r.apply(after.Committed)
	r.confirmReads(after.Reads)
	r.runReads()
	return nil
}

func (r *Replica) persist(e *raft.Effects) error {
	if e.Hard != nil {
		r.hard = e.Hard
	}
	if e.Restore != nil {
		if err := r.journal.SaveSnapshot(*e.Restore); err != nil {
			return err
		}
		if err := r.journal.Reset(r.hard, nil); err != nil {
			return err
		}
		if err := r.state.Restore(e.Restore.Index, e.Restore.State); err != nil {
			return err
		}
		r.recordVMs()
		r.log.Info("state restored from the leader's snapshot", "index", e.Restore.Index)
		r.notify()
		return nil
	}
	if e.Hard == nil && e.TruncateFrom == 0 && len(e.Append) == 0 {
		return nil
	}
	return r.journal.Append(e.Hard, e.TruncateFrom, e.Append)
}

func (r *Replica) send(msgs []*fleetpb.RaftMessage) {
	for _, m := range msgs {
		if vm := r.vms[m.To]; vm != "" {
			r.cfg.Sender.SendRaft(vm, m)
		}
	}
}

// apply applies committed entries and completes the proposals that wait for them.
func (r *Replica) apply(entries []*fleetpb.Entry) {
	for _, e := range entries {
		var c *fleetpb.Command
		if len(e.Command) > 0 {
			c = &fleetpb.Command{}
			if err := proto.Unmarshal(e.Command, c); err != nil {
				r.log.Error("cannot decode a committed command; skipped", "index", e.Index, "error", err)
				c = nil
			}
		}
		result := r.state.Apply(e.Index, c)
		if e.Membership != nil {
			r.recordVMs()
		}
		p := r.uncommitted[e.Index]
		if p == nil {
			continue
		}
		delete(r.uncommitted, e.Index)
		if p.term != e.Term {
			p.finish(nil, ErrSuperseded)
			continue
		}
		p.finish(result, nil)
	}
	if len(entries) > 0 {
		r.notify()
		r.snapshot()
	}
}

// snapshot encodes the state in the background once the journal exceeds its
// limits.
func (r *Replica) snapshot() {
	if r.snapshotInProgress || r.journal.Records() < recordsPerSnapshot && r.journal.Size() < bytesPerSnapshot || r.state.AppliedIndex() <= r.core.SnapshotIndex() {
		return
	}
	r.snapshotInProgress = true
	index := r.state.AppliedIndex()
	encode := r.state.Capture()
	go func() {
		defer crash.Recover("snapshot encoder")
		var data []byte
		err := error(ErrPanicked)
		defer func() { r.post(event{run: func() { r.saveSnapshot(index, data, err) }}) }()
		data, err = encode()
	}()
}

// saveSnapshot compacts the core's log with the encoded state and writes the
// snapshot in the background.
func (r *Replica) saveSnapshot(index uint64, data []byte, err error) {
	if err != nil || index <= r.core.SnapshotIndex() {
		r.snapshotInProgress = false
		return
	}
	r.core.Update(r.cfg.Clock.Now(), raft.CompactMsg{Index: index, State: data})
	s := r.core.Snapshot()
	r.snapshotWriters.Add(1)
	go func() {
		defer crash.Recover("snapshot writer")
		err := error(ErrPanicked)
		defer func() { r.post(event{run: func() { r.snapshotSaved(s, err) }}) }()
		defer r.snapshotWriters.Done()
		err = r.journal.SaveSnapshot(s)
	}()
}

// snapshotSaved starts a new journal that follows the saved snapshot.
func (r *Replica) snapshotSaved(s raft.Snapshot, err error) {
	r.snapshotInProgress = false
	if err == nil && r.core.Snapshot().Index == s.Index {
		err = r.journal.Reset(r.hard, r.core.EntriesAfterSnapshot())
	}
	if err != nil {
		r.log.Error("saving the snapshot failed", "index", s.Index, "error", err)
		return
	}
	r.log.Debug("snapshot saved", "index", s.Index, "bytes", len(s.State))
}

// manageMembership proposes the next membership change, if any, when this replica is
// the leader.
func (r *Replica) manageMembership() {
	now := r.cfg.Clock.Now()
	if r.core.Role() != raft.Leader || now.Sub(r.membershipCheckedAt) < membershipInterval {
		return
	}
	r.membershipCheckedAt = now
	wanted := make([]*fleetpb.Replica, 0, len(r.joins))
	for _, j := range r.joins {
		if !r.isLeaving(j.Id) {
			wanted = append(wanted, j)
		}
	}
	retired := make([]string, 0, len(r.retired))
	for vm := range r.retired {
		retired = append(retired, vm)
	}
	next := roster.Next(r.core.Membership(), wanted, retired, r.cfg.TargetVoters, r.peers(now))
	if next == nil {
		return
	}
	// The loop must not block on its own queue. A dropped change is proposed again
	// at the next check.
	select {
	case r.inbox <- event{msg: raft.MembershipMsg{Membership: next}}:
	default:
	}
	r.log.Info("membership change proposed", "voters", len(next.Voters), "learners", len(next.Learners))
}

// peers returns the condition of the other replicas.
func (r *Replica) peers(now clock.Time) roster.Peers {
	return roster.Peers{
		CaughtUp: func(id string) bool { return r.core.MatchIndex(id) >= r.core.CommitIndex() },
		Unresponsive: func(id string) bool {
			return id != r.identity.Id && now.Sub(r.core.LastAck(id)) > unresponsiveTimeout
		},
		Leaving: r.isLeaving,
	}
}

// isLeaving reports whether a replica's VM is about to stop or has stopped as planned.
func (r *Replica) isLeaving(id string) bool {
	if at, ok := r.leaving[id]; ok {
		if r.cfg.Clock.Now().Sub(at) < leavingTimeout {
			return true
		}
		delete(r.leaving, id)
	}
	return r.cfg.HasLeft != nil && r.cfg.HasLeft(r.vms[id])
}

// awaitsSuccessor reports whether a replica that leaves is to be replaced, or its removal is
// not committed yet.
func (r *Replica) awaitsSuccessor(id string) bool {
	if r.core.Role() != raft.Leader {
		return true
	}
	return roster.AwaitsSuccessor(r.core.Membership(), id, r.cfg.TargetVoters, r.peers(r.cfg.Clock.Now())) ||
		r.cfg.TargetVoters > 0 && !r.core.MembershipCommitted()
}
