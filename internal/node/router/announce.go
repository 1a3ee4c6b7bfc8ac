package router

import (
	"context"

	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// Announce adds an upstream's announcement to the catalog. That the upstream leaves is acknowledged only
// once other VMs have recorded it. Announce fails if the announcement names no upstream to use, on a VM that
// cannot judge that yet, and on an isolated VM, which could not propagate it.
func (r *Router) Announce(ctx context.Context, a *upstreampb.Announcement) error {
	if err := r.isolated(); err != nil {
		return err
	}
	if err := r.canJudge(); err != nil {
		return err
	}
	if err := r.catalog.Verify(a); err != nil {
		r.RecordForeignAnnouncement(a.Id, err)
		return err
	}
	r.catalog.Announce(a)
	r.recordIfOld(a)
	if !a.Leaving {
		return nil
	}
	return r.confirm(ctx, a.Id)
}

// EndUpstream records that an upstream reported its own end, here and on other VMs. It fails on an
// isolated VM.
func (r *Router) EndUpstream(ctx context.Context, id string) error {
	if err := r.isolated(); err != nil {
		return err
	}
	r.catalog.Deregister(id)
	return r.confirm(ctx, id)
}

// confirm has other VMs record the state of an upstream that leaves or has ended.
func (r *Router) confirm(ctx context.Context, id string) error {
	err := r.plane.Confirm(ctx, id, r.catalog.DigestOf(id))
	if err != nil {
		r.log.Decision("unconfirmedEnd", id, "error", err.Error())
	}
	return err
}

// recordIfOld counts and logs an announcement that did not replace what is known of its upstream, because
// a later one, or the upstream's end, is known. One is late; a series says that the later one is not the
// upstream's own.
func (r *Router) recordIfOld(a *upstreampb.Announcement) {
	known, live := r.catalog.Upstream(a.Id)
	if live && known.StartedMs == a.StartedMs && known.Sequence <= a.Sequence {
		return
	}
	r.tel.Metrics.Counter("old_announcements_total").Inc(1)
	var startedMs, sequence uint64
	if live {
		startedMs, sequence = known.StartedMs, known.Sequence
	}
	r.log.Decision("oldAnnouncement", a.Id, "startedMs", a.StartedMs, "sequence", a.Sequence, "live", live, "knownStartedMs", startedMs, "knownSequence", sequence)
}

// RecordForeignAnnouncement counts and logs an announcement that does not identify a usable
// upstream.
func (r *Router) RecordForeignAnnouncement(id string, err error) {
	r.tel.Metrics.Counter("foreign_announcements_total").Inc(1)
	r.log.Decision("foreignAnnouncement", id, "error", err.Error())
}
