// Package roster decides the next step of the group's membership: it brings
// replicas with a replaced disk back, one step at a time.
package roster

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Next returns the membership to propose, or nil when nothing is to be done.
// wanted are replicas that asked to join, and VMs in retired leave the group.
// caughtUp reports whether a learner durably holds what is committed.
//
// A replica of a VM whose disk was replaced first learns and then votes. The
// agreement itself removes the VM's old identity as soon as that is committed.
func Next(members *fleetpb.Membership, wanted []*fleetpb.Replica, retired []string, caughtUp func(id string) bool) *fleetpb.Membership {
	next := proto.CloneOf(members)
	if learn(next, wanted, retired) || promote(next, caughtUp) || retire(next, retired) {
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

func promote(next *fleetpb.Membership, caughtUp func(id string) bool) bool {
	for i, l := range next.Learners {
		if caughtUp(l.Id) {
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

func has(replicas []*fleetpb.Replica, id string) bool {
	return slices.ContainsFunc(replicas, func(r *fleetpb.Replica) bool { return r.Id == id })
}
