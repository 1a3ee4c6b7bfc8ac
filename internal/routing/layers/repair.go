package layers

// repair changes the ranges of a group that holds layers already.
type repair struct {
	m       Model
	engines []Engine
	ordered map[int]string // Reason of each changed engine, by index.
}

// closeGaps covers the layers that no engine of the group holds. Idle engines come
// first, then the neighbours of the gap grow, the one with more room first.
func (p *repair) closeGaps() {
	for range p.m.Layers {
		from, to := p.gap()
		if from == to {
			return
		}
		if !p.placeIdle(from, to) && !p.grow(from, to) && !p.moveSpare(from, to) {
			return
		}
	}
}

// gap returns the first range that nobody holds.
func (p *repair) gap() (from, to int) {
	held := p.holders()
	for from < p.m.Layers && held[from] > 0 {
		from++
	}
	for to = from; to < p.m.Layers && held[to] == 0; {
		to++
	}
	return from, to
}

// holders counts the engines that hold each layer.
func (p *repair) holders() []int {
	held := make([]int, p.m.Layers)
	for _, e := range p.engines {
		for l := e.From; l < e.To; l++ {
			held[l]++
		}
	}
	return held
}

// placeIdle puts the smallest idle engine that can hold the gap there, or the
// largest one when none can.
func (p *repair) placeIdle(from, to int) bool {
	best := -1
	for i, e := range p.engines {
		if e.To > e.From || !e.Settled || p.m.most(e.MemoryMB) == 0 {
			continue
		}
		// Engines are sorted by falling memory.
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

// grow closes one layer of the gap: an engine near it takes one layer more, and those
// between shift by one. Near engines are preferred, because each shift is a load.
func (p *repair) grow(from, to int) bool {
	left := p.donors(from, func(e Engine) int { return e.To }, func(e Engine) int { return e.From })
	right := p.donors(to, func(e Engine) int { return e.From }, func(e Engine) int { return e.To })
	leftAt, leftValue := p.bestDonor(left)
	rightAt, rightValue := p.bestDonor(right)
	switch {
	case leftAt < 0 && rightAt < 0:
		return false
	case leftValue >= rightValue:
		p.shift(left[:leftAt+1], 1)
	default:
		p.shift(right[:rightAt+1], -1)
	}
	return true
}

// donors returns the engines that adjoin a boundary one after the other, the nearest
// first. near and far give an engine's ends as seen from the boundary.
func (p *repair) donors(boundary int, near, far func(Engine) int) []int {
	var chain []int
	used := map[int]bool{}
	for len(chain) < len(p.engines) {
		best := -1
		for i, e := range p.engines {
			if used[i] || !e.Settled || e.To == e.From || near(e) != boundary {
				continue
			}
			if best < 0 || p.m.Capacity(e.MemoryMB, e.To-e.From) > p.m.Capacity(p.engines[best].MemoryMB, p.engines[best].To-p.engines[best].From) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		used[best] = true
		chain = append(chain, best)
		boundary = far(p.engines[best])
	}
	return chain
}

// bestDonor returns which engine of a chain should take one layer more, and its value,
// or -1 when none can.
func (p *repair) bestDonor(chain []int) (at int, value float64) {
	at = -1
	weight := 1.0
	for k, i := range chain {
		e := p.engines[i]
		n := e.To - e.From + 1
		if room := p.m.Capacity(e.MemoryMB, n); n <= p.m.most(e.MemoryMB) && room > leastTokens && room*weight > value {
			at, value = k, room*weight
		}
		weight *= farther
	}
	return at, value
}

// shift moves the engines of a chain by one layer towards the gap, of which the last
// one keeps its far end.
func (p *repair) shift(chain []int, by int) {
	for k, i := range chain {
		e := p.engines[i]
		from, to := e.From+by, e.To+by
		if k == len(chain)-1 {
			from, to = min(e.From, from), max(e.To, to)
		}
		p.set(i, from, to, "closeGap")
	}
}

// moveSpare moves an engine all of whose layers others hold too.
func (p *repair) moveSpare(from, to int) bool {
	held := p.holders()
	for i, e := range p.engines {
		if !e.Settled || e.To == e.From || p.ordered[i] != "" || !covered(held, e, 2) {
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

// useIdle places idle engines where the group has the least room.
func (p *repair) useIdle() {
	for i, e := range p.engines {
		if e.To > e.From || !e.Settled {
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

// width returns how many layers an idle engine takes beside others: its share of the
// group's memory.
func (p *repair) width(e Engine) int {
	total := memory(p.engines)
	copies := max(1, total/(copyShare*p.m.copyMB()))
	n := int(float64(p.m.Layers)*copies*e.MemoryMB/total + 0.5)
	return min(max(1, n), p.m.most(e.MemoryMB), p.m.Layers)
}

// room returns for how many tokens each layer has room over all its holders.
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
