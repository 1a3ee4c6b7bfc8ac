package placer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/node/placer"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// engines are stand-ins that carry orders out, at once or late.
type engines struct {
	mu      sync.Mutex
	held    map[string][2]int
	taken   map[string]int64
	late    bool // Orders get no answer and are carried out when the next one comes.
	waiting []placer.Order
	orders  int
	worst   int // Most layers that any order asked for.
}

// Place implements placer.API.
func (e *engines) Place(_ context.Context, o placer.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	e.worst = max(e.worst, o.To-o.From)
	if e.late {
		e.waiting = append(e.waiting, o)
		return placer.ErrUnanswered
	}
	return e.carry(o)
}

func (e *engines) carry(o placer.Order) error {
	if o.Expected != e.taken[o.Engine] {
		return placer.ErrRefused
	}
	e.taken[o.Engine]++
	e.held[o.Engine] = [2]int{o.From, o.To}
	return nil
}

// Report implements placer.API.
func (e *engines) Report(_ context.Context, id, _ string) (placer.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return placer.Report{Taken: e.taken[id], From: e.held[id][0], To: e.held[id][1]}, nil
}

// Repath implements placer.API.
func (e *engines) Repath(context.Context, string, string, string, []chain.Hop) error { return nil }

// lease is held or not.
type lease struct{ held bool }

// OrderLease implements placer.Lease.
func (l lease) OrderLease() (uint64, clock.Duration) {
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

// start runs a controller over announced engines that hold nothing.
func start(t *testing.T, held bool, e *engines) *catalog.Catalog {
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
	p := &placer.Controller{Clock: clk, Lease: lease{held}, Catalog: c, API: e}
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

func (e *engines) whole() bool {
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

func TestEmptyEnginesGetEveryLayer(t *testing.T) {
	t.Parallel()
	e := &engines{}
	c := start(t, true, e)
	eventually(t, e.whole)
	// Their layers are known before they announce them.
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

func TestVMWithoutTheLeaseGivesNoOrders(t *testing.T) {
	t.Parallel()
	e := &engines{}
	start(t, false, e)
	time.Sleep(5 * time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	assert.Equal(t, e.orders, 0)
}

// TestLateOrderIsNeverCarriedOutAfterANewerOne leaves the first orders unanswered and
// carries them out after the next ones.
func TestLateOrderIsNeverCarriedOutAfterANewerOne(t *testing.T) {
	t.Parallel()
	e := &engines{late: true}
	start(t, true, e)
	eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.waiting) >= 4
	})
	e.mu.Lock()
	e.late = false
	e.mu.Unlock()
	eventually(t, e.whole)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, o := range e.waiting {
		before := e.held[o.Engine]
		if err := e.carry(o); err == nil {
			t.Fatalf("%v was carried out after a newer order, over %v", o, before)
		}
	}
	assert.Assert(t, e.worst <= 7, "an order exceeds an engine's memory")
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("never")
}
