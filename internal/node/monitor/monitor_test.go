package monitor_test

import (
	"context"
	"io"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/node/decision"
	"github.com/jasminecove/jasminecove/internal/node/monitor"
	"github.com/jasminecove/jasminecove/internal/node/placer"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

var pool = &tables.Pool{Name: "crew", Service: "crew", Engine: &tables.Engine{
	Layers: 8, LayerMB: 100, CacheBytesPerToken: 8_000, Slots: 500, StepMs: 1, ReadTokensPerMs: 100,
	Kinds: []tables.Accelerator{{Name: "card", MemoryMB: 1000, StepFactor: 1, ReadFactor: 1}},
}}

// engines answers report calls with the pace and the stalled addresses of each engine.
type engines struct {
	pace    map[string]float64
	stalled map[string][]string
	silent  map[string]bool
	leaving map[string]bool
	started map[string]uint64
}

const errSilent = fault.Sentinel("monitor_test: no answer")

func (e *engines) Report(_ context.Context, id, _ string) (placer.Report, error) {
	if e.silent[id] {
		return placer.Report{}, errSilent
	}
	return placer.Report{Pace: e.pace[id], Leaving: e.leaving[id], Stalled: e.stalled[id], StartedMs: e.started[id]}, nil
}

type vm struct {
	*catalog.Catalog
	monitor *monitor.Monitor
}

// newVMs returns two VMs. Both know engines a and b, which announce themselves to the first.
func newVMs(t *testing.T, clk clock.Clock, api *engines) [2]vm {
	t.Helper()
	log := decision.New("vm", hclog.Error, io.Discard)
	t.Cleanup(log.Close)
	var vms [2]vm
	for i := range vms {
		c := catalog.New(string(rune('x'+i)), clk, 60*clock.Second, func(catalog.Change) {})
		vms[i] = vm{c, &monitor.Monitor{Catalog: c, Engines: api, Log: log}}
	}
	for _, id := range []string{"a", "b"} {
		vms[0].Announce(&upstreampb.Announcement{
			Id: id, Name: "crew", Address: id + ":1", DataCentre: "x", StartedMs: 1, Sequence: 1, LeaseMs: 60_000, Accelerator: "card", LayerTo: 8, Slots: 4,
		})
	}
	vms[1].TakeDigests(vms[0].DigestsOf([]string{"x"}))
	return vms
}

// first returns the engine that a VM chooses for a request.
func first(t *testing.T, v vm) string {
	t.Helper()
	p, release, err := v.ChoosePath(pool, chain.Request{Prompt: 100, Answer: 10, DataCentre: "x"})
	assert.NilError(t, err)
	defer release()
	return p.Hops[0].Engine
}

// TestSlowEngineAvoided checks that all VMs prefer another engine while one is slow, and use it
// again once it is not.
func TestSlowEngineAvoided(t *testing.T) {
	clk := clock.NewManual(1_000_000)
	api := &engines{pace: map[string]float64{}, silent: map[string]bool{}}
	vms := newVMs(t, clk, api)
	usual := first(t, vms[0])
	api.pace[usual] = 12
	vms[0].monitor.Poll(t.Context())
	vms[1].monitor.Poll(t.Context()) // No engine announces itself to this VM.
	assert.Assert(t, first(t, vms[0]) != usual)
	assert.Equal(t, first(t, vms[1]), usual)

	report := func() *fleetpb.Occupancy {
		o := vms[0].Occupancy()
		o.Boot, o.Sequence = 1, uint64(clk.Now())
		return o
	}
	vms[1].MergeOccupancy("x", report())
	assert.Assert(t, first(t, vms[1]) != usual, "the other VM did not learn that the engine is slow")

	clk.Advance(200)
	api.pace[usual] = 1
	vms[0].monitor.Poll(t.Context())
	vms[1].MergeOccupancy("x", report())
	assert.Equal(t, first(t, vms[0]), usual)
	assert.Equal(t, first(t, vms[1]), usual, "the other VM did not learn that the engine is no longer slow")
}

// TestLeavingEngineReported checks that no VM chooses an engine that says in its report that it leaves.
func TestLeavingEngineReported(t *testing.T) {
	api := &engines{leaving: map[string]bool{}}
	vms := newVMs(t, clock.NewManual(1_000_000), api)
	usual := first(t, vms[0])
	api.leaving[usual] = true
	vms[0].monitor.Poll(t.Context())
	vms[1].MergeOccupancy("x", vms[0].Findings())
	for _, v := range vms {
		assert.Assert(t, first(t, v) != usual)
	}
}

// TestSlowEngineForgotten checks that a finding ends if its VM no longer repeats it.
func TestSlowEngineForgotten(t *testing.T) {
	clk := clock.NewManual(1_000_000)
	api := &engines{pace: map[string]float64{}, silent: map[string]bool{}}
	vms := newVMs(t, clk, api)
	usual := first(t, vms[0])
	api.pace[usual] = 12
	vms[0].monitor.Poll(t.Context())
	api.silent[usual] = true
	clk.Advance(4 * clock.Second)
	vms[0].monitor.Poll(t.Context())
	assert.Equal(t, first(t, vms[0]), usual)
}

// TestStalledEngineReported checks that an engine that another one waits for is found dead.
func TestStalledEngineReported(t *testing.T) {
	clk := clock.NewManual(1_000_000)
	api := &engines{stalled: map[string][]string{"a": {"b:1"}}}
	vms := newVMs(t, clk, api)
	clk.Advance(100)
	vms[0].monitor.Poll(t.Context())
	clk.Advance(100)
	assert.Assert(t, vms[0].DeadFor("b") > 0)
	assert.Equal(t, vms[0].DeadFor("a"), clock.Duration(0))
}

// TestReportOfAnotherProcess guards against findings on an engine from the report of a process that has not
// announced itself.
func TestReportOfAnotherProcess(t *testing.T) {
	api := &engines{pace: map[string]float64{}, started: map[string]uint64{"a": 2, "b": 2}}
	clk := clock.NewManual(1_000_000)
	vms := newVMs(t, clk, api)
	usual := first(t, vms[0])
	api.pace[usual], api.stalled = 12, map[string][]string{"a": {"b:1"}, "b": {"a:1"}}
	vms[0].monitor.Poll(t.Context())
	clk.Advance(100)
	assert.Equal(t, vms[0].DeadFor("a")+vms[0].DeadFor("b"), clock.Duration(0))
	assert.Equal(t, first(t, vms[0]), usual)
}

// TestReportWithoutPace guards against a slow engine that counts as usual because a report does not say how
// slow it is.
func TestReportWithoutPace(t *testing.T) {
	api := &engines{pace: map[string]float64{}}
	vms := newVMs(t, clock.NewManual(1_000_000), api)
	usual := first(t, vms[0])
	api.pace[usual] = 12
	vms[0].monitor.Poll(t.Context())
	delete(api.pace, usual)
	vms[0].monitor.Poll(t.Context())
	assert.Assert(t, first(t, vms[0]) != usual)
}

// TestStalledEntriesOfOthers guards against an engine that has itself or upstreams of other services found
// dead. The other entries must hold.
func TestStalledEntriesOfOthers(t *testing.T) {
	clk := clock.NewManual(1_000_000)
	vms := newVMs(t, clk, &engines{stalled: map[string][]string{"a": {"a:1", "c:1", "none:1", "b:1"}}})
	vms[0].Announce(&upstreampb.Announcement{Id: "c", Name: "desk", Address: "c:1", DataCentre: "x", StartedMs: 1, Sequence: 1, LeaseMs: 60_000})
	vms[0].monitor.Poll(t.Context())
	clk.Advance(100)
	assert.Equal(t, vms[0].DeadFor("a"), clock.Duration(0))
	assert.Equal(t, vms[0].DeadFor("c"), clock.Duration(0))
	assert.Assert(t, vms[0].DeadFor("b") > 0)
}
