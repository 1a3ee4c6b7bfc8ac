package layers

// cascade closes the first gap that cascadeGap can close, and reports whether there was one.
func (p *repair) cascade(tokens float64) bool {
	for from, to := p.nextGap(0); from < to; from, to = p.nextGap(to) {
		if p.cascadeGap(from, to, tokens) {
			return true
		}
	}
	return false
}

// cascadeGap closes a gap by shifting the ranges of the engines on both sides of it: the engine
// next to the gap takes over layers of it and, if its memory does not suffice for all of them,
// leaves its layers at the other end to its neighbour, and so on. Each engine gets at most the
// layers that leave memory for the given number of tokens. cascadeGap reports whether it closed
// the gap; otherwise it changes nothing.
func (p *repair) cascadeGap(from, to int, tokens float64) bool {
	left, right := p.leftOf(from), p.rightOf(to)
	need := to - from
	leftSlack, rightSlack := make([]int, len(left)), make([]int, len(right))
	for k := 0; need > 0 && (k < len(left) || k < len(right)); k++ { // The nearest engines first.
		for _, side := range []struct {
			segments []segment
			slack    []int
		}{{left, leftSlack}, {right, rightSlack}} {
			if k < len(side.segments) {
				s := side.segments[k]
				side.slack[k] = min(need, max(0, p.m.layersFor(p.engines[s.engine].MemoryMB, tokens)-(s.to-s.from)))
				need -= side.slack[k]
			}
		}
	}
	if need > 0 || !p.unservable() && (p.busyShift(left, leftSlack) || p.busyShift(right, rightSlack)) {
		return false
	}
	p.shift(left, leftSlack, 1)
	p.shift(right, rightSlack, -1)
	return true
}

// segment is the part of a chain that an engine runs.
type segment struct {
	engine   int
	from, to int
}

// shift moves the segments on one side of a gap towards it: each by the slack of those farther
// away, and its end next to the gap by its own slack too. sign is 1 if the gap is at higher
// layers.
func (p *repair) shift(segments []segment, slack []int, sign int) {
	total := 0 // Slack of the engines from the farthest on.
	for k := len(segments) - 1; k >= 0; k-- {
		s := segments[k]
		far := total
		total += slack[k]
		switch {
		case total == 0:
		case sign > 0:
			p.assign(s.engine, s.from+far, s.to+total, "closeGap")
		default:
			p.assign(s.engine, s.from-total, s.to-far, "closeGap")
		}
	}
}

// busyShift reports whether an engine would give up layers that many requests use.
func (p *repair) busyShift(segments []segment, slack []int) bool {
	total := 0 // Slack of the engines from the farthest on.
	for k := len(segments) - 1; k >= 0; k-- {
		if total > 0 && p.engines[segments[k].engine].Requests > maxMovedRequests {
			return true
		}
		total += slack[k]
	}
	return false
}

// nextGap returns the first range from a layer on that no engine of the group holds. It is empty
// if there is none.
func (p *repair) nextGap(after int) (from, to int) {
	own := countHolders(p.m, p.engines)
	for from = after; from < p.m.Layers && own[from] > 0; {
		from++
	}
	for to = from; to < p.m.Layers && own[to] == 0; {
		to++
	}
	return from, to
}

// leftOf returns the segments of a chain that ends at a layer, the nearest first. Only engines
// that may get an order are in it.
func (p *repair) leftOf(layer int) []segment {
	var out []segment
	for layer > 0 {
		best := -1
		for i, e := range p.engines {
			if p.mayOrder(i) && e.From < layer && layer <= e.To && (best < 0 || e.From < p.engines[best].From) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		out = append(out, segment{best, p.engines[best].From, layer})
		layer = p.engines[best].From
	}
	return out
}

// rightOf returns the segments of a chain that begins at a layer, the nearest first.
func (p *repair) rightOf(layer int) []segment {
	var out []segment
	for layer < p.m.Layers {
		best := -1
		for i, e := range p.engines {
			if p.mayOrder(i) && e.From <= layer && layer < e.To && (best < 0 || e.To > p.engines[best].To) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		out = append(out, segment{best, layer, p.engines[best].To})
		layer = p.engines[best].To
	}
	return out
}

// mayOrder reports whether an engine may get an order in this plan.
func (p *repair) mayOrder(i int) bool { return p.engines[i].Settled && p.reasons[i] == "" }
