package quarantine_test

import (
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/node/decision"
	"github.com/jasminecove/jasminecove/internal/request/quarantine"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// FuzzRecords checks that whatever records another VM sends, requests go on and what this VM sends can be
// encoded.
func FuzzRecords(f *testing.F) {
	data, err := proto.Marshal(&fleetpb.PartRecords{Exchange: true, Accusations: []*fleetpb.PartAccusation{{Crash: 1, Request: 2, Keys: []uint32{3}}}, Matches: []*fleetpb.PartAccusation{{}}, Records: []*fleetpb.PartRecord{
		{Part: "5c1e07a2", Round: 1, Spans: 2, BlockedMs: 1<<32 - 1, Crashes: []*fleetpb.PartCrash{{Id: 1, Request: 2}}}, {Part: "x", AgeMs: 1<<32 - 1, Round: 1<<32 - 1, Position: 1<<32 - 1},
		{Part: "y", Sent: 1<<32 - 1, Alive: 1<<32 - 1, Crashes: []*fleetpb.PartCrash{{Id: 1, Request: 2}, {Id: 2, Request: 3}, {Id: 3, Request: 4}}},
	}})
	assert.NilError(f, err)
	f.Add(data, "5c1e07a2:40,91bd3f06")
	f.Add([]byte{}, "\xff\xfe:1,\x00,,:")
	f.Fuzz(func(t *testing.T, data []byte, header string) {
		var m fleetpb.PartRecords
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		parts := quarantine.Parts(header)
		assert.Assert(t, len(parts) <= 4096)
		for _, p := range parts {
			assert.Assert(t, p != "" && utf8.ValidString(p) && !strings.Contains(p, ","), "%q", p)
		}
		clk := clock.NewManual(1_000_000)
		g := quarantine.NewGuard(clk, (*decision.Log)(nil), tally.NoopScope)
		g.SetVMs("a", []string{"a", "b"})
		g.Receive("b", &m)
		w := g.Watch("r", quarantine.Keys(parts, nil), func([]string) []uint64 { return []uint64{1} })
		if _, quarantined := w.Admit(); !quarantined {
			w.Begin([]string{"u"}).Broke()
		}
		g.UpstreamEnded("u")
		clk.Advance(clock.Minute)
		g.Tick()
		all, byVM := g.TakeUnsent(3)
		for _, records := range [][]*fleetpb.PartRecord{all, g.All(), g.Next()} {
			_, err := proto.Marshal(&fleetpb.PartRecords{Records: records})
			assert.NilError(t, err)
		}
		for _, m := range []*fleetpb.PartRecords{byVM["b"], g.Receive("b", &m)} {
			_, err := proto.Marshal(m)
			assert.NilError(t, err)
		}
	})
}
