// Package pick implements the load-balancing policies that pick one of several
// upstreams for a request. Policies are deterministic for a given random source.
package pick

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rng"
)

// reportLifetime is the age from which a load report is ignored.
const reportLifetime = 3 * clock.Second

// Candidate is one upstream that may be picked.
type Candidate struct {
	ID       string
	Weight   float64 // Share of the plan, greater than 0.
	InFlight int     // Requests of this VM in flight on it.
	// ReportedLoad is the number of running requests that it last reported, less this
	// VM's own, and ReportAge is the age of that report.
	ReportedLoad int
	ReportAge    clock.Duration
}

// loadOffset is added to the requests in flight before loads are compared, so that a
// request goes to the candidate whose share stays closest to its weight.
const loadOffset = 0.5

// Load returns the number of requests on the candidate, plus loadOffset, divided by its
// weight. The reported load is discounted linearly with its age.
func (c Candidate) Load() float64 {
	freshness := 1 - float64(c.ReportAge)/float64(reportLifetime)
	others := max(0, freshness) * float64(c.ReportedLoad)
	return (float64(c.InFlight) + others + loadOffset) / c.Weight
}

// Policy picks one of the candidates by index. candidates is never empty.
type Policy interface {
	Pick(src *rng.Source, candidates []Candidate) int
}

// New returns the policy with the given name, one of tables.PickPolicies. It returns
// Planned for unknown names and for the empty name.
func New(name string) Policy {
	switch name {
	case "roundRobin":
		return &RoundRobin{}
	case "leastInFlight":
		return LeastInFlight{}
	case "random":
		return Random{}
	case "twoChoices":
		return TwoChoices{}
	}
	return Planned{}
}

// maxCompared is the largest number of candidates of which Planned compares all.
const maxCompared = 64

// Planned picks the candidate with the lowest load relative to its weight. With more
// than maxCompared candidates it works as TwoChoices, which costs less and avoids that
// all VMs pick the same candidate.
type Planned struct{}

// Pick implements Policy.
func (Planned) Pick(src *rng.Source, candidates []Candidate) int {
	if len(candidates) > maxCompared {
		return TwoChoices{}.Pick(src, candidates)
	}
	start := src.IntN(len(candidates))
	best := start
	for i := range candidates {
		at := (start + i) % len(candidates)
		if candidates[at].Load() < candidates[best].Load() {
			best = at
		}
	}
	return best
}

// TwoChoices draws two candidates at random by weight and picks the one with the lower
// load relative to its weight.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(src *rng.Source, candidates []Candidate) int {
	if len(candidates) == 1 {
		return 0
	}
	a := drawByWeight(src, candidates, -1)
	b := drawByWeight(src, candidates, a)
	if candidates[b].Load() < candidates[a].Load() {
		return b
	}
	return a
}

// drawByWeight draws an index other than except at random, in proportion to weight.
func drawByWeight(src *rng.Source, candidates []Candidate, except int) int {
	sum := 0.0
	for i, c := range candidates {
		if i != except {
			sum += c.Weight
		}
	}
	at := src.Float64() * sum
	last := 0
	for i, c := range candidates {
		if i == except {
			continue
		}
		last = i
		at -= c.Weight
		if at < 0 {
			return i
		}
	}
	return last
}

// RoundRobin picks the candidates in turn. It has one counter per set of candidates and
// identifies a set by the ID of its first candidate, so sets that start with the same
// candidate share a counter.
type RoundRobin struct {
	next map[string]int
}

// Pick implements Policy.
func (p *RoundRobin) Pick(_ *rng.Source, candidates []Candidate) int {
	if p.next == nil {
		p.next = map[string]int{}
	}
	set := candidates[0].ID
	p.next[set]++
	return p.next[set] % len(candidates)
}

// LeastInFlight picks a candidate with the fewest requests in flight from this VM.
type LeastInFlight struct{}

// Pick implements Policy.
func (LeastInFlight) Pick(src *rng.Source, candidates []Candidate) int {
	start := src.IntN(len(candidates))
	best := start
	for i := range candidates {
		at := (start + i) % len(candidates)
		if candidates[at].InFlight < candidates[best].InFlight {
			best = at
		}
	}
	return best
}

// Random picks a candidate uniformly at random.
type Random struct{}

// Pick implements Policy.
func (Random) Pick(src *rng.Source, candidates []Candidate) int {
	return src.IntN(len(candidates))
}
