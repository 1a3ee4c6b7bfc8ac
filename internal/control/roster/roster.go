// Package roster decides the next change of the Raft group's membership. It adds
// replicas as learners, promotes them to voters, and removes replaced, retired and
// unresponsive ones, with one change at a time.
package roster

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Peers reports the condition of the other replicas of the group.
type Peers struct {
	// CaughtUp reports whether a learner durably holds every committed entry.
	CaughtUp func(id string) bool
	// Unresponsive reports whether a replica has not replied for a long time. Nil means
	// that every replica is responsive.
	Unresponsive func(id string) bool
	// Leaving reports whether a replica's VM is about to stop, or has stopped as planned. Nil
	// means that none does.
	Leaving func(id string) bool
}

func (p Peers) unresponsive(id string) bool { return p.Unresponsive != nil && p.Unresponsive(id) }

// gone reports whether a replica no longer counts as one that the group can rely on.
func (p Peers) gone(id string) bool {
	return p.unresponsive(id) || p.Leaving != nil && p.Leaving(id)
}

// Next returns the next membership to propose, or nil when no change is needed.
// wanted are the replicas that asked to join, and retired are the VMs to remove.
// target is the number of voters above which unresponsive and leaving ones are removed
// and learners are not promoted; 0 means no limit.
//
// A replica of a VM whose disk was replaced is first a learner and then a voter.
// Package raft removes the VM's old replica as soon as the promotion is committed.
// A VM that failed permanently, leaves or is retired is removed once its successor is a
// voter, if there is one.
func Next(members *fleetpb.Membership, wanted []*fleetpb.Replica, retired []string, target int, peers Peers) *fleetpb.Membership {
	next := proto.CloneOf(members)
	if addLearner(next, wanted, retired) || promote(next, retired, target, peers) || removeRetired(next, retired, target, peers) || removeGone(next, target, peers) {
		return next
	}
	return nil
}

// addLearner adds one wanted replica as a learner. It removes earlier learners of the
// same VM, because their disk has been replaced.
func addLearner(next *fleetpb.Membership, wanted []*fleetpb.Replica, retired []string) bool {
	for _, w := range wanted {
		if contains(next.Voters, w.Id) || contains(next.Learners, w.Id) || slices.Contains(retired, w.Vm) {
			continue
		}
		next.Learners = slices.DeleteFunc(next.Learners, func(r *fleetpb.Replica) bool { return r.Vm == w.Vm })
		next.Learners = append(next.Learners, w)
		return true
	}
	return false
}

// AwaitsSuccessor reports whether a member that leaves should wait: it is a voter that will be
// replaced.
func AwaitsSuccessor(members *fleetpb.Membership, id string, target int, peers Peers) bool {
	if target == 0 || !contains(members.Voters, id) {
		return false
	}
	return len(members.Voters) > target || slices.ContainsFunc(members.Learners, func(l *fleetpb.Replica) bool { return !peers.gone(l.Id) })
}

// promote makes one learner that has caught up a voter, if the voters that will stay are
// fewer than the target, or if a voter of the same VM can be replaced.
func promote(next *fleetpb.Membership, retired []string, target int, peers Peers) bool {
	staying := 0
	for _, v := range next.Voters {
		if !peers.gone(v.Id) && !slices.Contains(retired, v.Vm) {
			staying++
		}
	}
	for i, l := range next.Learners {
		mayPromote := target == 0 || staying < target || slices.ContainsFunc(next.Voters, func(v *fleetpb.Replica) bool { return v.Vm == l.Vm })
		if mayPromote && !peers.gone(l.Id) && !slices.Contains(retired, l.Vm) && peers.CaughtUp(l.Id) {
			next.Learners = slices.Delete(next.Learners, i, i+1)
			next.Voters = append(next.Voters, l)
			return true
		}
	}
	return false
}

// removeRetired removes one replica of a retired VM. The last voter is never removed, nor
// one whose successor is still to be promoted.
func removeRetired(next *fleetpb.Membership, retired []string, target int, peers Peers) bool {
	isRetired := func(r *fleetpb.Replica) bool { return slices.Contains(retired, r.Vm) }
	if i := slices.IndexFunc(next.Learners, isRetired); i >= 0 {
		next.Learners = slices.Delete(next.Learners, i, i+1)
		return true
	}
	i := slices.IndexFunc(next.Voters, isRetired)
	if i < 0 || len(next.Voters) == 1 || len(next.Voters) <= target && AwaitsSuccessor(next, next.Voters[i].Id, target, peers) {
		return false
	}
	next.Voters = slices.Delete(next.Voters, i, i+1)
	return true
}

// removeGone removes one replica: an unresponsive or leaving voter while there are more voters
// than target, or else an unresponsive learner.
func removeGone(next *fleetpb.Membership, target int, peers Peers) bool {
	i := slices.IndexFunc(next.Voters, func(r *fleetpb.Replica) bool { return peers.gone(r.Id) })
	if target > 0 && len(next.Voters) > target && i >= 0 {
		next.Voters = slices.Delete(next.Voters, i, i+1)
		return true
	}
	i = slices.IndexFunc(next.Learners, func(r *fleetpb.Replica) bool { return peers.unresponsive(r.Id) })
	if target > 0 && i >= 0 {
		next.Learners = slices.Delete(next.Learners, i, i+1)
		return true
	}
	return false
}

func contains(replicas []*fleetpb.Replica, id string) bool {
	return slices.ContainsFunc(replicas, func(r *fleetpb.Replica) bool { return r.Id == id })
}
