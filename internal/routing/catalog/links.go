package catalog

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
)

// link identifies the network link between two data centres, which are in sorted order.
type link struct {
	a, b string
}

func linkBetween(a, b string) link {
	if b < a {
		a, b = b, a
	}
	return link{a, b}
}

// linkWait returns the queueing delay of a transfer on a link, in ms. Each VM counts
// only its own transfers and assumes that every other VM sends as much.
func (c *Catalog) linkWait(p link, now clock.Time) float64 {
	return max(0, c.linkBusyUntil[p]-float64(now))
}

// addTransfers adds the transfers of a path's prompt to the links between data centres
// that the path crosses.
func (c *Catalog) addTransfers(p chain.Path, prompt int, crossMsPerToken float64) {
	now := c.clock.Now()
	for i := 1; i < len(p.Hops); i++ {
		a, b := p.Hops[i-1].DataCentre, p.Hops[i].DataCentre
		if a == b {
			continue
		}
		k := linkBetween(a, b)
		c.linkBusyUntil[k] = max(c.linkBusyUntil[k], float64(now)) + float64(prompt)*crossMsPerToken*float64(max(1, c.vmCount()))
	}
}
