// Package gossip keeps a VM's view of the fleet: which VMs are alive, which
// tables revision is in force on each, and how fresh the view is. It is of the
// SWIM family: suspicion, and incarnation numbers by which a VM refutes it.
//
// A VM exchanges messages with a few fixed targets only, whatever the size of
// the fleet: fingers on the ring of its own data centre and two VMs of other
// data centres. News floods over these links, each VM telling it once.
//
// A Core is deterministic and does no I/O.
package gossip

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Constants of the protocol.
const (
	// fastInterval is the span between pings while every VM is a target, and
	// slowInterval otherwise.
	fastInterval = 200 * clock.Millisecond
	slowInterval = 1 * clock.Second
	// pingSlack is how late another VM's regular message may be before it is pinged.
	pingSlack = 60 * clock.Millisecond
	// missedToSuspect is the pings that a VM may leave unanswered.
	missedToSuspect = 3
	// intervalsToDead is how long a suspected VM has to refute.
	intervalsToDead = 5
	// calmIntervals is how long a refuted suspicion is not raised again.
	calmIntervals = 25
	// unwellFactor lengthens the wait when most targets are silent, because the
	// fault is then likely here.
	unwellFactor = 3
	// syncEvery is the least span between two exchanges of the whole view.
	syncEvery = 2 * clock.Second
	// seekEvery is the span between two tries to reach a lost VM or a seed.
	seekEvery = 1 * clock.Second
	// forgetDead is how long a dead VM is remembered and looked for.
	forgetDead = 2 * clock.Hour
)

// StampTermShift leaves room for a term's stamps below the next term's.
const StampTermShift = 40

// entry is what is known of one VM.
type entry struct {
	member *fleetpb.Member
	since  clock.Time // Start of its present state.
	calmTo clock.Time // No suspicion is raised before.
}

// target is a VM that is pinged.
type target struct {
	pinged clock.Time
	heard  clock.Time
}

// Core is a VM's view of the fleet. It is not safe for concurrent use.
type Core struct {
	self     *fleetpb.Member
	src      *rng.Source
	seeds    []string
	entries  map[string]*entry
	targets  map[string]*target
	order    []string // Names of targets, sorted.
	interval clock.Duration
	pending  map[string]bool // VMs whose news is to be told.
	digests  []*fleetpb.Digest
	except   map[string]string // VM that a digest came from.
	tell     bool              // The revision moved and is to be told.
	revision uint64            // Newest revision heard of.
	stamp    uint64
	sequence uint64
	syncAt   clock.Time
	seekAt   clock.Time
	left     bool
	view     uint64 // Hash of the live VMs and their incarnations.
	suspects map[string]bool
	moved    bool // The set of live VMs changed since the targets were chosen.
	out      Effects
}

// New returns the view of a VM that has just started. The member's incarnation
// must grow with each start, for example by the time. seeds are fleet addresses
// of other VMs.
func New(self *fleetpb.Member, src *rng.Source, seeds []string) *Core {
	c := &Core{
		self: proto.CloneOf(self), src: src, seeds: seeds,
		entries: map[string]*entry{}, targets: map[string]*target{},
		pending: map[string]bool{}, except: map[string]string{}, suspects: map[string]bool{}, interval: fastInterval,
	}
	e := &entry{}
	c.entries[self.Vm] = e
	c.setMember(e, c.self)
	return c
}

// Update takes one message and returns what the shell must do.
func (c *Core) Update(now clock.Time, msg Msg) Effects {
	switch m := msg.(type) {
	case TickMsg:
		c.tick(now)
	case PeerMsg:
		c.peer(now, m.Message)
	case DigestsMsg:
		c.addDigests(m)
	case RevisionMsg:
		c.setRevision(m.Revision)
	case DrainMsg:
		c.changeSelf(func(s *fleetpb.Member) { s.Draining = m.Draining })
	case HeardMsg:
		if t := c.targets[m.VM]; t != nil {
			t.heard = now
		}
	case StampMsg:
		c.takeStamp(m.Stamp)
		c.flush()
	case LeaveMsg:
		c.left = true
		c.changeSelf(func(s *fleetpb.Member) { s.State = fleetpb.Member_LEFT })
		c.flush()
	}
	out := c.out
	c.out = Effects{}
	return out
}

// Members returns every VM that is known, sorted by name.
func (c *Core) Members() []*fleetpb.Member {
	all := make([]*fleetpb.Member, 0, len(c.entries))
	for _, e := range c.entries {
		all = append(all, e.member)
	}
	slices.SortFunc(all, func(a, b *fleetpb.Member) int { return strings.Compare(a.Vm, b.Vm) })
	return all
}

// Live returns the VMs that are not dead and have not left, sorted by name.
func (c *Core) Live() []*fleetpb.Member {
	return slices.DeleteFunc(c.Members(), func(m *fleetpb.Member) bool { return !live(m) })
}

// Member returns what is known of a VM.
func (c *Core) Member(vm string) (*fleetpb.Member, bool) {
	e := c.entries[vm]
	if e == nil {
		return nil, false
	}
	return e.member, true
}

// Targets returns the addresses of the VMs that this one exchanges messages with.
func (c *Core) Targets() []string {
	out := make([]string, 0, len(c.order))
	for _, vm := range c.order {
		out = append(out, c.entries[vm].member.Address)
	}
	return out
}

func live(m *fleetpb.Member) bool {
	return m.State == fleetpb.Member_ALIVE || m.State == fleetpb.Member_SUSPECT
}

func (c *Core) tick(now clock.Time) {
	if c.left {
		return
	}
	if c.moved {
		c.moved = false
		c.setTargets(now)
	}
	c.detect(now)
	c.ping(now)
	c.seek(now)
	c.flush()
}

// ping asks each target that is due. One that was heard lately is asked seldom, so
// that views are still compared.
func (c *Core) ping(now clock.Time) {
	for _, vm := range c.order {
		t := c.targets[vm]
		heard := now.Sub(t.heard) <= c.interval+pingSlack && now.Sub(t.pinged) < slowInterval
		if now.Sub(t.pinged) < c.interval || heard {
			continue
		}
		t.pinged = now
		c.sequence++
		c.send(c.entries[vm].member.Address, &fleetpb.GossipMessage{Kind: fleetpb.GossipMessage_PING, Sequence: c.sequence})
	}
}

// seek asks a lost VM or a seed for its view, so that parts of the fleet that
// were cut off find each other again.
func (c *Core) seek(now clock.Time) {
	if now.Sub(c.seekAt) < seekEvery {
		return
	}
	c.seekAt = now
	c.forget(now)
	known := map[string]bool{c.self.Address: true}
	var lost []string
	for _, m := range c.Members() {
		if live(m) {
			known[m.Address] = true
		} else if m.State == fleetpb.Member_DEAD {
			lost = append(lost, m.Address)
		}
	}
	for _, s := range c.seeds {
		if !known[s] && !slices.Contains(lost, s) {
			lost = append(lost, s)
		}
	}
	if len(lost) > 0 {
		c.sync(lost[c.src.IntN(len(lost))], fleetpb.GossipMessage_SYNC)
	}
}

// sync sends the whole view.
func (c *Core) sync(address string, kind fleetpb.GossipMessage_Kind) {
	c.send(address, &fleetpb.GossipMessage{Kind: kind, Members: c.Members()})
}

// peer takes a message from another VM.
func (c *Core) peer(now clock.Time, m *fleetpb.GossipMessage) {
	if c.left || m.From == c.self.Vm {
		return
	}
	if t := c.targets[m.From]; t != nil {
		t.heard = now
	}
	for _, other := range m.Members {
		c.merge(now, other)
	}
	c.hear(m)
	switch m.Kind {
	case fleetpb.GossipMessage_PING:
		c.send(m.FromAddress, &fleetpb.GossipMessage{Kind: fleetpb.GossipMessage_ACK, Sequence: m.Sequence})
	case fleetpb.GossipMessage_SYNC:
		c.sync(m.FromAddress, fleetpb.GossipMessage_SYNC_REPLY)
	}
	if m.View != 0 && m.View != c.view && now.Sub(c.syncAt) >= syncEvery {
		c.syncAt = now
		c.sync(m.FromAddress, fleetpb.GossipMessage_SYNC)
	}
}

// hear takes what a message says beside its members.
func (c *Core) hear(m *fleetpb.GossipMessage) {
	if m.Revision > c.revision {
		c.revision = m.Revision
		c.out.Revision = m.Revision
	}
	if c.takeStamp(m.Stamp) {
		c.out.Stamp = m.Stamp
	}
	if len(m.Digests) > 0 {
		c.out.Digests = append(c.out.Digests, m.Digests...)
	}
	c.out.Wants = append(c.out.Wants, m.Homes...)
	c.out.From = m.From
	if e := c.entries[m.From]; e != nil && e.member.Revision < m.Revision {
		next := proto.CloneOf(e.member)
		next.Revision = m.Revision
		c.setMember(e, next)
	}
}

// takeStamp keeps a newer stamp and reports whether it is one. The first of a leader's
// term is told at once, because calls wait for a leader; later ones go with other
// messages.
func (c *Core) takeStamp(stamp uint64) bool {
	if stamp <= c.stamp {
		return false
	}
	c.tell = c.tell || stamp>>StampTermShift > c.stamp>>StampTermShift
	c.stamp = stamp
	return true
}

func (c *Core) setRevision(revision uint64) {
	if revision <= c.self.Revision {
		return
	}
	c.revision = max(c.revision, revision)
	c.self = proto.CloneOf(c.self)
	c.self.Revision = revision
	c.setMember(c.entries[c.self.Vm], c.self)
	c.tell = true
	c.flush()
}

func (c *Core) addDigests(m DigestsMsg) {
	for _, d := range m.Digests {
		c.digests = append(c.digests, d)
		if m.Except != "" {
			c.except[d.Id] = m.Except
		}
	}
}

// flush tells every target the news since the last flush.
func (c *Core) flush() {
	if len(c.pending) == 0 && len(c.digests) == 0 && !c.tell {
		return
	}
	if len(c.order) == 0 && !c.left {
		// News from before the first VM is met waits for it.
		return
	}
	members := make([]*fleetpb.Member, 0, len(c.pending))
	for _, vm := range sortedKeys(c.pending) {
		members = append(members, c.entries[vm].member)
	}
	for _, vm := range c.order {
		digests := slices.DeleteFunc(slices.Clone(c.digests), func(d *fleetpb.Digest) bool { return c.except[d.Id] == vm })
		if len(members) == 0 && len(digests) == 0 && !c.tell {
			continue
		}
		c.send(c.entries[vm].member.Address, &fleetpb.GossipMessage{Kind: fleetpb.GossipMessage_SYNC_REPLY, Members: members, Digests: digests})
	}
	c.digests, c.tell = nil, false
	clear(c.pending)
	clear(c.except)
}

func (c *Core) send(address string, m *fleetpb.GossipMessage) {
	m.From, m.FromAddress = c.self.Vm, c.self.Address
	m.View, m.Revision, m.Stamp = c.view, c.self.Revision, c.stamp
	if len(m.Members) == 0 && m.Kind != fleetpb.GossipMessage_SYNC_REPLY {
		// A VM that does not know the sender yet learns of it at the first ping.
		if len(c.entries) == 1 {
			m.Members = []*fleetpb.Member{c.self}
		}
	}
	c.out.Send = append(c.out.Send, Out{Address: address, Message: m})
}

// setMember replaces what is known of a VM and keeps the hash of the view.
func (c *Core) setMember(e *entry, m *fleetpb.Member) {
	if e.member != nil {
		c.view -= viewTerm(e.member)
	}
	e.member = m
	c.view += viewTerm(m)
	if m.State == fleetpb.Member_SUSPECT {
		c.suspects[m.Vm] = true
		return
	}
	delete(c.suspects, m.Vm)
}

// viewTerm is a VM's part of the hash of the live VMs and their incarnations.
func viewTerm(m *fleetpb.Member) uint64 {
	if !live(m) {
		return 0
	}
	return xxhash.Sum64String(m.Vm) * (m.Incarnation | 1)
}

// SetSeeds replaces the fleet addresses at which lost VMs are looked for.
func (c *Core) SetSeeds(seeds []string) { c.seeds = seeds }
