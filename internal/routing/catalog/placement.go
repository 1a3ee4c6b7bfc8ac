package catalog

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"

	"google.golang.org/protobuf/proto"
)

// placedLife is how long a VM reports a placement to other VMs.
const placedLife = 2 * clock.Second

// placed is a layer range that an engine was found to hold after its latest
// announcement.
type placed struct {
	told *fleetpb.Placed
	at   clock.Time
	own  bool // This VM reports it to other VMs.
}

// RecordPlacement records the layers that an engine was found to hold after announcement u. If
// own is set, this VM reports the placement to the other VMs.
func (c *Catalog) RecordPlacement(u *registry.Upstream, from, to int, own bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.place(&fleetpb.Placed{
		Upstream: u.Id, StartedMs: u.StartedMs, After: u.Sequence, LayerFrom: uint32(from), LayerTo: uint32(to),
	}, own)
}

func (c *Catalog) place(p *fleetpb.Placed, own bool) {
	was := c.placed[p.Upstream]
	if was != nil && was.told.StartedMs == p.StartedMs && was.told.After > p.After {
		return
	}
	if was != nil && proto.Equal(was.told, p) {
		return
	}
	c.placed[p.Upstream] = &placed{told: p, at: c.clock.Now(), own: own}
	clear(c.views)
}

// takePlaced merges the placements in another VM's report. New ones are forwarded,
// because in a large fleet each VM exchanges reports with only a few others.
func (c *Catalog) takePlaced(all []*fleetpb.Placed) {
	if len(all) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range all {
		c.place(p, true)
	}
}

// placedHere returns the placements that this VM should report to other VMs.
func (c *Catalog) placedHere(now clock.Time) []*fleetpb.Placed {
	var out []*fleetpb.Placed
	for _, p := range c.placed {
		if p.own && now.Sub(p.at) < placedLife {
			out = append(out, p.told)
		}
	}
	return out
}

// withPlaced returns an upstream with the layers of its recorded placement. The
// placement applies to the start of the upstream that it was recorded for, until it is
// older than placedLife and a later announcement exists. A later announcement alone
// does not end it: an engine's home VM receives announcements that change nothing and
// does not forward them, so VMs differ in the latest sequence number that they know.
func (c *Catalog) withPlaced(u *registry.Upstream) *registry.Upstream {
	p := c.placed[u.Id]
	if p == nil || p.told.StartedMs != u.StartedMs || u.Sequence > p.told.After && c.clock.Now().Sub(p.at) > placedLife {
		return u
	}
	next := *u
	next.Announcement = proto.CloneOf(u.Announcement)
	next.LayerFrom, next.LayerTo = p.told.LayerFrom, p.told.LayerTo
	return &next
}
