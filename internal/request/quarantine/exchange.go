package quarantine

import (
	"math/bits"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Limits of the exchange with other VMs.
const (
	// sentBytesPerSecond bounds what a VM sends on average of changed records, and maxSentBytes
	// what it sends at once.
	sentBytesPerSecond = 600
	maxSentBytes       = 16 << 10
	// maxOverdraft is what it sends of records in quarantine besides, before it may send anything else.
	maxOverdraft = 4 << 10
	// maxExchanged is the number of records in one exchange that repairs losses, and maxTold the number
	// of the most important records from which they are taken, and which are stored.
	maxExchanged = 8
	maxTold      = 256
	// maxCount is the largest number of runs that another VM's record may raise the own one to.
	maxCount = 1 << 20
	// minShortening is the least time by which another VM may shorten a span.
	minShortening = 500 * clock.Millisecond
)

// sendBudget bounds the bytes sent to other VMs.
type sendBudget struct {
	perSecond, burst float64
	bytes            float64
	last             clock.Time
}

// fill adds the bytes that may be sent since it was last called.
func (b *sendBudget) fill(now clock.Time) {
	if b.last == 0 {
		b.bytes = b.burst
	} else {
		b.bytes = min(b.burst, b.bytes+b.perSecond*float64(now.Sub(b.last))/float64(clock.Second))
	}
	b.last = now
}

// take reports whether n bytes may be sent now, and counts them.
func (b *sendBudget) take(now clock.Time, n int) bool {
	b.fill(now)
	if b.bytes < float64(n) {
		return false
	}
	b.bytes -= float64(n)
	return true
}

// overdraw counts n bytes that may not wait, and reports whether they may be sent.
func (b *sendBudget) overdraw(n int) bool {
	if b.bytes-float64(n) < -maxOverdraft {
		return false
	}
	b.bytes -= float64(n)
	return true
}

// TakeUnsent returns the records that changed since they were last returned, with the crashes that are new, for a number of
// gossip targets, and accusations for single VMs. The most important records are first. What exceeds the limit on
// bytes is returned later.
func (t *Tracker) TakeUnsent(now clock.Time, targets int) (all []*fleetpb.PartRecord, byVM map[string]*fleetpb.PartRecords) {
	t.pending = false
	byVM = t.takeAccusations(now)
	for _, r := range t.byImportance(func(r *record) bool { return r.unsent && r.wide }) {
		m := r.encode(now, r.fresh)
		size := targets * proto.Size(m)
		sent := t.sent.take(now, size) || r.guilty && t.sent.overdraw(size)
		if !sent {
			t.pending = true
			break
		}
		r.unsent, r.fresh = false, nil
		all = append(all, m)
	}
	t.pending = t.pending || len(t.accusations.urgent)+len(t.accusations.pending) > 0
	return all, byVM
}

// sendable returns the most important records.
func (t *Tracker) sendable(condition func(*record) bool) []*record {
	all := t.byImportance(condition)
	return all[:min(len(all), maxTold)]
}

// Next returns some records in turn, for an exchange that repairs losses: up to half of them of keys
// in quarantine.
func (t *Tracker) Next(now clock.Time) []*fleetpb.PartRecord {
	records := t.sendable(func(r *record) bool { return r.wide })
	quarantined := slices.IndexFunc(records, func(r *record) bool { return !r.isQuarantined() })
	if quarantined < 0 {
		quarantined = len(records)
	}
	t.exchanges++
	out := t.inTurn(now, records[:quarantined], maxExchanged/2)
	return append(out, t.inTurn(now, records[quarantined:], maxExchanged-len(out))...)
}

// inTurn returns n records, or all if there are fewer, others at each exchange.
func (t *Tracker) inTurn(now clock.Time, records []*record, n int) (out []*fleetpb.PartRecord) {
	n = min(n, len(records))
	for i := range n {
		out = append(out, records[(t.exchanges*n+i)%len(records)].encodeAll(now))
	}
	return out
}

// All returns the most important records, for a VM that has just started or for the disk.
func (t *Tracker) All(now clock.Time) []*fleetpb.PartRecord {
	var out []*fleetpb.PartRecord
	for _, r := range t.sendable(nil) {
		out = append(out, r.encodeAll(now))
	}
	return out
}

// Differing returns the records that the sender of some others lacks or has in an older state.
func (t *Tracker) Differing(now clock.Time, theirs []*fleetpb.PartRecord) []*fleetpb.PartRecord {
	out := t.Next(now)
	return slices.DeleteFunc(out, func(m *fleetpb.PartRecord) bool {
		return slices.ContainsFunc(theirs, func(o *fleetpb.PartRecord) bool {
			return o.Part == m.Part && o.Round == m.Round && len(o.Crashes) == len(m.Crashes) && o.Spans == m.Spans && o.TrialCrashes == m.TrialCrashes &&
				!hasDoubled(o.Sent, m.Sent) && !hasDoubled(o.Alive, m.Alive)
		})
	})
}

func (r *record) encodeAll(now clock.Time) *fleetpb.PartRecord { return r.encode(now, r.crashes) }

// encode encodes a record with some of its crashes.
func (r *record) encode(now clock.Time, crashes []crash) *fleetpb.PartRecord {
	m := &fleetpb.PartRecord{
		Part: r.key, Round: r.round, AgeMs: now.Sub(r.changedAt).Uint32(),
		Position: r.position, Wide: r.wide, TrialCrashes: r.trialCrashes, Sent: r.sent, Alive: r.alive,
	}
	if r.guilty {
		m.BlockedMs, m.Spans = r.until.Sub(now).Uint32(), r.spans
	}
	for _, c := range crashes {
		m.Crashes = append(m.Crashes, &fleetpb.PartCrash{Id: c.id, Request: c.request})
	}
	return m
}

// Merge unites records of another VM with the own ones.
func (t *Tracker) Merge(now clock.Time, vm string, records []*fleetpb.PartRecord) (events []Event) {
	for _, m := range records {
		theirs := record{guilty: m.Spans > 0}
		if m.Part == "" || clock.Duration(m.AgeMs) > theirs.lifetime() {
			continue
		}
		r := t.record(now, m.Part, m.Position)
		if !t.mergeRecord(now, r, m) {
			continue
		}
		if r.wide = r.wide || m.Wide; r.wide || len(r.crashes) >= minCrashes || r.isQuarantined() {
			t.markUnsent(r)
		}
		if r.isQuarantined() || len(r.crashes) >= suspectCrashes {
			events = append(events, Event{Kind: Learned, Key: r.key, Crashes: len(r.crashes), Requests: requests(r.crashes), VM: vm, Span: max(0, r.until.Sub(now))})
		}
		if survivedAt, _ := t.survived.Get(r.key); len(r.crashes) > 0 && t.isSound(now, r.key) {
			events = append(events, t.clear(survivedAt, r))
		}
	}
	t.evict()
	return append(events, t.judge(now)...)
}

// mergeRecord merges a record of another VM into the own one, and reports whether that changed it.
func (t *Tracker) mergeRecord(now clock.Time, r *record, m *fleetpb.PartRecord) (changed bool) {
	if m.Round < r.round {
		if m.Wide || len(m.Crashes) >= suspectCrashes {
			// The others do not know that the key was cleared.
			r.wide = true
			t.markUnsent(r)
		}
		return false
	}
	if m.Round > r.round {
		t.reset(r)
		r.round, changed = m.Round, true
		if len(m.Crashes) == 0 && m.Spans == 0 {
			// Another VM cleared the part.
			at, _ := t.survived.Get(r.key)
			t.survived.Set(r.key, max(at, now.Add(-clock.Duration(m.AgeMs))))
		}
	}
	for _, c := range m.Crashes {
		changed = t.addCrash(now, r, crash{id: c.Id, request: c.Request}) || changed
	}
	changed = t.mergeCount(r, &r.sent, m.Sent) || changed
	changed = t.mergeCount(r, &r.alive, m.Alive) || changed
	if m.Spans > r.spans {
		r.spans, r.until, changed = m.Spans, now.Add(clock.Duration(m.BlockedMs)), true
	}
	if until := now.Add(clock.Duration(m.BlockedMs)); m.Spans == r.spans && r.spans > 0 && r.until.Sub(until) > minShortening {
		r.until, changed = until, true
	}
	if m.TrialCrashes > r.trialCrashes {
		r.trialCrashes, changed = m.TrialCrashes, true
	}
	if changed {
		r.changedAt = max(r.changedAt, now.Add(-clock.Duration(m.AgeMs)))
	}
	return changed
}

// mergeCount merges a number of runs, and reports whether others are to be told of it.
func (t *Tracker) mergeCount(r *record, n *uint32, theirs uint32) (changed bool) {
	theirs = min(theirs, maxCount)
	if theirs <= *n {
		return false
	}
	changed = hasDoubled(*n, theirs)
	*n = theirs
	t.suspects.changed(r)
	return changed
}

// hasDoubled reports whether a number has reached another power of two.
func hasDoubled(before, after uint32) bool { return bits.Len32(before) < bits.Len32(after) }
