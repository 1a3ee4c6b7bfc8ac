package catalog

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"

	"google.golang.org/protobuf/proto"
)

// placedLife is how long a VM tells others of layers that an engine was found to hold.
const placedLife = 2 * clock.Second

// placed is what an engine was found to hold after its newest announcement.
type placed struct {
	told *fleetpb.Placed
	at   clock.Time
	own  bool // This VM tells others.
}

// Placed notes the layers that an engine was found to hold after the announcement u.
// own says that this VM tells the others.
func (c *Catalog) Placed(u *registry.Upstream, from, to int, own bool) {
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

// takePlaced takes another VM's word on the layers of engines. What is news is passed
// on, because in a large fleet VMs hear a few others only.
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

// placedHere lists what this VM found out just now.
func (c *Catalog) placedHere(now clock.Time) []*fleetpb.Placed {
	var out []*fleetpb.Placed
	for _, p := range c.placed {
		if p.own && now.Sub(p.at) < placedLife {
			out = append(out, p.told)
		}
	}
	return out
}

// withPlaced returns an upstream with the layers that it was found to hold, while its
// announcement is not newer than that. A home VM hears an engine's announcements that
// change nothing and tells no other VM of them, so that only those with other layers
// count as newer.
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
