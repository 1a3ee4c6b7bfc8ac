// Package detector detects dead upstreams from the failures of requests: engines that wait
// for another engine, answers that name an engine at fault, and broken connections.
package detector

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/node/decision"
	"github.com/jasminecove/jasminecove/internal/node/placer"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
)

// Timeouts and intervals of the detector's probes.
const (
	// reportTimeout bounds one report call to an engine.
	reportTimeout = 500 * time.Millisecond
	// reportInterval is the minimum interval between report calls to one engine. The state
	// that engines report lags behind by about as much.
	reportInterval = 150 * clock.Millisecond
	// connectTimeout bounds one connection attempt that checks whether a process listens,
	// and connectInterval is the minimum interval between attempts to one address.
	connectTimeout  = 300 * time.Millisecond
	connectInterval = 100 * clock.Millisecond
	// maxProbes bounds the number of probes whose time is kept.
	maxProbes = 4096
)

// Catalog resolves addresses to upstreams and records the findings of the detector.
type Catalog interface {
	placer.Upstreams
	MarkDead(id string, own bool)
	MarkUnreachable(id string, confirmed bool)
}

// Prober opens connections to upstreams.
type Prober interface {
	// Probe connects to an address. If the connection is refused, the error wraps
	// syscall.ECONNREFUSED, and call.ErrUnconfirmed if the fault may be this VM's.
	Probe(ctx context.Context, address string) error
}

// Config configures a Detector.
type Config struct {
	Clock   clock.Clock
	Catalog Catalog
	Engines placer.API
	Prober  Prober
	Log     *decision.Log
	// LinksLost reports whether this VM's own links to upstreams are lost. It may be nil.
	LinksLost func() bool
	// Go runs a task in a goroutine that the owner waits for.
	Go func(task func())
}

// Detector is safe for concurrent use.
type Detector struct {
	cfg Config

	mu     sync.Mutex
	probed map[probe]clock.Time // When each probe was last sent.
}

// probe is a kind of probe to one address.
type probe struct {
	kind, address string
}

// New returns a Detector.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg, probed: map[probe]clock.Time{}}
}

// due reports whether a probe may be sent now, and records it as sent. Requests that hit the
// same failure share one probe.
func (d *Detector) due(p probe, interval clock.Duration) bool {
	now := d.cfg.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if last, ok := d.probed[p]; ok && now.Sub(last) < interval {
		return false
	}
	if len(d.probed) >= maxProbes {
		clear(d.probed)
	}
	d.probed[p] = now
	return true
}

// CheckStall asks an engine with a stalled request which engines it waits for, and reports
// those to the catalog as dead.
func (d *Detector) CheckStall(ctx context.Context, id, address string) {
	if !d.due(probe{"report", address}, reportInterval) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	u, known := d.cfg.Catalog.Upstream(id)
	report, err := d.cfg.Engines.Report(ctx, id, address)
	if err != nil {
		d.cfg.Log.Decision("upstreamSuspected", id, "reason", "no report", "error", err.Error())
		d.cfg.Catalog.MarkUnreachable(id, d.cfg.LinksLost == nil || !d.cfg.LinksLost())
		return
	}
	if !known || !report.SentBy(u, d.cfg.Catalog) {
		d.cfg.Log.Logger().Debug("another process of the engine reports", "id", id, "address", address, "startedMs", report.StartedMs)
		return
	}
	for _, lost := range report.Awaited(u, d.cfg.Catalog) {
		d.cfg.Log.Decision("upstreamSuspected", lost.Id, "reason", "another engine waits for it", "address", lost.Address, "reportedBy", id, "known", true)
		d.cfg.Catalog.MarkDead(lost.Id, true)
	}
}

// Verify connects to an engine that an answer named at fault, or whose connection broke. If
// nothing listens at the address, the process has ended, and the engine is reported dead
// without waiting for requests to stall on it. An engine that listens may have refused the
// request because it lacks capacity or layers.
func (d *Detector) Verify(address, reason, requestID string) {
	if !d.due(probe{"connect", address}, connectInterval) {
		return
	}
	d.cfg.Go(func() {
		defer crash.Recover("check of a suspect")
		ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
		defer cancel()
		err := d.cfg.Prober.Probe(ctx, address)
		id, known := d.cfg.Catalog.ByAddress(address)
		result := "listens"
		if err != nil {
			result = err.Error()
		}
		d.cfg.Log.Decision("upstreamSuspected", id, "reason", reason, "address", address, "request", requestID, "known", known, "result", result)
		if known && errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, call.ErrUnconfirmed) {
			d.cfg.Catalog.MarkDead(id, true)
		}
	})
}
