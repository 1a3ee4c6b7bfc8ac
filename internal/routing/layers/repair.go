package layers

// repair changes the ranges of a group in which some engines hold layers.
type repair struct {
	m       Model
	engines []Engine
	fleet   []int          // Number of engines in all groups that hold each layer.
	always  bool           // Engines may grow into any gap.
	ordered map[int]string // Reason of the order for each changed engine, by index.
}

// closeGaps covers layers that no engine of the group holds. It uses idle engines first,
// then extends the engines next to the gap, the one with more capacity first. While other
// engines of the fleet hold the gap's layers, no engine is moved away from its own
// layers, because requests in flight would lose their caches.
func (p *repair) closeGaps() {
	skip := 0
	for range p.m.Layers {
		from, to := p.gap(skip)
		if from == to {
			return
		}
		if p.placeIdle(from, to) || p.grow(from, to) {
			continue
		}
		if p.fleet[from] == 0 && p.moveSpare(from, to) {
			continue
		}
		skip = to
	}
}

// gap returns the first range at or after a layer that no engine of the group holds. The
// range is empty if there is none.
func (p *repair) gap(after int) (from, to int) {
	held := depth(p.m, p.engines)
	for from = after; from < p.m.Layers && held[from] > 0; {
		from++
	}
	for to = from; to < p.m.Layers && held[to] == 0; {
		to++
	}
	return from, to
}

// placeIdle assigns a gap to the smallest idle engine that can hold all of it, or to the
// largest idle engine when none can.
func (p *repair) placeIdle(from, to int) bool {
	best := -1
	for i, e := range p.engines {
		if e.To > e.From || !e.Settled || p.m.most(e.MemoryMB) == 0 {
			continue
		}
		// Engines are in descending order of memory.
		if best < 0 || p.m.most(e.MemoryMB) >= to-from {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	width := min(to-from, p.m.most(p.engines[best].MemoryMB))
	p.set(best, from, from+width, "closeGap")
	return true
}

// grow extends an engine next to the gap by one layer. Because the engine's requests
// stop while it loads, grow does so only if fewer than enoughHolders engines hold the
// layer, or if always is set.
func (p *repair) grow(from, to int) bool {
	if p.fleet[from] >= enoughHolders && !p.always {
		return false
	}
	best, bestRoom := -1, float64(leastTokens)
	for i, e := range p.engines {
		if !e.Settled || e.To == e.From || e.To != from && e.From != to {
			continue
		}
		n := e.To - e.From + 1
		if room := p.m.Capacity(e.MemoryMB, n); n <= p.m.most(e.MemoryMB) && room > bestRoom {
			best, bestRoom = i, room
		}
	}
	if best < 0 {
		return false
	}
	e := p.engines[best]
	if e.To == from {
		p.set(best, e.From, e.To+1, "closeGap")
	} else {
		p.set(best, e.From-1, e.To, "closeGap")
	}
	return true
}

// moveSpare moves an engine to the gap if other engines of the fleet hold all of its
// layers too.
func (p *repair) moveSpare(from, to int) bool {
	for i, e := range p.engines {
		if !e.Settled || e.To == e.From || p.ordered[i] != "" || !covered(p.fleet, e, 2) {
			continue
		}
		width := min(to-from, p.m.most(e.MemoryMB))
		if width == 0 {
			continue
		}
		p.set(i, from, from+width, "closeGap")
		return true
	}
	return false
}

func covered(held []int, e Engine, times int) bool {
	for l := e.From; l < e.To; l++ {
		if held[l] < times {
			return false
		}
	}
	return true
}

// useIdle assigns idle engines to the ranges where the group has the least capacity.
func (p *repair) useIdle() {
	for i, e := range p.engines {
		if e.To > e.From || !e.Settled || e.New {
			continue
		}
		width := p.width(e)
		if width == 0 {
			continue
		}
		room := p.room()
		best, bestRoom := 0, -1.0
		for at := 0; at+width <= p.m.Layers; at++ {
			least := room[at]
			sum := 0.0
			for l := at; l < at+width; l++ {
				least = min(least, room[l])
				sum += room[l]
			}
			if bestRoom < 0 || sum < bestRoom {
				best, bestRoom = at, sum
			}
		}
		p.set(i, best, best+width, "addRoom")
	}
}

// width returns the number of layers to assign to an idle engine, in proportion to its
// share of the group's memory.
func (p *repair) width(e Engine) int {
	total := memory(p.engines)
	copies := max(1, total/(copyShare*p.m.copyMB()))
	n := int(float64(p.m.Layers)*copies*e.MemoryMB/total + 0.5)
	return min(max(1, n), p.m.most(e.MemoryMB), p.m.Layers)
}

// room returns the capacity of each layer in tokens, summed over all engines of the
// group that hold it.
func (p *repair) room() []float64 {
	out := make([]float64, p.m.Layers)
	for _, e := range p.engines {
		c := p.m.Capacity(e.MemoryMB, e.To-e.From)
		for l := e.From; l < e.To; l++ {
			out[l] += c
		}
	}
	return out
}

func (p *repair) set(i, from, to int, reason string) {
	for l := p.engines[i].From; l < p.engines[i].To; l++ {
		p.fleet[l]--
	}
	for l := from; l < to; l++ {
		p.fleet[l]++
	}
	p.engines[i].From, p.engines[i].To = from, to
	p.ordered[i] = reason
}

func (p *repair) orders() []Order {
	var out []Order
	for i, e := range p.engines {
		if reason := p.ordered[i]; reason != "" {
			out = append(out, Order{Engine: e.ID, From: e.From, To: e.To, Reason: reason})
		}
	}
	return out
}
