package catalog

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

const (
	// paceLifetime is how long an engine counts as slow without a new finding.
	paceLifetime = 3 * clock.Second
	// slowPace is the pace from which an engine is reported to other VMs.
	slowPace = 1.2
)

// pace is how many times longer than usual an engine's work takes.
type pace struct {
	value float64
	at    clock.Time
	own   bool // Found by this VM, which reports it to the others.
}

// HomeEngines returns the live engines that announce themselves to this VM.
func (c *Catalog) HomeEngines() []*registry.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*registry.Upstream
	for _, u := range c.registry.All() {
		if u.Home == c.vm && u.Accelerator != "" {
			out = append(out, u)
		}
	}
	return out
}

// RecordPace records how many times longer than usual an engine's work takes, as this VM
// found out.
func (c *Catalog) RecordPace(id string, value float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, slow := c.paces[id]; value < slowPace && !slow {
		return
	}
	c.paces[id] = pace{value: value, at: c.clock.Now(), own: true}
}

// mergePaces records the slow engines that another VM reported ageMs ago.
func (c *Catalog) mergePaces(slow []*fleetpb.Slow, ageMs uint32) {
	received := c.clock.Now().Add(-clock.Duration(ageMs))
	for _, s := range slow {
		if at := received.Add(-clock.Duration(s.AgeMs)); at > c.paces[s.Upstream].at {
			c.paces[s.Upstream] = pace{value: max(1, float64(s.Pace)), at: at}
		}
	}
}

// pacesToReport returns the slow engines that this VM found, and those that are no longer slow.
func (c *Catalog) pacesToReport(now clock.Time) []*fleetpb.Slow {
	var out []*fleetpb.Slow
	for id, p := range c.paces {
		if p.own && now.Sub(p.at) <= paceLifetime {
			out = append(out, &fleetpb.Slow{Upstream: id, Pace: float32(p.value), AgeMs: now.Sub(p.at).Uint32()})
		}
	}
	return out
}

// paceOf returns an engine's pace: 1, or more if it is known to be slow.
func (c *Catalog) paceOf(id string, now clock.Time) float64 {
	p, known := c.paces[id]
	switch {
	case !known:
		return 1
	case now.Sub(p.at) > paceLifetime:
		delete(c.paces, id)
		return 1
	}
	return p.value
}
