// Package registry holds a VM's view of the upstreams. Each upstream announces itself to
// one VM, its home, which keeps its lease. Other VMs learn of the upstream from digests
// and rely on the home to track its liveness.
package registry

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/label"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// Limits of leases.
const (
	// MaxLease bounds a lease, so that an upstream that stops announcing itself gets no
	// new work after three seconds: the lease plus the time to propagate its end.
	MaxLease = 2 * clock.Second
	MinLease = 200 * clock.Millisecond
	// renewalsPerLease is the number of renewals that an upstream should make per lease.
	renewalsPerLease = 3
	// orphanTimeout is how long upstreams stay live after their home VM was lost, which
	// gives them time to announce themselves to another VM.
	orphanTimeout = 3 * clock.Second
	// tombstoneTTL is how long an ended upstream is remembered, so that a late digest
	// does not add it again.
	tombstoneTTL = 60 * clock.Second
)

// Upstream is one known upstream. The announcement is shared and must not be modified.
type Upstream struct {
	*upstreampb.Announcement
	Home      string     // VM that keeps the lease.
	FirstSeen clock.Time // Start of the present period in which it is live.
	LastSeen  clock.Time // When its latest announcement was received.
	expires   clock.Time // 0 while another, live VM keeps the lease.
	published uint64     // Sequence of the newest announcement sent to other VMs.
	ended     bool       // The entry is a tombstone.
	restored  bool       // It has not announced itself since this VM restarted.

	saidLeavingAt clock.Time // When it was learned that it said in a response that it leaves, or 0.
	unpublished   bool       // The next announcement must be published.
}

// Registry is the set of upstreams. It is not safe for concurrent use.
type Registry struct {
	vm        string
	upstreams map[string]*Upstream
	byAddress map[string][]string // IDs of the live upstreams at each address.
	live      []*Upstream         // Result of All; nil after a change.
	version   uint64
	maxLease  clock.Duration
	hash      uint64 // Of the live upstreams; valid if hashed is set.
	hashed    bool
}

// Option changes how a Registry behaves.
type Option func(*Registry)

// WithMaxLease replaces MaxLease, for upstreams that renew their lease rarely.
func WithMaxLease(lease clock.Duration) Option {
	return func(r *Registry) { r.maxLease = lease }
}

// New returns an empty registry for a VM.
func New(vm string, opts ...Option) *Registry {
	r := &Registry{vm: vm, upstreams: map[string]*Upstream{}, byAddress: map[string][]string{}, maxLease: MaxLease}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Version returns a number that grows with each change that affects routing.
func (r *Registry) Version() uint64 { return r.version }

// RenewInterval returns the interval at which an upstream with a lease should announce itself.
func RenewInterval(lease clock.Duration) clock.Duration {
	return effectiveLease(lease) / renewalsPerLease
}

// Announce applies an announcement sent to this VM, which becomes the home. It reports
// whether anything but the load changed, in which case other VMs must be notified.
func (r *Registry) Announce(now clock.Time, a *upstreampb.Announcement) bool {
	u := r.upstreams[a.Id]
	if u != nil && !u.isOlder(orderOf(a), true) {
		return false
	}
	next := r.replace(now, u, a, r.vm)
	changed := u == nil || u.ended || u.restored || u.unpublished || u.Home != r.vm || differ(u.Announcement, next.Announcement)
	next.expires = now.Add(r.lease(a))
	if u != nil {
		next.published = u.published
	}
	if changed {
		next.published = a.Sequence
		r.version++
		r.hashed = false
	}
	return changed
}

// lease returns the lease that an announcement is granted.
func (r *Registry) lease(a *upstreampb.Announcement) clock.Duration {
	return min(r.maxLease, max(MinLease, clock.Duration(a.LeaseMs)))
}

// Restore adds an upstream from an announcement stored before this VM restarted. The
// upstream must just have responded to this VM. It reports whether the upstream was
// unknown, in which case other VMs must be notified.
//
// Several VMs may restore the same upstream, while only one of them receives its next
// announcement. The entry gets the stored sequence minus one, so that the expiry of a
// restored lease, which adds one, has a lower sequence than that announcement and cannot
// override it in whatever order they arrive.
func (r *Registry) Restore(now clock.Time, a *upstreampb.Announcement) bool {
	if u := r.upstreams[a.Id]; u != nil {
		return false
	}
	a = proto.CloneOf(a)
	a.Sequence = max(a.Sequence, 1) - 1
	if !r.Announce(now, a) {
		return false
	}
	r.upstreams[a.Id].restored = true
	return true
}

// ApplyDigest applies a digest sent by an upstream's home VM. It reports whether the digest
// was new and should be forwarded.
func (r *Registry) ApplyDigest(now clock.Time, d *fleetpb.Digest) bool {
	u := r.upstreams[d.Id]
	if u != nil && !u.isOlder(order{d.StartedMs, d.Sequence}, len(d.Announcement) > 0) {
		return false
	}
	if !label.IsValid(d.Id) || !label.IsText(d.Home) {
		return false
	}
	if len(d.Announcement) == 0 {
		return r.markEnded(now, d)
	}
	var a upstreampb.Announcement
	if err := proto.Unmarshal(d.Announcement, &a); err != nil || a.Id != d.Id || a.StartedMs != d.StartedMs || Validate(&a) != nil {
		return false
	}
	next := r.replace(now, u, &a, d.Home)
	changed := u == nil || u.ended || differ(u.Announcement, next.Announcement) || u.Home != d.Home
	next.LastSeen = now.Add(-clock.Duration(d.AgeMs))
	next.published = d.Sequence
	if d.Home == r.vm {
		// This VM was its home before it restarted, and no other VM ends it.
		next.expires = now.Add(r.lease(&a))
		next.restored = true
	}
	r.hashed = false
	if changed {
		r.version++
	}
	return true
}

// markEnded replaces an upstream by a tombstone. An unknown upstream gets one too, because its
// earlier digest may arrive later.
func (r *Registry) markEnded(now clock.Time, d *fleetpb.Digest) bool {
	a := &upstreampb.Announcement{Id: d.Id}
	if u := r.upstreams[d.Id]; u != nil {
		a = proto.CloneOf(u.Announcement)
	}
	a.StartedMs, a.Sequence = d.StartedMs, d.Sequence
	endedAt := now.Add(-min(clock.Duration(d.AgeMs), tombstoneTTL))
	r.set(&Upstream{Announcement: a, Home: d.Home, LastSeen: endedAt, ended: true, published: d.Sequence, expires: endedAt.Add(tombstoneTTL)})
	r.version++
	r.hashed = false
	return true
}

// replace stores a new announcement of an upstream u, which is nil if it was unknown.
func (r *Registry) replace(now clock.Time, u *Upstream, a *upstreampb.Announcement, home string) *Upstream {
	next := &Upstream{Announcement: a, Home: home, FirstSeen: now, LastSeen: now}
	if u != nil && !u.ended {
		next.FirstSeen = u.FirstSeen
		next.keepLeaving(u)
	}
	r.set(next)
	return next
}

// set replaces the entry of an upstream.
func (r *Registry) set(u *Upstream) {
	previous := r.upstreams[u.Id]
	r.upstreams[u.Id], r.live = u, nil
	wasLive := previous != nil && !previous.ended
	if wasLive && !u.ended && previous.Address == u.Address {
		return
	}
	if wasLive {
		ids := slices.DeleteFunc(r.byAddress[previous.Address], func(id string) bool { return id == u.Id })
		if r.byAddress[previous.Address] = ids; len(ids) == 0 {
			delete(r.byAddress, previous.Address)
		}
	}
	if !u.ended {
		r.byAddress[u.Address] = append(r.byAddress[u.Address], u.Id)
	}
}

// ExtendLeases extends the leases kept by this VM by the time during which it could not receive
// renewals.
func (r *Registry) ExtendLeases(d clock.Duration) {
	for _, u := range r.upstreams {
		if u.expires != 0 && !u.ended {
			u.expires = u.expires.Add(d)
		}
	}
}

// Expire ends the upstreams whose leases have expired and removes old tombstones. It
// returns digests of the ended upstreams with which to notify other VMs.
func (r *Registry) Expire(now clock.Time) []*fleetpb.Digest {
	var ended []*fleetpb.Digest
	for id, u := range r.upstreams {
		if u.expires == 0 || now.Before(u.expires) {
			continue
		}
		if u.ended {
			delete(r.upstreams, id)
			continue
		}
		d := &fleetpb.Digest{Id: id, StartedMs: u.StartedMs, Sequence: later(u.Sequence, 1), Home: r.vm}
		r.markEnded(now, d)
		ended = append(ended, d)
	}
	slices.SortFunc(ended, func(a, b *fleetpb.Digest) int { return strings.Compare(a.Id, b.Id) })
	return ended
}

// maxInTransit bounds the announcements of a process that may still be in transit when
// it has announced its end.
const maxInTransit = 16

// End ends an upstream that has announced its end. It returns the digest with which to
// notify other VMs, or nil when the upstream is unknown. Announcements still in transit do
// not add it again; a later start of it does, because its sequence is higher.
func (r *Registry) End(now clock.Time, id string) *fleetpb.Digest {
	u := r.upstreams[id]
	if u == nil || u.ended {
		return nil
	}
	d := &fleetpb.Digest{Id: id, StartedMs: u.StartedMs, Sequence: later(u.Sequence, maxInTransit+1), Home: r.vm}
	r.markEnded(now, d)
	return d
}

// HomeLost starts the orphan timeout of the upstreams whose home has failed or left.
func (r *Registry) HomeLost(now clock.Time, vm string) {
	for _, u := range r.upstreams {
		if u.Home == vm && !u.ended && u.expires == 0 {
			u.expires = now.Add(orphanTimeout)
		}
	}
}

// HomeRecovered cancels the orphan timeout of the upstreams whose home is live again.
func (r *Registry) HomeRecovered(vm string) {
	for _, u := range r.upstreams {
		if u.Home == vm && vm != r.vm && !u.ended {
			u.expires = 0
		}
	}
}

// Get returns a live upstream.
func (r *Registry) Get(id string) (*Upstream, bool) {
	u := r.upstreams[id]
	if u == nil || u.ended {
		return nil, false
	}
	return u, true
}

// All returns the live upstreams, sorted by id. The caller must not modify the slice.
func (r *Registry) All() []*Upstream {
	if r.live != nil {
		return r.live
	}
	r.live = make([]*Upstream, 0, len(r.upstreams))
	for _, u := range r.upstreams {
		if !u.ended {
			r.live = append(r.live, u)
		}
	}
	slices.SortFunc(r.live, func(a, b *Upstream) int { return strings.Compare(a.Id, b.Id) })
	return r.live
}

// At returns the live upstreams at an address, sorted by id. There is more than one while the
// successor of a process that ended is known and the end is not.
func (r *Registry) At(address string) []*Upstream {
	ids := r.byAddress[address]
	out := make([]*Upstream, 0, len(ids))
	for _, id := range ids {
		out = append(out, r.upstreams[id])
	}
	slices.SortFunc(out, func(a, b *Upstream) int { return strings.Compare(a.Id, b.Id) })
	return out
}

// DigestOf returns a digest of an upstream for other VMs, or nil when it is unknown.
func (r *Registry) DigestOf(now clock.Time, id string) *fleetpb.Digest {
	u := r.upstreams[id]
	if u == nil {
		return nil
	}
	d := &fleetpb.Digest{Id: id, StartedMs: u.StartedMs, Sequence: u.published, Home: u.Home, AgeMs: now.Sub(u.LastSeen).Uint32()}
	if u.ended {
		return d
	}
	stripped := proto.CloneOf(u.Announcement)
	stripped.Load = nil
	data, err := proto.Marshal(stripped)
	if err != nil {
		return nil
	}
	d.Announcement = data
	return d
}

// DigestsOf returns digests of the upstreams of some homes, including tombstones.
func (r *Registry) DigestsOf(now clock.Time, homes []string) []*fleetpb.Digest {
	var out []*fleetpb.Digest
	for id, u := range r.upstreams {
		if !slices.Contains(homes, u.Home) {
			continue
		}
		if d := r.DigestOf(now, id); d != nil {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b *fleetpb.Digest) int { return strings.Compare(a.Id, b.Id) })
	return out
}

// Hash returns a hash of the live upstreams, to compare this VM's view with another VM's.
func (r *Registry) Hash() uint64 {
	if !r.hashed {
		r.hash, r.hashed = 0, true
		for _, u := range r.upstreams {
			r.hash += u.hash()
		}
	}
	return r.hash
}

// HomeHashes returns a hash of the live upstreams of each home, to find the homes in which
// this VM's view differs from another VM's.
func (r *Registry) HomeHashes() []*fleetpb.HomeHash {
	sums := map[string]uint64{}
	for _, u := range r.upstreams {
		if !u.ended {
			sums[u.Home] += u.hash()
		}
	}
	out := make([]*fleetpb.HomeHash, 0, len(sums))
	for vm, sum := range sums {
		out = append(out, &fleetpb.HomeHash{Vm: vm, Hash: sum})
	}
	slices.SortFunc(out, func(a, b *fleetpb.HomeHash) int { return strings.Compare(a.Vm, b.Vm) })
	return out
}

// hash returns the upstream's part of the hash of the live upstreams.
func (u *Upstream) hash() uint64 {
	if u.ended {
		return 0
	}
	var buf [24]byte
	binary.LittleEndian.PutUint64(buf[:], xxhash.Sum64String(u.Id))
	binary.LittleEndian.PutUint64(buf[8:], u.StartedMs)
	binary.LittleEndian.PutUint64(buf[16:], u.published)
	return xxhash.Sum64(buf[:])
}

// effectiveLease returns a lease within MinLease and MaxLease.
func effectiveLease(lease clock.Duration) clock.Duration {
	return min(MaxLease, max(MinLease, lease))
}

// differ reports whether two announcements differ in more than their sequence and load.
func differ(a, b *upstreampb.Announcement) bool {
	x, y := proto.CloneOf(a), proto.CloneOf(b)
	for _, m := range []*upstreampb.Announcement{x, y} {
		m.Sequence = 0
		m.Load = nil
	}
	return !proto.Equal(x, y)
}
