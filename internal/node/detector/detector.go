// Package detector finds out which upstreams are dead from what requests meet: engines
// that wait for another, answers that name one at fault, and connections that break.
package detector

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/node/decision"
	"github.com/jasminecove/jasminecove/internal/node/placer"
)

// Spans of the detector's questions.
const (
	// reportTimeout bounds one question to an engine.
	reportTimeout = 500 * time.Millisecond
	// reportPause is the least span between two questions to one engine for whom it
	// waits. Engines tell their state with a lag of that order.
	reportPause = 150 * clock.Millisecond
	// connectTimeout bounds one connection that shows whether a process listens, and
	// connectPause is the least span between two to one address.
	connectTimeout = 300 * time.Millisecond
	connectPause   = 100 * clock.Millisecond
	// maxAsked bounds the questions that are remembered.
	maxAsked = 4096
)

// Catalog is what the detector knows of upstreams and tells its findings to.
type Catalog interface {
	ByAddress(address string) (id string, ok bool)
	MarkDead(id string, own bool)
	MarkUnreachable(id string)
}

// Prober opens connections to upstreams.
type Prober interface {
	// Probe connects to an address. A refused connection wraps syscall.ECONNREFUSED.
	Probe(ctx context.Context, address string) error
}

// Config is what a Detector is made of.
type Config struct {
	Clock   clock.Clock
	Catalog Catalog
	Engines placer.API
	Prober  Prober
	Log     *decision.Log
	// Go runs a task that the owner waits for.
	Go func(task func())
}

// Detector is safe for concurrent use.
type Detector struct {
	cfg Config

	mu    sync.Mutex
	asked map[question]clock.Time // When each question was last asked.
}

// question is one kind of question to one address.
type question struct {
	kind, address string
}

// New returns a Detector.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg, asked: map[question]clock.Time{}}
}

// due reports whether a question may be asked now. Requests that meet the same failure
// share one.
func (d *Detector) due(q question, pause clock.Duration) bool {
	now := d.cfg.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if last, ok := d.asked[q]; ok && now.Sub(last) < pause {
		return false
	}
	if len(d.asked) >= maxAsked {
		clear(d.asked)
	}
	d.asked[q] = now
	return true
}

// Stalled asks an engine whose request makes no progress for whom it waits, and tells
// those dead.
func (d *Detector) Stalled(ctx context.Context, id, address string) {
	if !d.due(question{"report", address}, reportPause) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := d.cfg.Engines.Report(ctx, id, address)
	if err != nil {
		d.cfg.Log.Decision("upstreamSuspected", id, "reason", "no report", "error", err.Error())
		d.cfg.Catalog.MarkUnreachable(id)
		return
	}
	for _, other := range report.Stalled {
		lost, ok := d.cfg.Catalog.ByAddress(other)
		d.cfg.Log.Decision("upstreamSuspected", lost, "reason", "another engine waits for it", "address", other, "reportedBy", id, "known", ok)
		if ok {
			d.cfg.Catalog.MarkDead(lost, true)
		}
	}
}

// Verify connects to an engine that a request was given as at fault, or whose
// connection broke. Where nothing listens its process has ended, and the engine is told
// dead without waiting for others to stall at it. One that listens may have refused for
// want of room or layers.
func (d *Detector) Verify(address, reason, requestID string) {
	if !d.due(question{"connect", address}, connectPause) {
		return
	}
	d.cfg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
		defer cancel()
		err := d.cfg.Prober.Probe(ctx, address)
		id, known := d.cfg.Catalog.ByAddress(address)
		result := "listens"
		if err != nil {
			result = err.Error()
		}
		d.cfg.Log.Decision("upstreamSuspected", id, "reason", reason, "address", address, "request", requestID, "known", known, "result", result)
		if known && errors.Is(err, syscall.ECONNREFUSED) {
			d.cfg.Catalog.MarkDead(id, true)
		}
	})
}
