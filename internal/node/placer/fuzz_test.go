package placer

import (
	"context"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// oddEngine answers every order and report call alike.
type oddEngine struct {
	t      *testing.T
	report Report
	err    error
	orders int
}

// Place implements API.
func (e *oddEngine) Place(_ context.Context, o Order) error {
	e.orders++
	assert.Equal(e.t, o.Engine, "odd", "a sound engine that holds layers gets an order: %+v", o)
	assert.Assert(e.t, o.From >= 0 && o.From < o.To && o.To <= 8 && o.To-o.From <= 7, "%+v", o)
	return e.err
}

// Report implements API.
func (e *oddEngine) Report(context.Context, string, string) (Report, error) { return e.report, nil }

// Repath implements API.
func (e *oddEngine) Repath(context.Context, string, string, string, []chain.Hop) error { return nil }

// alwaysLeased is the lease of a VM that leads.
type alwaysLeased struct{}

// OrderLease implements Lease.
func (alwaysLeased) OrderLease() (uint64, clock.Duration) { return 3, clock.Second }

func fuzzPool() *tables.Pool {
	return &tables.Pool{Name: "crew", Service: "crew", Engine: &tables.Engine{
		Layers: 8, LayerMB: 100, CacheBytesPerToken: 8_000, Slots: 50, StepMs: 1, ReadTokensPerMs: 100, LoadTime: 100, Kinds: []tables.Accelerator{{Name: "card", MemoryMB: 800, StepFactor: 1, ReadFactor: 1}},
	}}
}

// TestFirstPlanBesideFalseLayers guards against a first plan of the engines known so far because another one
// claims layers that it cannot hold.
func TestFirstPlanBesideFalseLayers(t *testing.T) {
	for kind, to := range map[string]uint32{"card": 9, "other": 8} {
		clk := clock.NewManual(1_000_000)
		c := catalog.New("vm", clk, clock.Minute, nil)
		c.SetTables(&tables.Document{Pools: []tables.Pool{*fuzzPool()}})
		api := &oddEngine{t: t}
		p := &Controller{Clock: clk, Lease: alwaysLeased{}, Catalog: c, API: api, term: 3, states: map[string]*engineState{}}
		c.Announce(&upstreampb.Announcement{Id: "false", Name: "crew", Address: "10.0.0.1:1", DataCentre: "a", Accelerator: kind, LayerTo: to, Sequence: 1, LeaseMs: 60_000})
		p.placePool(t.Context(), *fuzzPool())
		clk.Advance(2 * firstPlanDelay)
		c.Announce(&upstreampb.Announcement{Id: "odd", Name: "crew", Address: "10.0.0.9:1", DataCentre: "a", Accelerator: "card", Sequence: 1, LeaseMs: 60_000})
		p.placePool(t.Context(), *fuzzPool())
		assert.Equal(t, api.orders, 0, "%s: the plan did not wait for more engines", kind)
	}
}

// FuzzPlacement checks that whatever an engine announces, and answers to orders, sound engines keep their layers, a
// path through them is found, and orders fit the model and the engine.
func FuzzPlacement(f *testing.F) {
	for i, held := range [][2]uint32{{0, 0}, {0, 8}, {2, 4}, {7, 1 << 16}, {5, 5}} {
		data, err := proto.Marshal(&upstreampb.Announcement{Id: "odd", Name: "crew", Address: "10.0.0.9:1", DataCentre: "a", Accelerator: "card", LayerFrom: held[0], LayerTo: held[1], Sequence: 1, LeaseMs: 60_000})
		assert.NilError(f, err)
		f.Add(data, i%3, int64(i), i, 1<<i)
		f.Add(data, (i+1)%3, int64(-1)<<63, -i, -1)
	}
	pool := fuzzPool()
	f.Fuzz(func(t *testing.T, data []byte, outcome int, taken int64, from, to int) {
		var a upstreampb.Announcement
		if proto.Unmarshal(data, &a) != nil || registry.Validate(&a) != nil || a.Id != "odd" || a.Address != "10.0.0.9:1" {
			return
		}
		a.LeaseMs = 60_000
		clk := clock.NewManual(1_000_000)
		c := catalog.New("vm", clk, clock.Minute, nil)
		c.SetTables(&tables.Document{Pools: []tables.Pool{*pool}})
		for i := range uint32(4) {
			c.Announce(&upstreampb.Announcement{
				Id: fmt.Sprint("sound", i), Name: "crew", Address: fmt.Sprint("10.0.0.", i, ":1"), DataCentre: "a", Accelerator: "card", LayerFrom: 2 * i, LayerTo: 2*i + 2, Sequence: 1, LeaseMs: 60_000,
			})
		}
		api := &oddEngine{t: t, report: Report{Taken: taken, From: from, To: to}, err: []error{nil, ErrRefused, ErrUnanswered}[uint(outcome)%3]}
		p := &Controller{Clock: clk, Lease: alwaysLeased{}, Catalog: c, API: api, term: 3, states: map[string]*engineState{}}
		c.Announce(&a)
		for range 60 {
			clk.Advance(200)
			p.placePool(t.Context(), *pool)
			for _, exclude := range []map[string]bool{nil, {"odd": true}} {
				path, release, err := c.ChoosePath(pool, chain.Request{Prompt: 10, Answer: 10, DataCentre: "a", Exclude: exclude})
				assert.NilError(t, err)
				assert.Assert(t, path.Complete(8) && path.FirstMs >= 0)
				release()
			}
		}
		assert.Assert(t, api.orders <= 20, "%d orders", api.orders)
	})
}
