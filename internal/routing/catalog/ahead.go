package catalog

import (
	"math"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
)

// The load that other VMs report is known with a delay, within which each of them sends more
// requests. If all of them sent to the path that was best by the last reports, its engines would
// overflow while others stay empty. A VM therefore assumes that a random part of the requests
// that its data centre has sent since then went before its own, each to the path that was best
// by then.

const (
	// reportDelay is the mean age of the reports within a sum.
	reportDelay = 240 * clock.Millisecond
	// maxLoadAge bounds the time for which requests of other VMs are assumed.
	maxLoadAge = 1 * clock.Second
	// aheadSteps is the number of steps in which the requests of maxLoadAge are distributed.
	aheadSteps = 8
	// durationWeight is the smoothing factor of the duration of requests on an engine.
	durationWeight = 0.2
	// rateHalfLife is the half-life of the mean of the rate of requests.
	rateHalfLife = 3 * clock.Second
)

// ahead distributes the requests that other VMs have probably sent since the last reports.
type ahead struct {
	pool    string
	perStep float64            // Requests in each step.
	steps   []map[string]usage // Additional load after each step, by upstream.
	full    bool               // No path had capacity for another step.
}

// rate is the mean rate of this VM's requests to engines.
type rate struct {
	perMs float64
	at    clock.Time
}

func (r *rate) add(now clock.Time) {
	r.perMs = r.now(now) + math.Ln2/float64(rateHalfLife)
	r.at = now
}

func (r *rate) now(now clock.Time) float64 {
	return r.perMs * math.Exp2(-float64(now.Sub(r.at))/float64(rateHalfLife))
}

// loadAge returns the mean age of what this VM knows of the others' load.
func (c *Catalog) loadAge(now clock.Time) clock.Duration {
	return min(maxLoadAge, now.Sub(c.loadsAt)+reportDelay)
}

// remaining returns the share of the requests that other VMs reported on an engine that have not
// ended since then, if they take as long as those that this VM sent through it.
func (c *Catalog) remaining(id string, now clock.Time) float64 {
	duration := c.durations[id]
	if duration == 0 {
		return 1
	}
	return math.Exp(-float64(c.loadAge(now)) / duration)
}

// recordDuration records the expected duration of a request on the engines of its path, in ms.
func (c *Catalog) recordDuration(p chain.Path, answer int) {
	duration := p.FirstMs + float64(answer)*p.TokenMs
	for _, h := range p.Hops {
		mean, known := c.durations[h.Engine]
		if !known {
			mean = duration
		}
		c.durations[h.Engine] = mean + durationWeight*(duration-mean)
	}
}

// peersRate returns the rate of the requests of the other VMs of this data centre, per ms.
func (c *Catalog) peersRate(now clock.Time) float64 {
	sum := 0.0
	for _, v := range c.otherUsage {
		if v.dataCentre == c.dataCentre && now.Sub(v.at) <= occupancyLifetime {
			sum += v.perMs
		}
	}
	return sum
}

// unreported returns how many requests have probably been sent by the VMs of the data centre that
// have not reported yet, as after a start of all VMs: by each as many as by this one.
func (c *Catalog) unreported(now clock.Time) float64 {
	reported := 0
	for _, v := range c.otherUsage {
		if v.dataCentre == c.dataCentre && now.Sub(v.at) <= occupancyLifetime {
			reported += v.vms
		}
	}
	return float64(max(0, c.peerCount()-reported) * (1 + c.ownRequests))
}

// sentAhead returns the load of the requests that went before one that drew a number in [0, 1).
func (c *Catalog) sentAhead(p *tables.Pool, m chain.Model, r chain.Request, now clock.Time) map[string]usage {
	unreported := c.unreported(now)
	perStep := max(1, (c.peersRate(now)*float64(maxLoadAge)+unreported)/aheadSteps)
	steps := int(r.Draw * (c.peersRate(now)*float64(c.loadAge(now)) + unreported) / perStep)
	if steps == 0 {
		return nil
	}
	if c.ahead.pool != p.Name || c.ahead.perStep != perStep {
		c.ahead = ahead{pool: p.Name, perStep: perStep}
	}
	if len(c.ahead.steps) < steps && !c.ahead.full {
		engines := c.engines(p, nil, assumption{})
		for len(c.ahead.steps) < steps && !c.ahead.full {
			c.addStep(p, m, engines, r, int(perStep+0.5))
		}
	}
	if len(c.ahead.steps) == 0 {
		return nil
	}
	return c.ahead.steps[min(steps, len(c.ahead.steps))-1]
}

// addStep adds a step of some requests of the usual size, which all take the best path.
func (c *Catalog) addStep(p *tables.Pool, m chain.Model, engines []chain.Engine, r chain.Request, requests int) {
	var before map[string]usage
	if n := len(c.ahead.steps); n > 0 {
		before = c.ahead.steps[n-1]
	}
	usual := chain.Request{Prompt: p.Engine.DefaultPromptTokens, Answer: p.Engine.DefaultAnswerTokens, DataCentre: r.DataCentre}
	if usual.Prompt == 0 {
		usual.Prompt, usual.Answer = r.Prompt, r.Answer
	}
	path, err := chain.Choose(m, withLoad(engines, before), usual)
	if err != nil {
		c.ahead.full = true
		return
	}
	next := make(map[string]usage, len(before)+len(path.Hops))
	for id, u := range before {
		next[id] = u
	}
	for _, h := range path.Hops {
		u := next[h.Engine]
		u.requests += requests
		u.tokens += requests * path.Tokens * (h.To - h.From)
		next[h.Engine] = u
	}
	c.ahead.steps = append(c.ahead.steps, next)
}
