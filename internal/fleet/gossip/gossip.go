// Package gossip maintains a VM's view of the fleet: which VMs are alive, which tables
// revision is in force on each, and how recent the view is. It is a variant of SWIM, with
// suspicion and incarnation numbers by which a VM refutes it.
//
// Whatever the size of the fleet, a VM sends messages to only a few targets: some VMs of its
// own data centre, and two VMs of other data centres. Updates are flooded over these links;
// each VM forwards an update once.
//
// A Core is deterministic and does no I/O.
package gossip

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Timing of the protocol.
const (
	// fastInterval is the ping interval while every VM is a target; slowInterval is the
	// ping interval otherwise. A target from which a message came within the interval is not pinged.
	fastInterval = 200 * clock.Millisecond
	slowInterval = 1 * clock.Second
	// heartbeatInterval is the interval between heartbeats to each target.
	heartbeatInterval = 1 * clock.Second
	// pingSlack is how late a target's regular message may be before the target is pinged.
	pingSlack = 60 * clock.Millisecond
	// pingsToSuspect is the number of ping intervals without a message after which a VM is
	// suspected.
	pingsToSuspect = 3
	// intervalsToDead is the number of ping intervals after which a suspect that has not
	// refuted is declared dead.
	intervalsToDead = 5
	// refutedIntervals is the number of ping intervals after a refutation in which the VM is
	// not suspected again.
	refutedIntervals = 25
	// isolatedFactor lengthens the suspicion timeout when most targets are unresponsive,
	// because the fault is then probably on this VM.
	isolatedFactor = 3
	// minSyncInterval is the shortest interval between two exchanges of the whole view.
	minSyncInterval = 2 * clock.Second
	// upstreamsDifferPeriod is how long another VM's upstreams must have differed before they
	// are compared: longer than an update takes to cross the fleet.
	upstreamsDifferPeriod = 900 * clock.Millisecond
	// reconnectInterval is the interval between attempts to reach a dead VM or a seed. While this VM knows no
	// other live one, the first urgentReconnects attempts follow each other faster.
	reconnectInterval       = 1 * clock.Second
	urgentReconnectInterval = 200 * clock.Millisecond
	urgentReconnects        = 25
	// floodTime is how long a revision takes at most to cross the fleet. A VM that does not have it after that
	// is told again.
	floodTime = 300 * clock.Millisecond
	// deadRetention is how long a dead VM is remembered and contacted again.
	deadRetention = 2 * clock.Hour
)

// StampTermShift is the number of low bits of a stamp that count within a term; the term
// is in the bits above.
const StampTermShift = 40

// entry is the known state of one VM.
type entry struct {
	member       *fleetpb.Member
	since        clock.Time // When its present state began.
	suspectAfter clock.Time // It is not suspected before this time.
}

// target is a VM that this one sends heartbeats and updates to.
type target struct {
	heartbeatAt clock.Time // When the last heartbeat was sent.
	pingedAt    clock.Time // When the last ping was sent.
	receivedAt  clock.Time // When the last message was received.
}

// inForce is a revision that is in force on this VM since a time.
type inForce struct {
	revision uint64
	since    clock.Time
}

// Core is a VM's view of the fleet. It is not safe for concurrent use.
type Core struct {
	self          *fleetpb.Member
	src           *rng.Source
	seeds         []string
	entries       map[string]*entry
	targets       map[string]*target
	targetNames   []string // Sorted.
	interval      clock.Duration
	pending       map[string]bool   // VMs whose changed state is to be sent.
	digests       []*fleetpb.Digest // Digests to send.
	except        map[string]string // By digest id, the VM that it came from.
	urgent        bool              // The revision or stamp changed and must be sent at once.
	revision      uint64            // Newest revision received.
	stamp         uint64
	sequence      uint64
	syncedAt      clock.Time
	reconnectedAt clock.Time
	reconnects    int       // Attempts to reach a dead VM or a seed.
	attemptsAlone int       // Such attempts since another live VM was known.
	revisions     []inForce // Of this VM: the newest one that all VMs should know, and those after it.
	left          bool
	view          uint64            // Hash of the live VMs and their incarnations.
	members, live []*fleetpb.Member // Results of Members and Live; nil after a change.
	suspects      map[string]bool
	liveChanged   bool // The set of live VMs changed since the targets were chosen.
	targetLost    bool // One of the targets is no longer live.
	targetsAt     clock.Time
	upstreams     uint64                // Hash of the upstreams that this VM knows.
	differSince   map[string]clock.Time // Since when each VM that sends heartbeats has known other upstreams.
	out           Effects
}

// New returns the view of a VM that has just started. The member's incarnation must grow
// with each start, for example by using the time. seeds are fleet addresses of other VMs.
func New(self *fleetpb.Member, src *rng.Source, seeds []string) *Core {
	c := &Core{
		self: proto.CloneOf(self), src: src, seeds: seeds,
		entries: map[string]*entry{}, targets: map[string]*target{},
		pending: map[string]bool{}, except: map[string]string{}, suspects: map[string]bool{}, interval: fastInterval,
		differSince: map[string]clock.Time{}, reconnects: src.IntN(maxFullMesh),
	}
	e := &entry{}
	c.entries[self.Vm] = e
	c.setMember(e, c.self)
	return c
}

// Update processes one input and returns what the caller must do.
func (c *Core) Update(now clock.Time, msg Msg) Effects {
	switch m := msg.(type) {
	case TickMsg:
		c.upstreams = m.Upstreams
		c.tick(now)
	case PeerMsg:
		c.receive(now, m.Message)
	case DigestsMsg:
		c.addDigests(m)
	case RevisionMsg:
		c.setRevision(now, m.Revision)
	case DrainMsg:
		c.changeSelf(func(s *fleetpb.Member) { s.Draining = m.Draining })
	case ActivityMsg:
		if t := c.targets[m.VM]; t != nil {
			t.receivedAt = now
		}
	case StampMsg:
		c.applyStamp(m.Stamp)
		c.flush()
	case LeaveMsg:
		c.left = true
		c.changeSelf(func(s *fleetpb.Member) { s.State = fleetpb.Member_LEFT })
		c.flush()
	}
	out := c.out
	out.Queued = len(c.pending) > 0 || len(c.digests) > 0 || c.urgent || c.targetsOutdated(now)
	c.out = Effects{}
	return out
}

// Members returns all known VMs, sorted by name. The caller must not modify the slice.
func (c *Core) Members() []*fleetpb.Member {
	if c.members == nil {
		c.members = make([]*fleetpb.Member, 0, len(c.entries))
		for _, e := range c.entries {
			c.members = append(c.members, e.member)
		}
		slices.SortFunc(c.members, func(a, b *fleetpb.Member) int { return strings.Compare(a.Vm, b.Vm) })
	}
	return c.members
}

// Live returns the VMs that are not dead and have not left, sorted by name. The caller must not
// modify the slice.
func (c *Core) Live() []*fleetpb.Member {
	if c.live == nil {
		c.live = slices.DeleteFunc(slices.Clone(c.Members()), func(m *fleetpb.Member) bool { return !live(m) })
	}
	return c.live
}

// Member returns the known state of a VM.
func (c *Core) Member(vm string) (*fleetpb.Member, bool) {
	e := c.entries[vm]
	if e == nil {
		return nil, false
	}
	return e.member, true
}

// Targets returns the addresses of the VMs that this one exchanges messages with.
func (c *Core) Targets() []string {
	out := make([]string, 0, len(c.targetNames))
	for _, vm := range c.targetNames {
		out = append(out, c.entries[vm].member.Address)
	}
	return out
}

// IsTarget reports whether this VM exchanges messages with another one.
func (c *Core) IsTarget(vm string) bool { return c.targets[vm] != nil }

// TargetsAll reports whether the targets are all other live VMs, as in a small fleet.
func (c *Core) TargetsAll() bool { return c.interval == fastInterval }

func live(m *fleetpb.Member) bool {
	return m.State == fleetpb.Member_ALIVE || m.State == fleetpb.Member_SUSPECT
}

// setMember replaces the state of a VM and updates the hash of the view.
func (c *Core) setMember(e *entry, m *fleetpb.Member) {
	if e.member != nil {
		c.view -= memberHash(e.member)
	}
	e.member = m
	c.view += memberHash(m)
	c.members, c.live = nil, nil
	if m.State == fleetpb.Member_SUSPECT {
		c.suspects[m.Vm] = true
		return
	}
	delete(c.suspects, m.Vm)
}

// memberHash returns a VM's part of the hash of the live VMs and their incarnations.
func memberHash(m *fleetpb.Member) uint64 {
	if !live(m) {
		return 0
	}
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], xxhash.Sum64String(m.Vm))
	binary.LittleEndian.PutUint64(buf[8:], m.Incarnation)
	return xxhash.Sum64(buf[:])
}

// SetSeeds replaces the fleet addresses of other VMs that are contacted when they are not
// among the live VMs.
func (c *Core) SetSeeds(seeds []string) { c.seeds = seeds }
