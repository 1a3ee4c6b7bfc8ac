package gossip

import (
	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// receive processes a message from another VM.
func (c *Core) receive(now clock.Time, m *fleetpb.GossipMessage) {
	if c.left || m.From == c.self.Vm {
		return
	}
	if t := c.targets[m.From]; t != nil {
		t.receivedAt = now
	}
	for _, other := range m.Members {
		c.merge(now, other)
	}
	c.applyFields(m)
	switch m.Kind {
	case fleetpb.GossipMessage_PING:
		c.send(m.FromAddress, &fleetpb.GossipMessage{Kind: fleetpb.GossipMessage_ACK, Sequence: m.Sequence})
	case fleetpb.GossipMessage_SYNC:
		c.sync(m.FromAddress, fleetpb.GossipMessage_SYNC_REPLY)
	case fleetpb.GossipMessage_HEARTBEAT:
		c.compareUpstreams(now, m)
		c.tellRevision(now, m)
	}
	if m.View != 0 && m.View != c.view && now.Sub(c.syncedAt) >= minSyncInterval {
		c.syncedAt = now
		c.sync(m.FromAddress, fleetpb.GossipMessage_SYNC)
	}
}

// tellRevision answers a heartbeat of a VM that has older tables. The VMs that have it as a target may be silent.
func (c *Core) tellRevision(now clock.Time, m *fleetpb.GossipMessage) {
	if m.Revision < c.floodedRevision(now) {
		c.send(m.FromAddress, &fleetpb.GossipMessage{Kind: fleetpb.GossipMessage_SYNC_REPLY})
	}
}

// floodedRevision returns the newest revision of this VM that all VMs should know, or 0 if there is none.
func (c *Core) floodedRevision(now clock.Time) uint64 {
	flooded := func(r inForce) bool { return now.Sub(r.since) >= floodTime }
	for len(c.revisions) > 1 && flooded(c.revisions[1]) {
		c.revisions = c.revisions[1:]
	}
	if len(c.revisions) == 0 || !flooded(c.revisions[0]) {
		return 0
	}
	return c.revisions[0].revision
}

// compareUpstreams requests a comparison of the upstreams with a VM that has known others for
// some time, because one of both VMs has missed an update.
func (c *Core) compareUpstreams(now clock.Time, m *fleetpb.GossipMessage) {
	since, differs := c.differSince[m.From]
	switch {
	case m.Upstreams == c.upstreams:
		delete(c.differSince, m.From)
	case !differs:
		c.differSince[m.From] = now
	case now.Sub(since) >= upstreamsDifferPeriod:
		delete(c.differSince, m.From)
		c.out.UpstreamsDiffer = m.From
	}
}

// applyFields applies the fields of a message other than its members.
func (c *Core) applyFields(m *fleetpb.GossipMessage) {
	if m.Revision > c.revision {
		c.revision = m.Revision
		c.out.Revision = m.Revision
	}
	if c.applyStamp(m.Stamp) {
		c.out.Stamp = m.Stamp
	}
	if len(m.Digests) > 0 {
		c.out.Digests = append(c.out.Digests, m.Digests...)
	}
	c.out.HomeHashes = append(c.out.HomeHashes, m.Homes...)
	c.out.From = m.From
	if e := c.entries[m.From]; e != nil && e.member.Revision < m.Revision {
		next := proto.CloneOf(e.member)
		next.Revision = m.Revision
		c.setMember(e, next)
	}
}

// applyStamp records a newer stamp and reports whether it is newer. The first stamp of a
// leader's term is sent at once, because calls wait for a leader; later ones go with the
// next messages.
func (c *Core) applyStamp(stamp uint64) bool {
	if stamp <= c.stamp {
		return false
	}
	c.urgent = c.urgent || stamp>>StampTermShift > c.stamp>>StampTermShift
	c.stamp = stamp
	return true
}
