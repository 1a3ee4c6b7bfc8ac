package registry

import (
	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

const (
	// leavingReportTime is how long it is reported to other VMs that an upstream said in a response
	// that it leaves. After that they learn it from the digests of its home.
	leavingReportTime = 1 * clock.Second
	// maxLeavingReport is the maximum number of upstreams in one report.
	maxLeavingReport = 64
)

// MarkLeaving records that the process of an upstream that started at a given time said in a response that
// it leaves. It counts as leaving until the process ends, whatever it announces. MarkLeaving reports
// whether that was new.
func (r *Registry) MarkLeaving(now clock.Time, id string, startedMs uint64) bool {
	u := r.upstreams[id]
	if u == nil || u.ended || u.StartedMs != startedMs || u.saidLeavingAt != 0 {
		return false
	}
	next := *u
	next.saidLeavingAt, next.unpublished = now, !u.Leaving
	next.Announcement = asLeaving(u.Announcement)
	r.set(&next)
	r.version++
	return true
}

// SaidLeaving returns the upstreams that lately said in a response that they leave, for the report to
// other VMs.
func (r *Registry) SaidLeaving(now clock.Time) []*fleetpb.Leaving {
	var out []*fleetpb.Leaving
	for _, u := range r.All() {
		if u.saidLeavingAt != 0 && now.Sub(u.saidLeavingAt) < leavingReportTime && len(out) < maxLeavingReport {
			out = append(out, &fleetpb.Leaving{Upstream: u.Id, StartedMs: u.StartedMs})
		}
	}
	return out
}

// keepLeaving carries over what the same process said in responses.
func (u *Upstream) keepLeaving(previous *Upstream) {
	sameProcess := u.StartedMs == previous.StartedMs && u.Address == previous.Address
	if previous.saidLeavingAt != 0 && sameProcess {
		u.saidLeavingAt = previous.saidLeavingAt
		u.Announcement = asLeaving(u.Announcement)
	}
}

// asLeaving returns an announcement that says that the upstream leaves.
func asLeaving(a *upstreampb.Announcement) *upstreampb.Announcement {
	if a.Leaving {
		return a
	}
	a = proto.CloneOf(a)
	a.Leaving = true
	return a
}
