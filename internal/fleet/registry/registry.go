// Package registry holds what a VM knows of upstreams. Upstreams announce
// themselves to a home VM, which keeps their lease; other VMs learn of them by
// digests and trust the home for their liveness.
package registry

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// Limits of leases.
const (
	// MaxLease bounds a lease, so that a silent upstream gets no new work after
	// three seconds: the lease plus the time that its end takes to spread.
	MaxLease = 2 * clock.Second
	MinLease = 200 * clock.Millisecond
	// renewals is how often an upstream should renew within one lease.
	renewals = 3
	// orphanGrace is how long upstreams outlive their home VM, which gives them
	// time to announce themselves to another.
	orphanGrace = 3 * clock.Second
	// tombstoneLife is how long the end of an upstream is remembered, so that a
	// late digest cannot bring it back.
	tombstoneLife = 60 * clock.Second
)

// Upstream is one known upstream. The announcement must not be changed.
type Upstream struct {
	*upstreampb.Announcement
	Home      string     // VM that keeps the lease.
	FirstSeen clock.Time // Start of its present life.
	Heard     clock.Time // When this VM last heard of it.
	expires   clock.Time // 0 while a live home vouches for it.
	told      uint64     // Sequence of the newest announcement that others are told of.
	gone      bool
	recalled  bool // It has not announced itself since this VM started.
}

// Registry is the set of upstreams. It is not safe for concurrent use.
type Registry struct {
	vm        string
	upstreams map[string]*Upstream
	version   uint64
	maxLease  clock.Duration
}

// Option changes how a Registry behaves.
type Option func(*Registry)

// WithMaxLease bounds leases by another span, for upstreams that renew seldom.
func WithMaxLease(span clock.Duration) Option {
	return func(r *Registry) { r.maxLease = span }
}

// New returns the empty registry of a VM.
func New(vm string, opts ...Option) *Registry {
	r := &Registry{vm: vm, upstreams: map[string]*Upstream{}, maxLease: MaxLease}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Version grows with each change that matters to routing.
func (r *Registry) Version() uint64 { return r.version }

// RenewSpan returns when an upstream with a lease should announce itself again.
func RenewSpan(lease clock.Duration) clock.Duration {
	return effectiveLease(lease) / renewals
}

// Announce takes an announcement made to this VM, which becomes the home. It
// reports whether anything but load changed, so that others must be told.
func (r *Registry) Announce(now clock.Time, a *upstreampb.Announcement) bool {
	u := r.upstreams[a.Id]
	if u != nil && a.Sequence <= u.Sequence {
		return false
	}
	changed := u == nil || u.gone || u.recalled || u.Home != r.vm || materially(u.Announcement, a)
	next := r.replace(now, u, a, r.vm)
	next.expires = now.Add(min(r.maxLease, max(MinLease, clock.Duration(a.LeaseMs))))
	if u != nil {
		next.told = u.told
	}
	if changed {
		next.told = a.Sequence
		r.version++
	}
	return changed
}

// Recall takes an announcement from before this VM's start, of an upstream that has just
// answered. It reports whether the upstream was not known, so that others must be told.
//
// Other VMs may recall the same upstream, and only one hears its next announcement. The
// sequence before the recalled one is kept, so that the end of a recalled lease, which
// counts one higher, is overtaken by that announcement in whatever order they arrive.
func (r *Registry) Recall(now clock.Time, a *upstreampb.Announcement) bool {
	if u := r.upstreams[a.Id]; u != nil {
		return false
	}
	a = proto.CloneOf(a)
	a.Sequence--
	if !r.Announce(now, a) {
		return false
	}
	r.upstreams[a.Id].recalled = true
	return true
}

// Digest takes a home VM's word about an upstream. It reports whether it was
// news that should be passed on.
func (r *Registry) Digest(now clock.Time, d *fleetpb.Digest) bool {
	u := r.upstreams[d.Id]
	if u != nil && d.Sequence <= u.Sequence {
		return false
	}
	if len(d.Announcement) == 0 {
		return r.bury(now, d)
	}
	var a upstreampb.Announcement
	if err := proto.Unmarshal(d.Announcement, &a); err != nil || a.Id != d.Id {
		return false
	}
	changed := u == nil || u.gone || materially(u.Announcement, &a) || u.Home != d.Home
	next := r.replace(now, u, &a, d.Home)
	next.Heard = now.Add(-clock.Duration(d.AgeMs))
	next.told = d.Sequence
	if changed {
		r.version++
	}
	return true
}

// bury records the end of an upstream.
func (r *Registry) bury(now clock.Time, d *fleetpb.Digest) bool {
	u := r.upstreams[d.Id]
	if u == nil {
		return false
	}
	a := proto.CloneOf(u.Announcement)
	a.Sequence = d.Sequence
	r.upstreams[d.Id] = &Upstream{Announcement: a, Home: d.Home, gone: true, told: d.Sequence, expires: now.Add(tombstoneLife)}
	r.version++
	return true
}

func (r *Registry) replace(now clock.Time, u *Upstream, a *upstreampb.Announcement, home string) *Upstream {
	next := &Upstream{Announcement: a, Home: home, FirstSeen: now, Heard: now}
	if u != nil && !u.gone {
		next.FirstSeen = u.FirstSeen
	}
	r.upstreams[a.Id] = next
	return next
}

// Extend lengthens the leases that are kept here by a span in which this VM could not
// hear renewals.
func (r *Registry) Extend(span clock.Duration) {
	for _, u := range r.upstreams {
		if u.expires != 0 && !u.gone {
			u.expires = u.expires.Add(span)
		}
	}
}

// Expire ends the leases that have run out. It returns digests that tell other
// VMs of upstreams whose home is here.
func (r *Registry) Expire(now clock.Time) []*fleetpb.Digest {
	var ended []*fleetpb.Digest
	for id, u := range r.upstreams {
		if u.expires == 0 || now.Before(u.expires) {
			continue
		}
		if u.gone {
			delete(r.upstreams, id)
			continue
		}
		d := &fleetpb.Digest{Id: id, Sequence: u.Sequence + 1, Home: r.vm}
		r.bury(now, d)
		ended = append(ended, d)
	}
	slices.SortFunc(ended, func(a, b *fleetpb.Digest) int { return strings.Compare(a.Id, b.Id) })
	return ended
}

// endGap is how many announcements of a process may still be under way when it has
// said that it ends.
const endGap = 16

// End ends an upstream that says so itself. It returns the digest that tells other VMs,
// or nil when the upstream is not known. Announcements that are still under way do
// not bring it back; a later start does, because its sequence is higher.
func (r *Registry) End(now clock.Time, id string) *fleetpb.Digest {
	u := r.upstreams[id]
	if u == nil || u.gone {
		return nil
	}
	d := &fleetpb.Digest{Id: id, Sequence: u.Sequence + endGap, Home: r.vm}
	r.bury(now, d)
	return d
}

// HomeLost starts the grace of the upstreams whose home has failed or left.
func (r *Registry) HomeLost(now clock.Time, vm string) {
	for _, u := range r.upstreams {
		if u.Home == vm && !u.gone && u.expires == 0 {
			u.expires = now.Add(orphanGrace)
		}
	}
}

// HomeBack ends the grace, because the home answers again.
func (r *Registry) HomeBack(vm string) {
	for _, u := range r.upstreams {
		if u.Home == vm && vm != r.vm && !u.gone {
			u.expires = 0
		}
	}
}

// Get returns a live upstream.
func (r *Registry) Get(id string) (*Upstream, bool) {
	u := r.upstreams[id]
	if u == nil || u.gone {
		return nil, false
	}
	return u, true
}

// All returns the live upstreams, sorted by id.
func (r *Registry) All() []*Upstream {
	live := make([]*Upstream, 0, len(r.upstreams))
	for _, u := range r.upstreams {
		if !u.gone {
			live = append(live, u)
		}
	}
	slices.SortFunc(live, func(a, b *Upstream) int { return strings.Compare(a.Id, b.Id) })
	return live
}

// DigestOf describes an upstream to other VMs.
func (r *Registry) DigestOf(now clock.Time, id string) *fleetpb.Digest {
	u := r.upstreams[id]
	if u == nil {
		return nil
	}
	d := &fleetpb.Digest{Id: id, Sequence: u.told, Home: u.Home, AgeMs: uint32(max(0, now.Sub(u.Heard)))}
	if u.gone {
		return d
	}
	slim := proto.CloneOf(u.Announcement)
	slim.Load = nil
	data, err := proto.Marshal(slim)
	if err != nil {
		return nil
	}
	d.Announcement = data
	return d
}

// DigestsOf describes the upstreams of some homes, ended ones too.
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

// HomeHashes sums up the live upstreams of each home, for a comparison with
// another VM's view.
func (r *Registry) HomeHashes() []*fleetpb.HomeHash {
	sums := map[string]uint64{}
	for id, u := range r.upstreams {
		if !u.gone {
			sums[u.Home] += xxhash.Sum64String(id) * (u.told | 1)
		}
	}
	out := make([]*fleetpb.HomeHash, 0, len(sums))
	for vm, sum := range sums {
		out = append(out, &fleetpb.HomeHash{Vm: vm, Hash: sum})
	}
	slices.SortFunc(out, func(a, b *fleetpb.HomeHash) int { return strings.Compare(a.Vm, b.Vm) })
	return out
}

func effectiveLease(lease clock.Duration) clock.Duration {
	return min(MaxLease, max(MinLease, lease))
}

// materially reports whether two announcements differ in more than their
// sequence and load.
func materially(a, b *upstreampb.Announcement) bool {
	x, y := proto.CloneOf(a), proto.CloneOf(b)
	for _, m := range []*upstreampb.Announcement{x, y} {
		m.Sequence = 0
		m.Load = nil
	}
	return !proto.Equal(x, y)
}
