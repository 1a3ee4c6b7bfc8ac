// Package catalog holds what a VM knows of the upstreams of forwarded pools: who they
// are, what they hold, how they behaved towards this VM, and what the requests of all
// VMs take of them. It is safe for concurrent use.
package catalog

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/routing/lookup"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// sequenceBits is the part of an announcement's order that counts within one start of
// an upstream; the start time stands above it.
const sequenceBits = 20

// Change is what the catalog tells its watcher.
type Change struct {
	Digests []*fleetpb.Digest // To be told to other VMs.
	Joined  []string
	Leaving []string // Upstreams that began to leave.
	Ended   []string // Upstreams that ended or fell silent.
	Dead    []string // Upstreams that were found dead.
}

// Catalog is a VM's view of upstreams.
type Catalog struct {
	clock   clock.Clock
	vm      string
	watcher func(Change)
	index   atomic.Pointer[lookup.Index]

	mu       sync.Mutex
	registry *registry.Registry
	health   map[string]*health
	own      map[string]*hold
	others   map[string]*vmHolds
	views    map[string]*poolView // By pool.
	room     chan struct{}        // Closed when a request gave back what it held.
	ticked   clock.Time
	placed   map[string]*placed
	pipes    map[pipe]float64 // clock.Time until which each is busy, with fractions.
	vms      func() int
	watchers map[string]map[watchEntry]struct{} // By upstream.
}

// New returns the catalog of a VM. maxLease is the longest that an upstream may be
// silent. watcher is told of changes, without locks held.
func New(vm string, clk clock.Clock, maxLease clock.Duration, watcher func(Change)) *Catalog {
	return &Catalog{
		clock: clk, vm: vm, watcher: watcher,
		registry: registry.New(vm, registry.WithMaxLease(maxLease)),
		health:   map[string]*health{}, own: map[string]*hold{}, others: map[string]*vmHolds{},
		views: map[string]*poolView{}, room: make(chan struct{}),
		watchers: map[string]map[watchEntry]struct{}{}, placed: map[string]*placed{}, pipes: map[pipe]float64{}, vms: func() int { return 1 },
	}
}

// SetVMs gives the number of VMs that send requests to the same upstreams.
func (c *Catalog) SetVMs(vms func() int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms = vms
}

// SetTables implements controlplane.Directory.
func (c *Catalog) SetTables(doc *tables.Document) {
	number := uint64(0)
	if x := c.index.Load(); x != nil {
		number = x.Number
	}
	c.index.Store(lookup.New(number+1, doc))
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.views)
}

// Tables returns the index of the tables in force, or nil before the first.
func (c *Catalog) Tables() *lookup.Index { return c.index.Load() }

// Announce takes an upstream's announcement. One that an earlier announcement or a
// later start has overtaken changes nothing.
func (c *Catalog) Announce(a *upstreampb.Announcement) {
	a.Sequence = a.StartedMs<<sequenceBits | min(a.Sequence, 1<<sequenceBits-1)
	c.learn(a, c.registry.Announce)
}

// Recall takes an announcement as Announcements returned it before this VM's start, of
// an upstream that still takes requests. One that was heard of since stays as it is.
func (c *Catalog) Recall(a *upstreampb.Announcement) { c.learn(a, c.registry.Restore) }

// learn gives the registry an announcement and tells what is new.
func (c *Catalog) learn(a *upstreampb.Announcement, into func(clock.Time, *upstreampb.Announcement) bool) {
	var change Change
	c.mu.Lock()
	now := c.clock.Now()
	was, known := c.registry.Get(a.Id)
	if into(now, a) {
		change.Digests = append(change.Digests, c.registry.DigestOf(now, a.Id))
	}
	is, live := c.registry.Get(a.Id)
	c.compare(was, known, is, live, &change)
	// It spoke after it was found dead.
	c.alive(a.Id)
	c.mu.Unlock()
	c.tell(change)
}

// End takes an upstream's own word that it ends.
func (c *Catalog) End(id string) {
	c.mu.Lock()
	d := c.registry.End(c.clock.Now(), id)
	c.mu.Unlock()
	if d != nil {
		c.tell(Change{Digests: []*fleetpb.Digest{d}, Ended: []string{id}})
	}
}

// compare notes what is new of an upstream.
func (c *Catalog) compare(was *registry.Upstream, known bool, is *registry.Upstream, live bool, change *Change) {
	switch {
	case known && !live:
		change.Ended = append(change.Ended, was.Id)
		delete(c.health, was.Id)
		return
	case !live:
		return
	case !known:
		change.Joined = append(change.Joined, is.Id)
		c.supersede(is, change)
	case was.StartedMs != is.StartedMs:
		// What was learnt of its past says nothing of the new process.
		delete(c.health, is.Id)
		for w := range c.watchers[is.Id] {
			w.fire()
		}
		delete(c.watchers, is.Id)
		change.Ended = append(change.Ended, is.Id)
		change.Joined = append(change.Joined, is.Id)
	case is.Leaving && !was.Leaving:
		change.Leaving = append(change.Leaving, is.Id)
	}
}

// supersede ends an earlier upstream at the address of one that has just joined: its
// process is gone.
func (c *Catalog) supersede(is *registry.Upstream, change *Change) {
	for _, u := range c.registry.All() {
		if u.Id != is.Id && u.Address == is.Address && u.StartedMs < is.StartedMs {
			c.registry.End(c.clock.Now(), u.Id)
			delete(c.health, u.Id)
			change.Ended = append(change.Ended, u.Id)
		}
	}
}

// TakeDigests implements controlplane.Directory.
func (c *Catalog) TakeDigests(digests []*fleetpb.Digest) []*fleetpb.Digest {
	var change Change
	var news []*fleetpb.Digest
	c.mu.Lock()
	now := c.clock.Now()
	for _, d := range digests {
		was, known := c.registry.Get(d.Id)
		if !c.registry.ApplyDigest(now, d) {
			continue
		}
		news = append(news, d)
		is, live := c.registry.Get(d.Id)
		c.compare(was, known, is, live, &change)
	}
	c.mu.Unlock()
	c.tell(change)
	return news
}

// stoodStill is a span between two ticks from which on this VM itself was stopped.
const stoodStill = 800 * clock.Millisecond

// Tick ends leases that have run out. A VM that stood still did not hear renewals, so
// that leases go on for as long.
func (c *Catalog) Tick() {
	c.mu.Lock()
	now := c.clock.Now()
	if gap := now.Sub(c.ticked); c.ticked != 0 && gap > stoodStill {
		c.registry.ExtendLeases(gap)
	}
	c.ticked = now
	ended := c.registry.Expire(now)
	change := Change{Digests: ended}
	for _, d := range ended {
		delete(c.health, d.Id)
		change.Ended = append(change.Ended, d.Id)
	}
	c.mu.Unlock()
	c.tell(change)
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

// Version grows with each change of an upstream that matters to routing.
func (c *Catalog) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.Version()
}

// Announcements returns the newest announcement of each live upstream.
func (c *Catalog) Announcements() []*upstreampb.Announcement {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*upstreampb.Announcement
	for _, u := range c.registry.All() {
		out = append(out, c.withPlaced(u).Announcement)
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
	all := slices.DeleteFunc(c.registry.All(), func(u *registry.Upstream) bool { return u.Name != service })
	for i, u := range all {
		all[i] = c.withPlaced(u)
	}
	return all
}

func (c *Catalog) tell(ch Change) {
	if c.watcher == nil || len(ch.Digests)+len(ch.Joined)+len(ch.Leaving)+len(ch.Ended) == 0 {
		return
	}
	c.watcher(ch)
}
