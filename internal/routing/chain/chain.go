// Package chain chooses the engines that a request passes through when engines hand
// on to each other: a chain of ranges that runs every layer once and in order. The
// choice minimises the time that the request is expected to take, by the engines'
// pace, by what other requests hold on them, and by the links between.
//
// Everything here is a pure function of its arguments.
package chain

import (
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/fault"
)

// MaxHops bounds the engines of a path.
const MaxHops = 32

// Weights of the estimate.
const (
	// crossFactor multiplies the transfer time between data centres, whose pipe is
	// shared by all.
	crossFactor = 20.0
	// maxPipeMs is the wait for a pipe beyond which a path does not take it.
	maxPipeMs = 250.0
	// awayMs is added to a path that begins in another data centre than the VM, whose
	// events then cross between them.
	awayMs = 200.0
	// fullAt is the share of an engine's memory beyond which a path counts as full.
	// The rest absorbs requests that other VMs sent meanwhile.
	fullAt = 0.94
	// crowding lengthens the estimate as an engine's memory fills.
	crowding = 1.5
	// spreadHops is over how many engines of a path the running requests are spread
	// at any moment.
	spreadHops = 6.0
	// contextK is the usual context of a running request in thousands of tokens.
	contextK = 0.85
)

// Failures of a choice.
const (
	// ErrGap reports that no engine that may be used holds some layer.
	ErrGap = fault.Sentinel("chain: no usable engine holds some of the layers")
	// ErrFull reports that every path is out of memory or slots.
	ErrFull = fault.Sentinel("chain: every path is full")
)

// Engine is an engine as the choice sees it.
type Engine struct {
	ID         string
	Address    string
	DataCentre string
	From, To   int     // Layers held.
	StepFactor float64 // Of token steps; higher is slower.
	ReadFactor float64 // Of reading prompts.
	Room       float64 // Memory for requests, in tokens times layers.
	Held       float64 // Of that, what requests hold.
	Requests   int     // Requests that pass through.
	Firsts     int     // Of those, the ones that came to it first.
	// Drag multiplies the estimate in the comparison of paths, for engines whose paths
	// were slower than estimated; 0 counts as 1.
	Drag float64
}

// Model holds the times that all engines share; see tables.Engine.
type Model struct {
	Layers        int
	Slots         int
	StepMs        float64
	PerRequestMs  float64
	ContextMsPerK float64
	ReadPerMs     float64
	// CrossMsPerToken is the transfer of one token's activations between two data
	// centres.
	CrossMsPerToken float64
	// HopMs is the delay between two engines.
	HopMs float64
	// PipeMs is how long a transfer waits for the pipe between two data centres; nil
	// means not at all.
	PipeMs func(a, b string) float64
}

// Request is what the choice needs to know of a request.
type Request struct {
	Prompt int // Tokens to read.
	Answer int // Tokens expected to be written.
	Home   string
	// Exclude names engines that the path must avoid.
	Exclude map[string]bool
	// First names the engines that the path may begin with; nil allows any.
	First map[string]bool
}

// Hop is an engine's part of a path.
type Hop struct {
	Engine     string
	Address    string
	DataCentre string
	From, To   int
}

// Path is a chosen chain with its estimate.
type Path struct {
	Hops    []Hop
	FirstMs float64 // Expected time to the first token.
	TokenMs float64 // Expected time of each token after it.
	Tokens  int     // Memory that the request takes at each hop, in tokens.
}

// Whole reports whether the hops run every layer once and in order on distinct
// engines.
func (p Path) Whole(layers int) bool {
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

// step is the best way found to a layer boundary that ends in a data centre.
type step struct {
	cost, first, token float64
	engine             int // Index of the last engine, or -1.
	from               int // Boundary before it.
	previous           int // Data centre before it.
	hops               int
}

// Choose returns the path with the least expected time. It returns ErrGap or
// ErrFull when there is none.
func Choose(m Model, engines []Engine, r Request) (Path, error) {
	s := newSearch(m, engines, r)
	if p, ok := s.best(true); ok {
		return p, nil
	}
	if _, ok := s.best(false); ok {
		return Path{}, ErrFull
	}
	return Path{}, ErrGap
}

// search is one choice under way.
type search struct {
	m       Model
	r       Request
	engines []Engine
	centres []string
	centre  []int // Data centre of each engine.
	byFrom  []int // Engines in the order of their first layer.
}

func newSearch(m Model, engines []Engine, r Request) *search {
	s := &search{m: m, r: r, engines: engines, centres: []string{r.Home}, centre: make([]int, len(engines))}
	for i, e := range engines {
		at := slices.Index(s.centres, e.DataCentre)
		if at < 0 {
			at = len(s.centres)
			s.centres = append(s.centres, e.DataCentre)
		}
		s.centre[i] = at
		if e.To > e.From && !r.Exclude[e.ID] {
			s.byFrom = append(s.byFrom, i)
		}
	}
	slices.SortFunc(s.byFrom, func(a, b int) int { return engines[a].From - engines[b].From })
	return s
}

// best finds the cheapest path. bounded leaves out engines without room.
func (s *search) best(bounded bool) (Path, bool) {
	n := len(s.centres)
	table := make([]step, (s.m.Layers+1)*n)
	known := make([]bool, len(table))
	table[0], known[0] = step{engine: -1}, true // In the caller's data centre.
	for at := range s.m.Layers {
		for c := range n {
			if !known[at*n+c] {
				continue
			}
			s.extend(table, known, at, c, bounded)
		}
	}
	end := -1
	for c := range n {
		i := s.m.Layers*n + c
		if known[i] && table[i].hops <= MaxHops && (end < 0 || table[i].cost < table[end].cost) {
			end = i
		}
	}
	if end < 0 {
		return Path{}, false
	}
	return s.path(table, end), true
}

// extend tries every engine that holds the layer at a boundary.
func (s *search) extend(table []step, known []bool, at, c int, bounded bool) {
	n := len(s.centres)
	here := table[at*n+c]
	for _, i := range s.byFrom {
		e := &s.engines[i]
		if e.From > at {
			break
		}
		if e.To <= at || at == 0 && s.r.First != nil && !s.r.First[e.ID] || bounded && !s.fits(e, at, e.To, at == 0) {
			continue
		}
		first, token := s.times(e, at, e.To)
		if at > 0 {
			first += s.m.HopMs
			token += s.m.HopMs
			if s.centre[i] != c {
				wait := s.pipe(c, s.centre[i])
				if wait > maxPipeMs {
					continue
				}
				first += wait
				first += crossFactor * s.m.CrossMsPerToken * float64(s.r.Prompt)
				token += crossFactor * s.m.CrossMsPerToken
			}
		}
		next := step{first: here.first + first, token: here.token + token, engine: i, from: at, previous: c, hops: here.hops + 1}
		next.cost = here.cost + max(1, e.Drag)*(first+token*float64(s.r.Answer))
		if at == 0 && s.centre[i] != 0 {
			next.cost += awayMs
		}
		j := e.To*n + s.centre[i]
		if !known[j] || next.cost < table[j].cost {
			table[j], known[j] = next, true
		}
	}
}

// pipe returns the wait for the pipe between two data centres, by index.
func (s *search) pipe(a, b int) float64 {
	if s.m.PipeMs == nil {
		return 0
	}
	return s.m.PipeMs(s.centres[a], s.centres[b])
}

// fits reports whether an engine has room for the request.
func (s *search) fits(e *Engine, from, to int, first bool) bool {
	if first && s.m.Slots > 0 && e.Firsts >= s.m.Slots {
		return false
	}
	need := float64((s.r.Prompt + s.r.Answer) * (to - from))
	return e.Held+need <= fullAt*e.Room
}

// times estimates what an engine adds to the first token and to each later one.
func (s *search) times(e *Engine, from, to int) (first, token float64) {
	share := float64(to-from) / float64(s.m.Layers)
	running := 1 + float64(e.Requests)/spreadHops
	token = share * e.StepFactor * (s.m.StepMs + running*(s.m.PerRequestMs+contextK*s.m.ContextMsPerK))
	first = token + share*e.ReadFactor*float64(s.r.Prompt)/s.m.ReadPerMs
	if e.Room > 0 {
		crowd := 1 + crowding*e.Held/e.Room
		first, token = first*crowd, token*crowd
	}
	return first, token
}

func (s *search) path(table []step, end int) Path {
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
