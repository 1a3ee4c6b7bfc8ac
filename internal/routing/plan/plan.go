// Package plan computes the maximum throughput of a set of stage replicas, and the
// weights by which to distribute requests over them. Replicas are edges between layer
// boundaries; the maximum flow from the first boundary to the last is the bound
// on throughput, and each replica's share of the flow is its weight.
//
//	p := plan.Compute(12, []plan.Replica{
//		{ID: "a", From: 0, To: 6, Rate: 100},
//		{ID: "b", From: 6, To: 12, Rate: 40},
//	})
//	// p.Bound is 40.
package plan

import (
	"slices"
	"strings"
)

// Replica is an engine that holds the layers From (inclusive) to To (exclusive).
type Replica struct {
	ID   string
	From uint32
	To   uint32
	Rate float64 // Tokens per second, the lower of its compute rate and its link rate.
}

// Plan is the result for one pool.
type Plan struct {
	Bound   float64            // Maximum throughput of the pool, in tokens per second.
	Weights map[string]float64 // Tokens per second of each replica; absent means none.
}

// span is a range of layers.
type span struct {
	from, to uint32
}

// Compute returns the plan for a model with the given number of layers. Replicas of the
// same range share that range's flow in proportion to their rates, so that a change of
// one replica changes the weights of the others as little as possible.
func Compute(layers uint32, replicas []Replica) Plan {
	groups := groupBySpan(layers, replicas)
	spans := sortedSpans(groups)
	net := newNetwork(layers)
	for _, s := range spans {
		net.addEdge(s.from, s.to, groupRate(groups[s]))
	}
	p := Plan{Bound: net.maxFlow(0, layers), Weights: map[string]float64{}}
	for i, s := range spans {
		flow := net.flowOf(i)
		if flow <= 0 {
			continue
		}
		rate := groupRate(groups[s])
		for _, r := range groups[s] {
			p.Weights[r.ID] = flow * r.Rate / rate
		}
	}
	return p
}

func groupBySpan(layers uint32, replicas []Replica) map[span][]Replica {
	groups := map[span][]Replica{}
	for _, r := range replicas {
		if r.From >= r.To || r.To > layers || r.Rate <= 0 {
			continue
		}
		s := span{r.From, r.To}
		groups[s] = append(groups[s], r)
	}
	return groups
}

func sortedSpans(groups map[span][]Replica) []span {
	spans := make([]span, 0, len(groups))
	for s := range groups {
		spans = append(spans, s)
	}
	slices.SortFunc(spans, func(a, b span) int {
		if a.from != b.from {
			return int(a.from) - int(b.from)
		}
		return int(a.to) - int(b.to)
	})
	return spans
}

func groupRate(group []Replica) float64 {
	sum := 0.0
	for _, r := range group {
		sum += r.Rate
	}
	return sum
}

// MissingLayers returns the furthest layer boundary that a path from layer 0 reaches.
// missing is true when no path reaches the last layer.
func MissingLayers(layers uint32, replicas []Replica) (from uint32, missing bool) {
	reached := map[uint32]bool{0: true}
	ordered := slices.Clone(replicas)
	slices.SortFunc(ordered, func(a, b Replica) int {
		if a.From != b.From {
			return int(a.From) - int(b.From)
		}
		return strings.Compare(a.ID, b.ID)
	})
	furthest := uint32(0)
	for _, r := range ordered {
		if reached[r.From] && r.Rate > 0 {
			reached[r.To] = true
			furthest = max(furthest, r.To)
		}
	}
	return furthest, !reached[layers]
}
