// Package directory selects the upstreams for a request. It combines the tables
// with the registered upstreams, computes a flow plan for each pool, and counts
// the requests in flight. It is safe for concurrent use.
package directory

import (
	"sync"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/pipeline/pace"
	"github.com/jasminecove/jasminecove/internal/routing/health"
	"github.com/jasminecove/jasminecove/internal/routing/pick"
	"github.com/jasminecove/jasminecove/internal/routing/plan"
	"github.com/jasminecove/jasminecove/internal/routing/ratecap"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// Errors returned by PickPath and PickService.
const (
	ErrNoUpstream = fault.Sentinel("directory: no usable upstream in the pool")
	ErrNoPool     = fault.Sentinel("directory: the tables have no such pool")
)

// Slow start of a new upstream: the factor of its weight grows from minSlowStartWeight to
// 1 over slowStartDuration.
const (
	slowStartDuration  = 4 * clock.Second
	minSlowStartWeight = 0.2
)

// Change describes upstream changes, for the onChange function of a Directory.
type Change struct {
	Digests []*fleetpb.Digest // Digests to send to other VMs.
	Leaving []string          // Upstreams that began to leave.
	Ended   []string          // Upstreams whose lease ended.
	Moved   []string          // Upstreams whose address changed.
}

// Directory is the routing state of one VM.
type Directory struct {
	clock    clock.Clock
	onChange func(Change)

	mu       sync.Mutex
	src      *rng.Source
	doc      *tables.Document
	registry *registry.Registry
	health   *health.Monitor
	pace     *pace.Estimator
	inFlight map[string]int
	linkDown map[string]bool
	plans    map[string]*poolPlan
	policies map[string]pick.Policy
	limits   *ratecap.Limiter
	changes  uint64 // Incremented when a link's state or an upstream's health changes.
}

// poolPlan is the cached plan of a pool.
type poolPlan struct {
	registryVersion uint64 // Registry version and change count that the plan was computed from.
	changes         uint64
	replicas        []*registry.Upstream
	versions        []versionPlan // One per model version; empty for a pool of services.
}

// versionPlan is the plan for the replicas of one version of the model. All tokens
// of an answer are computed by replicas of one version.
type versionPlan struct {
	version  string
	plan     plan.Plan
	replicas []*registry.Upstream
}

// New returns the directory of a VM. The directory calls onChange without holding locks.
func New(vm string, clk clock.Clock, src *rng.Source, onChange func(Change)) *Directory {
	return &Directory{
		clock:    clk,
		onChange: onChange,
		src:      src,
		doc:      &tables.Document{},
		registry: registry.New(vm),
		health:   health.New(),
		pace:     pace.NewEstimator(),
		inFlight: map[string]int{},
		linkDown: map[string]bool{},
		plans:    map[string]*poolPlan{},
		policies: map[string]pick.Policy{},
		limits:   ratecap.New(vm),
	}
}

// SetTables replaces the tables in force.
func (d *Directory) SetTables(doc *tables.Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.doc = doc
	d.plans = map[string]*poolPlan{}
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

// Announce registers an upstream's announcement and returns the interval after which
// the upstream should announce itself again.
func (d *Directory) Announce(a *upstreampb.Announcement) clock.Duration {
	d.notify(d.announce(a))
	return registry.RenewInterval(clock.Duration(a.LeaseMs))
}

func (d *Directory) announce(a *upstreampb.Announcement) (change Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	previous, known := d.registry.Get(a.Id)
	if d.registry.Announce(now, a) {
		if g := d.registry.DigestOf(now, a.Id); g != nil {
			change.Digests = append(change.Digests, g)
		}
	}
	if known {
		d.diff(previous, a, &change)
	}
	return change
}

// diff adds to change what a newer announcement of a known upstream changes.
func (d *Directory) diff(previous *registry.Upstream, a *upstreampb.Announcement, change *Change) {
	if a.Leaving && !previous.Leaving {
		change.Leaving = append(change.Leaving, a.Id)
	}
	if a.Address != previous.Address {
		// A new address means that the upstream restarted, so earlier health and hop
		// times no longer apply.
		change.Moved = append(change.Moved, a.Id)
		d.forget(a.Id)
	}
}

// forget discards the health, hop times and link state of an upstream.
func (d *Directory) forget(id string) {
	d.health.Forget(id)
	d.pace.Forget(id)
	d.limits.EndPause(id)
	delete(d.linkDown, id)
	d.changes++
}

// TakeDigests merges digests of upstreams received from other VMs. It returns those
// that changed the registry. A digest that panics costs itself only.
func (d *Directory) TakeDigests(digests []*fleetpb.Digest) []*fleetpb.Digest {
	var change Change
	var changed []*fleetpb.Digest
	for _, g := range digests {
		crash.Contain("digest", func() {
			if d.takeDigest(g, &change) {
				changed = append(changed, g)
			}
		})
	}
	crash.Contain("change of upstreams", func() { d.notify(change) })
	return changed
}

func (d *Directory) takeDigest(g *fleetpb.Digest, change *Change) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous, known := d.registry.Get(g.Id)
	if !d.registry.ApplyDigest(d.clock.Now(), g) {
		return false
	}
	current, live := d.registry.Get(g.Id)
	if known && !live {
		change.Ended = append(change.Ended, g.Id)
	}
	if known && live {
		d.diff(previous, current.Announcement, change)
	}
	return true
}

// Tick expires leases.
func (d *Directory) Tick() {
	ended := d.expire()
	change := Change{Digests: ended}
	for _, g := range ended {
		change.Ended = append(change.Ended, g.Id)
	}
	d.notify(change)
}

func (d *Directory) expire() []*fleetpb.Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	ended := d.registry.Expire(d.clock.Now())
	for _, g := range ended {
		d.forget(g.Id)
	}
	d.limits.Prune(func(id string) bool { _, live := d.registry.Get(id); return live })
	return ended
}

// Deregister implements controlplane.Directory.
func (d *Directory) Deregister(id string) {
	if g := d.end(id); g != nil {
		d.notify(Change{Digests: []*fleetpb.Digest{g}, Ended: []string{id}})
	}
}

func (d *Directory) end(id string) *fleetpb.Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.registry.End(d.clock.Now(), id)
	if g != nil {
		d.forget(id)
	}
	return g
}

// DigestOf returns a digest of an upstream for other VMs, or nil if it is unknown.
func (d *Directory) DigestOf(id string) *fleetpb.Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registry.DigestOf(d.clock.Now(), id)
}

// HomeLost records the failure of a VM and starts the grace period of the upstreams
// whose home it is.
func (d *Directory) HomeLost(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.HomeLost(d.clock.Now(), vm)
}

// HomeBack ends the grace period that HomeLost started.
func (d *Directory) HomeBack(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.HomeRecovered(vm)
}

// DigestsOf returns digests of the known upstreams of the given home VMs.
func (d *Directory) DigestsOf(homes []string) []*fleetpb.Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registry.DigestsOf(d.clock.Now(), homes)
}

// UpstreamsHash returns a hash of the known upstreams.
func (d *Directory) UpstreamsHash() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registry.Hash()
}

// HomeHashes returns a hash of the known upstreams of each home VM.
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

// SetLinkDown records whether the link to an upstream is down.
func (d *Directory) SetLinkDown(id string, down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.linkDown[id] == down {
		return
	}
	d.changes++
	if down {
		d.linkDown[id] = true
		return
	}
	delete(d.linkDown, id)
}

// RecordOutcome records a success or failure of an upstream of a pool.
func (d *Directory) RecordOutcome(pool, id string, ok bool) {
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

// Observe records the duration of a hop over count positions, in ms.
func (d *Directory) Observe(id string, tookMs float64, count uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pace.Observe(id, tookMs, count)
}

// HopDeadline returns the longest time that a hop over count positions may take.
func (d *Directory) HopDeadline(id string, count uint32) clock.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pace.Deadline(id, count)
}

func (d *Directory) notify(c Change) {
	if d.onChange == nil || len(c.Digests)+len(c.Leaving)+len(c.Ended)+len(c.Moved) == 0 {
		return
	}
	d.onChange(c)
}
