// Package roster decides the next step of the group's membership: it brings
// replicas with a replaced disk back, one step at a time.
package roster

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Peers tells how the other replicas of the group stand.
type Peers struct {
	// CaughtUp reports whether a learner durably holds what is committed.
	CaughtUp func(id string) bool
	// Silent reports whether a replica has not been heard for long. Nil means
	// that none is.
	Silent func(id string) bool
}

func (p Peers) silent(id string) bool { return p.Silent != nil && p.Silent(id) }

// Next returns the membership to propose, or nil when nothing is to be done.
// wanted are replicas that asked to join, and VMs in retired leave the group.
// target is the number of voters beyond which silent ones are removed and
// learners stay learners; 0 sets no such bound.
//
// A replica of a VM whose disk was replaced first learns and then votes. The
// agreement itself removes the VM's old identity as soon as that is committed.
// A VM that is gone for good is removed once its successor votes.
func Next(members *fleetpb.Membership, wanted []*fleetpb.Replica, retired []string, target int, peers Peers) *fleetpb.Membership {
	next := proto.CloneOf(members)
	if learn(next, wanted, retired) || promote(next, target, peers) || retire(next, retired) || trim(next, target, peers) {
		return next
	}
	return nil
}

// learn adds one wanted replica as a learner. Earlier learners of the same VM go,
// because their disk is gone.
func learn(next *fleetpb.Membership, wanted []*fleetpb.Replica, retired []string) bool {
	for _, w := range wanted {
		if has(next.Voters, w.Id) || has(next.Learners, w.Id) || slices.Contains(retired, w.Vm) {
			continue
		}
		next.Learners = slices.DeleteFunc(next.Learners, func(r *fleetpb.Replica) bool { return r.Vm == w.Vm })
		next.Learners = append(next.Learners, w)
		return true
	}
	return false
}

// promote lets a learner that has caught up vote, where its VM's old identity or
// a silent voter makes room, or the group is below its target.
func promote(next *fleetpb.Membership, target int, peers Peers) bool {
	for i, l := range next.Learners {
		room := target == 0 || len(next.Voters) < target || slices.ContainsFunc(next.Voters, func(v *fleetpb.Replica) bool {
			return v.Vm == l.Vm || peers.silent(v.Id)
		})
		if room && !peers.silent(l.Id) && peers.CaughtUp(l.Id) {
			next.Learners = slices.Delete(next.Learners, i, i+1)
			next.Voters = append(next.Voters, l)
			return true
		}
	}
	return false
}

// retire removes one replica of a VM that is to leave the group. The last voter
// stays.
func retire(next *fleetpb.Membership, retired []string) bool {
	gone := func(r *fleetpb.Replica) bool { return slices.Contains(retired, r.Vm) }
	if i := slices.IndexFunc(next.Learners, gone); i >= 0 {
		next.Learners = slices.Delete(next.Learners, i, i+1)
		return true
	}
	if i := slices.IndexFunc(next.Voters, gone); i >= 0 && len(next.Voters) > 1 {
		next.Voters = slices.Delete(next.Voters, i, i+1)
		return true
	}
	return false
}

// trim removes one silent replica: a voter while there are more than target, or
// a learner.
func trim(next *fleetpb.Membership, target int, peers Peers) bool {
	gone := func(r *fleetpb.Replica) bool { return peers.silent(r.Id) }
	if i := slices.IndexFunc(next.Voters, gone); target > 0 && len(next.Voters) > target && i >= 0 {
		next.Voters = slices.Delete(next.Voters, i, i+1)
		return true
	}
	if i := slices.IndexFunc(next.Learners, gone); target > 0 && i >= 0 {
		next.Learners = slices.Delete(next.Learners, i, i+1)
		return true
	}
	return false
}

func has(replicas []*fleetpb.Replica, id string) bool {
	return slices.ContainsFunc(replicas, func(r *fleetpb.Replica) bool { return r.Id == id })
}
