package catalog

import "github.com/jasminecove/jasminecove/internal/wire/fleetpb"

// RecordLeaving records that the process of an upstream that started at a given time said in a response
// that it leaves. It gets no more requests, and it is reported to other VMs.
func (c *Catalog) RecordLeaving(id string, startedMs uint64) {
	c.notify(c.markLeaving(id, startedMs))
}

func (c *Catalog) markLeaving(id string, startedMs uint64) (change Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous, known := c.registry.Get(id)
	if c.registry.MarkLeaving(c.clock.Now(), id, startedMs) {
		current, live := c.registry.Get(id)
		c.diff(previous, known, current, live, &change)
	}
	return change
}

// mergeLeaving records what upstreams said to another VM.
func (c *Catalog) mergeLeaving(leaving []*fleetpb.Leaving) {
	for _, l := range leaving {
		c.RecordLeaving(l.Upstream, l.StartedMs)
	}
}
