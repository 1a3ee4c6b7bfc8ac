package directory

import (
	"maps"
	"strconv"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/routing/plan"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// PoolView is the state of a pool in status reports.
type PoolView struct {
	Name      string         `json:"name"`
	Bound     float64        `json:"boundTokensPerSecond,omitempty"`
	Missing   string         `json:"missingLayers,omitempty"`
	Upstreams []UpstreamView `json:"upstreams"`
}

// UpstreamView is the state of an upstream in status reports.
type UpstreamView struct {
	ID          string         `json:"id"`
	State       string         `json:"state"`
	Version     string         `json:"version,omitempty"`
	Layers      [2]uint32      `json:"layers,omitempty"`
	Home        string         `json:"home"`
	InFlight    int            `json:"inFlight"`
	Weight      float64        `json:"weight,omitempty"`
	HopMean     float64        `json:"hopMeanMs,omitempty"`
	LastSeenAge clock.Duration `json:"heardMsAgo"`
}

// View returns the state of every pool and its upstreams.
func (d *Directory) View() []PoolView {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	views := make([]PoolView, 0, len(d.doc.Pools))
	for _, p := range d.doc.Pools {
		v := PoolView{Name: p.Name, Upstreams: []UpstreamView{}}
		weights := map[string]float64{}
		if p.IsModel() {
			pl := d.plan(p)
			v.Bound = pl.bound()
			for _, version := range pl.versions {
				maps.Copy(weights, version.plan.Weights)
			}
			v.Missing = missingLayers(p.Layers, pl)
		}
		for _, u := range d.members(p) {
			v.Upstreams = append(v.Upstreams, UpstreamView{
				ID: u.Id, State: d.stateOf(u.Id, u.Leaving), Version: u.Version, Layers: [2]uint32{u.LayerFrom, u.LayerTo}, Home: u.Home,
				InFlight: d.inFlight[u.Id], Weight: weights[u.Id], HopMean: d.pace.Mean(u.Id), LastSeenAge: now.Sub(u.LastSeen),
			})
		}
		views = append(views, v)
	}
	return views
}

func (d *Directory) stateOf(id string, leaving bool) string {
	switch {
	case leaving:
		return "leaving"
	case d.linkDown[id]:
		return "unreachable"
	case d.health.Ejected(id):
		return "ejected"
	}
	return "ready"
}

// missingLayers describes the first layer that no path reaches, or returns "" when the
// pool covers all layers.
func missingLayers(layers uint32, pl *poolPlan) string {
	replicas := make([]plan.Replica, 0, len(pl.replicas))
	for _, u := range pl.replicas {
		replicas = append(replicas, plan.Replica{ID: u.Id, From: u.LayerFrom, To: u.LayerTo, Rate: u.TokensPerSecond})
	}
	from, gap := plan.MissingLayers(layers, replicas)
	if !gap {
		return ""
	}
	return "from layer " + strconv.FormatUint(uint64(from), 10)
}

// Engines returns the announcements of a pool's live engines. They must not be
// changed.
func (d *Directory) Engines(p tables.Pool) []*upstreampb.Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	members := d.members(p)
	out := make([]*upstreampb.Announcement, 0, len(members))
	for _, u := range members {
		out = append(out, u.Announcement)
	}
	return out
}
