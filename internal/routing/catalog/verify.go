package catalog

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/fault"
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
	if clock.Time(a.StartedMs) > c.clock.Now().Add(maxClockError) {
		return ErrStartInFuture
	}
	x := c.index.Load()
	if x == nil {
		return nil
	}
	u, known := c.registry.Get(a.Id)
	if known && (u.Name != a.Name || u.StartedMs != a.StartedMs) {
		known = false
	}
	layers, named := x.ServiceLayers(a.Name)
	switch {
	case !named && !known:
		return ErrUnknownService
	case known && holdsSameLayers(u, a):
		return nil
	case layers > 0 && int(a.LayerTo) > layers:
		return ErrLayersBeyondModel
	}
	return nil
}

// holdsSameLayers reports whether an announcement names the layers that the upstream is known to hold.
func holdsSameLayers(u *registry.Upstream, a *upstreampb.Announcement) bool {
	return u.LayerFrom == a.LayerFrom && u.LayerTo == a.LayerTo
}
