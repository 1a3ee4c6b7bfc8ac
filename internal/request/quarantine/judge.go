package quarantine

import (
	"cmp"
	"math"
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// Conditions of a quarantine.
const (
	// A request is quarantined after minCrashes crashes, a part after as many of minRequests requests.
	minCrashes  = 3
	minRequests = 2
	// A part is quarantined although others explain its crashes if those are of aloneRequests requests.
	aloneRequests = 3
	// With fewer crashes than clearCrashes, a part explains what a wider one does that has one crash more.
	clearCrashes = 5
	// A key on which upstreams crash has few runs beside those that end them, and no upstream is alive shortly
	// after one of them began to answer. It has at most maxSent runs for each crash and slackSent more, or, if
	// upstreams were alive, at most suspectSent runs for each of clearCrashes or more.
	maxSent     = 4
	suspectSent = 2
	slackSent   = 8
	// Of keys with about as many crashes, one with more than commonFactor times the runs of another one is left
	// alone for it.
	commonFactor = 4
)

// accuse adds the end of a run's upstream to the records of the run's keys.
func (t *Tracker) accuse(now clock.Time, run Run) (events []Event) {
	if run.Break != 0 {
		if accused, _ := t.accusers.Get(run.Break); accused {
			return nil
		}
		t.accusers.Set(run.Break, true)
	}
	c := crash{id: crashID(run.Upstream, run.StartedMs), request: requestHash(run)}
	parts := countParts(run.Keys)
	var urgent, pending []uint32 // Keys that no other crash accuses.
	for i, k := range run.Keys {
		if t.isSound(now, k) {
			continue
		}
		position := i + 1
		if i >= parts {
			position = requestPosition + i - parts
		}
		r := t.record(now, k, uint32(position))
		if !t.addCrash(now, r, c) {
			continue
		}
		r.changedAt = now
		t.markUnsent(r)
		switch {
		case r.wide || len(t.vms) < 2:
		case r.alive > 0 || run.Alive:
			pending = append(pending, keyHash(k))
		default:
			urgent = append(urgent, keyHash(k))
		}
		events = append(events, Event{Kind: Accused, Key: k, Crashes: len(r.crashes), Requests: requests(r.crashes), Upstream: run.Upstream, RequestID: run.RequestID})
	}
	t.accusations.add(&t.accusations.urgent, accusation{c, now, urgent})
	t.accusations.add(&t.accusations.pending, accusation{c, now, pending})
	if run.Trial {
		t.judgeTrial(now, run, c)
	}
	return events
}

// addCrash adds a crash to a record and reports whether that changed it. A full record keeps the crashes with the
// least IDs, so that the records of all keys hold the same sample.
func (t *Tracker) addCrash(now clock.Time, r *record, c crash) bool {
	if r.has(c.id) {
		return false
	}
	r.crashedAt = now
	if r.isFull() && c.id > r.crashes[len(r.crashes)-1].id {
		return false
	}
	at, _ := slices.BinarySearchFunc(r.crashes, c, func(a, b crash) int { return cmp.Compare(a.id, b.id) })
	r.crashes = slices.Insert(r.crashes, at, c)
	if n := len(r.crashes); n > maxCrashes {
		t.suspects.remove(r, r.crashes[n-1:])
		r.crashes = r.crashes[:maxCrashes]
	}
	r.fresh = append(r.fresh, c)
	t.suspects.add(r)
	return true
}

// judge quarantines the keys that explain the crashes, and ends the quarantine of those that other keys
// explain. It depends on the records only, not on the order in which they were learned.
func (t *Tracker) judge(now clock.Time) (events []Event) {
	for _, group := range t.suspects.takeUnjudged() {
		events = append(events, t.judgeGroup(now, group)...)
	}
	return events
}

func (t *Tracker) judgeGroup(now clock.Time, suspects []*record) (events []Event) {
	guilty := explain(now, suspects)
	for _, r := range suspects {
		switch found := slices.Contains(guilty, r); {
		case found && !r.guilty:
			events = append(events, t.quarantine(now, r, suspects))
		case !found && r.guilty:
			r.guilty = false
			t.markUnsent(r)
			events = append(events, Event{Kind: Cleared, Key: r.key, Crashes: len(r.crashes), Requests: requests(r.crashes), Reason: "other keys explain the crashes"})
		}
	}
	return events
}

// quarantine begins the quarantine of a key, or continues it where the record has one.
func (t *Tracker) quarantine(now clock.Time, r *record, suspects []*record) Event {
	r.guilty = true
	if r.spans = max(1, r.spans); r.until <= now {
		r.until, r.changedAt = now.Add(spanLength(r.spans)), now
	}
	t.markUnsent(r)
	rivals := 0
	for _, o := range suspects {
		if o != r && len(o.crashes) >= len(r.crashes) {
			rivals++
		}
	}
	return Event{Kind: Quarantined, Key: r.key, Crashes: len(r.crashes), Requests: requests(r.crashes), Rivals: rivals, Span: max(0, r.until.Sub(now))}
}

// explain returns the suspects that explain the crashes: the one with the most crashes first, then the one with
// the most of those that are left. Of suspects with nearly as many crashes it prefers the one that the fewest
// requests have.
func explain(now clock.Time, suspects []*record) (guilty []*record) {
	left := make(map[*record][]crash, len(suspects))
	for _, r := range suspects {
		left[r] = r.crashes
	}
	for {
		next := mostSuspect(suspects, left)
		if next == nil {
			break
		}
		guilty = append(guilty, next)
		for _, r := range suspects {
			left[r] = unexplained(now, left[r], next)
		}
		delete(left, next)
	}
	guilty = withoutRedundant(now, guilty)
	for _, r := range suspects {
		if r.isGuiltyAlone() && !slices.Contains(guilty, r) && !slices.ContainsFunc(guilty, func(o *record) bool { return o.isWithin(r) }) {
			guilty = append(guilty, r)
		}
	}
	return guilty
}

// mostSuspect returns the suspect to be quarantined for the crashes that are left, or nil: the one with the most
// of them, but for one that many more requests have than another one with about as many.
func mostSuspect(suspects []*record, left map[*record][]crash) (out *record) {
	candidates := slices.DeleteFunc(slices.Clone(suspects), func(r *record) bool { return !r.isGuiltyOf(left[r]) })
	most := 0
	for _, r := range candidates {
		most = max(most, len(left[r]))
	}
	fewest := uint32(math.MaxUint32 / commonFactor)
	for _, r := range candidates {
		if 3*len(left[r]) >= 2*most {
			fewest = min(fewest, r.sent+1)
		}
	}
	for _, r := range candidates {
		if r.sent <= commonFactor*fewest && (out == nil || r.isMoreSuspect(out, left)) {
			out = r
		}
	}
	return narrowest(out, candidates, left)
}

func (r *record) isMoreSuspect(o *record, left map[*record][]crash) bool {
	return cmp.Or(compareBool(r.alive == 0, o.alive == 0), cmp.Compare(len(left[r]), len(left[o])), cmp.Compare(r.position, o.position), cmp.Compare(o.sent, r.sent), cmp.Compare(o.key, r.key)) > 0
}

// narrowest returns the narrowest of the candidates that requests have with a part and that explain nearly as many
// crashes.
func narrowest(wide *record, candidates []*record, left map[*record][]crash) *record {
	if wide == nil || len(wide.crashes) >= clearCrashes {
		return wide
	}
	out := wide
	for _, r := range candidates {
		if len(left[r]) >= len(left[wide])-1 && r.isWithin(wide) && r.position > out.position {
			out = r
		}
	}
	return out
}

// isWithin reports whether the requests that accuse a key accuse another one that stands before it too.
func (r *record) isWithin(wide *record) bool {
	return wide.position < r.position && !slices.ContainsFunc(r.crashes, func(c crash) bool { return !slices.Contains(wide.crashes, c) })
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// isGuiltyOf reports whether some of the crashes of a key suffice for a quarantine.
func (r *record) isGuiltyOf(crashes []crash) bool {
	if len(crashes) < minCrashes || !isFingerprint(r.key) && requests(crashes) < minRequests {
		return false
	}
	n, sent := len(r.crashes), int(r.sent)
	if r.alive == 0 {
		return sent <= maxSent*n+slackSent || n >= 2*clearCrashes
	}
	return n >= clearCrashes && int(r.alive) <= n && sent <= suspectSent*n+slackSent
}

// isGuiltyAlone reports whether a key is quarantined although others explain its crashes, as they do where upstreams
// crash on several keys at a time: runs with it were sent, and all that are known of ended their upstreams.
func (r *record) isGuiltyAlone() bool {
	return len(r.crashes) >= clearCrashes && (isFingerprint(r.key) || requests(r.crashes) >= aloneRequests) && r.alive == 0 && r.sent > 0 && int(r.sent) <= suspectSent*len(r.crashes)+slackSent && r.isGuiltyOf(r.crashes)
}

// covers reports whether an upstream crashed under a run with the key, as far as the record tells: a full
// record holds a sample of the crashes.
func (r *record) covers(now clock.Time, c crash) bool {
	return r.has(c.id) || r.isFull() && c.id > r.crashes[len(r.crashes)-1].id && now.Sub(r.crashedAt) <= confirmTime
}

// unexplained returns those of some crashes that a key does not explain.
func unexplained(now clock.Time, crashes []crash, by *record) []crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c crash) bool { return by.covers(now, c) })
}

// withoutRedundant returns the keys without those whose crashes the other ones explain.
func withoutRedundant(now clock.Time, guilty []*record) []*record {
	for i := 0; i < len(guilty); {
		if guilty[i].isGuiltyAlone() {
			i++
			continue
		}
		left := guilty[i].crashes
		for j, r := range guilty {
			if j != i {
				left = unexplained(now, left, r)
			}
		}
		if len(left) == 0 {
			guilty = slices.Delete(guilty, i, i+1)
			continue
		}
		i++
	}
	return guilty
}

// unexplained returns the crashes of a record that no other key in quarantine explains.
func (t *Tracker) unexplained(r *record) []crash {
	return slices.DeleteFunc(slices.Clone(r.crashes), func(c crash) bool { return t.suspects.isExplained(c, r) })
}

// judgeTrial records that an upstream crashed under a trial. If another key in quarantine explains that, the
// trial says nothing and is repeated soon.
func (t *Tracker) judgeTrial(now clock.Time, run Run, c crash) {
	for _, k := range run.Keys {
		r := t.records[k]
		if r == nil || !r.guilty {
			continue
		}
		explained := slices.ContainsFunc(t.suspects.byCrash[c.id], func(o *record) bool { return o.guilty && !slices.Contains(run.Keys, o.key) })
		if explained {
			r.until = min(r.until, now.Add(spans[0]))
		} else {
			r.trialCrashes++
		}
		t.markUnsent(r)
	}
}
