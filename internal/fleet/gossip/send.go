package gossip

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

func (c *Core) setRevision(now clock.Time, revision uint64) {
	if revision <= c.self.Revision {
		return
	}
	c.floodedRevision(now) // Drops what is not needed any more.
	c.revisions = append(c.revisions, inForce{revision, now})
	c.revision = max(c.revision, revision)
	c.self = proto.CloneOf(c.self)
	c.self.Revision = revision
	c.setMember(c.entries[c.self.Vm], c.self)
	c.urgent = true
	c.flush()
}

func (c *Core) addDigests(m DigestsMsg) {
	for _, d := range m.Digests {
		if d == nil { // The sender of the update could not encode it.
			continue
		}
		c.digests = append(c.digests, d)
		if m.Except != "" {
			c.except[d.Id] = m.Except
		}
	}
}

// flush sends the updates since the last flush to every target.
func (c *Core) flush() {
	if len(c.pending) == 0 && len(c.digests) == 0 && !c.urgent {
		return
	}
	if len(c.targetNames) == 0 && !c.left {
		// Updates wait until there is a first target.
		return
	}
	members := make([]*fleetpb.Member, 0, len(c.pending))
	for _, vm := range sortedKeys(c.pending) {
		members = append(members, c.entries[vm].member)
	}
	for _, vm := range c.targetNames {
		digests := slices.DeleteFunc(slices.Clone(c.digests), func(d *fleetpb.Digest) bool { return c.except[d.Id] == vm })
		if len(members) == 0 && len(digests) == 0 && !c.urgent {
			continue
		}
		c.send(c.entries[vm].member.Address, &fleetpb.GossipMessage{Kind: fleetpb.GossipMessage_SYNC_REPLY, Members: members, Digests: digests})
	}
	c.digests, c.urgent = nil, false
	clear(c.pending)
	clear(c.except)
}

func (c *Core) send(address string, m *fleetpb.GossipMessage) {
	m.From, m.FromAddress = c.self.Vm, c.self.Address
	m.View, m.Revision, m.Stamp = c.view, c.self.Revision, c.stamp
	if len(m.Members) == 0 && m.Kind != fleetpb.GossipMessage_SYNC_REPLY {
		// The receiver may not know this VM yet, so the ping carries its state.
		if len(c.entries) == 1 {
			m.Members = []*fleetpb.Member{c.self}
		}
	}
	c.out.Send = append(c.out.Send, Outgoing{Address: address, Message: m})
}
