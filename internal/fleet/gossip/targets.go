package gossip

import (
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Limits for the choice of targets.
const (
	// maxFullMesh is the number of VMs up to which every VM has all others as targets.
	maxFullMesh = 12
	// remoteTargets is the number of targets in other data centres.
	remoteTargets = 2
)

// setTargets chooses the targets again. VMs that remain targets keep their timestamps.
func (c *Core) setTargets(now clock.Time) {
	names := c.chooseTargets(c.Live())
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
	if len(c.entries) <= maxFullMesh {
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
		names = append(fingers(all, c.self), remote(all, c.self)...)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(vm string) bool { return vm == c.self.Vm })
}

// fingers returns the VMs at distances 1, 2, 4 and so on along the ring of the
// own data centre, so that updates cross it in a number of hops that grows with the
// logarithm of its size.
func fingers(all []*fleetpb.Member, self *fleetpb.Member) []string {
	ring := inDataCentre(all, self.DataCentre)
	at := slices.Index(ring, self.Vm)
	var out []string
	for distance := 1; distance < len(ring); distance *= 2 {
		out = append(out, ring[(max(at, 0)+distance)%len(ring)])
	}
	return out
}

// remote returns VMs of other data centres, spread so that several VMs connect each pair
// of data centres.
func remote(all []*fleetpb.Member, self *fleetpb.Member) []string {
	var others []string
	for _, m := range all {
		if m.DataCentre != self.DataCentre && !slices.Contains(others, m.DataCentre) {
			others = append(others, m.DataCentre)
		}
	}
	if len(others) == 0 {
		return nil
	}
	slices.Sort(others)
	at := max(0, slices.Index(inDataCentre(all, self.DataCentre), self.Vm))
	var out []string
	for k := range remoteTargets {
		ring := inDataCentre(all, others[(at*remoteTargets+k)%len(others)])
		out = append(out, ring[at%len(ring)])
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
