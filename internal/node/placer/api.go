package placer

import (
	"context"

	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
)

// Errors of an order.
const (
	// ErrRefused reports an order that the engine refused, because its order count or
	// its state differs from the expected one.
	ErrRefused = fault.Sentinel("placer: the engine refused the order")
	// ErrUnanswered reports an order that got no reply. The engine may still execute it.
	ErrUnanswered = fault.Sentinel("placer: no reply to the order")
	// ErrOtherProcess reports an engine that has started again since it announced itself.
	ErrOtherProcess = fault.Sentinel("placer: another process of the engine reports")
)

// Order is one order to an engine.
type Order struct {
	Engine, Address string
	From, To        int
	Expected        int64 // Number of orders that the engine has accepted so far.
	Cut             bool  // Requests on layers that the engine gives up are cut. Otherwise it waits for them.
	Term            uint64
}

// Report is the state that an engine reports about itself.
type Report struct {
	Taken    int64 // Number of orders accepted since the engine started.
	Busy     bool
	Leaving  bool
	From, To int      // Layers that the engine holds.
	Pace     float64  // How many times longer than usual its work takes; 0 if it did not say.
	Stalled  []string // Addresses of engines that its requests wait for without progress.
	// StartedMs is when the process that reports started, as a Unix time in ms; 0 if it did not say.
	StartedMs uint64
}

// IsOf reports whether the report may be of the process that started at a given time, where 0 is unknown.
// Another process may have started under the same id.
func (r Report) IsOf(startedMs uint64) bool {
	return r.StartedMs == startedMs || r.StartedMs == 0 || startedMs == 0
}

// Upstreams finds live upstreams.
type Upstreams interface {
	ByAddress(address string) (id string, ok bool)
	Upstream(id string) (*registry.Upstream, bool)
}

// SentBy reports whether the report may be of an engine that was asked, and whose process still runs.
func (r Report) SentBy(u *registry.Upstream, known Upstreams) bool {
	current, live := known.Upstream(u.Id)
	return live && current.StartedMs == u.StartedMs && r.IsOf(u.StartedMs)
}

// Awaited returns the upstreams that requests on the engine that reports wait for. Those may only be other
// engines of the same service.
func (r Report) Awaited(u *registry.Upstream, known Upstreams) []*registry.Upstream {
	var awaited []*registry.Upstream
	for _, address := range r.Stalled {
		id, ok := known.ByAddress(address)
		if !ok || id == u.Id {
			continue
		}
		if other, live := known.Upstream(id); live && other.Name == u.Name {
			awaited = append(awaited, other)
		}
	}
	return awaited
}

// API sends calls to engines.
type API interface {
	// Place sends an order. It returns ErrRefused, ErrUnanswered or nil.
	Place(ctx context.Context, o Order) error
	// Report asks an engine for its state.
	Report(ctx context.Context, id, address string) (Report, error)
	// Repath orders an engine to move a running request to another path.
	Repath(ctx context.Context, id, address, requestID string, hops []chain.Hop) error
}
