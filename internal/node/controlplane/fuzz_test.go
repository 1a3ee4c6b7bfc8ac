package controlplane

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// FuzzCall checks that whatever message and call another VM sends, this one replies with what can be encoded, and
// goes on: it chooses paths, and its own messages can be encoded.
func FuzzCall(f *testing.F) {
	occupancy := &fleetpb.Occupancy{
		Boot: 1, Sequence: 1, DataCentre: "x", Unreachable: []string{"u", "none"}, Holds: []*fleetpb.Hold{{Upstream: "u", Requests: 2, Tokens: 1000}},
		Placed: []*fleetpb.Placed{{Upstream: "u", LayerFrom: 3, LayerTo: 8}}, Slow: []*fleetpb.Slow{{Upstream: "v"}}, Leaving: []*fleetpb.Leaving{{Upstream: "v"}},
	}
	digest := &fleetpb.Digest{Id: "u", Home: "b", StartedMs: 7, Sequence: 1<<64 - 1}
	envelopes := []*fleetpb.Envelope{
		{}, {Body: &fleetpb.Envelope_Occupancy{Occupancy: occupancy}}, {Body: &fleetpb.Envelope_Raft{Raft: &fleetpb.RaftMessage{}}},
		{Body: &fleetpb.Envelope_Gossip{Gossip: &fleetpb.GossipMessage{Digests: []*fleetpb.Digest{digest, {}}, Homes: []*fleetpb.HomeHash{{}}, Revision: 1<<64 - 1, Stamp: 1<<64 - 1, Members: []*fleetpb.Member{{Vm: "b"}, {}}}}},
		{Body: &fleetpb.Envelope_Parts{Parts: &fleetpb.PartRecords{Records: []*fleetpb.PartRecord{{}}, Exchange: true}}},
	}
	calls := []*fleetpb.Call{
		{}, {Body: &fleetpb.Call_Form{Form: &fleetpb.FormQuery{Promise: true}}}, {Body: &fleetpb.Call_Load{Load: &fleetpb.ReportLoad{Occupancy: occupancy}}},
		{Body: &fleetpb.Call_Load{Load: &fleetpb.ReportLoad{}}}, {Body: &fleetpb.Call_Confirm{Confirm: &fleetpb.Confirm{Digests: []*fleetpb.Digest{digest}, Ended: "v"}}},
		{Body: &fleetpb.Call_Upstreams{Upstreams: &fleetpb.Upstreams{All: true, Homes: []string{"", "a"}}}}, {Body: &fleetpb.Call_Read{Read: &fleetpb.ReadState{Local: true, Have: 1<<64 - 1}}},
		{Body: &fleetpb.Call_Demand{Demand: &fleetpb.Demand{Organisations: []*fleetpb.OrganisationDemand{{}}}}}, {Body: &fleetpb.Call_Join{Join: &fleetpb.Join{}}},
		{Body: &fleetpb.Call_Leave{Leave: &fleetpb.Leave{}}}, {Body: &fleetpb.Call_Propose{Propose: &fleetpb.Command{}}}, {Body: &fleetpb.Call_Lend{Lend: &fleetpb.Lend{Repeats: 1<<32 - 1}}},
		{Body: &fleetpb.Call_Explain{Explain: &fleetpb.Explain{}}}, {Body: &fleetpb.Call_Drain{Drain: &fleetpb.Drain{}}},
	}
	for i, c := range calls {
		envelope, err := proto.Marshal(envelopes[i%len(envelopes)])
		assert.NilError(f, err)
		data, err := proto.Marshal(c)
		assert.NilError(f, err)
		f.Add(envelope, data)
	}
	pool := &tables.Pool{Name: "crew", Service: "crew", Engine: &tables.Engine{
		Layers: 8, LayerMB: 100, CacheBytesPerToken: 8_000, Slots: 500, StepMs: 1, ReadTokensPerMs: 100, Kinds: []tables.Accelerator{{Name: "card", MemoryMB: 1000, StepFactor: 1, ReadFactor: 1}},
	}}
	ended, cancel := context.WithCancel(context.Background())
	cancel() // Calls to the replica, which does not run here, end at once.
	f.Fuzz(func(t *testing.T, envelope, data []byte) {
		var e fleetpb.Envelope
		var call fleetpb.Call
		if proto.Unmarshal(envelope, &e) != nil || proto.Unmarshal(data, &call) != nil {
			return
		}
		p := newPlane(t)
		c := p.cfg.Directory.(*catalog.Catalog)
		p.cfg.OnOccupancy = c.MergeOccupancy
		c.SetTables(&tables.Document{Pools: []tables.Pool{*pool}})
		for _, id := range []string{"u", "v"} {
			c.Announce(&upstreampb.Announcement{Id: id, Name: "crew", Address: id + ":1", DataCentre: "x", Accelerator: "card", LayerTo: 8, Sequence: 1, LeaseMs: 60_000, StartedMs: 7})
		}
		p.startGossip("127.0.0.1:1")
		p.listening.Store(true)
		p.Message("b", &e)
		reply := p.Call(ended, "b", &call)
		assert.Assert(t, reply != nil)
		_, err := proto.Marshal(reply)
		assert.NilError(t, err)
		assert.Assert(t, areValidSums(reply.Loads), "%v", reply.Loads)
		p.Answered("b")
		path, release, err := c.ChoosePath(pool, chain.Request{Prompt: 10, Answer: 10, DataCentre: "x"})
		if err == nil {
			assert.Assert(t, path.Complete(8) && path.FirstMs >= 0)
			release()
		}
		assert.Assert(t, isValidOccupancy(c.Occupancy()), "this VM's own report would be refused: %v", c.Occupancy())
		p.ShareOccupancy(c.Occupancy())
		assert.Assert(t, p.collectorOf("x") == "a" || len(p.Members()) > 1)
	})
}
