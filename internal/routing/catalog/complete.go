package catalog

import (
	"errors"
	"slices"

	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
)

// Complete reports whether the known upstreams of a pool could serve a request if they had capacity: its
// engines hold every layer, or it has an upstream of a plain service. It reserves nothing.
func (c *Catalog) Complete(p *tables.Pool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.Engine == nil {
		return slices.ContainsFunc(c.view(p), func(u *registry.Upstream) bool { return !u.Leaving })
	}
	_, err := chain.Choose(chainModel(p.Engine), c.engines(p, nil, assumption{paused: true, senders: 1}), chain.Request{})
	return !errors.Is(err, chain.ErrMissingLayers)
}
