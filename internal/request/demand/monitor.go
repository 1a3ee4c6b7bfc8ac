package demand

import (
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

const (
	// logInterval is the shortest time between two lines on the level of one pool.
	logInterval = 1 * clock.Second
	// maxLabels bounds the pools, and the ranks of pools, with metrics of their own.
	maxLabels = 64
)

// Log receives the decisions of a Monitor.
type Log interface {
	Decision(kind, id string, inputs ...any)
}

// Monitor is a Tracker that is safe for concurrent use. It logs and measures the levels. A nil Monitor
// knows of no demand.
type Monitor struct {
	clock   clock.Clock
	running func(pool string) int
	log     Log
	metrics tally.Scope
	quiet   atomic.Bool // The Tracker is empty.

	mu      sync.Mutex
	tracker *Tracker

	publishing sync.Mutex // Guards the fields below.
	logged     map[string]loggedLevel
	published  map[string]bool // Pools with metrics.
	ranks      map[key]bool    // Ranks of pools with metrics.
}

// loggedLevel is the level of a pool in the last line about it.
type loggedLevel struct {
	level int
	at    clock.Time
}

// NewMonitor returns a Monitor that knows of no demand. The function running returns the number of requests of all VMs
// that run on the upstreams of a pool.
func NewMonitor(clk clock.Clock, running func(pool string) int, log Log, metrics tally.Scope) *Monitor {
	m := &Monitor{clock: clk, running: running, log: log, metrics: metrics, tracker: New(), logged: map[string]loggedLevel{}, published: map[string]bool{}, ranks: map[key]bool{}}
	m.quiet.Store(true)
	return m
}

// use calls f with the Tracker.
func (m *Monitor) use(f func(now clock.Time, t *Tracker)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.clock.Now(), m.tracker)
	m.quiet.Store(m.tracker.IsEmpty())
}

// isQuiet reports whether nothing waits or is refused anywhere, nor did so recently.
func (m *Monitor) isQuiet() bool { return m == nil || m.quiet.Load() }

// SetWaiting sets the number of requests of a rank that wait at this VM.
func (m *Monitor) SetWaiting(pool string, rank, waiting int) {
	if m == nil || waiting <= 0 && m.isQuiet() {
		return
	}
	m.use(func(now clock.Time, t *Tracker) { t.SetWaiting(now, pool, rank, waiting) })
}

// RecordRefused records that a request was refused at this VM after it found no capacity. Those that Refuses
// turned away are not recorded: their refusal would keep up a shortage for still less urgent requests.
func (m *Monitor) RecordRefused(pool string, rank int) {
	if m == nil {
		return
	}
	m.use(func(now clock.Time, t *Tracker) { t.RecordRefused(now, pool, rank) })
}

// Reserve returns the share of each engine's memory and slots that a request leaves free for more
// urgent ones.
func (m *Monitor) Reserve(pool string, rank int) (share float64) {
	if m.isQuiet() {
		return 0
	}
	m.use(func(now clock.Time, t *Tracker) { share = t.Reserve(now, pool, rank) })
	return share
}

// Refuses reports whether a request is to be refused at once. It is called once for each request.
func (m *Monitor) Refuses(pool string, rank int) (refuses bool) {
	if m.isQuiet() {
		return false
	}
	m.use(func(now clock.Time, t *Tracker) { refuses = t.Refuses(now, pool, rank) })
	return refuses
}

// Report returns what requests lack at this VM.
func (m *Monitor) Report() (out []*fleetpb.PoolDemand) {
	if m.isQuiet() {
		return nil
	}
	m.use(func(now clock.Time, t *Tracker) { out = t.Report(now) })
	return out
}

// Merge records the sums of all data centres, which include this VM's report.
func (m *Monitor) Merge(sums []*fleetpb.LoadSum) {
	if m == nil {
		return
	}
	m.use(func(now clock.Time, t *Tracker) { t.Merge(now, sums) })
}

// MergeReport records the report of another VM.
func (m *Monitor) MergeReport(vm string, o *fleetpb.Occupancy) {
	if m == nil {
		return
	}
	m.use(func(now clock.Time, t *Tracker) { t.MergeReport(now, vm, o) })
}

// Publish updates the levels, logs those that have changed, and updates the metrics. It is called at the interval at
// which levels change.
func (m *Monitor) Publish() {
	if m == nil {
		return
	}
	m.publishing.Lock()
	defer m.publishing.Unlock()
	if m.isQuiet() && len(m.logged) == 0 {
		return
	}
	var pools []string
	m.use(func(now clock.Time, t *Tracker) {
		t.Advance(now)
		pools = t.Pools()
	})
	running := make([]int, len(pools))
	for i, pool := range pools {
		running[i] = m.running(pool)
	}
	var all []Shortage
	var now clock.Time
	m.use(func(at clock.Time, t *Tracker) {
		now = at
		for i, pool := range pools {
			t.SetRunning(pool, running[i])
		}
		all = t.Shortages(at)
	})
	worst := map[string]Shortage{} // The highest level of each pool.
	current := map[key]Shortage{}
	for _, s := range all {
		current[key{s.Pool, s.Rank}] = s
		if w, known := worst[s.Pool]; !known || s.Level > w.Level {
			worst[s.Pool] = s
		}
	}
	m.logChanges(now, worst)
	m.updateMetrics(worst, current)
}

// logChanges writes one line for each pool whose level has changed since the last line.
func (m *Monitor) logChanges(now clock.Time, worst map[string]Shortage) {
	for pool := range worst {
		if _, known := m.logged[pool]; !known {
			m.logged[pool] = loggedLevel{}
		}
	}
	for pool, last := range m.logged {
		s := worst[pool]
		switch {
		case s.Level != last.level && now.Sub(last.at) >= logInterval:
			m.log.Decision("shortageLevel", pool, "level", s.Level, "was", last.level, "rank", s.Rank, "waiting", s.Waiting, "refusedPerSecond", s.Refused)
			m.logged[pool] = loggedLevel{s.Level, now}
		case s.Level == 0 && last.level == 0:
			delete(m.logged, pool)
		}
	}
}

// updateMetrics updates the metrics of the shortages, and sets those of shortages that are over to 0.
func (m *Monitor) updateMetrics(worst map[string]Shortage, current map[key]Shortage) {
	addLabels(m.published, worst)
	addLabels(m.ranks, current)
	for pool := range m.published {
		m.metrics.Tagged(map[string]string{"pool": pool}).Gauge("shortage_level").Update(float64(worst[pool].Level))
	}
	for k := range m.ranks {
		s, scope := current[k], m.metrics.Tagged(map[string]string{"pool": k.pool, "rank": strconv.Itoa(k.rank)})
		scope.Gauge("shortage_waiting").Update(float64(s.Waiting))
		scope.Gauge("shortage_refused_per_second").Update(s.Refused)
	}
}

// addLabels adds the keys of present to the labels in use, within their maximum number.
func addLabels[K comparable](labels map[K]bool, present map[K]Shortage) {
	for k := range present {
		if len(labels) < maxLabels {
			labels[k] = true
		}
	}
}
