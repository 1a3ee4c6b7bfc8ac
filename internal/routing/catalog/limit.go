package catalog

import (
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
	"github.com/jasminecove/jasminecove/internal/routing/ratecap"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// SetVMs sets the names of the VMs that share the rate limits of upstreams.
func (c *Catalog) SetVMs(vms []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits.SetVMs(vms)
}

// RecordRateLimit records that a response of an upstream names a rate limit, in requests per second
// from all VMs together.
func (c *Catalog) RecordRateLimit(id string, rate float64) ratecap.Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	u, live := c.registry.Get(id)
	if !live {
		return ratecap.Change{}
	}
	return c.limits.Named(c.clock.Now(), id, u.StartedMs, rate)
}

// RecordNoRateLimit records that a response to a request sent at a given time names no rate limit.
func (c *Catalog) RecordNoRateLimit(id string, sentAt clock.Time) ratecap.Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits.NotNamed(c.clock.Now(), sentAt, id)
}

// RecordPause records that the process of an upstream that started at a given time wants no requests of
// this VM for a while. It reports whether that is new.
func (c *Catalog) RecordPause(id string, startedMs uint64, d clock.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	u, live := c.registry.Get(id)
	return live && u.StartedMs == startedMs && c.limits.Pause(c.clock.Now(), id, startedMs, d)
}

// CountSend counts a request to an upstream towards its rate limit, if it names one. It returns when the
// process started that will respond, or 0 if that is unknown.
func (c *Catalog) CountSend(id string) (startedMs uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits.Take(c.clock.Now(), id)
	if u, ok := c.registry.Get(id); ok {
		return u.StartedMs
	}
	return 0
}

// LimitedUpstreams returns the number of upstreams that name a rate limit.
func (c *Catalog) LimitedUpstreams() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits.Limited()
}

// mergeLimits records the rate limits that another VM reported ageMs ago.
func (c *Catalog) mergeLimits(limits []*fleetpb.RateLimit, ageMs uint32) {
	if len(limits) == 0 {
		return
	}
	if changes := c.applyLimits(limits, ageMs); len(changes) > 0 && c.onChange != nil {
		c.onChange(Change{RateLimits: changes})
	}
}

func (c *Catalog) applyLimits(limits []*fleetpb.RateLimit, ageMs uint32) map[string]ratecap.Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits.Merge(c.clock.Now(), limits, ageMs)
}

// limitedOnly returns the ratecap.UsedUpError if a request finds no path only because of rate limits, and
// err otherwise.
func (c *Catalog) limitedOnly(m chain.Model, engines []chain.Engine, r chain.Request, now clock.Time, err error) error {
	var wait clock.Duration
	// A first engine without a limit may have capacity before another one's pause ends.
	mayFree := slices.ContainsFunc(engines, func(e chain.Engine) bool { return e.From == 0 && !e.NoFirst })
	open := make([]chain.Engine, len(engines))
	for i, e := range engines {
		if mayFree && c.limits.PausedFor(now, e.ID) > 0 {
			open[i] = e
			continue
		}
		if e.NoFirst {
			if w := c.limits.Wait(now, e.ID); wait == 0 || w < wait {
				wait = w
			}
		}
		e.NoFirst = false
		open[i] = e
	}
	if wait == 0 {
		return err
	}
	if _, openErr := chain.Choose(m, open, r); openErr != nil {
		return err
	}
	return &ratecap.UsedUpError{Wait: wait}
}
