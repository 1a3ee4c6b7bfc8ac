package gossip

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// detect marks unresponsive targets as suspect and suspects that did not refute in time
// as dead.
func (c *Core) detect(now clock.Time) {
	timeout := clock.Duration(pingsToSuspect) * c.interval
	if c.isolated(now, timeout) {
		timeout *= isolatedFactor
	}
	for _, vm := range c.targetNames {
		t, e := c.targets[vm], c.entries[vm]
		timedOut := now.Sub(t.receivedAt) > timeout
		if timedOut && e.member.State == fleetpb.Member_ALIVE && now >= e.suspectAfter {
			c.setState(now, vm, fleetpb.Member_SUSPECT)
		}
	}
	for _, vm := range sortedKeys(c.suspects) {
		if now.Sub(c.entries[vm].since) > intervalsToDead*c.interval {
			c.setState(now, vm, fleetpb.Member_DEAD)
		}
	}
}

// removeDead removes the VMs that have been dead or left for deadRetention.
func (c *Core) removeDead(now clock.Time) {
	for vm, e := range c.entries {
		if !live(e.member) && now.Sub(e.since) > deadRetention && vm != c.self.Vm {
			delete(c.entries, vm)
			c.members, c.live = nil, nil
			delete(c.pending, vm)
			delete(c.differSince, vm)
		}
	}
}

// isolated reports whether most targets are unresponsive at once.
func (c *Core) isolated(now clock.Time, timeout clock.Duration) bool {
	timedOut := 0
	for _, t := range c.targets {
		if now.Sub(t.receivedAt) > timeout {
			timedOut++
		}
	}
	return timedOut > 1 && 2*timedOut > len(c.targets)
}

// sortedKeys returns the members of a set, sorted.
func sortedKeys(set map[string]bool) []string {
	keys := make([]string, 0, len(set))
	for k := range set {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// setState changes a VM's state and queues the change for other VMs.
func (c *Core) setState(now clock.Time, vm string, state fleetpb.Member_State) {
	next := proto.CloneOf(c.entries[vm].member)
	next.State = state
	c.store(now, next)
}

// maxIncarnation bounds the incarnations of VMs, so that a VM can always raise its own to refute.
const maxIncarnation = 1 << 62

// merge applies the state of a member received from another VM.
func (c *Core) merge(now clock.Time, m *fleetpb.Member) {
	if m.Incarnation > maxIncarnation {
		return
	}
	if m.Vm == c.self.Vm {
		c.refute(m)
		return
	}
	e := c.entries[m.Vm]
	if e == nil {
		if live(m) {
			c.store(now, m)
		}
		return
	}
	if !newer(m, e.member) {
		if m.Revision > e.member.Revision && m.Incarnation == e.member.Incarnation {
			next := proto.CloneOf(e.member)
			next.Revision = m.Revision
			c.setMember(e, next)
		}
		return
	}
	if e.member.State == fleetpb.Member_SUSPECT && m.State == fleetpb.Member_ALIVE {
		e.suspectAfter = now.Add(refutedIntervals * c.interval)
	}
	c.store(now, m)
}

// newer reports whether a received state of a VM overrides the present one: by the higher
// incarnation, and within an incarnation by the more severe state.
func newer(m, present *fleetpb.Member) bool {
	if m.Incarnation != present.Incarnation {
		return m.Incarnation > present.Incarnation
	}
	return m.State > present.State
}

// refute raises the incarnation of this VM when another VM reports it as not alive.
func (c *Core) refute(m *fleetpb.Member) {
	if m.Incarnation > c.self.Incarnation || m.Incarnation == c.self.Incarnation && m.State != fleetpb.Member_ALIVE {
		c.changeSelf(func(s *fleetpb.Member) { s.Incarnation = m.Incarnation })
	}
}

// changeSelf changes this VM's own entry and queues the change for other VMs.
func (c *Core) changeSelf(change func(*fleetpb.Member)) {
	c.self = proto.CloneOf(c.self)
	change(c.self)
	c.self.Incarnation++
	c.setMember(c.entries[c.self.Vm], c.self)
	c.pending[c.self.Vm] = true
}

// store records a VM's newer state and queues it for other VMs. If the set of live VMs
// changed, the targets are chosen again at the next tick.
func (c *Core) store(now clock.Time, m *fleetpb.Member) {
	e := c.entries[m.Vm]
	previous := int32(-1)
	if e == nil {
		e = &entry{}
		c.entries[m.Vm] = e
	} else {
		previous = int32(e.member.State)
		if m.Revision < e.member.Revision && m.Boot == e.member.Boot {
			m = proto.CloneOf(m)
			m.Revision = e.member.Revision
		}
	}
	wasLive := previous >= 0 && previous <= int32(fleetpb.Member_SUSPECT)
	if previous != int32(m.State) {
		e.since = now
	}
	c.setMember(e, m)
	c.pending[m.Vm] = true
	if previous != int32(m.State) {
		c.out.Events = append(c.out.Events, Event{Member: m, Previous: previous})
	}
	if wasLive != live(m) {
		c.liveChanged = true
		c.targetLost = c.targetLost || wasLive && c.targets[m.Vm] != nil
	}
}
