package catalog

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"

	"google.golang.org/protobuf/proto"
)

// placementLifetime is how long a VM reports a placement to other VMs.
const placementLifetime = 2 * clock.Second

// placement is a layer range that an engine was found to hold after its latest
// announcement.
type placement struct {
	report *fleetpb.Placed
	at     clock.Time
	own    bool // This VM reports it to other VMs.
}

// RecordPlacement records the layers that an engine was found to hold after announcement
// u. If own is set, this VM reports the placement to the other VMs.
func (c *Catalog) RecordPlacement(u *registry.Upstream, from, to int, own bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordPlacement(&fleetpb.Placed{
		Upstream: u.Id, StartedMs: u.StartedMs, After: u.Sequence, LayerFrom: uint32(from), LayerTo: uint32(to),
	}, own)
}

func (c *Catalog) recordPlacement(p *fleetpb.Placed, own bool) {
	previous := c.placements[p.Upstream]
	if previous != nil && previous.report.StartedMs == p.StartedMs && previous.report.After > p.After {
		return
	}
	if previous != nil && proto.Equal(previous.report, p) {
		return
	}
	c.placements[p.Upstream] = &placement{report: p, at: c.clock.Now(), own: own}
	clear(c.views)
}

// mergePlacements merges the placements in another VM's report. New ones are forwarded,
// because in a large fleet each VM exchanges reports with only a few others.
func (c *Catalog) mergePlacements(all []*fleetpb.Placed) {
	if len(all) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range all {
		c.recordPlacement(p, true)
	}
}

// placementsToReport returns the placements that this VM should report to other VMs.
func (c *Catalog) placementsToReport(now clock.Time) []*fleetpb.Placed {
	var out []*fleetpb.Placed
	for _, p := range c.placements {
		if p.own && now.Sub(p.at) < placementLifetime {
			out = append(out, p.report)
		}
	}
	return out
}

// withPlacement returns an upstream with the layers of its recorded placement. The
// placement applies to the start of the upstream that it was recorded for, until it is
// older than placementLifetime and a later announcement exists. A later announcement
// alone does not end it: an engine's home VM receives announcements that change nothing
// and does not forward them, so VMs differ in the latest sequence number that they know.
func (c *Catalog) withPlacement(u *registry.Upstream) *registry.Upstream {
	p := c.placements[u.Id]
	if p == nil || p.report.StartedMs != u.StartedMs || u.Sequence > p.report.After && c.clock.Now().Sub(p.at) > placementLifetime {
		return u
	}
	next := *u
	next.Announcement = proto.CloneOf(u.Announcement)
	next.LayerFrom, next.LayerTo = p.report.LayerFrom, p.report.LayerTo
	return &next
}
