package directory

import (
	"fmt"
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/routing/pick"
	"github.com/jasminecove/jasminecove/internal/routing/ratecap"
)

// PickService picks an upstream of a pool of services. The request counts as in flight on
// it until ReleaseService is called. If only the rate limits that upstreams name forbid it, the error
// is a *ratecap.UsedUpError.
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
	var limitedFor clock.Duration // Until the first limited upstream may get a call.
	for _, u := range d.plan(p).replicas {
		if slices.Contains(exclude, u.Id) || !d.health.Usable(now, u.Id) {
			continue
		}
		if wait := d.limits.Wait(now, u.Id); wait > 0 {
			if limitedFor == 0 || wait < limitedFor {
				limitedFor = wait
			}
			continue
		}
		members = append(members, u)
		cs = append(cs, d.candidate(now, u, max(u.TokensPerSecond, 1)))
	}
	if len(cs) == 0 && limitedFor > 0 {
		return nil, &ratecap.UsedUpError{Wait: limitedFor}
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
