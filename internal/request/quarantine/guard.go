package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Log receives the decisions of a Guard.
type Log interface {
	Decision(kind, id string, inputs ...any)
}

// Guard is a Tracker that is safe for concurrent use. It logs and counts the decisions. A nil
// Guard quarantines nothing.
type Guard struct {
	clock   clock.Clock
	log     Log
	metrics tally.Scope

	mu      sync.Mutex
	tracker *Tracker
	version uint64        // Number of events so far.
	breaks  atomic.Uint64 // Number of breaks so far.
	changed chan struct{} // Signalled when records are to be sent; capacity 1.
}

// NewGuard returns a Guard that knows of no crashes.
func NewGuard(clk clock.Clock, log Log, metrics tally.Scope) *Guard {
	return &Guard{clock: clk, log: log, metrics: metrics, tracker: New(), changed: make(chan struct{}, 1)}
}

// SetVMs sets the names of this VM and of the live VMs, which take turns at trials.
func (g *Guard) SetVMs(self string, live []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.SetVMs(self, live)
}

// Check returns the quarantine of the keys of a request, or of some of them, that keeps it from
// upstreams.
func (g *Guard) Check(keys []string) (Block, bool) {
	if g == nil || len(keys) == 0 {
		return Block{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Check(g.clock.Now(), keys)
}

// admit is Check for a request that is about to be sent. It reports whether the request is a trial.
func (g *Guard) admit(requestID string, keys []string) (block Block, trial bool) {
	g.update(func(now clock.Time) (events []Event) {
		block, trial, events = g.tracker.Admit(now, requestID, keys)
		return events
	})
	return block, trial
}

// repeatTrial has the trial of the given keys repeated soon, as it had no result.
func (g *Guard) repeatTrial(keys []string) {
	g.update(func(now clock.Time) []Event {
		g.tracker.RepeatTrial(now, keys)
		return nil
	})
}

// Sound reports whether runs with each of the given keys have survived recently.
func (g *Guard) Sound(keys []string) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Sound(g.clock.Now(), keys)
}

// Crashes returns the most upstreams that crashed on one of the given keys.
func (g *Guard) Crashes(keys []string) int {
	if g == nil {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Crashes(keys)
}

// runAlive records that the upstream of a run with the given keys was alive aliveTime after the first event.
func (g *Guard) runAlive(keys []string) {
	g.update(func(now clock.Time) []Event { return g.tracker.RunAlive(now, keys) })
}

// RunSurvived records that a run with the given keys survived.
func (g *Guard) RunSurvived(keys []string) {
	if g == nil || len(keys) == 0 {
		return
	}
	g.update(func(now clock.Time) []Event { return g.tracker.RunSurvived(now, keys) })
}

// RunBroke records that a run broke before it had survived.
func (g *Guard) RunBroke(run Run) {
	if g == nil {
		return
	}
	g.update(func(now clock.Time) []Event { return g.tracker.RunBroke(now, run) })
}

// UpstreamEnded records that an upstream's process was found to have ended without notice.
func (g *Guard) UpstreamEnded(upstream string) {
	if g == nil {
		return
	}
	g.update(func(now clock.Time) []Event { return g.tracker.UpstreamEnded(now, upstream) })
}

// Merge unites the records of another VM, or of the disk, with the own ones.
func (g *Guard) Merge(source string, records []*fleetpb.PartRecord) {
	if g == nil || len(records) == 0 {
		return
	}
	g.update(func(now clock.Time) []Event { return g.tracker.Merge(now, source, records) })
}

// Tick forgets records.
func (g *Guard) Tick() {
	g.update(g.tracker.Tick)
}

// Receive unites what another VM sent with what is known, and returns what it is to be sent back, or nil.
func (g *Guard) Receive(vm string, m *fleetpb.PartRecords) *fleetpb.PartRecords {
	var reply fleetpb.PartRecords
	g.update(func(now clock.Time) []Event {
		events := g.tracker.Merge(now, vm, m.Records)
		matches, heard := g.tracker.HearAccusations(now, m.Accusations)
		reply.Matches = matches
		if m.Exchange {
			reply.Records = g.tracker.Differing(now, m.Records)
		}
		return slices.Concat(events, heard, g.tracker.HearMatches(now, m.Matches))
	})
	if len(reply.Records)+len(reply.Matches) == 0 {
		return nil
	}
	return &reply
}

// TakeUnsent returns what has changed since it was last returned: records to be sent to a number of gossip targets,
// and messages to be sent to single VMs.
func (g *Guard) TakeUnsent(targets int) (all []*fleetpb.PartRecord, byVM map[string]*fleetpb.PartRecords) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.TakeUnsent(g.clock.Now(), targets)
}

// Changed is signalled when TakeUnsent has records.
func (g *Guard) Changed() <-chan struct{} { return g.changed }

// Next returns some records in turn, for an exchange that repairs losses.
func (g *Guard) Next() []*fleetpb.PartRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Next(g.clock.Now())
}

// All returns all records.
func (g *Guard) All() []*fleetpb.PartRecord {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.All(g.clock.Now())
}

// Version returns a number that grows whenever what the Guard knows has changed.
func (g *Guard) Version() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.version
}

// apply applies a change. It returns its events and, with them, how many keys are in quarantine.
func (g *Guard) apply(change func(now clock.Time) []Event) (events []Event, parts, requests int, pending bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	events = change(g.clock.Now())
	g.version += uint64(len(events))
	if len(events) > 0 {
		parts, requests = g.tracker.Quarantined()
	}
	return events, parts, requests, g.tracker.pending
}

// update applies a change and reports its events.
func (g *Guard) update(change func(now clock.Time) []Event) {
	events, parts, requests, pending := g.apply(change)
	if pending {
		select {
		case g.changed <- struct{}{}:
		default:
		}
	}
	if len(events) == 0 {
		return
	}
	g.metrics.Gauge("quarantined_parts").Update(float64(parts))
	g.metrics.Gauge("quarantined_requests").Update(float64(requests))
	for _, e := range events {
		g.metrics.Tagged(map[string]string{"event": e.Name()}).Counter(e.metric()).Inc(1)
		g.log.Decision(e.Name(), e.Key, "crashes", e.Crashes, "requests", e.Requests, "rivals", e.Rivals, "upstream", e.Upstream, "request", e.RequestID,
			"vm", e.VM, "reason", e.Reason, "spanMs", int64(e.Span))
	}
}
