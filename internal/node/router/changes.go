package router

import (
	"maps"
	"slices"

	"github.com/jasminecove/jasminecove/internal/routing/catalog"
)

// upstreamsChanged logs changes of upstreams and passes them on.
func (r *Router) upstreamsChanged(c catalog.Change) {
	for _, id := range c.Joined {
		u, ok := r.catalog.Upstream(id)
		if ok {
			r.log.Decision("upstreamJoined", id, "service", u.Name, "address", u.Address, "dataCentre", u.DataCentre, "kind", u.Accelerator,
				"layersFrom", u.LayerFrom, "layersTo", u.LayerTo, "home", u.Home, "startedMs", u.StartedMs)
		}
	}
	for _, id := range c.Leaving {
		r.log.Decision("upstreamLeaving", id)
	}
	for _, id := range c.Ended {
		r.log.Decision("upstreamEnded", id)
	}
	for _, id := range c.Dead {
		r.log.Decision("upstreamDead", id)
		r.quarantine.UpstreamEnded(id)
	}
	for _, id := range slices.Sorted(maps.Keys(c.RateLimits)) {
		r.log.Decision("upstreamRateLimit", id, "rate", c.RateLimits[id].Rate, "was", c.RateLimits[id].Was, "reported", true)
	}
	if len(c.RateLimits)+len(c.Ended) > 0 {
		r.tel.Metrics.Gauge("limited_upstreams").Update(float64(r.catalog.LimitedUpstreams()))
	}
	for _, id := range c.Crashed {
		r.quarantine.UpstreamEnded(id)
	}
	if len(c.Dead)+len(c.Vacating)+len(c.Leaving) > 0 {
		select {
		case r.found <- struct{}{}:
		default:
		}
	}
	if len(c.Digests) > 0 {
		r.plane.PublishDigests(c.Digests)
	}
}
