// Package chain computes the path of a request through a pool whose engines forward
// activations to each other: a sequence of layer ranges that runs every layer once and
// in order. It minimises the expected duration of the request, given the speed of the
// engines, the load of other requests on them, and the network between them.
//
// All functions are pure functions of their arguments.
package chain

import (
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/fault"
)

// MaxHops is the maximum number of engines in a path.
const MaxHops = 32

// Weights of the cost estimate.
const (
	// transferCostFactor multiplies the transfer time between data centres, because all
	// requests share that network link.
	transferCostFactor = 20.0
	// maxLinkWaitMs is the longest queueing delay of a link between data centres at which
	// a path may still use the link.
	maxLinkWaitMs = 250.0
	// remoteEntryCostMs is the cost added to a path that begins outside the VM's data
	// centre, because the response stream then crosses data centres.
	remoteEntryCostMs = 200.0
	// maxMemoryUse is the largest fraction of an engine's memory to fill. The rest
	// absorbs requests that other VMs sent since their last reports.
	maxMemoryUse = 0.94
	// memoryPenalty scales how much the estimate grows as an engine's memory fills.
	memoryPenalty = 1.5
	// concurrentHops is the assumed number of engines over which a path's running
	// requests are distributed at any moment.
	concurrentHops = 6.0
	// meanContextK is the assumed context length of a running request, in thousands of
	// tokens.
	meanContextK = 0.85
)

// Errors returned by Choose.
const (
	// ErrMissingLayers reports that some layer is held by no usable engine.
	ErrMissingLayers = fault.Sentinel("chain: some layers have no usable engine")
	// ErrFull reports that every complete path lacks memory or slots.
	ErrFull = fault.Sentinel("chain: every path is full")
)

// Engine is a candidate for a hop, with its speed and current load.
type Engine struct {
	ID               string
	Address          string
	DataCentre       string
	From, To         int     // Layer range held, From inclusive, To exclusive.
	StepFactor       float64 // Relative duration of a decode step; higher is slower.
	ReadFactor       float64 // Relative duration of prefill; higher is slower.
	Capacity         float64 // Memory for requests, in tokens times layers.
	Used             float64 // Part of that memory in use by requests.
	Margin           float64 // Part of it that requests not known yet may use.
	Requests         int     // Requests whose path includes the engine.
	FirstHopRequests int     // Requests whose path starts at the engine.
	NoFirst          bool    // No new request may start at the engine at present.
	// Slowdown multiplies the cost of the engine when paths are compared. It is above 1
	// for engines whose paths were slower than estimated; values below 1 count as 1.
	Slowdown float64
}

// Model holds the timing parameters common to all engines; see tables.Engine.
type Model struct {
	Layers          int
	Slots           int
	StepMs          float64
	PerRequestMs    float64
	ContextMsPerK   float64
	ReadTokensPerMs float64
	// CrossMsPerToken is the time to transfer one token's activations between two data
	// centres.
	CrossMsPerToken float64
	// HopMs is the network delay between two engines.
	HopMs float64
	// LinkWaitMs returns the queueing delay of the link between two data centres; nil
	// means no delay.
	LinkWaitMs func(a, b string) float64
}

// Request describes the request to find a path for.
type Request struct {
	Prompt     int    // Prompt tokens.
	Answer     int    // Expected tokens of the answer.
	DataCentre string // Data centre of the VM that sends the request.
	// Exclude is the set of engines that the path must not use.
	Exclude map[string]bool
	// Reserve is the share of each engine's memory and first-hop slots, in [0, 1), that the request leaves free for
	// more urgent ones. It does not keep the request from engines without requests.
	Reserve float64
	// Draw is a random number in [0, 1), by which VMs that know the same load choose differently.
	Draw float64
	// Running is set for a request that already runs on its first engine, which gets no new request.
	Running bool
	// AllowedFirst is the set of engines that the path may begin with; nil allows any.
	AllowedFirst map[string]bool
}

// Hop is one engine of a path and the layers that it runs.
type Hop struct {
	Engine     string
	Address    string
	DataCentre string
	From, To   int
}

// Path is a sequence of hops with its time estimates.
type Path struct {
	Hops    []Hop
	FirstMs float64 // Expected time to the first token.
	TokenMs float64 // Expected time of each later token.
	Tokens  int     // Memory that the request uses at each hop, in tokens.
}

// Complete reports whether the hops run every layer once and in order, on at most MaxHops
// distinct engines.
func (p Path) Complete(layers int) bool {
	at := 0
	seen := map[string]bool{}
	for _, h := range p.Hops {
		if h.From != at || h.To <= h.From || seen[h.Engine] {
			return false
		}
		seen[h.Engine] = true
		at = h.To
	}
	return at == layers && len(p.Hops) <= MaxHops
}

// partialPath is the cheapest partial path found so far that ends at a given layer
// boundary in a given data centre.
type partialPath struct {
	cost, first, token float64
	engine             int // Index of the last engine, or -1.
	from               int // Layer boundary at which the last engine starts.
	previous           int // Index of the data centre before the last engine.
	hops               int
}

// Choose returns the path with the lowest cost. A path that leaves the request's data centre is
// chosen only if none within it has capacity, or a whole path in another one costs less: all
// requests share the links between data centres, which a part of the requests fills. Choose
// returns ErrMissingLayers if the usable
// engines do not cover all layers, and ErrFull if every path that covers them lacks
// capacity.
func Choose(m Model, engines []Engine, r Request) (Path, error) {
	s := newSearch(m, engines, r)
	if p, ok := s.best(true, false); ok && p.Hops[0].DataCentre == r.DataCentre {
		return p, nil
	}
	if p, ok := s.best(true, true); ok {
		return p, nil
	}
	if _, ok := s.best(false, true); ok {
		return Path{}, ErrFull
	}
	return Path{}, ErrMissingLayers
}

// search holds the state of one call of Choose.
type search struct {
	m       Model
	r       Request
	engines []Engine
	centres []string // Data centres; the request's own is first.
	fewest  bool     // Paths with fewer hops are preferred to cheaper ones.
	// holders lists the indices of the usable engines by data centre and layer: those that hold
	// layer l in data centre c are holders[starts[k]:starts[k+1]] for k = c*Layers+l.
	holders, starts []int
}

func newSearch(m Model, engines []Engine, r Request) *search {
	s := &search{m: m, r: r, engines: engines, centres: []string{r.DataCentre}}
	centre := make([]int, len(engines)) // Index of each usable engine's data centre, or -1.
	for i := range engines {
		e := &engines[i]
		if e.To <= e.From || e.To > m.Layers || r.Exclude[e.ID] {
			centre[i] = -1
			continue
		}
		c := slices.Index(s.centres, e.DataCentre)
		if c < 0 {
			c = len(s.centres)
			s.centres = append(s.centres, e.DataCentre)
		}
		centre[i] = c
	}
	s.indexHolders(centre)
	return s
}

// indexHolders sets holders and starts, given the index of each engine's data centre.
func (s *search) indexHolders(centre []int) {
	s.starts = make([]int, len(s.centres)*s.m.Layers+1)
	s.eachHolder(centre, func(k, _ int) { s.starts[k+1]++ })
	for k := 1; k < len(s.starts); k++ {
		s.starts[k] += s.starts[k-1]
	}
	s.holders = make([]int, s.starts[len(s.starts)-1])
	next := slices.Clone(s.starts)
	s.eachHolder(centre, func(k, engine int) {
		s.holders[next[k]] = engine
		next[k]++
	})
}

// eachHolder calls add for each layer of each usable engine, with the index of the layer in starts.
func (s *search) eachHolder(centre []int, add func(k, engine int)) {
	for i, c := range centre {
		if c < 0 {
			continue
		}
		for l := s.engines[i].From; l < s.engines[i].To; l++ {
			add(c*s.m.Layers+l, i)
		}
	}
}

// best finds the cheapest path. If bounded is set, it skips engines without enough capacity. If
// crossing is not set, paths stay within one data centre. If the cheapest path has too many hops,
// best finds the one with the fewest.
func (s *search) best(bounded, crossing bool) (Path, bool) {
	s.fewest = false
	p, ok := s.solve(bounded, crossing)
	if ok && len(p.Hops) > MaxHops {
		s.fewest = true
		p, ok = s.solve(bounded, crossing)
	}
	return p, ok && len(p.Hops) <= MaxHops
}

// solve finds the best path of any number of hops by dynamic programming over layer boundaries and
// data centres.
func (s *search) solve(bounded, crossing bool) (Path, bool) {
	n := len(s.centres)
	table := make([]partialPath, (s.m.Layers+1)*n)
	known := make([]bool, len(table))
	table[0], known[0] = partialPath{engine: -1}, true // Start in the request's data centre.
	for at := range s.m.Layers {
		for c := range n {
			if !known[at*n+c] {
				continue
			}
			s.extend(table, known, at, c, bounded, crossing)
		}
	}
	end := -1
	for c := range n {
		i := s.m.Layers*n + c
		if known[i] && (end < 0 || s.isBetter(&table[i], &table[end])) {
			end = i
		}
	}
	if end < 0 {
		return Path{}, false
	}
	return s.path(table, end), true
}

// extend extends the partial path at a boundary of a data centre by every engine that holds the
// next layer.
func (s *search) extend(table []partialPath, known []bool, at, c int, bounded, crossing bool) {
	for to := range s.centres {
		switch {
		case at == 0 || to == c:
			s.extendTo(table, known, at, c, to, 0, bounded)
		case crossing:
			if wait := s.linkWait(c, to); wait <= maxLinkWaitMs {
				s.extendTo(table, known, at, c, to, wait, bounded)
			}
		}
	}
}

// extendTo extends the partial path by the engines of one data centre, over a link with a queueing
// delay if that is another one.
func (s *search) extendTo(table []partialPath, known []bool, at, c, to int, wait float64, bounded bool) {
	n := len(s.centres)
	here := table[at*n+c]
	var linkFirst, linkToken float64
	if at > 0 {
		linkFirst, linkToken = s.m.HopMs, s.m.HopMs
		if to != c {
			linkFirst += wait + transferCostFactor*s.m.CrossMsPerToken*float64(s.r.Prompt)
			linkToken += transferCostFactor * s.m.CrossMsPerToken
		}
	}
	k := to*s.m.Layers + at
	for _, i := range s.holders[s.starts[k]:s.starts[k+1]] {
		e := &s.engines[i]
		if at == 0 && s.r.AllowedFirst != nil && !s.r.AllowedFirst[e.ID] || bounded && !s.fits(e, at, e.To, at == 0) {
			continue
		}
		first, token := s.estimateMs(e, at, e.To)
		first, token = first+linkFirst, token+linkToken
		next := partialPath{first: here.first + first, token: here.token + token, engine: i, from: at, previous: c, hops: here.hops + 1}
		next.cost = here.cost + max(1, e.Slowdown)*(first+token*float64(s.r.Answer))
		if at == 0 && to != 0 {
			next.cost += remoteEntryCostMs
		}
		j := e.To*n + to
		if !known[j] || s.isBetter(&next, &table[j]) {
			table[j], known[j] = next, true
		}
	}
}

// isBetter reports whether a partial path is preferable to another one to the same boundary.
func (s *search) isBetter(a, b *partialPath) bool {
	if s.fewest && a.hops != b.hops {
		return a.hops < b.hops
	}
	return a.cost < b.cost
}

// linkWait returns the queueing delay of the link between two data centres, given by
// index.
func (s *search) linkWait(a, b int) float64 {
	if s.m.LinkWaitMs == nil {
		return 0
	}
	return s.m.LinkWaitMs(s.centres[a], s.centres[b])
}

// fits reports whether an engine has enough slots and memory for the request.
func (s *search) fits(e *Engine, from, to int, first bool) bool {
	if first && e.NoFirst && !s.r.Running {
		return false
	}
	slots, memory := s.m.Slots, maxMemoryUse*e.Capacity
	if s.r.Reserve > 0 && e.Requests > 0 {
		slots = max(1, int((1-s.r.Reserve)*float64(slots)))
		memory *= 1 - s.r.Reserve
	}
	if first && s.m.Slots > 0 && e.FirstHopRequests >= slots {
		return false
	}
	need := float64((s.r.Prompt + s.r.Answer) * (to - from))
	return e.Used+e.Margin+need <= memory
}

// estimateMs estimates the milliseconds that an engine adds to the first token and to each
// later token.
func (s *search) estimateMs(e *Engine, from, to int) (firstMs, tokenMs float64) {
	share := float64(to-from) / float64(s.m.Layers)
	running := 1 + float64(e.Requests)/concurrentHops
	tokenMs = share * e.StepFactor * (s.m.StepMs + running*(s.m.PerRequestMs+meanContextK*s.m.ContextMsPerK))
	firstMs = tokenMs + share*e.ReadFactor*float64(s.r.Prompt)/s.m.ReadTokensPerMs
	if e.Capacity > 0 {
		penalty := 1 + memoryPenalty*e.Used/e.Capacity
		firstMs, tokenMs = firstMs*penalty, tokenMs*penalty
	}
	return firstMs, tokenMs
}

// path rebuilds the path that ends at a table entry from the links to earlier entries.
func (s *search) path(table []partialPath, end int) Path {
	n := len(s.centres)
	last := table[end]
	p := Path{FirstMs: last.first, TokenMs: last.token, Tokens: s.r.Prompt + s.r.Answer}
	for at := end; table[at].engine >= 0; {
		t := table[at]
		e := s.engines[t.engine]
		p.Hops = append(p.Hops, Hop{Engine: e.ID, Address: e.Address, DataCentre: e.DataCentre, From: t.from, To: at / n})
		at = t.from*n + t.previous
	}
	slices.Reverse(p.Hops)
	return p
}
