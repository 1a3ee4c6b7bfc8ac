// Package layers decides which layers each engine holds when engines hand requests on
// to each other. Engines of one data centre form pipelines of their own, so that
// activations do not cross between data centres, and each engine takes a share by
// its memory, so that every stage has room for about as many tokens.
//
// Everything here is a pure function of its arguments: the same engines with the
// same ranges give the same orders, whichever VM leads.
package layers

import (
	"cmp"
	"slices"
	"strings"
)

// Shares of memory.
const (
	// usable is the share of an engine's memory that weights may take at most.
	usable = 0.95
	// ownCopy is the memory that a data centre needs for pipelines of its own, as a
	// multiple of one copy of the model.
	ownCopy = 1.2
	// copyShare is the memory for each copy, as a multiple of the copy's weights; the
	// rest holds requests.
	copyShare = 1.6
	// copyHops bounds the engines of one copy, well below chain.MaxHops.
	copyHops = 24
	// enoughHolders is how many engines of the fleet must hold a layer for paths to lead
	// around a gap through other data centres.
	enoughHolders = 2
	// leastTokens is the room that an engine must keep when it grows.
	leastTokens = 30_000
)

// Model is the model that the engines hold.
type Model struct {
	Layers  int
	LayerMB float64 // Memory of one layer's weights, in 10^6 bytes.
	TokenMB float64 // Memory of one token over all layers, in 10^6 bytes.
}

// Engine is an engine as the plan sees it. An engine with an order under way is given
// with the range that the order leads to.
type Engine struct {
	ID         string
	DataCentre string
	MemoryMB   float64
	From, To   int // Layers held; equal when it holds none.
	// Settled is false while an order is under way, so that it gets no other.
	Settled bool
	// New is true of an engine that has just joined: it waits for a gap, because engines
	// that are to be replaced leave only after their successors have joined.
	New bool
}

// Order makes an engine hold a range.
type Order struct {
	Engine   string
	From, To int
	Reason   string
}

// Plan returns the orders that close gaps and put idle engines to use. Engines that
// leave must not be given. grow also lets engines grow into gaps that paths can lead
// around, which stops their requests while they load.
func Plan(m Model, engines []Engine, grow bool) []Order {
	var orders []Order
	fleet := depth(m, engines)
	for _, g := range groups(m, engines) {
		orders = append(orders, planGroup(m, g, fleet, grow)...)
	}
	return orders
}

// depth counts the engines that hold each layer.
func depth(m Model, engines []Engine) []int {
	held := make([]int, m.Layers)
	for _, e := range engines {
		for l := e.From; l < min(e.To, m.Layers); l++ {
			held[l]++
		}
	}
	return held
}

// Capacity returns how many tokens an engine has room for beside layers weights.
func (m Model) Capacity(memoryMB float64, layers int) float64 {
	if layers == 0 {
		return 0
	}
	free := memoryMB - float64(layers)*m.LayerMB
	return max(0, free/(float64(layers)*m.TokenMB/float64(m.Layers)))
}

// most returns the layers that an engine may hold at most.
func (m Model) most(memoryMB float64) int { return int(usable * memoryMB / m.LayerMB) }

func (m Model) copyMB() float64 { return float64(m.Layers) * m.LayerMB }

// groups splits the engines by data centre. Data centres too small for a copy of
// their own form one group, or join the largest when that is too small as well.
func groups(m Model, engines []Engine) [][]Engine {
	byCentre := map[string][]Engine{}
	for _, e := range engines {
		byCentre[e.DataCentre] = append(byCentre[e.DataCentre], e)
	}
	var own [][]Engine
	var rest []Engine
	for _, dc := range sortedKeys(byCentre) {
		if g := byCentre[dc]; memory(g) >= ownCopy*m.copyMB() {
			own = append(own, g)
		} else {
			rest = append(rest, g...)
		}
	}
	switch {
	case len(rest) == 0:
	case len(own) == 0 || memory(rest) >= ownCopy*m.copyMB():
		own = append(own, rest)
	default:
		largest := slices.MaxFunc(own, func(a, b []Engine) int { return cmp.Compare(memory(a), memory(b)) })
		for i := range own {
			if own[i][0].DataCentre == largest[0].DataCentre {
				own[i] = append(own[i], rest...)
			}
		}
	}
	return own
}

// planGroup closes the gaps of a group, or fills it when nothing is held. fleet counts
// the engines of all groups that hold each layer.
func planGroup(m Model, g []Engine, fleet []int, grow bool) []Order {
	g = slices.Clone(g)
	slices.SortFunc(g, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(b.MemoryMB, a.MemoryMB), strings.Compare(a.ID, b.ID))
	})
	if !slices.ContainsFunc(g, func(e Engine) bool { return e.To > e.From }) {
		return fill(m, g)
	}
	p := &repair{m: m, engines: g, fleet: fleet, always: grow, ordered: map[int]string{}}
	p.closeGaps()
	p.useIdle()
	return p.orders()
}

// fill gives ranges to a group that holds nothing.
func fill(m Model, g []Engine) []Order {
	copies := max(1, int(memory(g)/(copyShare*m.copyMB())), (len(g)+copyHops-1)/copyHops)
	parts := make([][]Engine, copies)
	for _, e := range g { // By falling memory, each to the part with the least.
		least := 0
		for i := range parts {
			if memory(parts[i]) < memory(parts[least]) {
				least = i
			}
		}
		parts[least] = append(parts[least], e)
	}
	var orders []Order
	for _, part := range parts {
		at := 0
		for i, n := range Shares(m, part) {
			if n > 0 && part[i].Settled {
				orders = append(orders, Order{Engine: part[i].ID, From: at, To: at + n, Reason: "firstPlan"})
			}
			at += n
		}
	}
	return orders
}

// Shares returns how many layers each engine of one copy takes: the split that
// leaves the most room at the stage with the least.
func Shares(m Model, part []Engine) []int {
	counts := make([]int, len(part))
	for range m.Layers {
		best, bestRoom := -1, -1.0
		for i, e := range part {
			if counts[i] >= m.most(e.MemoryMB) {
				continue
			}
			if room := m.Capacity(e.MemoryMB, counts[i]+1); room > bestRoom {
				best, bestRoom = i, room
			}
		}
		if best < 0 {
			break
		}
		counts[best]++
	}
	return counts
}

func memory(g []Engine) float64 {
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
