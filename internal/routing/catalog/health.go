package catalog

import (
	"math"
	"slices"

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
	// deadFailures is how many tries in a row, each after a pause, must fail before an
	// upstream counts as dead; a lost packet alone makes one fail.
	deadFailures = 3
	// deadPause is for how long an upstream that was found dead gets no requests.
	deadPause = 2 * clock.Second
	// deadLife is how long the finding counts without being renewed.
	deadLife = 2500 * clock.Millisecond
	// evidenceLife is how long a VM tells others of its own finding.
	evidenceLife = 1 * clock.Second
	// dragWeight is the part of the newest observation in an engine's drag, and
	// dragHalfLife the span in which drag fades without one.
	dragWeight   = 0.15
	dragHalfLife = 4 * clock.Second
	// dragTolerance is the excess over the estimate that counts as none.
	dragTolerance = 0.5
	mostDrag      = 6.0
)

// health is how an upstream behaved towards this VM.
type health struct {
	failures int // Connections that failed, in a row.
	pausedTo clock.Time
	faults   float64 // Share of answers that were faults, newest weigh most.
	// deadAt is when this VM or another last found the upstream dead, and deadSince
	// when that began; 0 when it is not thought dead.
	deadAt, deadSince clock.Time
	ownEvidence       clock.Time // When this VM itself last found it dead.
	drag              float64    // Observed time over the estimate, less 1; see Observed.
	dragAt            clock.Time
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
	h, now := c.healthOf(id), c.clock.Now()
	if now.Before(h.pausedTo) {
		// Requests that were under way together fail together and count once.
		return
	}
	h.pausedTo = now.Add(min(longPause, firstPause<<min(h.failures, 8)))
	if h.failures++; h.failures >= deadFailures {
		c.dead(id, now, true)
	}
}

// Dead notes that an upstream was found dead: nothing that depends on it goes on. Those
// who watch it are told. own says that the evidence is this VM's own, which it tells
// the others.
func (c *Catalog) Dead(id string, own bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, live := c.registry.Get(id); live {
		c.dead(id, c.clock.Now(), own)
	}
}

func (c *Catalog) dead(id string, now clock.Time, own bool) {
	h := c.healthOf(id)
	if h.deadSince == 0 || now.Sub(h.deadAt) > deadLife {
		h.deadSince, h.deadAt = now, 0
		// In a large fleet VMs hear a few others only: news is passed on once.
		h.ownEvidence = now
	}
	if h.deadAt == 0 && c.watcher != nil {
		go c.watcher(Change{Dead: []string{id}})
	}
	h.deadAt = now
	if own {
		h.ownEvidence = now
	}
	h.pausedTo = max(h.pausedTo, now.Add(deadPause))
	for w := range c.watchers[id] {
		w.fire()
	}
	delete(c.watchers, id)
}

// alive ends the belief that an upstream is dead.
func (c *Catalog) alive(id string) {
	if h := c.health[id]; h != nil && h.deadSince != 0 {
		h.deadSince, h.deadAt, h.ownEvidence, h.failures = 0, 0, 0, 0
		h.pausedTo = c.clock.Now()
	}
}

// DeadFor returns for how long an upstream has been thought dead.
func (c *Catalog) DeadFor(id string) clock.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, now := c.health[id], c.clock.Now()
	if h == nil || h.deadSince == 0 || now.Sub(h.deadAt) > deadLife {
		return 0
	}
	return now.Sub(h.deadSince)
}

// isDead reports whether an upstream is thought dead now.
func (c *Catalog) isDead(id string, now clock.Time) bool {
	h := c.health[id]
	return h != nil && h.deadSince != 0 && now.Before(h.pausedTo)
}

// deadHere lists the upstreams that this VM itself found dead just now.
func (c *Catalog) deadHere(now clock.Time) []string {
	var out []string
	for id, h := range c.health {
		if h.ownEvidence != 0 && now.Sub(h.ownEvidence) < evidenceLife {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Observed notes how long a step took on a path, as a multiple of the estimate. Every
// engine of the path takes a part of the blame, so that paths through a slow engine
// or link cost more and others are preferred.
func (c *Catalog) Observed(engines []string, ratio float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for _, id := range engines {
		if _, live := c.registry.Get(id); !live {
			continue
		}
		h := c.healthOf(id)
		was := h.dragNow(now)
		h.failures = 0
		h.drag = was + dragWeight*(min(mostDrag, max(0, ratio-1-dragTolerance))-was)
		h.dragAt = now
	}
}

// dragNow returns the drag, which fades so that the engine is tried again.
func (h *health) dragNow(now clock.Time) float64 {
	if h.drag == 0 {
		return 0
	}
	return h.drag * math.Pow(0.5, float64(now.Sub(h.dragAt))/float64(dragHalfLife))
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
	c.alive(id)
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
