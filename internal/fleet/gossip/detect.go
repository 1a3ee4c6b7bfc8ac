package gossip

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// detect raises suspicions of silent targets and ends those that were not
// refuted in time.
func (c *Core) detect(now clock.Time) {
	wait := clock.Duration(missedToSuspect) * c.interval
	if c.unwell(now, wait) {
		wait *= unwellFactor
	}
	for _, vm := range c.order {
		t, e := c.targets[vm], c.entries[vm]
		silent := now.Sub(t.heard) > wait
		if silent && e.member.State == fleetpb.Member_ALIVE && now >= e.calmTo {
			c.setState(now, vm, fleetpb.Member_SUSPECT)
		}
	}
	for _, vm := range sortedKeys(c.suspects) {
		if now.Sub(c.entries[vm].since) > intervalsToDead*c.interval {
			c.setState(now, vm, fleetpb.Member_DEAD)
		}
	}
}

// forget drops the VMs that have been gone for long.
func (c *Core) forget(now clock.Time) {
	for vm, e := range c.entries {
		if !live(e.member) && now.Sub(e.since) > forgetDead && vm != c.self.Vm {
			delete(c.entries, vm)
			delete(c.pending, vm)
		}
	}
}

// unwell reports whether most targets are silent at once.
func (c *Core) unwell(now clock.Time, wait clock.Duration) bool {
	silent := 0
	for _, t := range c.targets {
		if now.Sub(t.heard) > wait {
			silent++
		}
	}
	return silent > 1 && 2*silent > len(c.targets)
}

// sortedKeys returns a set's members in a fixed order.
func sortedKeys(set map[string]bool) []string {
	keys := make([]string, 0, len(set))
	for k := range set {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// setState changes a VM's state here and tells others.
func (c *Core) setState(now clock.Time, vm string, state fleetpb.Member_State) {
	next := proto.CloneOf(c.entries[vm].member)
	next.State = state
	c.store(now, next)
}

// merge takes another VM's word about a member.
func (c *Core) merge(now clock.Time, m *fleetpb.Member) {
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
		e.calmTo = now.Add(calmIntervals * c.interval)
	}
	c.store(now, m)
}

// newer reports whether a word about a VM goes before the present one: by its
// incarnation, and within that by the graver state.
func newer(m, present *fleetpb.Member) bool {
	if m.Incarnation != present.Incarnation {
		return m.Incarnation > present.Incarnation
	}
	return m.State > present.State
}

// refute answers a word that this VM is not alive by a higher incarnation.
func (c *Core) refute(m *fleetpb.Member) {
	if m.Incarnation > c.self.Incarnation || m.Incarnation == c.self.Incarnation && m.State != fleetpb.Member_ALIVE {
		c.changeSelf(func(s *fleetpb.Member) { s.Incarnation = m.Incarnation })
	}
}

// changeSelf changes this VM's own entry and tells others.
func (c *Core) changeSelf(change func(*fleetpb.Member)) {
	c.self = proto.CloneOf(c.self)
	change(c.self)
	c.self.Incarnation++
	c.setMember(c.entries[c.self.Vm], c.self)
	c.pending[c.self.Vm] = true
}

// store keeps a VM's newer state, and tells others. Where the set of live VMs
// changed, the targets are chosen again at the next tick.
func (c *Core) store(now clock.Time, m *fleetpb.Member) {
	e := c.entries[m.Vm]
	was := int32(-1)
	if e == nil {
		e = &entry{}
		c.entries[m.Vm] = e
	} else {
		was = int32(e.member.State)
		if m.Revision < e.member.Revision && m.Boot == e.member.Boot {
			m = proto.CloneOf(m)
			m.Revision = e.member.Revision
		}
	}
	wasLive := was >= 0 && was <= int32(fleetpb.Member_SUSPECT)
	if was != int32(m.State) {
		e.since = now
	}
	c.setMember(e, m)
	c.pending[m.Vm] = true
	if was != int32(m.State) {
		c.out.Events = append(c.out.Events, Event{Member: m, Was: was})
	}
	if wasLive != live(m) {
		c.moved = true
	}
}
