package gossip

import (
	"math/bits"
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rendezvous"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Limits for the choice of targets.
const (
	// maxFullMesh is the number of VMs up to which every VM has all others as targets.
	maxFullMesh = 12
	// remoteTargets is the number of targets in other data centres.
	remoteTargets = 2
	// retargetDelay is the shortest interval between two choices of targets while VMs join,
	// because each new target costs a connection. A lost target is replaced at once.
	retargetDelay = 300 * clock.Millisecond
)

// targetsOutdated reports whether the targets are to be chosen again now.
func (c *Core) targetsOutdated(now clock.Time) bool {
	return c.liveChanged && (c.targetLost || len(c.targetNames) == 0 || now.Sub(c.targetsAt) >= retargetDelay)
}

// setTargets chooses the targets again. VMs that remain targets keep their timestamps.
func (c *Core) setTargets(now clock.Time) {
	c.liveChanged, c.targetLost, c.targetsAt = false, false, now
	live := c.Live()
	names := c.chooseTargets(live)
	next := map[string]*target{}
	for _, vm := range names {
		t := c.targets[vm]
		if t == nil {
			t = &target{receivedAt: now}
		}
		next[vm] = t
	}
	c.targets, c.targetNames = next, names
	c.interval = slowInterval
	if len(live) <= maxFullMesh {
		c.interval = fastInterval
	}
}

// chooseTargets returns the VMs to exchange messages with, sorted by name.
func (c *Core) chooseTargets(all []*fleetpb.Member) []string {
	var names []string
	if len(all) <= maxFullMesh {
		for _, m := range all {
			names = append(names, m.Vm)
		}
	} else {
		names = append(nearby(all, c.self), remote(all, c.self)...)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(vm string) bool { return vm == c.self.Vm })
}

// nearby returns VMs of the own data centre: the next one in the order of names, which
// connects all of them in a ring, and others at random, so that updates cross the data
// centre in a number of hops that grows with the logarithm of its size. Rendezvous hashing
// keeps nearly all targets when a VM joins or leaves.
func nearby(all []*fleetpb.Member, self *fleetpb.Member) []string {
	ring := inDataCentre(all, self.DataCentre)
	if len(ring) < 2 {
		return nil
	}
	at := slices.Index(ring, self.Vm)
	next := ring[(at+1)%len(ring)]
	others := slices.DeleteFunc(ring, func(vm string) bool { return vm == self.Vm || vm == next })
	random := min(len(others), bits.Len(uint(len(ring)))-1)
	return append(rendezvous.Rank(self.Vm, others)[:random], next)
}

// remote returns VMs of other data centres, at random, so that several VMs connect each pair
// of data centres.
func remote(all []*fleetpb.Member, self *fleetpb.Member) []string {
	var others []string
	for _, m := range all {
		if m.DataCentre != self.DataCentre && !slices.Contains(others, m.DataCentre) {
			others = append(others, m.DataCentre)
		}
	}
	var out []string
	for _, dc := range rendezvous.Rank(self.Vm, others)[:min(len(others), remoteTargets)] {
		out = append(out, rendezvous.Choose(self.Vm, inDataCentre(all, dc)))
	}
	return out
}

// inDataCentre returns the names of the VMs in a data centre, sorted.
func inDataCentre(all []*fleetpb.Member, dataCentre string) []string {
	var names []string
	for _, m := range all {
		if m.DataCentre == dataCentre {
			names = append(names, m.Vm)
		}
	}
	slices.Sort(names)
	return names
}
