package directory

import "github.com/jasminecove/jasminecove/internal/wire/fleetpb"

// RecordLeaving records that the process of an upstream that started at a given time said in a response
// that it leaves. It gets no more calls, and it is reported to other VMs.
func (d *Directory) RecordLeaving(id string, startedMs uint64) {
	if d.markLeaving(id, startedMs) {
		d.notify(Change{Leaving: []string{id}})
	}
}

// markLeaving reports whether it was not known that the upstream leaves.
func (d *Directory) markLeaving(id string, startedMs uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous, known := d.registry.Get(id)
	return d.registry.MarkLeaving(d.clock.Now(), id, startedMs) && known && !previous.Leaving
}

// SaidLeaving returns the upstreams that lately said in a response that they leave, for the report to
// other VMs.
func (d *Directory) SaidLeaving() []*fleetpb.Leaving {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registry.SaidLeaving(d.clock.Now())
}
