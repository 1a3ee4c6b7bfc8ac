package quarantine

import (
	"cmp"
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/clock"
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
	for _, k := range run.Keys {
		r := t.records[k]
		if r == nil || !r.isQuarantined() {
			continue
		}
		t.explainCrash(c, k) // Also if the key's record is full.
		if run.Trial {
			r.trialCrashes++
			t.markUnsent(r)
		}
	}
	var accused []*record
	parts := countParts(run.Keys)
	for i, k := range run.Keys {
		if t.isSound(now, k) {
			continue
		}
		position := i + 1
		if i >= parts {
			position = requestPosition + i - parts
		}
		r := t.record(now, k, uint32(position))
		if !t.addCrash(r, c) || t.isExplainedElsewhere(c, r, run.Keys) {
			continue
		}
		r.changedAt = now
		t.markUnsent(r)
		accused = append(accused, r)
		events = append(events, Event{Kind: Accused, Key: k, Crashes: len(r.crashes), Requests: requests(r.crashes), Upstream: run.Upstream, RequestID: run.RequestID})
	}
	return append(events, t.judge(now, accused)...)
}

// isExplainedElsewhere reports whether a crash under a run is explained by a key that does not stand before
// the record's key in those of the run.
func (t *Tracker) isExplainedElsewhere(c crash, r *record, keys []string) bool {
	by := t.explainer(c, r.key)
	return by != nil && (!by.isWiderThan(r) || !slices.Contains(keys, by.key))
}

// addCrash adds a crash to a record, in place of one that another key explains if the record is full.
func (t *Tracker) addCrash(r *record, c crash) bool {
	return r.add(c, func(old crash) bool { return t.explainer(old, r.key) != nil })
}

// explainer returns the record of another key that is in quarantine and explains a crash, or nil.
func (t *Tracker) explainer(c crash, key string) *record {
	by, ok := t.explained.Get(c.id)
	if !ok || by == key {
		return nil
	}
	r := t.records[by]
	if r == nil || !r.isQuarantined() {
		return nil
	}
	return r
}

// unexplained returns the crashes of a record that no other quarantined key explains. A wider key explains
// nothing to one that explains all of its crashes.
func (t *Tracker) unexplained(r *record) []crash {
	var out []crash
	for _, c := range r.crashes {
		if by := t.explainer(c, r.key); by == nil || by.isWiderThan(r) && r.explains(by) {
			out = append(out, c)
		}
	}
	return out
}

// isWiderThan reports whether the key comes before another one in the keys of requests.
func (r *record) isWiderThan(o *record) bool {
	return r.position != 0 && r.position < o.position
}

// isGuilty reports whether the unexplained crashes of a key suffice for a quarantine.
func (t *Tracker) isGuilty(r *record) bool {
	left := t.unexplained(r)
	if isFingerprint(r.key) {
		return len(left) >= minCrashes
	}
	return len(left) >= minCrashes && requests(left) >= minRequests ||
		len(left) >= wideUnexplained && len(r.crashes) >= wideCrashes && requests(r.crashes) >= minRequests
}

// judgeAll judges all records, after a quarantine no longer explains their crashes.
func (t *Tracker) judgeAll(now clock.Time) []Event {
	return t.judge(now, t.byImportance(func(r *record) bool { return !t.isSound(now, r.key) }))
}

// judge quarantines those of the changed records that meet the conditions: first the narrowest, which
// the fewest requests have, then those that the crashes left unexplained by them suffice for.
func (t *Tracker) judge(now clock.Time, changed []*record) (events []Event) {
	for _, r := range changed {
		if r.isQuarantined() {
			t.explain(r)
		}
	}
	for {
		guilty := t.narrowest(changed)
		if len(guilty) == 0 {
			return append(events, t.clearExplained(now, changed)...)
		}
		for _, r := range guilty {
			r.spans, r.until, r.changedAt = 1, now.Add(spanLength(1)), now
			t.markUnsent(r)
			events = append(events, Event{Kind: Quarantined, Key: r.key, Crashes: len(r.crashes), Requests: requests(r.crashes), Rivals: t.rivals(now, r), Span: spanLength(1)})
		}
		for _, r := range guilty {
			t.explain(r)
		}
	}
}

// rivals returns the number of other keys that at least as many crashes accuse as a record's key.
func (t *Tracker) rivals(now clock.Time, r *record) (n int) {
	for _, o := range t.records {
		if o != r && len(o.crashes) >= len(r.crashes) && !t.isSound(now, o.key) {
			n++
		}
	}
	return n
}

// narrowest returns those of the records to be quarantined whose keys come last in the keys of requests,
// and of these the ones with the most unexplained crashes.
func (t *Tracker) narrowest(changed []*record) (last []*record) {
	position, most := uint32(0), -1
	for _, r := range changed {
		if r.isQuarantined() || !t.isGuilty(r) {
			continue
		}
		n := len(t.unexplained(r))
		switch order := cmp.Or(cmp.Compare(r.position, position), cmp.Compare(n, most)); {
		case order > 0:
			last, position, most = []*record{r}, r.position, n
		case order == 0:
			last = append(last, r)
		}
	}
	return last
}

// explain notes the crashes of a quarantined key, which then accuse no other key.
func (t *Tracker) explain(r *record) {
	for _, c := range r.crashes {
		t.explainCrash(c, r.key)
	}
}

// explainCrash notes that a quarantined key explains a crash, unless another one does already.
func (t *Tracker) explainCrash(c crash, key string) {
	if t.explainer(c, key) == nil {
		t.explained.Set(c.id, key)
	}
}

// clearExplained ends the quarantine of parts whose crashes one of the changed quarantined keys
// explains.
func (t *Tracker) clearExplained(now clock.Time, changed []*record) (events []Event) {
	for _, by := range changed {
		if !by.isQuarantined() {
			continue
		}
		var explained []*record
		for _, r := range t.records {
			if r.isQuarantined() && !isFingerprint(r.key) && by.explains(r) {
				explained = append(explained, r)
			}
		}
		slices.SortFunc(explained, func(a, b *record) int { return cmp.Compare(a.key, b.key) })
		for _, r := range explained {
			events = append(events, t.release(now, r, by))
		}
	}
	return events
}

// release ends the quarantine of a part as another key explains its crashes. They are kept, as they say
// nothing for the part either.
func (t *Tracker) release(now clock.Time, r, by *record) Event {
	e := Event{Kind: Cleared, Key: r.key, Crashes: len(r.crashes), Requests: requests(r.crashes), Reason: "the crashes are explained by " + by.key}
	r.round++
	r.spans, r.until, r.trialCrashes, r.changedAt = 0, 0, 0, now
	t.markUnsent(r)
	return e
}

// explains reports whether the crashes of another record are among those of r, which has more of them
// or is narrower.
func (r *record) explains(o *record) bool {
	if len(o.crashes) == len(r.crashes) && !o.isWiderThan(r) {
		return false
	}
	return !slices.ContainsFunc(o.crashes, func(c crash) bool { return !r.has(c.id) })
}
