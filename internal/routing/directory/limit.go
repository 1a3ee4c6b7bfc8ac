package directory

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/routing/ratecap"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// SetVMs sets the names of the VMs that share the rate limits of upstreams.
func (d *Directory) SetVMs(vms []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits.SetVMs(vms)
}

// RecordRateLimit records that a response of an upstream names a rate limit, in requests per second
// from all VMs together.
func (d *Directory) RecordRateLimit(id string, rate float64) ratecap.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	u, live := d.registry.Get(id)
	if !live {
		return ratecap.Change{}
	}
	return d.limits.Named(d.clock.Now(), id, u.StartedMs, rate)
}

// RecordNoRateLimit records that a response to a request sent at a given time names no rate limit.
func (d *Directory) RecordNoRateLimit(id string, sentAt clock.Time) ratecap.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limits.NotNamed(d.clock.Now(), sentAt, id)
}

// RecordPause records that the process of an upstream that started at a given time wants no calls of this
// VM for a while. It reports whether that is new.
func (d *Directory) RecordPause(id string, startedMs uint64, span clock.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	u, live := d.registry.Get(id)
	return live && u.StartedMs == startedMs && d.limits.Pause(d.clock.Now(), id, startedMs, span)
}

// CountSend counts a call to an upstream towards its rate limit, if it names one. It returns when the
// process started that will respond, or 0 if that is unknown.
func (d *Directory) CountSend(id string) (startedMs uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits.Take(d.clock.Now(), id)
	if u, ok := d.registry.Get(id); ok {
		return u.StartedMs
	}
	return 0
}

// Limits returns the rate limits to report to other VMs.
func (d *Directory) Limits() []*fleetpb.RateLimit {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limits.Report(d.clock.Now())
}

// MergeLimits records the rate limits that another VM reported, and returns what changed.
func (d *Directory) MergeLimits(vm string, limits []*fleetpb.RateLimit) map[string]ratecap.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits.MergeUse(d.clock.Now(), vm, limits)
	return d.limits.Merge(d.clock.Now(), limits, 0)
}
