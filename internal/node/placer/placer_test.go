package placer_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/node/placer"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// fakeEngines executes orders either at once or with a delay.
type fakeEngines struct {
	mu       sync.Mutex
	held     map[string][2]int
	taken    map[string]int64
	delayed  bool // Orders get no reply and are kept in pending.
	refusing bool // Orders are refused.
	panics   int  // Number of orders that panic.
	pending  []placer.Order
	cuts     []bool // Of the orders, in their order.
	orders   int
	maxSpan  int    // Largest number of layers in one order.
	started  uint64 // Start time in the reports.
	sound    string // If set, the other engines send no reports.
}

// Place implements placer.API.
func (e *fakeEngines) Place(_ context.Context, o placer.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.panics > 0 {
		e.panics--
		panic("placer_test: an order panics")
	}
	e.orders++
	e.cuts = append(e.cuts, o.Cut)
	e.maxSpan = max(e.maxSpan, o.To-o.From)
	if e.delayed {
		e.pending = append(e.pending, o)
		return placer.ErrUnanswered
	}
	if e.refusing {
		return placer.ErrRefused
	}
	return e.execute(o)
}

func (e *fakeEngines) execute(o placer.Order) error {
	if o.Expected != e.taken[o.Engine] {
		return placer.ErrRefused
	}
	e.taken[o.Engine]++
	e.held[o.Engine] = [2]int{o.From, o.To}
	return nil
}

// Report implements placer.API.
func (e *fakeEngines) Report(ctx context.Context, id, _ string) (placer.Report, error) {
	if e.sound != "" && id != e.sound {
		<-ctx.Done()
		return placer.Report{}, ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return placer.Report{Taken: e.taken[id], From: e.held[id][0], To: e.held[id][1], StartedMs: e.started}, nil
}

// Repath implements placer.API.
func (e *fakeEngines) Repath(context.Context, string, string, string, []chain.Hop) error { return nil }

// fakeLease is either held or not.
type fakeLease struct{ held bool }

// OrderLease implements placer.Lease.
func (l fakeLease) OrderLease() (uint64, clock.Duration) {
	if l.held {
		return 3, clock.Second
	}
	return 3, 0
}

const doc = `
routes:
  - {name: draft, match: {host: a.example, pathPrefix: /}, pool: crew, calls: idempotent, deadline: 5s, events: {resumable: true}}
pools:
  - name: crew
    service: crew
    engine: {layers: 8, layerMB: 100, cacheBytes: 8000, slots: 50, stepMs: 1, readTokensPerMs: 100, kinds: [{name: card, memoryMB: 700, stepFactor: 1, readFactor: 1}]}
`

// startController runs a controller with four announced engines that hold no layers.
func startController(t *testing.T, held bool, e *fakeEngines) *catalog.Catalog {
	t.Helper()
	clk := clock.NewSystem()
	c := catalog.New("vm", clk, clock.Minute, nil)
	d, err := tables.Parse([]byte(doc))
	assert.NilError(t, err)
	c.SetTables(d)
	e.held, e.taken = map[string][2]int{}, map[string]int64{}
	for i := range 4 {
		c.Announce(&upstreampb.Announcement{
			Id: fmt.Sprint("e", i), Name: "crew", Address: "127.0.0.1:1", DataCentre: "a", Accelerator: "card", StartedMs: 1, Sequence: 1, LeaseMs: 60_000,
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	p := &placer.Controller{Clock: clk, Lease: fakeLease{held}, Catalog: c, API: e}
	go func() {
		p.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return c
}

// announce makes an engine that holds layers known.
func announce(c *catalog.Catalog, e *fakeEngines, id string, from, to int) {
	e.held[id] = [2]int{from, to}
	c.Announce(&upstreampb.Announcement{
		Id: id, Name: "crew", Address: "127.0.0.1:1", DataCentre: "a", Accelerator: "card", StartedMs: 2, Sequence: 1, LeaseMs: 60_000,
		LayerFrom: uint32(from), LayerTo: uint32(to),
	})
}

func (e *fakeEngines) allPlaced() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	var layers [8]bool
	for _, h := range e.held {
		for l := h[0]; l < h[1]; l++ {
			layers[l] = true
		}
	}
	return layers == [8]bool{true, true, true, true, true, true, true, true}
}

func TestPlacementEmptyEngines(t *testing.T) {
	t.Parallel()
	e := &fakeEngines{}
	c := startController(t, true, e)
	eventually(t, e.allPlaced)
	// The catalog has the layers before the engines announce them.
	eventually(t, func() bool {
		n := 0
		for _, u := range c.Members("crew") {
			n += int(u.LayerTo - u.LayerFrom)
		}
		return n >= 8
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	assert.Equal(t, e.orders, 4)
}

// TestPlacementOutlivesPanics guards against a leader that ends, and the next ones after it, because one of
// its decisions panics.
func TestPlacementOutlivesPanics(t *testing.T) {
	t.Parallel()
	e := &fakeEngines{panics: 3}
	startController(t, true, e)
	eventually(t, e.allPlaced)
}

func TestPlacementWithoutLease(t *testing.T) {
	t.Parallel()
	e := &fakeEngines{}
	startController(t, false, e)
	time.Sleep(5 * time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	assert.Equal(t, e.orders, 0)
}

// TestDelayedOrderRefused leaves the first orders without a reply and delivers them after
// newer ones. An engine that executed one would go back to an outdated range.
func TestDelayedOrderRefused(t *testing.T) {
	t.Parallel()
	e := &fakeEngines{delayed: true}
	startController(t, true, e)
	eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.pending) >= 4
	})
	e.mu.Lock()
	e.delayed = false
	e.mu.Unlock()
	// Each of the engines has executed a newer order.
	eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return !slices.ContainsFunc(e.pending, func(o placer.Order) bool { return e.taken[o.Engine] == 0 })
	})
	assert.Assert(t, e.allPlaced())
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, o := range e.pending {
		before := e.held[o.Engine]
		if err := e.execute(o); err == nil {
			t.Fatalf("delayed order %v was executed after a newer order, replacing layers %v", o, before)
		}
	}
	assert.Assert(t, e.maxSpan <= 7, "an order exceeds an engine's memory")
}

// TestVacateBeforeOrder has the only engines in use hold the first layers, so that one of them
// must give some up. Its requests get time to leave before the order is sent; those that
// stay are cut only if they are few.
func TestVacateBeforeOrder(t *testing.T) {
	for name, test := range map[string]struct {
		requests, leaving int
		wantCut           bool
	}{
		"no requests":           {requests: 0, wantCut: true},
		"few requests stay":     {requests: 3, wantCut: true},
		"many requests stay":    {requests: 8, wantCut: false},
		"all but a few leave":   {requests: 8, leaving: 6, wantCut: true},
		"too many do not leave": {requests: 8, leaving: 3, wantCut: false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := &fakeEngines{}
			c := startController(t, true, e)
			for i := range 4 {
				id := fmt.Sprint("e", i)
				if i >= 2 {
					c.Deregister(id)
					continue
				}
				announce(c, e, id, 0, 6)
				for k := range test.requests {
					release := c.Reserve(chain.Path{Tokens: 10, Hops: []chain.Hop{{Engine: id, From: 0, To: 6}}})
					if k < test.leaving {
						w := c.Watch([]string{id}, func(string) {}, func(string) { release() })
						t.Cleanup(w.Stop)
					}
				}
			}
			eventually(t, e.allPlaced)
			e.mu.Lock()
			defer e.mu.Unlock()
			assert.DeepEqual(t, e.cuts, []bool{test.wantCut})
		})
	}
}

// TestRefusedOrderNotRepeatedAtOnce has an engine refuse its orders, as one does that still
// executes an earlier one: it is asked for its state, and gets an order a second at most.
func TestRefusedOrderNotRepeatedAtOnce(t *testing.T) {
	t.Parallel()
	e := &fakeEngines{refusing: true}
	startController(t, true, e)
	time.Sleep(9 * time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	assert.Assert(t, e.orders >= 4, "%d orders", e.orders)
	assert.Assert(t, e.orders <= 4*8, "%d orders to 4 engines in 8 s", e.orders)
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("condition not met in time")
}

// TestSilentEnginesDoNotHoldUpOthers guards against layers that stay unused, because engines that were ordered at
// the same time do not answer.
func TestSilentEnginesDoNotHoldUpOthers(t *testing.T) {
	for i := range 4 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			e := &fakeEngines{started: 1, sound: fmt.Sprint("e", i)}
			c := startController(t, true, e)
			for !e.allPlaced() {
				time.Sleep(time.Millisecond)
			}
			placedAt := time.Now()
			inUse := func() bool {
				return slices.ContainsFunc(c.Members("crew"), func(u *registry.Upstream) bool { return u.Id == e.sound && u.LayerTo > u.LayerFrom })
			}
			for !inUse() {
				assert.Assert(t, time.Since(placedAt) < 500*time.Millisecond, "the layers of %s are not in use", e.sound)
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// TestReportOfAnotherProcess guards against layers that an engine is taken to hold because a process that has
// not announced itself holds as many.
func TestReportOfAnotherProcess(t *testing.T) {
	t.Parallel()
	e := &fakeEngines{started: 2}
	c := startController(t, true, e)
	eventually(t, e.allPlaced)
	time.Sleep(time.Second)
	for _, u := range c.Members("crew") {
		assert.Equal(t, u.LayerTo, u.LayerFrom, u.Id)
	}
}
