package catalog

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
)

// pipe names two data centres in a fixed order.
type pipe struct {
	a, b string
}

func pipeOf(a, b string) pipe {
	if b < a {
		a, b = b, a
	}
	return pipe{a, b}
}

// pipeWait returns how long a transfer of this VM waits for a pipe, in ms. Each VM
// counts its own transfers and takes the others to send as much.
func (c *Catalog) pipeWait(p pipe, now clock.Time) float64 {
	return max(0, c.pipes[p]-float64(now))
}

// fillPipes counts the transfers of a path's prompt between data centres.
func (c *Catalog) fillPipes(p chain.Path, prompt int, crossMsPerToken float64) {
	now := c.clock.Now()
	for i := 1; i < len(p.Hops); i++ {
		a, b := p.Hops[i-1].DataCentre, p.Hops[i].DataCentre
		if a == b {
			continue
		}
		k := pipeOf(a, b)
		c.pipes[k] = max(c.pipes[k], float64(now)) + float64(prompt)*crossMsPerToken*float64(max(1, c.vms()))
	}
}
