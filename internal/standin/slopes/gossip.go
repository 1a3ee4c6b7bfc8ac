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

// Sizes of the gossip runs.
const (
	gossipTick   = 20
	dataCentres  = 12
	steadySpan   = 30 * clock.Second
	newsCount    = 40
	digestBytes  = 160
	packetBytes  = 70 // IP, UDP and QUIC headers with the tag of one packet.
	joinSpan     = 20 * clock.Second
	wideMinDelay = 1
	wideMaxDelay = 80
)

// cores is a fleet of gossip cores on a simulated network.
type cores struct {
	now     clock.Time
	net     *lossy.Network[*fleetpb.GossipMessage]
	byVM    map[string]*gossip.Core
	names   []string
	bytes   int
	packets int
	heard   map[string]map[string]bool
}

func newCores(n int) *cores {
	src := rng.New(uint64(n))
	c := &cores{now: 1000, net: lossy.New[*fleetpb.GossipMessage](src, lossy.Faults{MinDelay: wideMinDelay, MaxDelay: wideMaxDelay}),
		byVM: map[string]*gossip.Core{}, heard: map[string]map[string]bool{}}
	for i := range n {
		vm := fmt.Sprintf("vm%03d", i)
		m := &fleetpb.Member{Vm: vm, Address: vm, DataCentre: fmt.Sprint("dc", i%dataCentres), Incarnation: uint64(1000 + i), Boot: 1, CallersAddress: "10.0.0.1:7000"}
		c.byVM[vm] = gossip.New(m, src, []string{"vm000", "vm001"})
		c.names = append(c.names, vm)
		c.heard[vm] = map[string]bool{}
	}
	return c
}

func (c *cores) carry(vm string, e gossip.Effects) {
	for _, o := range e.Send {
		c.bytes += proto.Size(o.Message)
		c.packets++
		c.net.Send(c.now, vm, o.Address, o.Message)
	}
	var news []*fleetpb.Digest
	for _, d := range e.Digests {
		if !c.heard[vm][d.Id] {
			c.heard[vm][d.Id] = true
			news = append(news, d)
		}
	}
	if len(news) > 0 {
		c.carry(vm, c.byVM[vm].Update(c.now, gossip.DigestsMsg{Digests: news, Except: e.From}))
	}
}

func (c *cores) advance(span clock.Duration) {
	for end := c.now.Add(span); c.now < end; c.now++ {
		c.net.Deliver(c.now, func(_, to string, m *fleetpb.GossipMessage) {
			c.carry(to, c.byVM[to].Update(c.now, gossip.PeerMsg{Message: m}))
		})
		if c.now%gossipTick != 0 {
			continue
		}
		for _, vm := range c.names {
			c.carry(vm, c.byVM[vm].Update(c.now, gossip.TickMsg{}))
		}
	}
}

// gossipSlopes measure one VM's steady cost against the number of VMs, and the
// bytes of one digest that crosses the fleet.
func gossipSlopes() []Slope {
	var cost, bytes, news []Point
	for _, n := range []int{24, 60, 140, 280, 420} {
		c := newCores(n)
		c.advance(joinSpan)
		c.bytes, c.packets = 0, 0
		began := cpu()
		c.advance(steadySpan)
		seconds := float64(steadySpan) / float64(clock.Second) * float64(n)
		cost = append(cost, Point{float64(n), float64(cpu()-began) / float64(time.Microsecond) / seconds})
		steady := float64(c.bytes+c.packets*packetBytes) / seconds
		bytes = append(bytes, Point{float64(n), steady})
		news = append(news, Point{float64(n), c.newsCost(steady)})
	}
	return []Slope{
		fit("gossip, steady, processor", "us/s a VM against VMs", cost),
		fit("gossip, steady, sent", "bytes/s a VM against VMs", bytes),
		fit("gossip, one digest of 160 bytes, sent", "bytes a VM against VMs", news),
	}
}

// newsCost is the bytes that each VM sends for one digest beyond the steady ones.
func (c *cores) newsCost(steady float64) float64 {
	c.bytes, c.packets = 0, 0
	const span = 4 * clock.Second
	for i := range newsCount {
		d := &fleetpb.Digest{Id: fmt.Sprint("e", i), Sequence: 1, Home: c.names[0], Announcement: make([]byte, digestBytes)}
		vm := c.names[i%len(c.names)]
		c.heard[vm][d.Id] = true
		c.carry(vm, c.byVM[vm].Update(c.now, gossip.DigestsMsg{Digests: []*fleetpb.Digest{d}}))
		c.advance(span / newsCount)
	}
	c.advance(span)
	seconds := 2 * float64(span) / float64(clock.Second)
	n := float64(len(c.names))
	extra := float64(c.bytes+c.packets*packetBytes)/n - steady*seconds
	return extra / newsCount
}
