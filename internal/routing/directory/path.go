package directory

import (
	"fmt"
	"slices"
	"strings"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/pipeline/session"
	"github.com/jasminecove/jasminecove/internal/routing/pick"
	"github.com/jasminecove/jasminecove/internal/routing/plan"
)

// PathQuery describes the path to find through a pool of engines.
type PathQuery struct {
	Pool    string
	Current []session.Hop // Current path; the new path keeps as many of its hops as possible.
	Lost    []string      // Replicas that must not be used.
	Leaving []string      // Replicas to avoid where others exist.
}

// PickPath picks replicas that together run every layer. The request counts as in flight
// on them until Release is called.
func (d *Directory) PickPath(q PathQuery) ([]session.Hop, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pool, ok := d.doc.Pool(q.Pool)
	if !ok {
		return nil, ErrNoPool
	}
	w, path := d.search(pool, q)
	if path == nil {
		return nil, fmt.Errorf("pool %s: %w", q.Pool, ErrNoUpstream)
	}
	for _, h := range path {
		d.inFlight[h.Replica]++
		d.health.Picked(w.now, h.Replica)
	}
	return path, nil
}

// search looks for a path in each model version in turn, in the order of
// versionOrder.
func (d *Directory) search(pool tables.Pool, q PathQuery) (*walk, []session.Hop) {
	var w *walk
	for _, v := range d.versionOrder(pool, q.Current) {
		w = d.newWalk(pool, q, v)
		if path := w.repair(); path != nil {
			return w, path
		}
		if path := w.build(); path != nil {
			return w, path
		}
		if len(q.Leaving) > 0 {
			w.avoid = nil
			if path := w.repair(); path != nil {
				return w, path
			}
		}
	}
	return w, nil
}

// versionOrder returns the versions to search. An answer that has begun stays on the
// version of its current path. For a new answer the first version is drawn at random,
// weighted by throughput, and the others follow.
func (d *Directory) versionOrder(pool tables.Pool, current []session.Hop) []*versionPlan {
	p := d.plan(pool)
	if len(current) > 0 {
		if u, known := d.registry.Get(current[0].Replica); known {
			for i := range p.versions {
				if p.versions[i].version == u.Version {
					return []*versionPlan{&p.versions[i]}
				}
			}
		}
	}
	order := make([]*versionPlan, 0, len(p.versions))
	at := d.src.Float64() * p.bound()
	first := -1
	for i := range p.versions {
		at -= p.versions[i].plan.Bound
		if at < 0 && first < 0 {
			first = i
			order = append(order, &p.versions[i])
		}
	}
	for i := range p.versions {
		if i != first {
			order = append(order, &p.versions[i])
		}
	}
	return order
}

// Release ends the in-flight count of a path returned by PickPath.
func (d *Directory) Release(path []session.Hop) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range path {
		d.release(h.Replica)
	}
}

func (d *Directory) release(id string) {
	d.inFlight[id]--
	if d.inFlight[id] <= 0 {
		delete(d.inFlight, id)
	}
}

// Bound returns the maximum throughput of a pool of engines in tokens per second, or 0
// for other pools.
func (d *Directory) Bound(pool string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.doc.Pool(pool)
	if !ok || !p.IsModel() {
		return 0
	}
	return d.plan(p).bound()
}

// bound returns the sum of the throughput bounds of the model's versions.
func (p *poolPlan) bound() float64 {
	sum := 0.0
	for _, v := range p.versions {
		sum += v.plan.Bound
	}
	return sum
}

// plan returns the pool's plan, from the cache unless the registry, a link or an
// upstream's health changed since it was computed.
func (d *Directory) plan(p tables.Pool) *poolPlan {
	cached := d.plans[p.Name]
	if cached != nil && cached.registryVersion == d.registry.Version() && cached.changes == d.changes {
		return cached
	}
	next := &poolPlan{registryVersion: d.registry.Version(), changes: d.changes}
	byVersion := map[string][]*registry.Upstream{}
	for _, u := range d.members(p) {
		if u.Leaving || d.linkDown[u.Id] {
			continue
		}
		next.replicas = append(next.replicas, u)
		byVersion[u.Version] = append(byVersion[u.Version], u)
	}
	if p.IsModel() {
		next.versions = planVersions(p, byVersion)
	}
	d.plans[p.Name] = next
	return next
}

// planVersions computes a separate plan for each version. The version that the tables
// give for the pool comes first.
func planVersions(p tables.Pool, byVersion map[string][]*registry.Upstream) []versionPlan {
	out := make([]versionPlan, 0, len(byVersion))
	for version, upstreams := range byVersion {
		replicas := make([]plan.Replica, 0, len(upstreams))
		for _, u := range upstreams {
			replicas = append(replicas, plan.Replica{ID: u.Id, From: u.LayerFrom, To: u.LayerTo, Rate: rateOf(u)})
		}
		out = append(out, versionPlan{version: version, plan: plan.Compute(p.Layers, replicas), replicas: upstreams})
	}
	slices.SortFunc(out, func(a, b versionPlan) int {
		if (a.version == p.Version) != (b.version == p.Version) {
			if a.version == p.Version {
				return -1
			}
			return 1
		}
		return strings.Compare(a.version, b.version)
	})
	return out
}

// rateOf returns the throughput of a replica in tokens per second: the lower of its
// compute rate and the rate of its link, which carries each position once in each
// direction.
func rateOf(u *registry.Upstream) float64 {
	if u.LinkBytesPerSecond <= 0 || u.PositionBytes == 0 {
		return u.TokensPerSecond
	}
	return min(u.TokensPerSecond, u.LinkBytesPerSecond/float64(u.PositionBytes))
}

// members returns the live upstreams that a pool selects.
func (d *Directory) members(p tables.Pool) []*registry.Upstream {
	var out []*registry.Upstream
	for _, u := range d.registry.All() {
		if matches(p, u) {
			out = append(out, u)
		}
	}
	return out
}

func matches(p tables.Pool, u *registry.Upstream) bool {
	if p.IsModel() {
		return u.Kind == "engine" && u.Name == p.Model
	}
	return u.Kind == "service" && u.Name == p.Service
}

// groupOf returns the key of the group of interchangeable upstreams: those of one pool
// with the same layer range.
func groupOf(pool string, u *registry.Upstream) string {
	return fmt.Sprintf("%s/%d-%d", pool, u.LayerFrom, u.LayerTo)
}

// walk is a depth-first search for a path within one model version.
type walk struct {
	d        *Directory
	pool     tables.Pool
	now      clock.Time
	plan     *versionPlan
	query    PathQuery
	avoid    []string
	policy   pick.Policy
	deadEnds map[uint32]bool // Layer boundaries from which no path reaches the last layer.
}

func (d *Directory) newWalk(pool tables.Pool, q PathQuery, v *versionPlan) *walk {
	policy := d.policies[pool.Name]
	if policy == nil {
		policy = pick.Planned{}
	}
	return &walk{
		d: d, pool: pool, now: d.clock.Now(), plan: v, query: q,
		avoid: q.Leaving, policy: policy, deadEnds: map[uint32]bool{},
	}
}

// repair returns the current path with only the unusable hops replaced, or nil when
// some hop has no replacement.
func (w *walk) repair() []session.Hop {
	if len(w.query.Current) == 0 {
		return nil
	}
	path := slices.Clone(w.query.Current)
	for i, h := range path {
		if w.stillHolds(h) && !slices.Contains(w.query.Lost, h.Replica) && !slices.Contains(w.avoid, h.Replica) {
			continue
		}
		same := w.candidates(h.LayerFrom, func(u *registry.Upstream) bool { return u.LayerTo == h.LayerTo })
		if len(same) == 0 {
			return nil
		}
		path[i].Replica = same[w.policy.Pick(w.d.src, same)].ID
	}
	return path
}

// stillHolds reports whether a replica currently holds the hop's layers. An order may
// have assigned it other layers.
func (w *walk) stillHolds(h session.Hop) bool {
	u, live := w.d.registry.Get(h.Replica)
	return live && u.LayerFrom == h.LayerFrom && u.LayerTo == h.LayerTo
}

// build builds a new path hop by hop, from the first layer to the last.
func (w *walk) build() []session.Hop {
	clear(w.deadEnds)
	return w.pathFrom(0)
}

// pathFrom returns a path from a layer boundary to the last layer, or nil if there is
// none.
func (w *walk) pathFrom(layer uint32) []session.Hop {
	if layer == w.pool.Layers {
		return []session.Hop{}
	}
	if w.deadEnds[layer] {
		return nil
	}
	cs := w.candidates(layer, func(*registry.Upstream) bool { return true })
	for len(cs) > 0 {
		i := w.policy.Pick(w.d.src, cs)
		u, _ := w.d.registry.Get(cs[i].ID)
		if rest := w.pathFrom(u.LayerTo); rest != nil {
			hop := session.Hop{Replica: u.Id, LayerFrom: u.LayerFrom, LayerTo: u.LayerTo}
			return append([]session.Hop{hop}, rest...)
		}
		cs = slices.Delete(cs, i, i+1)
	}
	w.deadEnds[layer] = true
	return nil
}

// candidates returns the usable replicas whose range starts at a layer: those with a
// weight in the plan, or all of them when none has a weight.
func (w *walk) candidates(layer uint32, fits func(*registry.Upstream) bool) []pick.Candidate {
	var planned, others []pick.Candidate
	for _, u := range w.plan.replicas {
		if u.LayerFrom != layer || !fits(u) || slices.Contains(w.query.Lost, u.Id) ||
			slices.Contains(w.avoid, u.Id) || !w.d.health.Usable(w.now, u.Id) {
			continue
		}
		weight := w.plan.plan.Weights[u.Id]
		if weight > 0 {
			planned = append(planned, w.d.candidate(w.now, u, weight))
			continue
		}
		others = append(others, w.d.candidate(w.now, u, rateOf(u)+1))
	}
	if len(planned) > 0 {
		return planned
	}
	return others
}

// candidate returns the pick candidate for an upstream, with its weight reduced during
// slow start.
func (d *Directory) candidate(now clock.Time, u *registry.Upstream, weight float64) pick.Candidate {
	age := now.Sub(u.FirstSeen)
	ramp := min(1, minSlowStartWeight+(1-minSlowStartWeight)*float64(age)/float64(slowStartDuration))
	c := pick.Candidate{ID: u.Id, Weight: weight * ramp, InFlight: d.inFlight[u.Id], ReportAge: now.Sub(u.LastSeen)}
	if u.Load != nil {
		c.ReportedLoad = max(0, int(u.Load.Running)-c.InFlight)
		c.ReportAge += clock.Duration(u.Load.AgeMs)
	}
	return c
}
