// Package layers assigns model layers to engines that forward activations to each
// other. The engines of a data centre form their own chains, so that activations do
// not cross between data centres. The fastest engines form the first chain and hold as many
// layers as leaves memory for the requests that such a chain serves at a time; slower ones
// form further chains, or double layers, for the load that the first cannot take.
//
// All functions are pure functions of their arguments: the same engines with the same
// ranges give the same orders, whichever VM is the leader.
package layers

import (
	"cmp"
	"slices"
	"strings"
)

// Parameters of the assignment.
const (
	// maxWeightsShare is the largest fraction of an engine's memory that weights may use.
	maxWeightsShare = 0.95
	// minGroupCopies is the memory that a data centre needs to run its own pipelines, as
	// a multiple of the weights of the model.
	minGroupCopies = 1.2
	// maxCopyEngines is the largest number of engines in one copy, well below
	// chain.MaxHops.
	maxCopyEngines = 24
	// minHolders is how many engines in the fleet must hold a layer so that paths can
	// use other data centres for it and a local gap is tolerable.
	minHolders = 2
	// minGapTokens is the least memory for requests that an engine keeps when it closes a gap.
	minGapTokens = 10_000
	// maxMovedRequests is how many requests may use an engine that gives up layers while
	// requests can still be served elsewhere.
	maxMovedRequests = 8
)

// Model describes the size of the model.
type Model struct {
	Layers  int
	LayerMB float64 // Memory of one layer's weights, in 10^6 bytes.
	TokenMB float64 // Memory of one token over all layers, in 10^6 bytes.
	// Slots is the number of requests that a chain's first engine accepts, and RequestTokens
	// the usual number of tokens of a request; 0 means a default.
	Slots         int
	RequestTokens float64
}

// Engine is an engine and its current layer range. If an order for the engine is in
// progress, the range is the one that it will hold afterwards.
type Engine struct {
	ID         string
	DataCentre string
	MemoryMB   float64
	StepFactor float64 // Relative duration of a decode step; higher is slower.
	From, To   int     // Layer range held, To exclusive; equal when it holds none.
	// Requests is the number of requests that use the engine.
	Requests int
	// Settled is false while an order is in progress. Such an engine gets no other order.
	Settled bool
	// New is true for an engine that has just joined. It is assigned only to gaps,
	// because an engine that is being replaced leaves only after its successor has
	// joined.
	New bool
}

// Order assigns a layer range to an engine.
type Order struct {
	Engine   string
	From, To int
	Reason   string
}

// Plan returns the orders that close gaps and assign layers to idle engines. engines
// must not include engines that are leaving. If grow is set, engines also extend their
// range into gaps for which paths can use other data centres; this stops their requests
// while they load. An engine that claims a range that is not one of the model, or more than its
// memory, is planned for as one that holds no layers.
func Plan(m Model, engines []Engine, grow bool) []Order {
	var orders []Order
	engines = slices.Clone(engines)
	for i := range engines {
		if e := &engines[i]; !m.canHold(e) {
			e.From, e.To = 0, 0
		}
	}
	holders := countHolders(m, engines)
	for _, g := range groups(m, engines) {
		orders = append(orders, planGroup(m, g, holders, grow)...)
	}
	return orders
}

// canHold reports whether the range that an engine claims is one of the model and fits its memory.
func (m Model) canHold(e *Engine) bool {
	return e.From >= 0 && e.From <= e.To && e.To <= m.Layers && float64(e.To-e.From)*m.LayerMB <= e.MemoryMB
}

// countHolders returns the number of engines that hold each layer.
func countHolders(m Model, engines []Engine) []int {
	holders := make([]int, m.Layers)
	for _, e := range engines {
		for l := e.From; l < min(e.To, m.Layers); l++ {
			holders[l]++
		}
	}
	return holders
}

// Capacity returns how many tokens fit into an engine's memory beside the weights of
// the given number of layers.
func (m Model) Capacity(memoryMB float64, layers int) float64 {
	if layers == 0 {
		return 0
	}
	free := memoryMB - float64(layers)*m.LayerMB
	return max(0, free/(float64(layers)*m.TokenMB/float64(m.Layers)))
}

// maxLayers returns the largest number of layers that an engine may hold.
func (m Model) maxLayers(memoryMB float64) int { return int(maxWeightsShare * memoryMB / m.LayerMB) }

// weightsMB returns the memory of the weights of one copy of the model.
func (m Model) weightsMB() float64 { return float64(m.Layers) * m.LayerMB }

// groups groups the engines by data centre. Data centres that are too small for their
// own copy of the model form one common group, or join the largest group if they are too
// small together.
func groups(m Model, engines []Engine) [][]Engine {
	byCentre := map[string][]Engine{}
	for _, e := range engines {
		byCentre[e.DataCentre] = append(byCentre[e.DataCentre], e)
	}
	var own [][]Engine
	var rest []Engine
	for _, dc := range sortedKeys(byCentre) {
		if g := byCentre[dc]; totalMemoryMB(g) >= minGroupCopies*m.weightsMB() {
			own = append(own, g)
		} else {
			rest = append(rest, g...)
		}
	}
	switch {
	case len(rest) == 0:
	case len(own) == 0 || totalMemoryMB(rest) >= minGroupCopies*m.weightsMB():
		own = append(own, rest)
	default:
		largest := slices.MaxFunc(own, func(a, b []Engine) int { return cmp.Compare(totalMemoryMB(a), totalMemoryMB(b)) })
		for i := range own {
			if own[i][0].DataCentre == largest[0].DataCentre {
				own[i] = append(own[i], rest...)
			}
		}
	}
	return own
}

// planGroup closes the gaps of a group and assigns its idle engines, after forming chains when
// no engine holds layers. holders is the number of engines in all groups
// that hold each layer.
func planGroup(m Model, g []Engine, holders []int, grow bool) []Order {
	g = slices.Clone(g)
	slices.SortFunc(g, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(b.MemoryMB, a.MemoryMB), strings.Compare(a.ID, b.ID))
	})
	p := &repair{m: m, engines: g, holders: holders, growAlways: grow, reasons: map[int]string{}, idleReason: "addRoom"}
	if !slices.ContainsFunc(g, func(e Engine) bool { return e.To > e.From }) {
		p.idleReason = firstPlan
		p.assignChains()
	}
	p.closeGaps()
	p.assignIdle()
	return p.orders()
}

// SplitLayers returns the number of layers for each engine of one copy of the model: the
// split that maximises the capacity of the stage with the lowest capacity.
func SplitLayers(m Model, part []Engine) []int {
	counts := make([]int, len(part))
	for range m.Layers {
		best, bestCapacity := -1, -1.0
		for i, e := range part {
			if counts[i] >= m.maxLayers(e.MemoryMB) {
				continue
			}
			if capacity := m.Capacity(e.MemoryMB, counts[i]+1); capacity > bestCapacity {
				best, bestCapacity = i, capacity
			}
		}
		if best < 0 {
			break
		}
		counts[best]++
	}
	return counts
}

func totalMemoryMB(g []Engine) float64 {
	sum := 0.0
	for _, e := range g {
		sum += e.MemoryMB
	}
	return sum
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
