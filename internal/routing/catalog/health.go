package catalog

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// Spans for which an upstream that failed gets no requests.
const (
	firstPause = 250 * clock.Millisecond
	longPause  = 4 * clock.Second
	// faultWeight is the part of the newest answer in an upstream's share of faults.
	faultWeight = 0.15
	// faultyShare is the share of faulty answers from which on others are preferred.
	faultyShare = 0.25
)

// health is how an upstream behaved towards this VM.
type health struct {
	failures int // Connections that failed, in a row.
	pausedTo clock.Time
	faults   float64 // Share of answers that were faults, newest weigh most.
}

func (c *Catalog) healthOf(id string) *health {
	h := c.health[id]
	if h == nil {
		h = &health{}
		c.health[id] = h
	}
	return h
}

// Unreachable notes that an upstream could not be reached or broke a connection. It
// gets no requests for a span that doubles with each failure in a row, unless there
// is no other.
func (c *Catalog) Unreachable(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, live := c.registry.Get(id); !live {
		return
	}
	h := c.healthOf(id)
	pause := min(longPause, firstPause<<min(h.failures, 8))
	h.failures++
	h.pausedTo = max(h.pausedTo, c.clock.Now().Add(pause))
}

// Busy notes that an upstream refused a request for want of room or readiness.
func (c *Catalog) Busy(id string, span clock.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, live := c.registry.Get(id); live {
		h := c.healthOf(id)
		h.pausedTo = max(h.pausedTo, c.clock.Now().Add(span))
	}
}

// Answered notes an answer of an upstream, and whether it was a fault of its own.
func (c *Catalog) Answered(id string, fault bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.healthOf(id)
	h.failures = 0
	now := 0.0
	if fault {
		now = 1
	}
	h.faults += faultWeight * (now - h.faults)
}

// paused reports whether an upstream should get no requests now.
func (c *Catalog) paused(id string, now clock.Time) bool {
	h := c.health[id]
	return h != nil && now.Before(h.pausedTo)
}

// faulty returns the share of faults of an upstream when it is high, or 0.
func (c *Catalog) faulty(id string) float64 {
	if h := c.health[id]; h != nil && h.faults > faultyShare {
		return h.faults
	}
	return 0
}

// ByAddress returns the id of the live upstream at an address.
func (c *Catalog) ByAddress(address string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range c.registry.All() {
		if u.Address == address {
			return u.Id, true
		}
	}
	return "", false
}
