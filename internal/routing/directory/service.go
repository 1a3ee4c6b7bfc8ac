package directory

import (
	"fmt"
	"slices"

	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/routing/pick"
)

// PickService picks an upstream of a pool of services. The request counts as in flight on
// it until ReleaseService is called.
func (d *Directory) PickService(pool string, exclude []string) (*registry.Upstream, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.doc.Pool(pool)
	if !ok {
		return nil, ErrNoPool
	}
	now := d.clock.Now()
	var members []*registry.Upstream
	var cs []pick.Candidate
	for _, u := range d.plan(p).replicas {
		if slices.Contains(exclude, u.Id) || !d.health.Usable(now, u.Id) {
			continue
		}
		members = append(members, u)
		cs = append(cs, d.candidate(now, u, max(u.TokensPerSecond, 1)))
	}
	if len(cs) == 0 {
		return nil, fmt.Errorf("pool %s: %w", pool, ErrNoUpstream)
	}
	u := members[d.policies[pool].Pick(d.src, cs)]
	d.inFlight[u.Id]++
	d.health.Picked(now, u.Id)
	return u, nil
}

// ReleaseService ends the in-flight count of an upstream returned by PickService.
func (d *Directory) ReleaseService(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.release(id)
}
