// Package pick chooses one of several upstreams for a request. Policies are
// deterministic for a given seeded source.
package pick

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rng"
)

// reportLife is the age at which a load report no longer counts.
const reportLife = 3 * clock.Second

// Candidate is one upstream that may be picked.
type Candidate struct {
	ID       string
	Weight   float64 // Its share of the plan, greater than 0.
	InFlight int     // Requests of this VM on it.
	// Reported is the load that it last reported beyond this VM's own requests,
	// and ReportAge is how old that report is.
	Reported  int
	ReportAge clock.Duration
}

// half is added to the requests in flight before they are compared, so that a
// request goes where the share stays nearest to the weight.
const half = 0.5

// Load is the requests on the candidate for its weight, had it half a one more.
// A report counts less the older it is.
func (c Candidate) Load() float64 {
	trust := 1 - float64(c.ReportAge)/float64(reportLife)
	others := max(0, trust) * float64(c.Reported)
	return (float64(c.InFlight) + others + half) / c.Weight
}

// Policy chooses the index of a candidate. There is at least one.
type Policy interface {
	Pick(src *rng.Source, candidates []Candidate) int
}

// New returns the policy with a name of tables.PickPolicies. Unknown names and
// the empty name give Planned.
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

// maxCompared is the number of candidates up to which Planned compares all.
const maxCompared = 64

// Planned takes the candidate with the least load for its weight. Among many
// candidates it compares two that are drawn by weight, which costs less and does
// not send every VM to the same one.
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

// TwoChoices draws two candidates by weight and takes the one with less load for
// its weight.
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

// drawByWeight draws an index other than except.
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

// RoundRobin takes the candidates in turn, with a turn of its own for each set
// that begins with the same candidate.
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

// LeastInFlight takes a candidate with the fewest requests of this VM.
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

// Random takes any candidate.
type Random struct{}

// Pick implements Policy.
func (Random) Pick(src *rng.Source, candidates []Candidate) int {
	return src.IntN(len(candidates))
}
