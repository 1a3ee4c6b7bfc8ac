// Package monitor asks engines how slow they are at present, which engines they wait for, and whether
// they leave. Announcements do not say that, or say it later. Each engine is asked by the VM that it announces itself to,
// which tells the others.
package monitor

import (
	"context"
	"sync"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/node/decision"
	"github.com/jasminecove/jasminecove/internal/node/placer"
)

const (
	// Interval is the interval between two reports of an engine.
	Interval = 1 * time.Second
	// reportTimeout bounds one report call, so that a silent engine does not delay the next
	// round.
	reportTimeout = 300 * time.Millisecond
	// loggedChange is the factor by which an engine's pace must change to be logged.
	loggedChange = 1.5
)

// Catalog holds the upstreams and records the findings.
type Catalog interface {
	// HomeEngines returns the live engines that announce themselves to this VM.
	HomeEngines() []*registry.Upstream
	// RecordPace records how many times longer than usual an engine's work takes.
	RecordPace(id string, pace float64)
	// RecordLeaving records that the process of an upstream that started at a given time leaves.
	RecordLeaving(id string, startedMs uint64)
	placer.Upstreams
	MarkDead(id string, own bool)
}

// Reporter asks engines for their state.
type Reporter interface {
	Report(ctx context.Context, id, address string) (placer.Report, error)
}

// Monitor polls the engines of one VM. Its Poll must not be called concurrently.
type Monitor struct {
	Catalog Catalog
	Engines Reporter
	Log     *decision.Log

	mu   sync.Mutex
	pace map[string]float64 // Last logged pace of each engine.
}

// Poll asks all engines of this VM once and waits for their reports.
func (m *Monitor) Poll(ctx context.Context) {
	var asked sync.WaitGroup
	for _, u := range m.Catalog.HomeEngines() {
		asked.Go(func() {
			defer crash.Report("engine report")
			crash.Contain("engine report", func() { m.ask(ctx, u) })
		})
	}
	asked.Wait()
}

// ask asks one engine. An engine that does not answer is found dead by the requests that it
// holds up, or by its lease.
func (m *Monitor) ask(ctx context.Context, u *registry.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := m.Engines.Report(ctx, u.Id, u.Address)
	if err != nil {
		m.Log.Logger().Debug("engine sent no report", "id", u.Id, "address", u.Address, "error", err)
		return
	}
	if !r.SentBy(u, m.Catalog) {
		m.Log.Logger().Debug("another process of the engine reports", "id", u.Id, "address", u.Address, "startedMs", r.StartedMs)
		return
	}
	if r.Pace > 0 {
		pace := max(1, r.Pace)
		m.Catalog.RecordPace(u.Id, pace)
		m.logPace(u.Id, pace)
	}
	if r.Leaving {
		m.Catalog.RecordLeaving(u.Id, u.StartedMs)
	}
	for _, lost := range r.Awaited(u, m.Catalog) {
		m.Log.Decision("upstreamSuspected", lost.Id, "reason", "another engine waits for it", "address", lost.Address, "reportedBy", u.Id, "known", true)
		m.Catalog.MarkDead(lost.Id, true)
	}
}

// logPace logs an engine's pace if it changed much.
func (m *Monitor) logPace(id string, pace float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pace == nil {
		m.pace = map[string]float64{}
	}
	last := max(1, m.pace[id])
	if pace < last*loggedChange && last < pace*loggedChange {
		return
	}
	m.Log.Decision("enginePace", id, "pace", pace, "was", last)
	m.pace[id] = pace
	if pace == 1 {
		delete(m.pace, id)
	}
}
