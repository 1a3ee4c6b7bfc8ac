// Package directory answers which upstreams a request goes to. It joins the
// tables with the upstreams that are known, plans each pool's flow, and keeps
// the requests in flight. It is safe for concurrent use.
package directory

import (
	"sync"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/pipeline/pace"
	"github.com/jasminecove/jasminecove/internal/routing/health"
	"github.com/jasminecove/jasminecove/internal/routing/pick"
	"github.com/jasminecove/jasminecove/internal/routing/plan"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// Failures of a pick.
const (
	ErrNoUpstream = fault.Sentinel("directory: no upstream of the pool can take the request")
	ErrNoPool     = fault.Sentinel("directory: the tables name no such pool")
)

// Slow start of a new upstream.
const (
	rampSpan  = 4 * clock.Second
	rampFloor = 0.2
)

// Change is what the directory tells its watcher.
type Change struct {
	Digests []*fleetpb.Digest // To be told to other VMs.
	Leaving []string          // Upstreams that began to leave.
	Ended   []string          // Upstreams whose lease ended.
	Moved   []string          // Upstreams that are at another address now.
}

// Directory is the routing state of one VM.
type Directory struct {
	clock   clock.Clock
	watcher func(Change)

	mu       sync.Mutex
	src      *rng.Source
	doc      *tables.Document
	registry *registry.Registry
	health   *health.Monitor
	pace     *pace.Book
	inFlight map[string]int
	down     map[string]bool
	planned  map[string]*poolPlan
	policies map[string]pick.Policy
	changes  uint64 // Grows with each change of tables, links or health.
}

// poolPlan is the cached plan of a pool.
type poolPlan struct {
	registry uint64 // Versions of what the plan rests on.
	changes  uint64
	replicas []*registry.Upstream
	versions []versionPlan // Of a pool of engines, each of one model version.
}

// versionPlan is the part of a pool that holds one version of the model. An
// answer stays within it.
type versionPlan struct {
	version  string
	plan     plan.Plan
	replicas []*registry.Upstream
}

// New returns the directory of a VM. watcher is told of changes, without locks held.
func New(vm string, clk clock.Clock, src *rng.Source, watcher func(Change)) *Directory {
	return &Directory{
		clock:    clk,
		watcher:  watcher,
		src:      src,
		doc:      &tables.Document{},
		registry: registry.New(vm),
		health:   health.New(),
		pace:     pace.NewBook(),
		inFlight: map[string]int{},
		down:     map[string]bool{},
		planned:  map[string]*poolPlan{},
		policies: map[string]pick.Policy{},
	}
}

// SetTables puts new tables in force.
func (d *Directory) SetTables(doc *tables.Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.doc = doc
	d.planned = map[string]*poolPlan{}
	d.policies = map[string]pick.Policy{}
	for _, p := range doc.Pools {
		d.policies[p.Name] = pick.New(p.Pick)
	}
}

// Tables returns the tables in force.
func (d *Directory) Tables() *tables.Document {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.doc
}

// Announce takes an upstream's announcement and returns the span after which it
// should announce itself again.
func (d *Directory) Announce(a *upstreampb.Announcement) clock.Duration {
	var change Change
	d.mu.Lock()
	now := d.clock.Now()
	was, known := d.registry.Get(a.Id)
	if d.registry.Announce(now, a) {
		change.Digests = append(change.Digests, d.registry.DigestOf(now, a.Id))
	}
	if known {
		d.compare(was, a, &change)
	}
	d.mu.Unlock()
	d.tell(change)
	return registry.RenewInterval(clock.Duration(a.LeaseMs))
}

// compare notes what a newer announcement of a known upstream changes.
func (d *Directory) compare(was *registry.Upstream, a *upstreampb.Announcement, change *Change) {
	if a.Leaving && !was.Leaving {
		change.Leaving = append(change.Leaving, a.Id)
	}
	if a.Address != was.Address {
		// It was started again: what was learnt of its past says nothing now.
		change.Moved = append(change.Moved, a.Id)
		d.forget(a.Id)
	}
}

// forget drops what was learnt of an upstream.
func (d *Directory) forget(id string) {
	d.health.Forget(id)
	d.pace.Forget(id)
	delete(d.down, id)
	d.changes++
}

// TakeDigests takes other VMs' word about upstreams. It returns those that were
// news.
func (d *Directory) TakeDigests(digests []*fleetpb.Digest) []*fleetpb.Digest {
	var change Change
	var news []*fleetpb.Digest
	d.mu.Lock()
	now := d.clock.Now()
	for _, g := range digests {
		was, known := d.registry.Get(g.Id)
		if !d.registry.ApplyDigest(now, g) {
			continue
		}
		news = append(news, g)
		is, live := d.registry.Get(g.Id)
		if known && !live {
			change.Ended = append(change.Ended, g.Id)
		}
		if known && live {
			d.compare(was, is.Announcement, &change)
		}
	}
	d.mu.Unlock()
	d.tell(change)
	return news
}

// Tick ends leases that have run out.
func (d *Directory) Tick() {
	d.mu.Lock()
	ended := d.registry.Expire(d.clock.Now())
	for _, g := range ended {
		d.forget(g.Id)
	}
	d.mu.Unlock()
	change := Change{Digests: ended}
	for _, g := range ended {
		change.Ended = append(change.Ended, g.Id)
	}
	d.tell(change)
}

// HomeLost and HomeBack tell of the failure and return of a VM.
func (d *Directory) HomeLost(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.HomeLost(d.clock.Now(), vm)
}

// HomeBack ends the grace that HomeLost began.
func (d *Directory) HomeBack(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.HomeRecovered(vm)
}

// DigestsOf describes the known upstreams of some homes.
func (d *Directory) DigestsOf(homes []string) []*fleetpb.Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registry.DigestsOf(d.clock.Now(), homes)
}

// HomeHashes sums up the known upstreams of each home.
func (d *Directory) HomeHashes() []*fleetpb.HomeHash {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registry.HomeHashes()
}

// Upstream returns a live upstream.
func (d *Directory) Upstream(id string) (*registry.Upstream, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registry.Get(id)
}

// SetDown says whether the link to an upstream is down.
func (d *Directory) SetDown(id string, down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down[id] == down {
		return
	}
	d.changes++
	if down {
		d.down[id] = true
		return
	}
	delete(d.down, id)
}

// Report records a success or failure of an upstream of a pool.
func (d *Directory) Report(pool, id string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ok {
		d.health.Succeeded(id)
		return
	}
	u, live := d.registry.Get(id)
	if !live {
		return
	}
	p, _ := d.doc.Pool(pool)
	group := groupOf(pool, u)
	size := 0
	for _, v := range d.plan(p).replicas {
		if groupOf(pool, v) == group {
			size++
		}
	}
	if d.health.Failed(d.clock.Now(), id, group, size) {
		d.changes++
	}
}

// Observe records how long a hop took, in ms.
func (d *Directory) Observe(id string, took float64, count uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pace.Observe(id, took, count)
}

// HopDeadline returns the time that a hop may take.
func (d *Directory) HopDeadline(id string, count uint32) clock.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pace.Deadline(id, count)
}

func (d *Directory) tell(c Change) {
	if d.watcher == nil || len(c.Digests)+len(c.Leaving)+len(c.Ended)+len(c.Moved) == 0 {
		return
	}
	d.watcher(c)
}
