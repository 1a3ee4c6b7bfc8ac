package catalog

import (
	"math"
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
)

// Parameters of health tracking. A paused upstream gets requests only when no other can
// be used.
const (
	minPause = 250 * clock.Millisecond // After the first failed connection; doubles with each one.
	maxPause = 4 * clock.Second        // Upper bound of the doubled pause.
	// faultWeight is the smoothing factor of the moving average of an upstream's faults.
	faultWeight = 0.15
	// faultThreshold is the fraction of faulty answers above which other upstreams are
	// preferred.
	faultThreshold = 0.25
	// deadFailures is how many consecutive connection attempts, each after a pause, must
	// fail before an upstream is considered dead. One lost packet can make a single
	// attempt fail.
	deadFailures = 3
	// deadPause is how long an upstream that was found dead gets no requests.
	deadPause = 2 * clock.Second
	// deadLifetime is how long an upstream is considered dead without new evidence.
	deadLifetime = 2500 * clock.Millisecond
	// evidenceLifetime is how long a VM reports a dead upstream to other VMs.
	evidenceLifetime = 1 * clock.Second
	// slowdownWeight is the smoothing factor of an engine's slowdown, and
	// slowdownHalfLife is its half-life when there are no observations.
	slowdownWeight   = 0.15
	slowdownHalfLife = 4 * clock.Second
	// slowdownTolerance is the relative excess over the estimate that is ignored.
	slowdownTolerance = 0.5
	maxSlowdown       = 6.0
)

// health is the health of an upstream as observed by this VM.
type health struct {
	failures    int // Consecutive failed connections.
	pausedUntil clock.Time
	faults      float64 // Moving average of the fraction of answers that were faults.
	// deadAt is when the upstream was last found dead by any VM, and deadSince when it
	// was first found dead; both are 0 while it is considered alive.
	deadAt, deadSince clock.Time
	ownEvidence       clock.Time // When this VM last had evidence to report; see markDead.
	slowdown          float64    // Moving average of the relative excess over the estimate; see RecordStepTime.
	slowdownAt        clock.Time // When slowdown was last updated.
}

func (c *Catalog) healthOf(id string) *health {
	h := c.health[id]
	if h == nil {
		h = &health{}
		c.health[id] = h
	}
	return h
}

// MarkUnreachable records that a connection to an upstream failed. The upstream is paused for
// a time that doubles with each consecutive failure. It is only found dead by failures that are
// confirmed, since the others may be faults of this VM's links.
func (c *Catalog) MarkUnreachable(id string, confirmed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, live := c.registry.Get(id); !live {
		return
	}
	h, now := c.healthOf(id), c.clock.Now()
	if now.Before(h.pausedUntil) {
		// Requests that were in flight at the same time fail together; they count as one
		// failure.
		return
	}
	h.pausedUntil = now.Add(min(maxPause, minPause<<min(h.failures, 8)))
	if h.failures++; h.failures >= deadFailures && confirmed {
		c.markDead(id, now, true)
	}
}

// MarkDead records that an upstream was found dead, so that no request that depends on it
// can continue, and notifies its watches. own is set if the evidence is this VM's own;
// the VM then reports it to the other VMs.
func (c *Catalog) MarkDead(id string, own bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, live := c.registry.Get(id); live {
		c.markDead(id, c.clock.Now(), own)
	}
}

func (c *Catalog) markDead(id string, now clock.Time, own bool) {
	h := c.healthOf(id)
	if h.deadSince == 0 || now.Sub(h.deadAt) > deadLifetime {
		h.deadSince, h.deadAt = now, 0
		// In a large fleet each VM exchanges reports with only a few others, so a new
		// finding is forwarded once even if it came from another VM.
		h.ownEvidence = now
	}
	if h.deadAt == 0 && c.onChange != nil {
		crash.Go("report of a dead upstream", func() { c.onChange(Change{Dead: []string{id}}) })
	}
	h.deadAt = now
	if own {
		h.ownEvidence = now
	}
	h.pausedUntil = max(h.pausedUntil, now.Add(deadPause))
	for w := range c.watchers[id] {
		w.fire()
	}
	delete(c.watchers, id)
}

// markAlive resets the death record of an upstream that proved to be running.
func (c *Catalog) markAlive(id string) {
	if h := c.health[id]; h != nil && h.deadSince != 0 {
		h.deadSince, h.deadAt, h.ownEvidence, h.failures = 0, 0, 0, 0
		h.pausedUntil = c.clock.Now()
	}
}

// DeadFor returns how long an upstream has been considered dead, or 0 if it is not.
func (c *Catalog) DeadFor(id string) clock.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, now := c.health[id], c.clock.Now()
	if h == nil || h.deadSince == 0 || now.Sub(h.deadAt) > deadLifetime {
		return 0
	}
	return now.Sub(h.deadSince)
}

// isDead reports whether an upstream is currently considered dead.
func (c *Catalog) isDead(id string, now clock.Time) bool {
	h := c.health[id]
	return h != nil && h.deadSince != 0 && now.Before(h.pausedUntil)
}

// deadToReport returns the dead upstreams that this VM should report to other VMs.
func (c *Catalog) deadToReport(now clock.Time) []string {
	var out []string
	for id, h := range c.health {
		if h.ownEvidence != 0 && now.Sub(h.ownEvidence) < evidenceLifetime {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// RecordStepTime records the duration of a step on a path, as a multiple of the estimate.
// It updates the slowdown of every engine of the path, so that paths through a slow
// engine or link cost more and other paths are preferred.
func (c *Catalog) RecordStepTime(engines []string, ratio float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for _, id := range engines {
		if _, live := c.registry.Get(id); !live {
			continue
		}
		h := c.healthOf(id)
		previous := h.slowdownNow(now)
		h.failures = 0
		h.slowdown = previous + slowdownWeight*(min(maxSlowdown, max(0, ratio-1-slowdownTolerance))-previous)
		h.slowdownAt = now
	}
}

// slowdownNow returns the slowdown at a time. It decays, so that a slow engine is
// eventually tried again.
func (h *health) slowdownNow(now clock.Time) float64 {
	if h.slowdown == 0 {
		return 0
	}
	return h.slowdown * math.Pow(0.5, float64(now.Sub(h.slowdownAt))/float64(slowdownHalfLife))
}

// MarkBusy records that an upstream refused a request because it was full or not ready,
// and pauses it.
func (c *Catalog) MarkBusy(id string, span clock.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, live := c.registry.Get(id); live {
		h := c.healthOf(id)
		h.pausedUntil = max(h.pausedUntil, c.clock.Now().Add(span))
	}
}

// RecordAnswer records an answer of an upstream. fault is set if the answer was a failure
// caused by the upstream.
func (c *Catalog) RecordAnswer(id string, fault bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markAlive(id)
	h := c.healthOf(id)
	h.failures = 0
	h.recordFault(fault)
}

// RecordBreak records that an upstream broke off a request. Unlike an answer, that does not show that
// the upstream is running.
func (c *Catalog) RecordBreak(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, live := c.registry.Get(id); live {
		c.healthOf(id).recordFault(true)
	}
}

// recordFault updates the average with one request.
func (h *health) recordFault(fault bool) {
	sample := 0.0
	if fault {
		sample = 1
	}
	h.faults += faultWeight * (sample - h.faults)
}

// paused reports whether an upstream is currently paused.
func (c *Catalog) paused(id string, now clock.Time) bool {
	h := c.health[id]
	return h != nil && now.Before(h.pausedUntil)
}

// faultShare returns the fraction of faulty answers of an upstream if it is above
// faultThreshold, and 0 otherwise.
func (c *Catalog) faultShare(id string) float64 {
	if h := c.health[id]; h != nil && h.faults > faultThreshold {
		return h.faults
	}
	return 0
}

// ByAddress returns the id of the live upstream at an address.
func (c *Catalog) ByAddress(address string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := c.registry.At(address); len(at) > 0 {
		return at[0].Id, true
	}
	return "", false
}
