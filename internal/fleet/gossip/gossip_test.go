package gossip_test

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/fleet/gossip"
	"github.com/jasminecove/jasminecove/internal/testkit/lossy"
	"github.com/jasminecove/jasminecove/internal/testkit/seeded"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

const tickIntervalMs = 20

// fleet is a set of VMs on a lossy network.
type fleet struct {
	now      clock.Time
	src      *rng.Source
	net      *lossy.Network[*fleetpb.GossipMessage]
	cores    map[string]*gossip.Core
	names    []string
	boots    int
	bytes    int
	received map[string]map[string]clock.Time // When each VM received each digest, by its id.
	stamps   map[string]uint64                // Newest stamp that each VM received.
	// upstreams is the hash of the upstreams that each VM knows, and differed is how often
	// other VMs found that a VM knows others.
	upstreams map[string]uint64
	differed  map[string]int
}

func newFleet(seed uint64, n, dataCentres int, faults lossy.Faults) *fleet {
	src := rng.New(seed)
	f := &fleet{now: 1000, src: src, net: lossy.New[*fleetpb.GossipMessage](src, faults), cores: map[string]*gossip.Core{}, received: map[string]map[string]clock.Time{}, stamps: map[string]uint64{}, upstreams: map[string]uint64{}, differed: map[string]int{}}
	for i := range n {
		vm := fmt.Sprintf("vm%03d", i)
		f.names = append(f.names, vm)
		f.start(vm, fmt.Sprintf("dc%d", i%dataCentres))
	}
	return f
}

func (f *fleet) start(vm, dataCentre string) {
	f.boots++
	m := &fleetpb.Member{Vm: vm, Address: vm, DataCentre: dataCentre, Incarnation: uint64(f.now) + uint64(f.boots), Boot: uint64(f.boots)}
	f.cores[vm] = gossip.New(m, f.src, []string{"vm000", "vm001"})
	f.received[vm] = map[string]clock.Time{}
}

// apply carries out the effects of an update on a VM.
func (f *fleet) apply(vm string, e gossip.Effects) {
	for _, o := range e.Send {
		f.bytes += proto.Size(o.Message)
		f.net.Send(f.now, vm, o.Address, proto.CloneOf(o.Message))
	}
	var fresh []*fleetpb.Digest
	for _, d := range e.Digests {
		if _, known := f.received[vm][d.Id]; !known {
			f.received[vm][d.Id] = f.now
			fresh = append(fresh, d)
		}
	}
	if len(fresh) > 0 {
		f.apply(vm, f.cores[vm].Update(f.now, gossip.DigestsMsg{Digests: fresh, Except: e.From}))
	}
	if e.UpstreamsDiffer != "" {
		f.differed[e.UpstreamsDiffer]++
	}
	if e.Stamp > 0 {
		f.stamps[vm] = e.Stamp
	}
	if e.Revision > 0 {
		f.apply(vm, f.cores[vm].Update(f.now, gossip.RevisionMsg{Revision: e.Revision}))
	}
}

// advance runs the fleet for the duration d.
func (f *fleet) advance(d clock.Duration) {
	for end := f.now.Add(d); f.now < end; f.now++ {
		f.net.Deliver(f.now, f.deliver)
		if f.now%tickIntervalMs != 0 {
			continue
		}
		for _, vm := range f.names {
			if c := f.cores[vm]; c != nil {
				f.apply(vm, c.Update(f.now, gossip.TickMsg{Upstreams: f.upstreams[vm]}))
			}
		}
	}
}

// deliver passes a message to a VM. Its connection confirms a heartbeat to the sender, for
// which an empty ACK stands here.
func (f *fleet) deliver(from, to string, m *fleetpb.GossipMessage) {
	c := f.cores[to]
	if c == nil {
		return
	}
	f.apply(to, c.Update(f.now, gossip.PeerMsg{Message: m}))
	if m.Kind == fleetpb.GossipMessage_HEARTBEAT {
		f.net.Send(f.now, to, from, &fleetpb.GossipMessage{Kind: fleetpb.GossipMessage_ACK, From: to})
	}
}

// agreed reports whether on every running VM the members in state ALIVE are exactly the
// running VMs.
func (f *fleet) agreed() bool {
	for _, c := range f.cores {
		if c == nil {
			continue
		}
		alive := 0
		for _, m := range c.Members() {
			if m.State == fleetpb.Member_ALIVE {
				if f.cores[m.Vm] == nil {
					return false
				}
				alive++
			}
		}
		if alive != f.running() {
			return false
		}
	}
	return true
}

func (f *fleet) running() int {
	n := 0
	for _, c := range f.cores {
		if c != nil {
			n++
		}
	}
	return n
}

// awaitAgreement runs the fleet until its VMs agree and returns the time that this took.
func (f *fleet) awaitAgreement(t *testing.T, timeout clock.Duration) clock.Duration {
	t.Helper()
	start := f.now
	for f.now.Sub(start) < timeout {
		f.advance(100)
		if f.agreed() {
			return f.now.Sub(start)
		}
	}
	t.Fatalf("VMs did not agree on the live members within %s", timeout)
	return 0
}

var lan = lossy.Faults{MinDelay: 1, MaxDelay: 5}

// TestVMFailureAndRestart checks how soon the others detect a failed VM and add it again.
func TestVMFailureAndRestart(t *testing.T) {
	f := newFleet(1, 9, 3, lan)
	f.awaitAgreement(t, 10*clock.Second)
	f.cores["vm004"] = nil
	took := f.awaitAgreement(t, 10*clock.Second)
	assert.Assert(t, took <= 3*clock.Second, "failure was detected after %s", took)
	f.start("vm004", "dc1")
	f.awaitAgreement(t, 5*clock.Second)
}

// TestDigestBeforeFirstContact gives a digest to a VM that knows no other VM yet. The VM
// must keep it and send it once it has a target.
func TestDigestBeforeFirstContact(t *testing.T) {
	f := newFleet(7, 3, 3, lan)
	f.apply("vm002", f.cores["vm002"].Update(f.now, gossip.DigestsMsg{Digests: []*fleetpb.Digest{{Id: "e1", Sequence: 1}}}))
	f.apply("vm002", f.cores["vm002"].Update(f.now, gossip.TickMsg{}))
	f.awaitAgreement(t, 10*clock.Second)
	f.advance(clock.Second)
	count := 0
	for _, digests := range f.received {
		count += len(digests)
	}
	assert.Assert(t, count > 0, "no VM received the digest")
}

// TestPacketLoss checks that message loss alone does not lead to a VM being declared dead.
func TestPacketLoss(t *testing.T) {
	f := newFleet(2, 9, 3, lossy.Faults{MinDelay: 1, MaxDelay: 30, DropPercent: 5, DuplicatePercent: 2})
	f.awaitAgreement(t, 20*clock.Second)
	for range 60 {
		f.advance(clock.Second)
		for _, c := range f.cores {
			for _, m := range c.Members() {
				assert.Assert(t, m.State != fleetpb.Member_DEAD, "%s was declared dead", m.Vm)
			}
		}
	}
}

// TestPartition checks that the two sides of a long network partition join again.
func TestPartition(t *testing.T) {
	f := newFleet(3, 9, 3, lan)
	f.awaitAgreement(t, 10*clock.Second)
	for i, a := range f.names {
		for j, b := range f.names {
			if i%3 == 0 != (j%3 == 0) {
				f.net.Cut(a, b)
			}
		}
	}
	f.advance(60 * clock.Second)
	assert.Assert(t, !f.agreed())
	f.net.Heal()
	f.awaitAgreement(t, 10*clock.Second)
}

// TestDigestInLargeFleet checks that a digest reaches 420 VMs in 12 data centres within
// 3 seconds, the time within which every VM must know of a leaving upstream.
func TestDigestInLargeFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("long")
	}
	f := newFleet(4, 420, 12, lossy.Faults{MinDelay: 1, MaxDelay: 80})
	f.awaitAgreement(t, 60*clock.Second)
	f.apply("vm007", f.cores["vm007"].Update(f.now, gossip.DigestsMsg{Digests: []*fleetpb.Digest{{Id: "e1", Sequence: 1}}}))
	start := f.now
	f.advance(3 * clock.Second)
	latest := clock.Duration(0)
	for vm, digests := range f.received {
		if vm == "vm007" {
			continue
		}
		at, ok := digests["e1"]
		assert.Assert(t, ok, "%s did not receive the digest", vm)
		latest = max(latest, at.Sub(start))
	}
	t.Logf("the last of 420 VMs received the digest after %s", latest)
}

// TestNewTermIsSentAtOnce checks that the first stamp of a term does not wait for the next
// ping. In a fleet of this size, pings are a second apart.
func TestNewTermIsSentAtOnce(t *testing.T) {
	f := newFleet(7, 30, 3, lossy.Faults{MinDelay: 1, MaxDelay: 5})
	f.awaitAgreement(t, 30*clock.Second)
	stamp := uint64(3) << gossip.StampTermShift
	f.apply("vm004", f.cores["vm004"].Update(f.now, gossip.StampMsg{Stamp: stamp}))
	f.advance(200)
	for _, vm := range f.names {
		assert.Assert(t, vm == "vm004" || f.stamps[vm] == stamp, "%s did not receive the stamp", vm)
	}
}

// TestRandomFleets stops, starts and partitions VMs at random and checks that all VMs
// agree once the network has recovered.
func TestRandomFleets(t *testing.T) {
	for _, seed := range seeded.Seeds(t, 20) {
		n := 5 + int(seed%12)
		f := newFleet(seed, n, 3, lossy.Faults{MinDelay: 1, MaxDelay: clock.Duration(5 + seed%60), DropPercent: int(seed % 8), DuplicatePercent: 3})
		for range 30 {
			f.advance(clock.Duration(100 + f.src.IntN(2000)))
			i := 2 + f.src.IntN(n-2)
			vm := f.names[i]
			switch f.src.IntN(6) {
			case 0:
				f.cores[vm] = nil
			case 1:
				f.start(vm, fmt.Sprintf("dc%d", i%3))
			case 2:
				f.net.Cut(vm, f.names[f.src.IntN(n)])
			case 3:
				f.net.Heal()
			}
		}
		f.net.Heal()
		f.net.SetFaults(lan)
		f.awaitAgreement(t, 60*clock.Second)
	}
}

// targets returns the addresses of the targets of each VM.
func (f *fleet) targets() map[string][]string {
	out := map[string][]string{}
	for vm, c := range f.cores {
		out[vm] = c.Targets()
	}
	return out
}

// TestTargetsAfterJoin checks that a VM that joins a large fleet changes few targets, because
// each new one costs a connection.
func TestTargetsAfterJoin(t *testing.T) {
	f := newFleet(11, 100, 5, lan)
	f.awaitAgreement(t, 30*clock.Second)
	f.advance(clock.Second)
	before := f.targets()
	f.names = append(f.names, "vm0505")
	f.start("vm0505", "dc0")
	f.awaitAgreement(t, 30*clock.Second)
	f.advance(clock.Second)
	changed, all := 0, 0
	for vm, targets := range f.targets() {
		for _, target := range targets {
			if vm == "vm0505" {
				continue
			}
			all++
			if !slices.Contains(before[vm], target) {
				changed++
			}
		}
	}
	assert.Assert(t, changed > 0 && changed <= all/20, "%d of %d targets changed", changed, all)
}

// TestUpstreamsDiffer checks that a VM that knows other upstreams than the rest is noticed by a
// VM that it sends heartbeats to, and that equal views cause no comparison.
func TestUpstreamsDiffer(t *testing.T) {
	f := newFleet(12, 30, 3, lan)
	f.awaitAgreement(t, 30*clock.Second)
	f.advance(3 * clock.Second)
	assert.Equal(t, len(f.differed), 0)
	f.upstreams["vm007"] = 42
	f.advance(3 * clock.Second)
	assert.Assert(t, f.differed["vm007"] > 0)
}

// TestViewsTellIncarnationsApart guards against a missed change of a VM that is not repaired because both
// views have the same hash.
func TestViewsTellIncarnationsApart(t *testing.T) {
	seen := map[uint64]uint64{}
	for incarnation := uint64(1); incarnation < 200; incarnation++ {
		c := gossip.New(&fleetpb.Member{Vm: "a", Address: "a", Incarnation: incarnation}, rng.New(1), []string{"b"})
		sent := c.Update(10_000, gossip.TickMsg{}).Send
		assert.Assert(t, len(sent) > 0)
		view := sent[0].Message.View
		assert.Equal(t, seen[view], uint64(0), "%d has the same hash", incarnation)
		seen[view] = incarnation
	}
}

// TestRevisionPassesSilentVMs guards against a VM that does not learn of new tables because all VMs that have it
// as a target are silent.
func TestRevisionPassesSilentVMs(t *testing.T) {
	const applyTimeout = 2 * clock.Second
	for _, seed := range seeded.Seeds(t, 3) {
		f := newFleet(seed, 30+rng.New(seed).IntN(60), 3, lan)
		f.awaitAgreement(t, 20*clock.Second)
		f.advance(10 * clock.Second) // The targets settle.
		victim, silent := "", f.names
		for _, vm := range f.names {
			sources := slices.DeleteFunc(slices.Clone(f.names), func(other string) bool { return !f.cores[other].IsTarget(vm) })
			if len(sources) < len(silent) {
				victim, silent = vm, sources
			}
		}
		for _, a := range silent {
			for _, b := range f.names {
				f.net.Cut(a, b)
				f.net.Cut(b, a)
			}
		}
		f.advance(clock.Duration(f.src.IntN(1000)))
		first := slices.IndexFunc(f.names, func(vm string) bool { return vm != victim && !slices.Contains(silent, vm) })
		f.apply(f.names[first], f.cores[f.names[first]].Update(f.now, gossip.RevisionMsg{Revision: 7}))
		revision := func(vm string) uint64 { m, _ := f.cores[vm].Member(vm); return m.Revision }
		started := f.now
		for next := uint64(8); revision(victim) < 7 && f.now.Sub(started) < 10*clock.Second; next++ {
			f.advance(200)
			f.apply(f.names[first], f.cores[f.names[first]].Update(f.now, gossip.RevisionMsg{Revision: next}))
		}
		took := f.now.Sub(started)
		assert.Assert(t, took < applyTimeout, "seed %d, %d VMs: %s, whose only sources %v are silent, learns the revision after %s", seed, len(f.names), victim, silent, took)
		t.Logf("%d VMs, %d silent sources: %s", len(f.names), len(silent), took)
	}
}

// TestStartBesideSilentSeed guards against a VM that starts and contacts the same silent seed again and again.
func TestStartBesideSilentSeed(t *testing.T) {
	for _, seed := range seeded.Seeds(t, 20) {
		f := newFleet(seed, 9, 3, lan)
		f.awaitAgreement(t, 10*clock.Second)
		f.cores["vm000"] = nil
		f.names = append(f.names, "new")
		f.start("new", "dc1")
		f.advance(500)
		assert.Assert(t, len(f.cores["new"].Live()) > 1, "seed %d: the VM that has started knows no other one", seed)
	}
}
