package gossip_test

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/fleet/gossip"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// FuzzMessage checks that whatever other VMs send, one after another, this one goes on, stores what it can send
// on, and sends a bounded number of messages that can be encoded.
func FuzzMessage(f *testing.F) {
	var seeds [][]byte
	for _, m := range []*fleetpb.GossipMessage{
		{Kind: fleetpb.GossipMessage_SYNC, From: "b", FromAddress: "b:1", Members: []*fleetpb.Member{{Vm: "b", Address: "b:1", Incarnation: 1}, {Vm: "a", State: fleetpb.Member_DEAD, Incarnation: 1 << 63}}},
		{Kind: fleetpb.GossipMessage_HEARTBEAT, From: "b", View: 7, Upstreams: 9, Stamp: 1<<64 - 1, Revision: 1<<64 - 1},
		{Kind: fleetpb.GossipMessage_SYNC_REPLY, From: "", Digests: []*fleetpb.Digest{{Id: "u"}, {}}, Homes: []*fleetpb.HomeHash{{}}},
		{From: "c", FromAddress: "c:1", Members: []*fleetpb.Member{{Vm: "c", State: 7, DataCentre: "y"}, {Vm: "b", State: fleetpb.Member_SUSPECT}, {State: -1}}},
		{From: "c", Members: []*fleetpb.Member{{Vm: "a", State: fleetpb.Member_DEAD, Incarnation: 1<<64 - 1}}},
		{From: "b", Members: []*fleetpb.Member{{Vm: "b", State: fleetpb.Member_LEFT, Incarnation: 3}}, Digests: []*fleetpb.Digest{{Id: "u", Home: "b", Sequence: 1<<64 - 1}}},
	} {
		data, err := proto.Marshal(m)
		assert.NilError(f, err)
		seeds = append(seeds, data)
	}
	for i, data := range seeds {
		f.Add(data, []byte{}, []byte{}, uint32(100))
		f.Add(data, seeds[(i+1)%len(seeds)], seeds[(i+3)%len(seeds)], uint32(8_000_000))
	}
	f.Fuzz(func(t *testing.T, first, second, third []byte, gapMs uint32) {
		c := gossip.New(&fleetpb.Member{Vm: "a", Address: "a:1", DataCentre: "x", Incarnation: 5}, rng.New(1), []string{"b:1"})
		upstreams := registry.New("a")
		now, incarnation := clock.Time(1000), uint64(0)
		update := func(m gossip.Msg) {
			e := c.Update(now, m)
			assert.Assert(t, len(e.Send) <= 10*(1+len(c.Members())), "%d messages", len(e.Send))
			for _, o := range e.Send {
				_, err := proto.Marshal(o.Message)
				assert.NilError(t, err)
			}
			var changed []*fleetpb.Digest
			for _, d := range e.Digests {
				if upstreams.ApplyDigest(now, d) {
					changed = append(changed, upstreams.DigestOf(now, d.Id))
				}
			}
			if len(changed) > 0 {
				c.Update(now, gossip.DigestsMsg{Digests: changed, Except: e.From})
			}
			self, ok := c.Member("a")
			assert.Assert(t, ok && self.Address == "a:1" && !c.IsTarget("a"))
			assert.Assert(t, self.Incarnation >= incarnation, "incarnation %d after %d", self.Incarnation, incarnation)
			incarnation = self.Incarnation
			assert.Assert(t, len(c.Targets()) < len(c.Members()) && len(c.Live()) <= len(c.Members()))
		}
		update(gossip.PeerMsg{Message: &fleetpb.GossipMessage{From: "b", FromAddress: "b:1", Members: []*fleetpb.Member{{Vm: "b", Address: "b:1", DataCentre: "x"}}}})
		for _, data := range [][]byte{first, second, third} {
			var m fleetpb.GossipMessage
			if len(data) == 0 || proto.Unmarshal(data, &m) != nil {
				continue
			}
			now = now.Add(100)
			update(gossip.PeerMsg{Message: &m})
			now = now.Add(clock.Duration(gapMs))
			update(gossip.TickMsg{Upstreams: upstreams.Hash()})
			update(gossip.TickMsg{Upstreams: upstreams.Hash()})
		}
		for end := now.Add(20_000); now < end; now = now.Add(500) {
			update(gossip.TickMsg{Upstreams: upstreams.Hash()})
		}
		update(gossip.LeaveMsg{})
	})
}
