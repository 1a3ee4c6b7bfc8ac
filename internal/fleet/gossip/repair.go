package gossip

import (
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Repair restores the invariants after a panic in Update. It keeps the VMs that are known, computes again
// what follows from them, and drops what waits to be sent: updates that are lost are found by the
// comparison of views and upstreams.
func (c *Core) Repair() {
	c.out = Effects{}
	c.digests = nil
	clear(c.pending)
	clear(c.except)
	clear(c.suspects)
	c.view, c.members, c.live = 0, nil, nil
	for vm, e := range c.entries {
		if e == nil || e.member == nil || e.member.Vm != vm {
			delete(c.entries, vm)
			continue
		}
		c.view += memberHash(e.member)
		if e.member.State == fleetpb.Member_SUSPECT {
			c.suspects[vm] = true
		}
	}
	if c.entries[c.self.Vm] == nil {
		c.entries[c.self.Vm] = &entry{}
		c.setMember(c.entries[c.self.Vm], c.self)
	}
	c.targets, c.targetNames = map[string]*target{}, nil
	c.liveChanged = true // The next tick chooses the targets.
}
