package catalog

import (
	"errors"
	"math"
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
	"github.com/jasminecove/jasminecove/internal/routing/ratecap"
)

// Errors returned by Pick.
const (
	// ErrNoUpstream reports that a pool has no usable upstream.
	ErrNoUpstream = fault.Sentinel("catalog: the pool has no usable upstream")
)

// Cost added to an upstream by Pick, in units of one running request.
const (
	remoteCost = 0.5
	faultCost  = 20.0
	coldCost   = 2.0
)

// hopDelayMs is the network delay of a hop, which the tables do not configure.
const hopDelayMs = 0.1

// leavingGrace is how long an engine that began to leave gets requests for layers that no other
// engine holds: while the engines that take them over load, and well within the time for which
// it still accepts requests.
const leavingGrace = 1 * clock.Second

// poolView caches the live upstreams of a pool.
type poolView struct {
	version   uint64 // Of the registry.
	upstreams []*registry.Upstream
}

func (c *Catalog) view(p *tables.Pool) []*registry.Upstream {
	v := c.views[p.Name]
	if v == nil || v.version != c.registry.Version() {
		v = &poolView{version: c.registry.Version(), upstreams: c.members(p.Service)}
		c.views[p.Name] = v
	}
	return v.upstreams
}

// Choice is the upstream picked for a call.
type Choice struct {
	ID, Address string
}

// Pick returns the upstream of a pool of plain services with the fewest requests per
// slot, after penalties for faults, another data centre and a cold start. Paused
// upstreams are used only when there is no other, and excluded ones never.
func (c *Catalog) Pick(p *tables.Pool, home string, exclude map[string]bool) (Choice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	best, bestCost, bestPaused := Choice{}, 0.0, false
	var limitedFor clock.Duration // Until the first limited upstream may get a request.
	reports := c.validReports(now)
	for _, u := range c.view(p) {
		if u.Leaving || exclude[u.Id] {
			continue
		}
		if wait := c.limits.Wait(now, u.Id); wait > 0 {
			if limitedFor == 0 || wait < limitedFor {
				limitedFor = wait
			}
			continue
		}
		slots := max(1, float64(u.Slots))
		cost := (float64(c.usageOf(u.Id, reports, 1).requests)+1)/slots + faultCost*c.faultShare(u.Id)
		if u.DataCentre != home {
			cost += remoteCost / slots
		}
		if u.ColdMs > 0 && now.Sub(u.LastSeen) < clock.Duration(u.ColdMs) {
			cost += coldCost / slots
		}
		paused := c.paused(u.Id, now)
		if best.ID == "" || bestPaused && !paused || bestPaused == paused && cost < bestCost {
			best, bestCost, bestPaused = Choice{ID: u.Id, Address: u.Address}, cost, paused
		}
	}
	if best.ID == "" && limitedFor > 0 {
		othersTake := func(u *registry.Upstream) bool { return !u.Leaving && exclude[u.Id] && c.limits.Wait(now, u.Id) == 0 }
		return best, &ratecap.UsedUpError{Wait: limitedFor, OthersTake: slices.ContainsFunc(c.view(p), othersTake)}
	}
	if best.ID == "" {
		return best, ErrNoUpstream
	}
	return best, nil
}

// ChoosePath returns the cheapest path through a pool of engines, and counts the request
// on the path's engines until release is called.
func (c *Catalog) ChoosePath(p *tables.Pool, r chain.Request) (path chain.Path, release func(), err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	m := chainModel(p.Engine)
	m.LinkWaitMs = func(a, b string) float64 { return c.linkWait(linkBetween(a, b), now) }
	path, err = chain.Choose(m, withLoad(c.engines(p, r.Exclude, assumption{}), c.sentAhead(p, m, r, now)), r)
	if errors.Is(err, chain.ErrFull) {
		// What others have sent is only assumed, and may be no reason to refuse a request.
		known := c.engines(p, r.Exclude, assumption{senders: 1})
		path, err = chain.Choose(m, c.engines(p, r.Exclude, assumption{senders: withoutPath(m, known, r.DataCentre)}), r)
	}
	if errors.Is(err, chain.ErrMissingLayers) {
		// A paused engine is better than a layer without any engine.
		path, err = chain.Choose(m, c.engines(p, r.Exclude, assumption{paused: true, senders: 1}), r)
	}
	if errors.Is(err, chain.ErrFull) {
		err = c.limitedOnly(m, c.engines(p, r.Exclude, assumption{paused: true, senders: 1}), r, now, err)
	}
	if err != nil {
		return path, nil, err
	}
	c.rate.add(now)
	c.recordDuration(path, r.Answer)
	c.addTransfers(path, r.Prompt, m.CrossMsPerToken)
	return path, c.reserve(path), nil
}

// assumption is what a choice of a path assumes.
type assumption struct {
	senders int  // Number of data centres with requests for others; 0 stands for all.
	paused  bool // Paused engines, and those that have just begun to leave, are usable.
}

// withLoad returns engines with load beyond what VMs reported, by upstream.
func withLoad(engines []chain.Engine, additional map[string]usage) []chain.Engine {
	if len(additional) == 0 {
		return engines
	}
	out := slices.Clone(engines)
	for i := range out {
		e := &out[i]
		u, loaded := additional[e.ID]
		if !loaded {
			continue
		}
		e.Used += float64(u.tokens)
		e.Requests += u.requests
		if e.From == 0 {
			e.FirstHopRequests += u.requests
		}
	}
	return out
}

// engines returns the pool's engines that a path may use, which are never dead ones.
func (c *Catalog) engines(p *tables.Pool, exclude map[string]bool, a assumption) []chain.Engine {
	now := c.clock.Now()
	if a.senders == 0 {
		a.senders = math.MaxInt
	}
	unknowns, usualTokens := c.unknownOf(a.senders, now), float64(p.Engine.DefaultPromptTokens+p.Engine.DefaultAnswerTokens)
	all, reports := c.view(p), c.validReports(now)
	out := make([]chain.Engine, 0, len(all))
	for _, u := range all {
		if u.LayerTo <= u.LayerFrom || exclude[u.Id] || c.isDead(u.Id, now) || !a.paused && (u.Leaving || c.paused(u.Id, now) || c.limits.PausedFor(now, u.Id) > 0) || c.left(u, now) {
			continue
		}
		k, ok := p.Engine.Kind(u.Accelerator)
		if !ok {
			continue
		}
		used := c.usageOf(u.Id, reports, c.remaining(u.Id, now))
		from, to, pace := int(u.LayerFrom), int(u.LayerTo), c.paceOf(u.Id, now)
		e := chain.Engine{
			ID: u.Id, Address: u.Address, DataCentre: u.DataCentre, From: from, To: to,
			StepFactor: pace * k.StepFactor, ReadFactor: pace * k.ReadFactor, Slowdown: 1 + c.slowdownOf(u.Id, now),
			Capacity: capacityOf(p.Engine, k, to-from), Used: float64(used.tokens), Requests: used.requests,
		}
		missing := unknowns[u.DataCentre]
		e.Margin = missing.deviation*usualTokens*float64(to-from) + missing.taken*max(0, e.Capacity-e.Used)
		if from == 0 {
			e.FirstHopRequests = used.requests
			e.NoFirst = c.limits.Wait(now, u.Id) > 0
		}
		out = append(out, e)
	}
	return out
}

// left reports whether an engine has been leaving for so long that it gets no requests at all.
func (c *Catalog) left(u *registry.Upstream, now clock.Time) bool {
	return u.Leaving && now.Sub(c.leavingSince[u.Id]) > leavingGrace
}

// slowdownOf returns the current slowdown of an engine, or 0 when none is recorded.
func (c *Catalog) slowdownOf(id string, now clock.Time) float64 {
	if h := c.health[id]; h != nil {
		return h.slowdownNow(now)
	}
	return 0
}

// capacityOf returns the memory that an engine has for requests beside the weights of its
// layers, in tokens times layers.
func capacityOf(e *tables.Engine, k tables.Accelerator, layers int) float64 {
	const bytesPerMB = 1e6
	free := (k.MemoryMB - float64(layers)*e.LayerMB) * bytesPerMB
	return max(0, free/(e.CacheBytesPerToken/float64(e.Layers)))
}

func chainModel(e *tables.Engine) chain.Model {
	m := chain.Model{
		Layers: e.Layers, Slots: e.Slots, StepMs: e.StepMs, PerRequestMs: e.PerRequestMs,
		ContextMsPerK: e.ContextMsPerK, ReadTokensPerMs: e.ReadTokensPerMs, HopMs: hopDelayMs,
	}
	if e.LinkMbps > 0 {
		const bitsPerByte, bitsPerMsPerMbps = 8, 1000
		m.CrossMsPerToken = e.ActivationBytesPerToken * bitsPerByte / (e.LinkMbps * bitsPerMsPerMbps)
	}
	return m
}
