package catalog

import (
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
)

const (
	// vacateLifetime is how long a VM tells others to vacate an engine.
	vacateLifetime = 600 * clock.Millisecond
	// vacatePause is how long an engine that is being vacated gets no new requests: until it
	// has got its order and given up layers.
	vacatePause = 1500 * clock.Millisecond
)

// Vacate has all VMs lead their running requests around an engine that is about to give up
// layers, which it does only once no request runs on them.
func (c *Catalog) Vacate(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vacate(id)
}

// vacate leads this VM's requests around an engine and tells the other VMs, unless that was
// done before.
func (c *Catalog) vacate(id string) {
	now := c.clock.Now()
	if at, known := c.vacated[id]; known && now.Sub(at) < vacatePause {
		return
	}
	if _, live := c.registry.Get(id); !live {
		return
	}
	c.vacated[id] = now
	h := c.healthOf(id)
	h.pausedUntil = max(h.pausedUntil, now.Add(vacatePause))
	for w := range c.watchers[id] {
		crash.Go("repath around a vacated engine", func() { w.w.vacate(id) })
	}
	if c.onChange != nil {
		crash.Go("report of a vacated engine", func() { c.onChange(Change{Vacating: []string{id}}) })
	}
}

// vacatedToReport returns the engines that other VMs should vacate.
func (c *Catalog) vacatedToReport(now clock.Time) []string {
	var out []string
	for id, at := range c.vacated {
		switch {
		case now.Sub(at) > vacatePause:
			delete(c.vacated, id)
		case now.Sub(at) < vacateLifetime:
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Requests returns how many requests of all VMs use an engine, as far as this VM knows.
func (c *Catalog) Requests(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usageOf(id, c.validReports(c.clock.Now()), 1).requests
}
