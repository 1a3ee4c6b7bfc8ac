// Package catalog stores the state of the upstreams of forwarded pools as seen by one
// VM: their announcements, the layers that they hold, their health as observed by this
// VM, and their load from the requests of all VMs. It is safe for concurrent use.
package catalog

import (
	"sync"
	"sync/atomic"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/routing/lookup"
	"github.com/jasminecove/jasminecove/internal/routing/ratecap"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// Change describes upstream changes, for the onChange function of a Catalog.
type Change struct {
	Digests []*fleetpb.Digest // Digests to send to other VMs.
	Joined  []string          // Upstreams that were added, or that restarted.
	Leaving []string          // Upstreams that began to leave.
	Ended   []string          // Upstreams that were removed or restarted, or whose lease ran out.
	Dead    []string          // Upstreams that were found dead.
	Crashed []string          // Those of Ended whose next process is known and that had not begun to leave.
	// RateLimits are changes of upstreams' rate limits that other VMs reported.
	RateLimits map[string]ratecap.Change
	// Vacating are engines around which requests are to be led.
	Vacating []string
}

// Catalog is one VM's view of the upstreams.
type Catalog struct {
	clock    clock.Clock
	vm       string
	onChange func(Change)
	index    atomic.Pointer[lookup.Index]

	mu            sync.Mutex
	registry      *registry.Registry
	health        map[string]*health
	ownUsage      map[string]*usage
	ownRequests   int                    // Requests of this VM that hold capacity.
	otherUsage    map[string]*otherUsage // By VM or data centre.
	views         map[string]*poolView   // By pool.
	capacityFreed chan struct{}          // Closed when a request releases its capacity.
	lastTick      clock.Time
	placements    map[string]*placement
	mostLayers    map[string]int        // Most layers of each service's model since this VM started.
	paces         map[string]pace       // Of slow engines.
	vacated       map[string]clock.Time // When each engine was last vacated.
	linkBusyUntil map[link]float64      // Time until which each link is busy, as a fractional clock.Time.
	vmCount       func() int
	peerCount     func() int
	watchers      map[string]map[watchEntry]struct{} // By upstream.
	dataCentre    string
	rate          rate
	loadsAt       clock.Time // When the newest report of other VMs' load was received.
	ahead         ahead
	limits        *ratecap.Limiter
	leavingSince  map[string]clock.Time // When each leaving upstream began to leave, as far as this VM knows.
	durations     map[string]float64    // Mean expected duration of this VM's requests on each engine, in ms.
}

// Option changes how a Catalog behaves.
type Option func(*Catalog)

// WithDataCentre sets the VM's data centre, whose VMs are assumed to choose paths alike.
func WithDataCentre(name string) Option {
	return func(c *Catalog) { c.dataCentre = name }
}

// New returns the catalog of a VM. An upstream is removed if it sends no announcement
// for maxLease, or for its own lease if that is shorter. The catalog calls onChange
// without holding locks.
func New(vm string, clk clock.Clock, maxLease clock.Duration, onChange func(Change), opts ...Option) *Catalog {
	c := &Catalog{
		clock: clk, vm: vm, onChange: onChange, limits: ratecap.New(vm),
		registry: registry.New(vm, registry.WithMaxLease(maxLease)),
		health:   map[string]*health{}, ownUsage: map[string]*usage{}, otherUsage: map[string]*otherUsage{},
		views: map[string]*poolView{}, capacityFreed: make(chan struct{}),
		watchers: map[string]map[watchEntry]struct{}{}, placements: map[string]*placement{}, mostLayers: map[string]int{}, paces: map[string]pace{}, vacated: map[string]clock.Time{}, durations: map[string]float64{}, leavingSince: map[string]clock.Time{}, linkBusyUntil: map[link]float64{}, vmCount: func() int { return 1 }, peerCount: func() int { return 0 },
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// SetVMCount sets the function that returns the number of live VMs, which send requests to
// the same upstreams.
func (c *Catalog) SetVMCount(vmCount func() int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vmCount = vmCount
}

// SetPeerCount sets the function that returns the number of other live VMs of this VM's data
// centre.
func (c *Catalog) SetPeerCount(peerCount func() int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerCount = peerCount
}

// SetTables implements controlplane.Directory.
func (c *Catalog) SetTables(doc *tables.Document) {
	number := uint64(0)
	if x := c.index.Load(); x != nil {
		number = x.Generation
	}
	c.index.Store(lookup.New(number+1, doc))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordLayers(doc)
	clear(c.views)
}

// Tables returns the index of the tables in force, or nil before SetTables is first
// called.
func (c *Catalog) Tables() *lookup.Index { return c.index.Load() }

// Announce registers an upstream's announcement. An announcement that is older than one
// already received, or that belongs to an earlier start of the upstream, does not replace
// the registered one.
func (c *Catalog) Announce(a *upstreampb.Announcement) {
	c.update(a, c.registry.Announce)
}

// Restore registers an announcement that Announcements returned before this VM restarted,
// for an upstream that still accepts requests. It does not replace the announcement of an
// upstream that is already known.
func (c *Catalog) Restore(a *upstreampb.Announcement) { c.update(a, c.registry.Restore) }

// update passes an announcement to the registry by apply and reports the changes.
func (c *Catalog) update(a *upstreampb.Announcement, apply func(clock.Time, *upstreampb.Announcement) bool) {
	c.notify(c.apply(a, apply))
}

func (c *Catalog) apply(a *upstreampb.Announcement, apply func(clock.Time, *upstreampb.Announcement) bool) (change Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	previous, known := c.registry.Get(a.Id)
	if apply(now, a) {
		if d := c.registry.DigestOf(now, a.Id); d != nil {
			change.Digests = append(change.Digests, d)
		}
	}
	current, live := c.registry.Get(a.Id)
	c.diff(previous, known, current, live, &change)
	// An announcement proves that the upstream is running.
	c.markAlive(a.Id)
	return change
}

// Deregister removes an upstream that reported that it is terminating.
func (c *Catalog) Deregister(id string) {
	if d := c.end(id); d != nil {
		c.notify(Change{Digests: []*fleetpb.Digest{d}, Ended: []string{id}})
	}
}

func (c *Catalog) end(id string) *fleetpb.Digest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.End(c.clock.Now(), id)
}

// DigestOf returns a digest of an upstream for other VMs, or nil if it is unknown.
func (c *Catalog) DigestOf(id string) *fleetpb.Digest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.DigestOf(c.clock.Now(), id)
}

// diff adds to change the differences between the earlier and the new state of an
// upstream.
func (c *Catalog) diff(previous *registry.Upstream, known bool, current *registry.Upstream, live bool, change *Change) {
	switch {
	case known && !live:
		change.Ended = append(change.Ended, previous.Id)
		delete(c.health, previous.Id)
		delete(c.paces, previous.Id)
		delete(c.durations, previous.Id)
		delete(c.leavingSince, previous.Id)
		return
	case !live:
		return
	case !known:
		change.Joined = append(change.Joined, current.Id)
		c.supersede(current, change)
	case previous.StartedMs != current.StartedMs:
		// The upstream restarted, so the health of its earlier process no longer applies.
		delete(c.health, current.Id)
		delete(c.paces, current.Id)
		c.limits.EndPause(current.Id)
		for w := range c.watchers[current.Id] {
			w.fire()
		}
		delete(c.watchers, current.Id)
		change.Ended = append(change.Ended, current.Id)
		change.Joined = append(change.Joined, current.Id)
		if !previous.Leaving {
			change.Crashed = append(change.Crashed, current.Id)
		}
	case current.Leaving && !previous.Leaving:
		change.Leaving = append(change.Leaving, current.Id)
		c.leavingSince[current.Id] = c.clock.Now()
	}
}

// supersede removes upstreams that started earlier at the address of one that has just
// joined, because their process no longer exists.
func (c *Catalog) supersede(current *registry.Upstream, change *Change) {
	for _, u := range c.registry.At(current.Address) {
		if u.Id != current.Id && u.StartedMs < current.StartedMs {
			c.registry.End(c.clock.Now(), u.Id)
			delete(c.health, u.Id)
			change.Ended = append(change.Ended, u.Id)
			if !u.Leaving {
				change.Crashed = append(change.Crashed, u.Id)
			}
		}
	}
}

// TakeDigests implements controlplane.Directory. A digest that panics costs itself only.
func (c *Catalog) TakeDigests(digests []*fleetpb.Digest) []*fleetpb.Digest {
	var change Change
	var changed []*fleetpb.Digest
	for _, d := range digests {
		crash.Contain("digest", func() {
			if c.takeDigest(d, &change) {
				changed = append(changed, d)
			}
		})
	}
	crash.Contain("change of upstreams", func() { c.notify(change) })
	return changed
}

func (c *Catalog) takeDigest(d *fleetpb.Digest, change *Change) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous, known := c.registry.Get(d.Id)
	if !c.registry.ApplyDigest(c.clock.Now(), d) {
		return false
	}
	current, live := c.registry.Get(d.Id)
	c.diff(previous, known, current, live, change)
	return true
}

// suspendThreshold is the time between two ticks above which this VM itself must have
// been suspended.
const suspendThreshold = 800 * clock.Millisecond

// Tick expires leases. A VM that was suspended received no renewals, so Tick extends all
// leases by the duration of the suspension.
func (c *Catalog) Tick() { c.notify(c.expire()) }

func (c *Catalog) expire() Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if gap := now.Sub(c.lastTick); c.lastTick != 0 && gap > suspendThreshold {
		c.registry.ExtendLeases(gap)
	}
	c.lastTick = now
	ended := c.registry.Expire(now)
	c.limits.Prune(func(id string) bool { _, live := c.registry.Get(id); return live })
	change := Change{Digests: ended}
	for _, d := range ended {
		delete(c.health, d.Id)
		change.Ended = append(change.Ended, d.Id)
	}
	return change
}

// HomeLost implements controlplane.Directory.
func (c *Catalog) HomeLost(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.HomeLost(c.clock.Now(), vm)
}

// HomeBack implements controlplane.Directory.
func (c *Catalog) HomeBack(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.HomeRecovered(vm)
}

// DigestsOf implements controlplane.Directory.
func (c *Catalog) DigestsOf(homes []string) []*fleetpb.Digest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.DigestsOf(c.clock.Now(), homes)
}

// UpstreamsHash implements controlplane.Directory.
func (c *Catalog) UpstreamsHash() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.Hash()
}

// HomeHashes implements controlplane.Directory.
func (c *Catalog) HomeHashes() []*fleetpb.HomeHash {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.HomeHashes()
}

// Upstream returns a live upstream.
func (c *Catalog) Upstream(id string) (*registry.Upstream, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.Get(id)
}

// StartTimes returns when the processes of the given upstreams started, as Unix times in ms, or 0
// for unknown ones.
func (c *Catalog) StartTimes(ids []string) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]uint64, len(ids))
	for i, id := range ids {
		if u, ok := c.registry.Get(id); ok {
			out[i] = u.StartedMs
		}
	}
	return out
}

// Version returns a counter that is incremented whenever an upstream changes in a way
// that affects routing.
func (c *Catalog) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.Version()
}

// Announcements returns the latest announcement of each live upstream.
func (c *Catalog) Announcements() []*upstreampb.Announcement {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*upstreampb.Announcement
	for _, u := range c.registry.All() {
		out = append(out, c.withPlacement(u).Announcement)
	}
	return out
}

// Members returns the live upstreams of a service, sorted by id.
func (c *Catalog) Members(service string) []*registry.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members(service)
}

func (c *Catalog) members(service string) []*registry.Upstream {
	var out []*registry.Upstream
	for _, u := range c.registry.All() {
		if u.Name == service {
			out = append(out, c.withPlacement(u))
		}
	}
	return out
}

func (c *Catalog) notify(ch Change) {
	if c.onChange == nil || len(ch.Digests)+len(ch.Joined)+len(ch.Leaving)+len(ch.Ended) == 0 {
		return
	}
	c.onChange(ch)
}
