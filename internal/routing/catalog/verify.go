package catalog

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// Errors of announcements that name no upstream to use.
const (
	ErrUnknownService    = fault.Sentinel("catalog: the tables in force name no such service")
	ErrLayersBeyondModel = fault.Sentinel("catalog: the layers go beyond those of the service's model")
	ErrStartInFuture     = fault.Sentinel("catalog: the upstream started in the future")
)

// maxClockError bounds how far an upstream's clock is ahead of this VM's. A start time beyond it would
// make the reports of the true process those of an earlier one.
const maxClockError = clock.Hour

// Verify returns an error if an announcement names no upstream to use by the tables in force. What is
// already known of a live upstream is not judged again, as tables may change while it runs: its next
// announcements must be received, the one that it leaves among them.
func (c *Catalog) Verify(a *upstreampb.Announcement) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	u, known := c.registry.Get(a.Id)
	known = known && u.Name == a.Name && u.StartedMs == a.StartedMs
	if !known && clock.Time(a.StartedMs) > c.clock.Now().Add(maxClockError) {
		return ErrStartInFuture
	}
	x := c.index.Load()
	if x == nil {
		return nil
	}
	if !known && !x.HasService(a.Name) {
		return ErrUnknownService
	}
	if known && (a.Leaving || holdsSameLayers(u, a)) {
		return nil
	}
	if most := c.mostLayers[a.Name]; most > 0 && int(a.LayerTo) > most {
		return ErrLayersBeyondModel
	}
	return nil
}

// recordLayers records the layers of the services' models. An engine may still load layers of a model that
// tables have since replaced by a shorter one. The caller holds the lock.
func (c *Catalog) recordLayers(doc *tables.Document) {
	for _, p := range doc.Pools {
		if p.Engine != nil {
			c.mostLayers[p.Service] = max(c.mostLayers[p.Service], p.Engine.Layers)
		}
	}
}

// holdsSameLayers reports whether an announcement names the layers that the upstream is known to hold.
func holdsSameLayers(u *registry.Upstream, a *upstreampb.Announcement) bool {
	return u.LayerFrom == a.LayerFrom && u.LayerTo == a.LayerTo
}
