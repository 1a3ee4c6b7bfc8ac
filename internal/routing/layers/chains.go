package layers

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// Parameters of the first assignment.
const (
	// onlyChainShare is the share of the requests that its first engine accepts for which a chain
	// has memory that is the only one of its group. Of several, each has memory for all of them.
	onlyChainShare = 0.5
	// repairSlotsShare is the share of the requests that a chain's first engine accepts for which
	// engines keep memory that close gaps or double layers.
	repairSlotsShare = 0.25
	// minChainTokens is the least memory of a chain, in tokens.
	minChainTokens = 30_000
	// defaultRequestTokens and defaultSlots apply where the tables state none.
	defaultRequestTokens = 1000
	defaultSlots         = 192
)

// firstPlan is the reason of the orders to a group in which no engine held layers.
const firstPlan = "firstPlan"

// assignChains assigns ranges to a group in which no engine holds layers. It forms chains that
// hold the whole model from the fastest engines first. A fast chain keeps a request for a
// shorter time, so that it needs less memory for the same rate of requests, fewer engines, and
// fewer requests are affected when an engine is lost. The engines that are left over double
// layers; where these are too few for a second chain, the first one is kept shorter, so that more
// of its layers are doubled.
func (p *repair) assignChains() {
	rest := make([]int, 0, len(p.engines))
	for i, e := range p.engines {
		if e.Settled && p.m.maxLayers(e.MemoryMB) > 0 {
			rest = append(rest, i)
		}
	}
	slices.SortFunc(rest, func(a, b int) int {
		x, y := p.engines[a], p.engines[b]
		return cmp.Or(cmp.Compare(x.StepFactor, y.StepFactor), cmp.Compare(y.MemoryMB, x.MemoryMB), strings.Compare(x.ID, y.ID))
	})
	all := p.m.chainTokens()
	chain := p.nextChain(rest, all)
	if len(p.nextChain(rest[len(chain):], all)) == 0 {
		chain = p.nextChain(rest, max(minChainTokens, onlyChainShare*all))
	}
	if len(chain) == 0 {
		chain = rest // Too little memory for a chain: hold as many layers as possible.
	}
	for len(chain) > 0 {
		p.assignChain(chain)
		rest = rest[len(chain):]
		chain = p.nextChain(rest, all)
	}
}

// nextChain returns the fastest engines that can hold a chain with memory for the given number of
// tokens, or for as many as they can, or none if the engines are too few even for a chain with the
// least memory.
func (p *repair) nextChain(rest []int, tokens float64) []int {
	for ; ; tokens = max(minChainTokens, tokens/2) {
		chain := p.prefix(rest, tokens)
		if len(chain) == 0 {
			if tokens == minChainTokens {
				return nil
			}
			continue
		}
		faster := max(minChainTokens, tokens*p.stepFactor(chain)/p.stepFactor(rest))
		if smaller := p.prefix(rest, min(tokens, faster)); len(smaller) > 0 {
			return smaller
		}
		return chain
	}
}

// prefix returns the first engines that together hold all layers with memory for the given
// number of tokens.
func (p *repair) prefix(rest []int, tokens float64) []int {
	held := 0
	for n, i := range rest {
		held += p.m.layersFor(p.engines[i].MemoryMB, tokens)
		if n == maxCopyEngines {
			return nil
		}
		if held >= p.m.Layers {
			return rest[:n+1]
		}
	}
	return nil
}

// assignChain splits the layers between the engines of a chain.
func (p *repair) assignChain(chain []int) {
	part := make([]Engine, len(chain))
	for k, i := range chain {
		part[k] = p.engines[i]
	}
	at := 0
	for k, n := range SplitLayers(p.m, part) {
		if n > 0 {
			p.assign(chain[k], at, at+n, firstPlan)
		}
		at += n
	}
}

// Costs of a chain, in units of one layer's step at a step factor of 1.
const (
	hopCost     = 20  // Of each engine: its queue and the network.
	missingCost = 500 // Of each layer that no engine holds.
)

// chainCost returns the cost of a token on the fastest chain of the engines.
func chainCost(layers int, engines []Engine) float64 {
	least := make([]float64, layers+1) // Cost of the layers from each one on.
	for at := layers - 1; at >= 0; at-- {
		least[at] = missingCost + least[at+1]
		for _, e := range engines {
			if e.From <= at && at < e.To {
				least[at] = min(least[at], hopCost+float64(e.To-at)*e.StepFactor+least[e.To])
			}
		}
	}
	return least[0]
}

// stepFactor returns the mean step factor of engines, weighted by their memory.
func (p *repair) stepFactor(engines []int) float64 {
	sum, memory := 0.0, 0.0
	for _, i := range engines {
		e := p.engines[i]
		sum += e.MemoryMB * e.StepFactor
		memory += e.MemoryMB
	}
	return max(math.SmallestNonzeroFloat64, sum) / max(math.SmallestNonzeroFloat64, memory)
}

// chainTokens returns the memory of a chain of average speed, in tokens.
func (m Model) chainTokens() float64 {
	slots, request := m.Slots, m.RequestTokens
	if slots == 0 {
		slots = defaultSlots
	}
	if request == 0 {
		request = defaultRequestTokens
	}
	return max(minChainTokens, float64(slots)*request)
}

// repairTokens returns the memory that engines keep for requests, if possible, when they close gaps
// or double layers, in tokens.
func (m Model) repairTokens() float64 { return repairSlotsShare * m.chainTokens() }

// layersFor returns the largest number of layers that an engine may hold beside memory for the
// given number of tokens.
func (m Model) layersFor(memoryMB, tokens float64) int {
	perLayer := m.LayerMB + tokens*m.TokenMB/float64(m.Layers)
	return min(m.maxLayers(memoryMB), int(memoryMB/perLayer), m.Layers)
}
