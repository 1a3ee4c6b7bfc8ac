package slopes

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/fleet/gossip"
	"github.com/jasminecove/jasminecove/internal/testkit/lossy"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Sizes and durations of the gossip runs.
const (
	gossipTickMs   = 20
	dataCentres    = 12
	steadyDuration = 30 * clock.Second
	digestCount    = 40
	digestBytes    = 160
	packetBytes    = 70 // IP, UDP and QUIC headers with the tag of one packet.
	joinDuration   = 20 * clock.Second
	minDelayMs     = 1
	maxDelayMs     = 80
)

// gossipFleet is a fleet of gossip state machines on a simulated network.
type gossipFleet struct {
	now      clock.Time
	net      *lossy.Network[*fleetpb.GossipMessage]
	byVM     map[string]*gossip.Core
	names    []string
	bytes    int // Sent by all VMs, without packet headers.
	packets  int
	received map[string]map[string]bool // Ids of the digests that each VM received.
}

// newGossipFleet returns a fleet of n VMs that have not joined each other.
func newGossipFleet(n int) *gossipFleet {
	src := rng.New(uint64(n))
	c := &gossipFleet{now: 1000, net: lossy.New[*fleetpb.GossipMessage](src, lossy.Faults{MinDelay: minDelayMs, MaxDelay: maxDelayMs}),
		byVM: map[string]*gossip.Core{}, received: map[string]map[string]bool{}}
	for i := range n {
		vm := fmt.Sprintf("vm%03d", i)
		m := &fleetpb.Member{Vm: vm, Address: vm, DataCentre: fmt.Sprint("dc", i%dataCentres), Incarnation: uint64(1000 + i), Boot: 1, CallersAddress: "10.0.0.1:7000"}
		c.byVM[vm] = gossip.New(m, src, []string{"vm000", "vm001"})
		c.names = append(c.names, vm)
		c.received[vm] = map[string]bool{}
	}
	return c
}

// apply sends the messages in the effects of a VM and passes digests that are new to
// the VM back to it, to be forwarded.
func (c *gossipFleet) apply(vm string, e gossip.Effects) {
	for _, o := range e.Send {
		c.bytes += proto.Size(o.Message)
		c.packets++
		c.net.Send(c.now, vm, o.Address, o.Message)
	}
	var newDigests []*fleetpb.Digest
	for _, d := range e.Digests {
		if !c.received[vm][d.Id] {
			c.received[vm][d.Id] = true
			newDigests = append(newDigests, d)
		}
	}
	if len(newDigests) > 0 {
		c.apply(vm, c.byVM[vm].Update(c.now, gossip.DigestsMsg{Digests: newDigests, Except: e.From}))
	}
}

// advance runs the simulation for the duration.
func (c *gossipFleet) advance(duration clock.Duration) {
	for end := c.now.Add(duration); c.now < end; c.now++ {
		c.net.Deliver(c.now, func(_, to string, m *fleetpb.GossipMessage) {
			c.apply(to, c.byVM[to].Update(c.now, gossip.PeerMsg{Message: m}))
		})
		if c.now%gossipTickMs != 0 {
			continue
		}
		for _, vm := range c.names {
			c.apply(vm, c.byVM[vm].Update(c.now, gossip.TickMsg{}))
		}
	}
}

// gossipSlopes measure the cost of a VM in the steady state, and the bytes that a VM
// sends for the dissemination of one digest, against the number of VMs.
func gossipSlopes() []Slope {
	var cost, bytes, digest []Point
	for _, n := range []int{24, 60, 140, 280, 420} {
		c := newGossipFleet(n)
		c.advance(joinDuration)
		c.bytes, c.packets = 0, 0
		began := cpuTime()
		c.advance(steadyDuration)
		seconds := float64(steadyDuration) / float64(clock.Second) * float64(n)
		cost = append(cost, Point{float64(n), float64(cpuTime()-began) / float64(time.Microsecond) / seconds})
		steady := float64(c.bytes+c.packets*packetBytes) / seconds
		bytes = append(bytes, Point{float64(n), steady})
		digest = append(digest, Point{float64(n), c.bytesPerDigest(steady)})
	}
	return []Slope{
		fit("gossip, steady, processor", "us/s a VM against VMs", cost),
		fit("gossip, steady, sent", "bytes/s a VM against VMs", bytes),
		fit("gossip, one digest of 160 bytes, sent", "bytes a VM against VMs", digest),
	}
}

// bytesPerDigest returns the bytes that each VM sends for one digest, in addition to
// those that it sends in the steady state.
func (c *gossipFleet) bytesPerDigest(steady float64) float64 {
	c.bytes, c.packets = 0, 0
	const span = 4 * clock.Second
	for i := range digestCount {
		d := &fleetpb.Digest{Id: fmt.Sprint("e", i), Sequence: 1, Home: c.names[0], Announcement: make([]byte, digestBytes)}
		vm := c.names[i%len(c.names)]
		c.received[vm][d.Id] = true
		c.apply(vm, c.byVM[vm].Update(c.now, gossip.DigestsMsg{Digests: []*fleetpb.Digest{d}}))
		c.advance(span / digestCount)
	}
	c.advance(span)
	seconds := 2 * float64(span) / float64(clock.Second)
	n := float64(len(c.names))
	extra := float64(c.bytes+c.packets*packetBytes)/n - steady*seconds
	return extra / digestCount
}
