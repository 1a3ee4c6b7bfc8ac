package catalog_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/fleet/loadsum"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// herdPool has a fast chain of four engines and two slower ones of six, like a data centre of a
// large fleet.
var herdPool = &tables.Pool{Name: "crew", Service: "crew", Engine: &tables.Engine{
	Layers: 80, LayerMB: 1750, CacheBytesPerToken: 590_000, Slots: 192, StepMs: 0.85, PerRequestMs: 0.004, ContextMsPerK: 0.005, ReadTokensPerMs: 236,
	ActivationBytesPerToken: 29_500, DefaultPromptTokens: 772, DefaultAnswerTokens: 141, LinkMbps: 5_200, Kinds: []tables.Accelerator{
		{Name: "fast", MemoryMB: 45_000, StepFactor: 2.3, ReadFactor: 2}, {Name: "slow", MemoryMB: 32_000, StepFactor: 12, ReadFactor: 10},
	},
}}

// herd is a fleet of many VMs that send requests through the same engines, learn of each other's
// load twice a second, and of that of the other data centres once a second.
type herd struct {
	clock     *clock.Manual
	src       *rng.Source
	vms       []herdVM
	collector map[string]*loadsum.Collector // By data centre.
	used      map[string]float64            // True load of each engine, in tokens times layers: half of an answer on average.
	capacity  map[string]float64
	ends      map[clock.Time][]func()

	served, refused int
	overload        float64 // Largest true load of an engine, as a share of its memory.
}

// herdVM is a VM of a herd.
type herdVM struct {
	*catalog.Catalog
	name, dataCentre string
}

// newHerd makes a herd of data centres with so many VMs each, and a fast and two slow chains.
func newHerd(t testing.TB, seed uint64, vms int, dataCentres ...string) *herd {
	t.Helper()
	h := &herd{
		clock: clock.NewManual(1_000_000), src: rng.New(seed), collector: map[string]*loadsum.Collector{}, used: map[string]float64{}, capacity: map[string]float64{},
		ends: map[clock.Time][]func(){},
	}
	for _, dc := range dataCentres {
		h.collector[dc] = loadsum.New(dc)
		for i := range vms {
			vm := herdVM{name: fmt.Sprint(dc, i), dataCentre: dc}
			vm.Catalog = catalog.New(vm.name, h.clock, clock.Hour, nil, catalog.WithDataCentre(dc))
			vm.SetVMCount(func() int { return vms * len(dataCentres) })
			vm.SetPeerCount(func() int { return vms - 1 })
			h.vms = append(h.vms, vm)
		}
	}
	for _, dc := range dataCentres {
		h.addChain(dc, "fast", 4, 45_000)
		h.addChain(dc, "slow", 6, 32_000)
		h.addChain(dc, "slow", 6, 32_000)
	}
	return h
}

func (h *herd) addChain(dc, kind string, engines int, memoryMB float64) {
	for i := range engines {
		from, to := i*80/engines, (i+1)*80/engines
		id := fmt.Sprint(kind, dc, len(h.capacity))
		h.capacity[id] = (memoryMB - float64(to-from)*1750) / (0.59 / 80)
		for _, c := range h.vms {
			c.Announce(&upstreampb.Announcement{
				Id: id, Name: "crew", Address: id + ":1", DataCentre: dc, StartedMs: 1, Sequence: 1, LeaseMs: 1 << 30, Accelerator: kind,
				LayerFrom: uint32(from), LayerTo: uint32(to), Slots: 192,
			})
		}
	}
}

// play sends requests at a rate through random VMs, each of which reports every 480 ms.
func (h *herd) play(span clock.Duration, perSecond float64) {
	const reportInterval, exchangeInterval = 480, 1000
	next := float64(h.clock.Now())
	for end := h.clock.Now().Add(span); h.clock.Now() < end; h.clock.Advance(1) {
		now := h.clock.Now()
		for _, stop := range h.ends[now] {
			stop()
		}
		delete(h.ends, now)
		for i, c := range h.vms {
			if (int(now)+i*reportInterval/len(h.vms))%reportInterval == 0 {
				o := c.Occupancy()
				o.Boot, o.Sequence = 1, uint64(now)
				h.collector[c.dataCentre].Report(now, c.name, o)
				c.MergeLoads(o, h.collector[c.dataCentre].All(now))
			}
		}
		if int(now)%exchangeInterval == 0 {
			for _, from := range h.collector {
				for _, to := range h.collector {
					to.Merge(now, []*fleetpb.LoadSum{from.Own(now)})
				}
			}
		}
		for ; next <= float64(now); next += -math.Log(1-h.src.Float64()) * 1000 / perSecond {
			h.request(now)
		}
	}
}

func (h *herd) request(now clock.Time) { h.requestThrough(h.vms[h.src.IntN(len(h.vms))], now) }

func (h *herd) requestThrough(c herdVM, now clock.Time) {
	const prompt, answer = 772, 141
	path, release, err := c.ChoosePath(herdPool, chain.Request{Prompt: prompt, Answer: answer, DataCentre: c.dataCentre, Draw: h.src.Float64()})
	if err != nil {
		h.refused++
		return
	}
	h.served++
	for _, hop := range path.Hops {
		h.used[hop.Engine] += float64((prompt + answer/2) * (hop.To - hop.From))
		h.overload = max(h.overload, h.used[hop.Engine]/h.capacity[hop.Engine])
	}
	const fastMs, slowMs = 430, 2200 // Of an answer, with the waits between the steps of others.
	took := clock.Duration(fastMs)
	if strings.HasPrefix(path.Hops[0].Engine, "slow") {
		took = slowMs
	}
	h.ends[now.Add(max(1, took))] = append(h.ends[now.Add(max(1, took))], func() {
		release()
		for _, hop := range path.Hops {
			h.used[hop.Engine] -= float64((prompt + answer/2) * (hop.To - hop.From))
		}
	})
}

// TestHerd plays a load that needs more than the fast chain, through 60 VMs that learn of each
// other's requests with up to a second of delay. The VMs must not all send to the chain that was
// free at the last report: an engine whose memory overflows puts requests back, whose answers
// pause. Nothing may be refused while the other chains have memory.
func TestHerd(t *testing.T) {
	for _, perSecond := range []float64{70, 110, 160} {
		seed := uint64(perSecond)
		h := newHerd(t, seed, 60, "x")
		h.play(8*clock.Second, perSecond)
		h.served, h.refused, h.overload = 0, 0, 0
		h.play(20*clock.Second, perSecond)
		t.Logf("%.0f a second: %d served, %d refused, fullest engine %.2f", perSecond, h.served, h.refused, h.overload)
		if h.overload > 1 {
			t.Errorf("%.0f requests a second: an engine held %.2f of its memory", perSecond, h.overload)
		}
		if h.refused > 0 {
			t.Errorf("%.0f requests a second: %d of %d refused", perSecond, h.refused, h.refused+h.served)
		}
	}
}

// TestHerdAfterStart starts all VMs at once, each of which has requests waiting and has heard
// nothing of the others.
func TestHerdAfterStart(t *testing.T) {
	h := newHerd(t, 3, 60, "x")
	for range 2 {
		for _, c := range h.vms {
			h.requestThrough(c, h.clock.Now())
		}
	}
	t.Logf("%d served, %d refused, fullest engine %.2f", h.served, h.refused, h.overload)
	assert.Equal(t, h.refused, 0)
	assert.Assert(t, h.overload <= 1, "an engine held %.2f of its memory", h.overload)
}

// TestHerdOfDataCentres plays a fleet in which several data centres lose their fast chain at once.
// Their VMs, which know the load of the data centre that keeps its own with a delay of one to two
// seconds, must not fill it beyond its memory, while the slow chains serve what it can't.
func TestHerdOfDataCentres(t *testing.T) {
	h := newHerd(t, 5, 20, "x", "y", "z", "w")
	h.play(6*clock.Second, 200)
	for id := range h.capacity {
		if strings.HasPrefix(id, "fast") && !strings.HasPrefix(id, "fastx") {
			for _, c := range h.vms {
				c.MarkDead(id, false)
			}
		}
	}
	h.served, h.refused, h.overload = 0, 0, 0
	h.play(6*clock.Second, 200)
	t.Logf("%d served, %d refused, fullest engine %.2f", h.served, h.refused, h.overload)
	assert.Equal(t, h.refused, 0)
	assert.Assert(t, h.overload <= 1, "an engine held %.2f of its memory", h.overload)
}

// BenchmarkChoosePath chooses paths on one of the VMs of a large fleet, whose load changes twice a
// second.
func BenchmarkChoosePath(b *testing.B) {
	for _, chains := range []int{15, 180} { // 80 and 960 engines.
		b.Run(fmt.Sprint(chains, " chains"), func(b *testing.B) {
			h := newHerd(b, 1, 10, "x")
			for range chains {
				h.addChain("x", "fast", 4, 45_000)
				h.addChain("y", "slow", 6, 32_000)
			}
			h.play(2*clock.Second, 100)
			b.ResetTimer()
			for i := range b.N {
				if i%5 == 0 {
					h.clock.Advance(100)
				}
				h.request(h.clock.Now())
			}
		})
	}
}
