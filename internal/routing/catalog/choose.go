package catalog

import (
	"errors"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
)

// Failures of a choice.
const (
	// ErrNone reports that a pool has no upstream that may be used.
	ErrNone = fault.Sentinel("catalog: the pool has no usable upstream")
)

// Weights of a pick among plain upstreams, in requests.
const (
	remoteCost = 0.5
	faultCost  = 20.0
	coldCost   = 2.0
)

// crossHopMs is the delay of a hop when the tables tell none.
const crossHopMs = 0.1

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

// Choice is an upstream that a call may be sent to.
type Choice struct {
	ID, Address string
}

// Pick returns the upstream of a pool of plain services with the least work for its
// size. Paused ones are taken only when there is no other, excluded ones never.
func (c *Catalog) Pick(p *tables.Pool, home string, exclude map[string]bool) (Choice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	best, bestCost, bestPaused := Choice{}, 0.0, false
	for _, u := range c.view(p) {
		if u.Leaving || exclude[u.Id] {
			continue
		}
		slots := max(1, float64(u.Slots))
		cost := (float64(c.held(u.Id, now).requests)+1)/slots + faultCost*c.faulty(u.Id)
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
	if best.ID == "" {
		return best, ErrNone
	}
	return best, nil
}

// ChoosePath returns the cheapest path of a pool of engines, and counts the request on
// its engines until release is called.
func (c *Catalog) ChoosePath(p *tables.Pool, r chain.Request) (path chain.Path, release func(), err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	m := chainModel(p.Engine)
	m.PipeMs = func(a, b string) float64 { return c.pipeWait(pipeOf(a, b), now) }
	path, err = chain.Choose(m, c.engines(p, r.Exclude, false), r)
	if errors.Is(err, chain.ErrGap) {
		// An engine that refused something lately is better than a gap.
		path, err = chain.Choose(m, c.engines(p, r.Exclude, true), r)
	}
	if err != nil {
		return path, nil, err
	}
	c.fillPipes(path, r.Prompt, m.CrossMsPerToken)
	return path, c.hold(path), nil
}

// engines returns the pool's engines that a path may use; paused also those that are
// paused, but for the dead.
func (c *Catalog) engines(p *tables.Pool, exclude map[string]bool, paused bool) []chain.Engine {
	now := c.clock.Now()
	all := c.view(p)
	out := make([]chain.Engine, 0, len(all))
	for _, u := range all {
		if u.Leaving || u.LayerTo <= u.LayerFrom || exclude[u.Id] || c.isDead(u.Id, now) || !paused && c.paused(u.Id, now) {
			continue
		}
		k, ok := p.Engine.Kind(u.Accelerator)
		if !ok {
			continue
		}
		held := c.held(u.Id, now)
		from, to := int(u.LayerFrom), int(u.LayerTo)
		e := chain.Engine{
			ID: u.Id, Address: u.Address, DataCentre: u.DataCentre, From: from, To: to,
			StepFactor: k.StepFactor, ReadFactor: k.ReadFactor, Drag: 1 + c.dragOf(u.Id, now),
			Room: roomOf(p.Engine, k, to-from), Held: float64(held.tokens), Requests: held.requests,
		}
		if from == 0 {
			e.Firsts = held.requests
		}
		out = append(out, e)
	}
	return out
}

// dragOf returns an engine's drag.
func (c *Catalog) dragOf(id string, now clock.Time) float64 {
	if h := c.health[id]; h != nil {
		return h.dragNow(now)
	}
	return 0
}

// roomOf returns the memory for requests in tokens times layers.
func roomOf(e *tables.Engine, k tables.Accelerator, layers int) float64 {
	const bytesPerMB = 1e6
	free := (k.MemoryMB - float64(layers)*e.LayerMB) * bytesPerMB
	return max(0, free/(e.CacheBytesPerToken/float64(e.Layers)))
}

func chainModel(e *tables.Engine) chain.Model {
	m := chain.Model{
		Layers: e.Layers, Slots: e.Slots, StepMs: e.StepMs, PerRequestMs: e.PerRequestMs,
		ContextMsPerK: e.ContextMsPerK, ReadPerMs: e.ReadTokensPerMs, HopMs: crossHopMs,
	}
	if e.LinkMbps > 0 {
		const bitsPerByte, bitsPerMsPerMbps = 8, 1000
		m.CrossMsPerToken = e.ActivationBytesPerToken * bitsPerByte / (e.LinkMbps * bitsPerMsPerMbps)
	}
	return m
}
