// Package quarantine finds the requests, and the parts of prompts, on which upstreams crash. It
// keeps such requests, and requests with such a part, from upstreams.
//
// What is accused has a key: the ID of a part, or the fingerprint that a request has in common with
// its repetitions. A run that breaks together with its upstream before it has survived for
// SurviveTime accuses its keys, unless another run with the key survived recently. Keys are accused
// fleet-wide: the VMs exchange their records and unite the crashes in them. The fewest keys that
// explain the crashes are quarantined, a part only through more than one request, unless many runs
// with a key did not end their upstreams. Trials, single requests that are let through at the
// end of each span of a quarantine, show whether the key is sound.
//
// A Tracker is deterministic and does no I/O. Guard makes it safe for concurrent use, and
// logs and counts its decisions.
package quarantine

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/recent"
)

// Times of evidence.
const (
	// SurviveTime is how long after its first event a run has survived.
	SurviveTime = 1 * clock.Second
	// soundTime is how long a key is not accused after a run with it has survived.
	soundTime = 5 * clock.Second
	// aliveTime is how long after the first event of a run its upstream must be alive to have begun the answer without
	// a crash.
	aliveTime = 100 * clock.Millisecond
	// aliveMemory is how long it is known of a key that a run with it has survived.
	aliveMemory = 1 * clock.Minute
	// confirmTime is the longest time between the break of a run and the finding that its
	// upstream has ended.
	confirmTime = 5 * clock.Second
	// recordLifetime is how long a record without a quarantine is kept after its last change.
	recordLifetime = 10 * clock.Minute
)

// Limits of what a Tracker remembers.
const (
	maxRecords   = 8192
	maxCrashes   = 16 // In one record.
	maxSurvivors = 32768
	maxUpstreams = 512  // With broken runs, and that ended.
	maxBroken    = 1024 // Latest broken runs of one upstream.
	maxBreaks    = 4096 // That have accused.
)

// Run is a run of a request on an upstream.
type Run struct {
	RequestID string
	Upstream  string
	StartedMs uint64   // Unix time of the start of the upstream's process in ms.
	Keys      []string // As returned by Keys.
	// Break identifies the break of a run that depends on several upstreams, or is 0. Only the first of
	// them that is found to have ended counts.
	Break uint64
	Trial bool // The run is a trial.
	Alive bool // The upstream was alive aliveTime after the first event.
}

// crash is the end of an upstream under a run.
type crash struct {
	id      uint64 // Of the upstream's process.
	request uint32 // Hash of the request's keys, or of its ID without a fingerprint.
}

// record holds what is known of an accused key. Records of one round are united; a record of a
// later round replaces earlier ones.
type record struct {
	key       string
	position  uint32     // First position in the keys of a request, from 1; 0 if it is not known.
	round     uint32     // Incremented when the key is cleared.
	crashes   []crash    // Sorted by id; those with the least ids if there are more than maxCrashes.
	crashedAt clock.Time // When the VM last learned of a crash.
	changedAt clock.Time
	sent      uint32     // Most runs with the key that one VM has sent since it knows of a crash.
	alive     uint32     // Most of them whose upstream was alive aliveTime after the first event.
	guilty    bool       // Requests with the key are kept from upstreams.
	spans     uint32     // Number of the quarantine's span, 0 without a quarantine.
	until     clock.Time // End of the span.
	turn      turn       // At the trial after the span.
	// trialCrashes is the number of upstreams that crashed in trials.
	trialCrashes uint32
	wide         bool    // Had minCrashes crashes, so that all VMs are told of it.
	unsent       bool    // Changed since it was last sent to other VMs.
	fresh        []crash // Learned since then.
}

// brokenRun is an early run that broke, whose upstream may have crashed.
type brokenRun struct {
	Run
	at clock.Time
}

// Tracker holds what a VM knows of the keys on which upstreams crash.
type Tracker struct {
	records     map[string]*record
	byHash      map[uint32]*record               // Records by the hash of their key.
	survived    *recent.Map[string, clock.Time]  // When a run with each key last survived.
	broken      *recent.Map[string, []brokenRun] // By upstream.
	ended       *recent.Map[string, clock.Time]  // When each upstream was found to have ended.
	accusers    *recent.Map[uint64, bool]        // Breaks that have accused.
	suspects    suspects                         // Records with minCrashes crashes or more.
	accusations accusations
	sent        sendBudget // Of records.
	pending     bool       // Some records are unsent.
	exchanges   int        // Number of exchanges so far.
	self        string     // Name of this VM.
	vms         []string   // Names of the live VMs, which take turns at trials.
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{
		records: map[string]*record{}, byHash: map[uint32]*record{}, survived: recent.New[string, clock.Time](maxSurvivors),
		broken: recent.New[string, []brokenRun](maxUpstreams), ended: recent.New[string, clock.Time](maxUpstreams),
		accusers: recent.New[uint64, bool](maxBreaks), suspects: newSuspects(),
		accusations: newAccusations(), sent: sendBudget{perSecond: sentBytesPerSecond, burst: maxSentBytes},
	}
}

// Quarantined returns the numbers of parts and requests in quarantine.
func (t *Tracker) Quarantined() (parts, requests int) {
	for _, r := range t.records {
		switch {
		case !r.isQuarantined():
		case isFingerprint(r.key):
			requests++
		default:
			parts++
		}
	}
	return parts, requests
}

// Sound reports whether runs with each of the given keys have survived recently.
func (t *Tracker) Sound(now clock.Time, keys []string) bool {
	return !slices.ContainsFunc(keys, func(k string) bool { return !t.isSound(now, k) })
}

func (t *Tracker) isSound(now clock.Time, key string) bool {
	at, ok := t.survived.Get(key)
	return ok && now.Sub(at) <= soundTime
}

// Crashes returns the most crashes that accuse one of the given keys.
func (t *Tracker) Crashes(keys []string) (most int) {
	for _, k := range keys {
		if r := t.records[k]; r != nil {
			most = max(most, len(t.unexplained(r)))
		}
	}
	return most
}

// RunAlive records that the upstream of a run with the given keys was alive aliveTime after the first event.
func (t *Tracker) RunAlive(now clock.Time, keys []string) []Event {
	for _, k := range keys {
		if r := t.records[k]; r != nil && len(r.crashes) > 0 {
			t.count(r, &r.alive)
		}
	}
	return t.judge(now)
}

// count increments a number of runs in a record. When it doubles, the key is judged again and other VMs are told.
func (t *Tracker) count(r *record, n *uint32) {
	if *n++; *n&(*n-1) != 0 {
		return
	}
	t.suspects.changed(r)
	if r.wide {
		t.markUnsent(r)
	}
}

// RunSurvived records that a run with the given keys survived.
func (t *Tracker) RunSurvived(now clock.Time, keys []string) (events []Event) {
	for _, k := range keys {
		t.survived.Set(k, now)
		if r := t.records[k]; r != nil && len(r.crashes) > 0 {
			events = append(events, t.clear(now, r))
		}
	}
	return append(events, t.judge(now)...)
}

// RunBroke records that a run broke before it had survived. Once the upstream is found to have
// ended, the run accuses its keys.
func (t *Tracker) RunBroke(now clock.Time, run Run) (events []Event) {
	if len(run.Keys) == 0 {
		return nil
	}
	if at, ok := t.ended.Get(run.Upstream); ok && now.Sub(at) <= confirmTime {
		events = t.accuse(now, run)
		return append(events, t.judge(now)...)
	}
	runs, _ := t.broken.Get(run.Upstream)
	runs = slices.DeleteFunc(runs, func(b brokenRun) bool { return now.Sub(b.at) > confirmTime })
	if len(runs) >= maxBroken {
		runs = slices.Delete(runs, 0, 1)
	}
	t.broken.Set(run.Upstream, append(runs, brokenRun{run, now}))
	return nil
}

// UpstreamEnded records that an upstream's process was found to have ended without notice.
func (t *Tracker) UpstreamEnded(now clock.Time, upstream string) (events []Event) {
	runs, _ := t.broken.Get(upstream)
	t.broken.Delete(upstream)
	t.ended.Set(upstream, now)
	for _, b := range runs {
		if now.Sub(b.at) <= confirmTime {
			events = append(events, t.accuse(now, b.Run)...)
		}
	}
	return append(events, t.judge(now)...)
}

// clear ends the accusation of a key and its quarantine, as a run with it survived at a time.
func (t *Tracker) clear(survivedAt clock.Time, r *record) Event {
	e := Event{Kind: Cleared, Key: r.key, Crashes: len(r.crashes), Requests: requests(r.crashes), Reason: "a run with it survived"}
	r.round++
	t.reset(r)
	r.alive, r.changedAt = 1, survivedAt
	t.markUnsent(r)
	return e
}

// reset removes what accuses a key.
func (t *Tracker) reset(r *record) {
	t.suspects.remove(r, r.crashes)
	r.crashes, r.fresh, r.sent, r.alive, r.guilty, r.spans, r.until, r.trialCrashes = nil, nil, 0, 0, false, 0, 0, 0
}

// forget removes a record.
func (t *Tracker) forget(r *record) {
	t.reset(r)
	delete(t.records, r.key)
	if h := keyHash(r.key); t.byHash[h] == r {
		delete(t.byHash, h)
	}
}

// markUnsent notes that a record changed. Records that more than one crash accuses are sent to all VMs.
func (t *Tracker) markUnsent(r *record) {
	r.wide = r.wide || len(r.crashes) >= minCrashes || r.isQuarantined()
	r.unsent, t.pending = true, true
}

func (r *record) isQuarantined() bool { return r.guilty }

func (r *record) isFull() bool { return len(r.crashes) >= maxCrashes }

// requests returns the number of requests under which upstreams crashed.
func requests(crashes []crash) int {
	var seen []uint32
	for _, c := range crashes {
		if !slices.Contains(seen, c.request) {
			seen = append(seen, c.request)
		}
	}
	return len(seen)
}

func (r *record) has(id uint64) bool {
	return slices.ContainsFunc(r.crashes, func(c crash) bool { return c.id == id })
}

// record returns the record of a key at a position in the keys of a request, from 1, or 0.
func (t *Tracker) record(now clock.Time, key string, position uint32) *record {
	r := t.records[key]
	if r == nil {
		r = &record{key: key, changedAt: now}
		if at, ok := t.survived.Get(key); ok && now.Sub(at) <= aliveMemory {
			r.alive = 1
		}
		t.records[key], t.byHash[keyHash(key)] = r, r
	}
	if position != 0 && (r.position == 0 || position < r.position) {
		r.position = position
	}
	return r
}

// Tick forgets records.
func (t *Tracker) Tick(now clock.Time) (events []Event) {
	for _, r := range t.byImportance(func(r *record) bool { return now.Sub(r.changedAt) > r.lifetime() }) {
		if r.isQuarantined() {
			events = append(events, Event{Kind: Ended, Key: r.key, Crashes: len(r.crashes)})
		}
		t.forget(r)
	}
	t.evict()
	return append(events, t.judge(now)...)
}

// lifetime returns how long the record is kept after its last change.
func (r *record) lifetime() clock.Duration {
	if r.isQuarantined() {
		return maxQuarantine
	}
	return recordLifetime
}

// evict removes the least important records.
func (t *Tracker) evict() {
	if len(t.records) <= maxRecords {
		return
	}
	for _, r := range t.byImportance(nil)[maxRecords:] {
		t.forget(r)
	}
}

// byImportance returns the records that a condition holds for, or all: first those in quarantine, then
// those with the most crashes, then those that changed last.
func (t *Tracker) byImportance(condition func(*record) bool) []*record {
	var out []*record
	for _, r := range t.records {
		if condition == nil || condition(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *record) int {
		return cmp.Or(compareBool(b.guilty, a.guilty), cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(b.changedAt, a.changedAt), cmp.Compare(a.key, b.key))
	})
	return out
}

// crashID identifies the process of an upstream.
func crashID(upstream string, startedMs uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(upstream + "@" + strconv.FormatUint(startedMs, 10)))
	return h.Sum64()
}

// requestHash identifies the request of a run. Repetitions of a request, which have all keys in
// common, are the same one.
func requestHash(run Run) uint32 {
	id := run.RequestID
	if countParts(run.Keys) < len(run.Keys) {
		id = strings.Join(run.Keys, ",")
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}
