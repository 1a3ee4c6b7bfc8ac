package layers

import (
	"maps"
	"math"
	"slices"
)

// repair changes the ranges of a group in which some engines hold layers.
type repair struct {
	m          Model
	engines    []Engine
	holders    []int          // Number of engines in all groups that hold each layer.
	growAlways bool           // Engines in use may load any layer that the group lacks.
	maxHolders int            // See fillGaps.
	reasons    map[int]string // Reason of the order for each changed engine, by index.
	idleReason string         // Reason of orders that only add capacity.
}

// closeGaps covers layers that no engine of the group holds: with idle engines, and with engines
// in use, which load more layers, or give up layers that others of the group hold too. Engines
// in use stop their requests while they load. They are therefore changed only for layers that
// no engine of the fleet holds, or if that closes all gaps of the group and few engines of the
// fleet hold the layers, or growAlways is set.
func (p *repair) closeGaps() {
	p.fillGaps(1)
	if p.unservable() {
		p.cascadeGaps() // No request can be served anyway.
	}
	if !p.hasGap() {
		return
	}
	maxHolders := minHolders
	if p.growAlways {
		maxHolders = math.MaxInt
	}
	q := p.clone()
	q.fillGaps(maxHolders)
	if q.hasGap() && p.growAlways {
		// Engines that have got a range cannot be shifted any more.
		q = p.clone()
		q.cascadeGaps()
		q.fillGaps(maxHolders)
	}
	if !q.hasGap() {
		*p = *q
	}
}

// unservable reports whether no engine of the fleet holds some layer.
func (p *repair) unservable() bool { return slices.Contains(p.holders, 0) }

// cascadeGaps closes gaps by cascades, with as much memory for requests as possible.
func (p *repair) cascadeGaps() {
	for tokens := p.m.repairTokens(); p.hasGap(); tokens = max(minGapTokens, tokens/2) {
		for p.cascade(tokens) {
		}
		if tokens == minGapTokens {
			return
		}
	}
}

// fillGaps closes gaps while it finds engines for that. An engine in use loads only layers that
// fewer than maxHolders engines of the fleet hold. A chain needs all layers, so that gaps are
// closed even if that leaves little memory for requests, but with as much as possible.
func (p *repair) fillGaps(maxHolders int) {
	p.maxHolders = maxHolders
	for tokens := p.m.repairTokens(); ; tokens = max(minGapTokens, tokens/2) {
		for p.fillGap(tokens) {
		}
		if tokens == minGapTokens {
			return
		}
	}
}

func (p *repair) hasGap() bool { return slices.Contains(countHolders(p.m, p.engines), 0) }

func (p *repair) clone() *repair {
	q := *p
	q.engines, q.holders, q.reasons = slices.Clone(p.engines), slices.Clone(p.holders), maps.Clone(p.reasons)
	return &q
}

// move is a new range for an engine that closes gaps.
type move struct {
	engine   int // Index, or -1 for no move.
	from, to int
	idle     bool // The engine holds no layers.
	closed   int  // Layers that no engine of the group held before.
	dropped  int  // Layers that the engine gives up.
	loaded   int  // Layers that it loads.
}

// betterThan reports whether a move is preferable to another one.
func (v move) betterThan(w move) bool {
	switch {
	case w.engine < 0:
		return true
	case v.idle != w.idle:
		return v.idle
	case v.closed != w.closed:
		return v.closed > w.closed
	case v.dropped != w.dropped:
		return v.dropped < w.dropped
	}
	return v.loaded < w.loaded
}

// fillGap assigns the best engine to a gap, if one can hold it beside memory for the given
// number of tokens. It reports whether it found one.
func (p *repair) fillGap(tokens float64) bool {
	own := countHolders(p.m, p.engines)
	if !slices.Contains(own, 0) {
		return false
	}
	best := move{engine: -1}
	for i, e := range p.engines {
		if !p.mayOrder(i) {
			continue
		}
		if v := p.bestMove(i, own, p.m.layersFor(e.MemoryMB, tokens)); v.engine >= 0 && v.betterThan(best) {
			best = v
		}
	}
	if best.engine < 0 {
		return false
	}
	p.assign(best.engine, best.from, best.to, "closeGap")
	return true
}

// bestMove returns the best range of at most the given width for an engine. The range includes
// all layers that the engine alone holds in its group.
func (p *repair) bestMove(i int, own []int, width int) move {
	e := p.engines[i]
	least, end := e.soleLayers(own)
	width = max(width, e.To-e.From)
	best := move{engine: -1}
	for from := 0; from+width <= p.m.Layers; from++ {
		if least < end && (from > least || from+width < end) {
			continue
		}
		v := p.trim(move{engine: i, from: from, to: from + width, idle: e.To == e.From}, e, own)
		if v.dropped > 0 && e.Requests > maxMovedRequests && !p.unservable() {
			continue
		}
		if v.closed > 0 && v.betterThan(best) {
			best = v
		}
	}
	return best
}

// trim counts the changes of a move, after shortening its range by layers at the ends that
// would be loaded without closing a gap. An idle engine takes its full width.
func (p *repair) trim(v move, e Engine, own []int) move {
	useful := func(l int) bool {
		return v.idle || e.From <= l && l < e.To || own[l] == 0 && p.mayLoad(l)
	}
	for v.from < v.to && !useful(v.from) {
		v.from++
	}
	for v.to > v.from && !useful(v.to-1) {
		v.to--
	}
	for l := v.from; l < v.to; l++ {
		if l < e.From || l >= e.To {
			v.loaded++
		}
		if own[l] == 0 && (v.idle || p.mayLoad(l)) {
			v.closed++
		}
	}
	v.dropped = e.To - e.From - (v.to - v.from - v.loaded)
	return v
}

// mayLoad reports whether an engine in use may load a layer that its group lacks.
func (p *repair) mayLoad(layer int) bool { return p.holders[layer] < p.maxHolders }

// soleLayers returns the range of the layers that only this engine of its group holds.
func (e Engine) soleLayers(own []int) (from, to int) {
	from, to = e.To, e.From
	for l := e.From; l < e.To; l++ {
		if own[l] == 1 {
			from, to = min(from, l), l+1
		}
	}
	return from, to
}

// assignIdle assigns idle engines: to the range that makes the group's fastest chain most
// faster, and among equal ones to the range where the group has the least capacity.
func (p *repair) assignIdle() {
	for i, e := range p.engines {
		if e.To > e.From || !e.Settled || e.New {
			continue
		}
		width := p.m.layersFor(e.MemoryMB, p.m.repairTokens())
		if width == 0 {
			continue
		}
		from := p.bestStart(i, width)
		p.assign(i, from, from+width, p.idleReason)
	}
}

// bestStart returns the first layer of the best range of the given width for an idle engine.
func (p *repair) bestStart(i, width int) int {
	capacity := p.layerCapacity()
	e := &p.engines[i]
	best, bestCost, bestCapacity := 0, 0.0, 0.0
	for at := 0; at+width <= p.m.Layers; at++ {
		sum := 0.0
		for _, c := range capacity[at : at+width] {
			sum += c
		}
		e.From, e.To = at, at+width
		cost := chainCost(p.m.Layers, p.engines)
		if at == 0 || cost < bestCost || cost == bestCost && sum < bestCapacity {
			best, bestCost, bestCapacity = at, cost, sum
		}
	}
	e.From, e.To = 0, 0
	return best
}

// layerCapacity returns the capacity of each layer in tokens, summed over all engines of
// the group that hold it.
func (p *repair) layerCapacity() []float64 {
	out := make([]float64, p.m.Layers)
	for _, e := range p.engines {
		c := p.m.Capacity(e.MemoryMB, e.To-e.From)
		for l := e.From; l < e.To; l++ {
			out[l] += c
		}
	}
	return out
}

// assign sets the range of an engine and updates holders.
func (p *repair) assign(i, from, to int, reason string) {
	for l := p.engines[i].From; l < p.engines[i].To; l++ {
		p.holders[l]--
	}
	for l := from; l < to; l++ {
		p.holders[l]++
	}
	p.engines[i].From, p.engines[i].To = from, to
	p.reasons[i] = reason
}

func (p *repair) orders() []Order {
	var out []Order
	for i, e := range p.engines {
		if reason := p.reasons[i]; reason != "" {
			out = append(out, Order{Engine: e.ID, From: e.From, To: e.To, Reason: reason})
		}
	}
	return out
}
