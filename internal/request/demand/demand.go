// Package demand decides how much of a pool's capacity less urgent requests leave to more urgent
// ones while these wait or are refused, at whatever VM (trunk reservation). VMs tell each other by pool and
// rank what waits and is refused, and each derives the same level from that.
//
// A Tracker is deterministic and does no I/O; a Monitor wraps it for concurrent use.
package demand

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Limits of reports.
const (
	// MaxEntries is the maximum number of entries of a report or a sum.
	MaxEntries = 32
	// MaxRank is the highest rank in reports. Less urgent requests count as this one.
	MaxRank = 255
	// MaxAmount is the highest number of waiting, and of refused requests a second, in an entry.
	MaxAmount = 1e6
	// Lifetime is how long a report or a sum of other VMs counts.
	Lifetime = 3 * clock.Second
	// maxSources is the number of VMs or data centres whose demand is kept, and maxRanks that of ranks of
	// pools with a level. What exceeds them is ignored.
	maxSources = 1024
	maxRanks   = 1024
)

const (
	// maxShare is the share that the least urgent requests leave free at the highest level. Other VMs learn half
	// a second late what was sent, and requests of two seconds free a quarter of an engine in that time.
	maxShare = 0.3
	// refuseAfter is how long the highest level must have lasted before less urgent requests are refused. A
	// caller waits for two seconds at least, so what waits may be served until then.
	refuseAfter = 2 * clock.Second
	// floorInterval is the number of requests of the least urgent rank of which one passes when
	// others are refused: each kind is to be served a quarter as often as all.
	floorInterval = 4
	// thinDelay is how long requests must have been refused before those that pass leave nothing free:
	// until then requests wait that arrived before the refusals. thinMemory is how long requests are counted after the
	// last one: in a large fleet a VM gets one of a rank every few seconds, and not each is the first.
	thinDelay  = 2 * clock.Second
	thinMemory = 10 * clock.Second
	// The rate of refusals is that of the last refusedBuckets*refusedBucket.
	refusedBuckets = 4
	refusedBucket  = 250 * clock.Millisecond
)

// key identifies requests for a pool by rank.
type key struct {
	pool string
	rank int
}

// amount is what requests of one rank lack.
type amount struct {
	waiting int
	refused float64 // A second.
}

func (a amount) isZero() bool { return a.waiting == 0 && a.refused == 0 }

func (a amount) plus(b amount) amount {
	return amount{waiting: a.waiting + b.waiting, refused: a.refused + b.refused}
}

// source is the demand at another VM, or that of the VMs of one data centre.
type source struct {
	at             clock.Time // When the report was made.
	boot, sequence uint64
	vm             bool
	demand         map[key]amount
}

// rankState is what is known of the requests of one rank.
type rankState struct {
	level   level
	waiting int // At this VM.
	refused recent
	thinned thinning
}

// recent counts the events of the last second.
type recent struct {
	counts [refusedBuckets]int
	bucket int64 // Index since the epoch of the newest count.
}

func (r *recent) advance(now clock.Time) {
	bucket := int64(now) / int64(refusedBucket)
	for range min(refusedBuckets, max(0, bucket-r.bucket)) {
		copy(r.counts[1:], r.counts[:refusedBuckets-1])
		r.counts[0] = 0
	}
	r.bucket = max(r.bucket, bucket)
}

func (r *recent) perSecond(now clock.Time) float64 {
	r.advance(now)
	n := 0
	for _, c := range r.counts {
		n += c
	}
	return float64(n) * float64(clock.Second) / float64(refusedBuckets*refusedBucket)
}

// thinning lets a part of the requests pass.
type thinning struct {
	since clock.Time // When it began; 0 while all requests pass.
	last  clock.Time // When a request was last counted.
	count int
}

// poolState is what is known of a pool in which requests lack capacity or did so recently.
type poolState struct {
	ranks   map[int]*rankState
	last    int // The least urgent rank of this VM's requests.
	running int // Requests of all VMs that run on the pool's upstreams; 0 if it is not known.
}

// Tracker keeps what waits and is refused, by pool and rank. It is not safe for concurrent use.
type Tracker struct {
	pools   map[string]*poolState
	ranks   int                // Number of ranks in pools.
	sources map[string]*source // By VM or data centre.
	sums    map[key]sum        // Of the sources.
	expires clock.Time         // When the first source may be too old.
}

// sum is the demand of a number of sources.
type sum struct {
	amount
	sources int
}

// New returns a Tracker that knows of no demand.
func New() *Tracker {
	return &Tracker{pools: map[string]*poolState{}, sources: map[string]*source{}, sums: map[key]sum{}}
}

// IsEmpty reports whether no requests lack capacity, nor did so recently.
func (t *Tracker) IsEmpty() bool { return len(t.pools) == 0 }

// SetWaiting sets the number of requests of a rank that wait at this VM.
func (t *Tracker) SetWaiting(now clock.Time, pool string, rank, waiting int) {
	k := newKey(pool, rank)
	p := t.pools[pool]
	if waiting <= 0 && (p == nil || p.ranks[k.rank] == nil) {
		return
	}
	s := t.state(k)
	s.waiting = max(0, waiting)
	t.pools[pool].last = max(t.pools[pool].last, k.rank)
	t.advance(now, pool)
}

// RecordRefused records that a request was refused at this VM for lack of capacity.
func (t *Tracker) RecordRefused(now clock.Time, pool string, rank int) {
	k := newKey(pool, rank)
	s := t.state(k)
	s.refused.advance(now)
	s.refused.counts[0]++
	t.pools[pool].last = max(t.pools[pool].last, k.rank)
	t.advance(now, pool)
}

func newKey(pool string, rank int) key { return key{pool, min(MaxRank, max(0, rank))} }

// state returns the state of a rank, which may be new.
func (t *Tracker) state(k key) *rankState {
	p := t.pools[k.pool]
	if p == nil {
		p = &poolState{ranks: map[int]*rankState{}}
		t.pools[k.pool] = p
	}
	s := p.ranks[k.rank]
	if s == nil {
		s = &rankState{}
		p.ranks[k.rank] = s
		t.ranks++
	}
	return s
}

// Reserve returns the share of each engine that a request leaves free for more urgent ones. It is 0 where
// none of these waits or is refused.
func (t *Tracker) Reserve(now clock.Time, pool string, rank int) float64 {
	k := newKey(pool, rank)
	p := t.current(now, k)
	if p == nil {
		return 0
	}
	if s := p.ranks[k.rank]; s != nil && s.thinned.isEffective(now) && p.passInterval(now, k.rank) > 1 {
		return 0 // Those that pass are few enough already.
	}
	share := 0.0
	for urgent, s := range p.ranks {
		if urgent < k.rank {
			share = max(share, maxShare*p.grade(urgent, k.rank)*s.level.share())
		}
	}
	return share
}

// Refuses reports whether a request is to be refused at once, and counts it. A part of the requests of each rank
// passes.
func (t *Tracker) Refuses(now clock.Time, pool string, rank int) bool {
	k := newKey(pool, rank)
	p := t.current(now, k)
	if p == nil {
		return false
	}
	interval := p.passInterval(now, k.rank)
	if interval <= 1 {
		if s := p.ranks[k.rank]; s != nil {
			s.thinned.since = 0
		}
		return false
	}
	s := t.state(k)
	if s.thinned.since == 0 {
		s.thinned.since = now
	}
	s.thinned.last = now
	s.thinned.count++
	return s.thinned.count%interval != 1
}

// isEffective reports whether requests have been thinned for so long that hardly any from before wait.
func (t *thinning) isEffective(now clock.Time) bool {
	return t.since > 0 && now.Sub(t.since) >= thinDelay
}

// current returns the present state of the pool of a request, or nil.
func (t *Tracker) current(now clock.Time, k key) *poolState {
	t.advance(now, k.pool)
	p := t.pools[k.pool]
	if p != nil {
		p.last = max(p.last, k.rank)
	}
	return p
}

// grade returns how far a rank is from a more urgent one, as a share of the distance to the least urgent.
func (p *poolState) grade(urgent, rank int) float64 {
	return float64(rank-urgent) / float64(p.last-urgent)
}

// passInterval returns the number of requests of a rank of which one passes.
func (p *poolState) passInterval(now clock.Time, rank int) int {
	interval := 1
	for urgent, s := range p.ranks {
		if urgent < rank && s.level.highestFor(now) >= refuseAfter {
			interval = max(interval, 1+int((floorInterval-1)*p.grade(urgent, rank)))
		}
	}
	return interval
}

// advance updates the levels of a pool, and forgets what is over.
func (t *Tracker) advance(now clock.Time, pool string) {
	t.expire(now)
	p := t.pools[pool]
	if p == nil {
		return
	}
	for rank, s := range p.ranks {
		s.level.update(now, p.wantedSteps(t.total(now, key{pool, rank}, s)))
		if s.level.steps == 0 && now.Sub(s.thinned.last) > thinMemory {
			delete(p.ranks, rank)
			t.ranks--
		}
	}
	if len(p.ranks) == 0 {
		delete(t.pools, pool)
	}
}

// wantedSteps returns the number of steps that a demand calls for: as much as the requests would
// take of the pool, up to the highest share.
func (p *poolState) wantedSteps(a amount) int {
	lacking := float64(a.waiting) + a.refused // Those that wait, and those that are refused in a second.
	lacking += math.Sqrt(lacking)             // Random arrivals swing by as much.
	switch {
	case lacking <= 0:
		return 0
	case p.running == 0:
		return 1
	}
	return min(maxSteps, int(math.Ceil(maxSteps*lacking/(maxShare*float64(p.running)))))
}

// Pools returns the pools with a shortage.
func (t *Tracker) Pools() []string { return slices.Sorted(maps.Keys(t.pools)) }

// SetRunning sets the number of requests of all VMs that run on the upstreams of a pool with a shortage.
func (t *Tracker) SetRunning(pool string, running int) {
	if p := t.pools[pool]; p != nil {
		p.running = running
	}
}

// total returns the demand of all VMs as far as it is known.
func (t *Tracker) total(now clock.Time, k key, own *rankState) amount {
	others := t.sums[k] // They may include the own demand.
	return amount{waiting: max(own.waiting, others.waiting), refused: max(own.refused.perSecond(now), others.refused)}
}

// expire forgets reports that are too old.
func (t *Tracker) expire(now clock.Time) {
	if now <= t.expires {
		return
	}
	t.expires = now.Add(Lifetime)
	for name, s := range t.sources {
		if now.Sub(s.at) > Lifetime {
			t.remove(name)
			continue
		}
		t.expires = min(t.expires, s.at.Add(Lifetime))
	}
}

// remove forgets a source.
func (t *Tracker) remove(name string) {
	s := t.sources[name]
	if s == nil {
		return
	}
	delete(t.sources, name)
	for k, a := range s.demand {
		left := t.sums[k]
		left.waiting -= a.waiting
		left.refused -= a.refused
		left.sources--
		if left.sources == 0 {
			delete(t.sums, k)
			continue
		}
		t.sums[k] = left
	}
}

// Advance updates all levels, and forgets reports that are too old.
func (t *Tracker) Advance(now clock.Time) {
	t.expire(now)
	for pool := range t.pools {
		t.advance(now, pool)
	}
}

// Report returns what requests lack at this VM, most urgent first.
func (t *Tracker) Report(now clock.Time) []*fleetpb.PoolDemand {
	var out []*fleetpb.PoolDemand
	for pool, p := range t.pools {
		for rank, s := range p.ranks {
			refused := s.refused.perSecond(now)
			if s.waiting == 0 && refused == 0 {
				continue
			}
			out = append(out, &fleetpb.PoolDemand{Pool: pool, Priority: uint32(rank), Waiting: uint32(s.waiting), Refused: float32(refused)})
		}
	}
	return Bound(out)
}

// Bound brings entries within the limits of reports. It sorts them by rank and keeps the most urgent ones, to
// which others give way.
func Bound(entries []*fleetpb.PoolDemand) []*fleetpb.PoolDemand {
	for _, d := range entries {
		d.Waiting, d.Refused = min(MaxAmount, d.Waiting), min(MaxAmount, d.Refused)
	}
	slices.SortFunc(entries, func(a, b *fleetpb.PoolDemand) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Pool, b.Pool))
	})
	return entries[:min(MaxEntries, len(entries))]
}

// MergeReport records the demand that another VM reported, unless its report is older than an earlier one.
func (t *Tracker) MergeReport(now clock.Time, vm string, o *fleetpb.Occupancy) {
	if o.FindingsOnly {
		return
	}
	name := "vm " + vm
	previous := t.sources[name]
	if previous != nil && (o.Boot < previous.boot || o.Boot == previous.boot && o.Sequence <= previous.sequence) {
		return
	}
	if previous == nil && len(o.Demand) == 0 {
		return
	}
	t.add(now, name, &source{at: now, boot: o.Boot, sequence: o.Sequence, vm: true}, o.Demand)
}

// Merge replaces the demand of other VMs by the sums over data centres.
func (t *Tracker) Merge(now clock.Time, sums []*fleetpb.LoadSum) {
	for name, s := range t.sources {
		if s.vm {
			t.remove(name)
		}
	}
	for _, s := range sums {
		name, at := "data centre "+s.DataCentre, now.Add(-clock.Duration(s.AgeMs))
		previous := t.sources[name]
		if now.Sub(at) > Lifetime || previous != nil && at < previous.at || previous == nil && len(s.Demand) == 0 {
			continue
		}
		t.add(now, name, &source{at: at}, s.Demand)
	}
}

// add adds a source with its demand, and levels for it.
func (t *Tracker) add(now clock.Time, name string, s *source, entries []*fleetpb.PoolDemand) {
	t.expire(now)
	if t.sources[name] == nil && len(t.sources) >= maxSources {
		return
	}
	t.remove(name)
	s.demand = make(map[key]amount, len(entries))
	for _, d := range entries[:min(MaxEntries, len(entries))] {
		k, a := newKey(d.Pool, int(d.Priority)), amount{waiting: int(d.Waiting), refused: float64(d.Refused)}
		if p := t.pools[d.Pool]; a.isZero() || t.ranks >= maxRanks && (p == nil || p.ranks[k.rank] == nil) {
			continue
		}
		s.demand[k] = s.demand[k].plus(a)
		t.state(k)
	}
	t.sources[name] = s
	t.expires = min(t.expires, s.at.Add(Lifetime))
	for k, a := range s.demand {
		t.sums[k] = sum{amount: t.sums[k].plus(a), sources: t.sums[k].sources + 1}
	}
	for k := range s.demand {
		t.advance(now, k.pool)
	}
}

// Shortage is what is known of the requests of one rank that lack capacity, or did so recently.
type Shortage struct {
	Pool    string
	Rank    int
	Level   int     // 0 to 4.
	Waiting int     // At all VMs of which reports are valid.
	Refused float64 // A second.
}

// Shortages returns all shortages, by pool and rank.
func (t *Tracker) Shortages(now clock.Time) []Shortage {
	var out []Shortage
	for pool, p := range t.pools {
		for rank, s := range p.ranks {
			a := t.total(now, key{pool, rank}, s)
			out = append(out, Shortage{Pool: pool, Rank: rank, Level: s.level.steps, Waiting: a.waiting, Refused: a.refused})
		}
	}
	slices.SortFunc(out, func(a, b Shortage) int { return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Rank, b.Rank)) })
	return out
}
