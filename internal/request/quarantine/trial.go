package quarantine

import (
	"slices"
	"strconv"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rendezvous"
)

const (
	// maxQuarantine is how long a quarantine lasts after its last trial. There are no more after
	// maxTrialCrashes upstreams have crashed in trials.
	maxQuarantine   = 24 * clock.Hour
	maxTrialCrashes = 3
	// One VM may make the trial at the end of a span. While it has no request for that, the number of
	// VMs that may doubles with each turnTime, up to all of them after maxDoublings.
	turnTime     = 500 * clock.Millisecond
	maxDoublings = 10
	// provenDelay is how much later the first trials are of a key that provenRequests requests or more accuse, and
	// that no upstream was alive after.
	provenDelay    = 28 * clock.Second
	provenRequests = 4
	// suspectCrashes is the number of crashes of a narrower key with which a request is no trial of a
	// key, as it may end an upstream for that reason.
	suspectCrashes = minCrashes - 1
)

// spans are the lengths of the spans of a quarantine, each of which ends with a trial. The last length
// is that of all further ones.
var spans = [...]clock.Duration{2 * clock.Second, 4 * clock.Second, 10 * clock.Minute}

// spanLength returns the length of the span with a number, from 1.
func spanLength(number uint32) clock.Duration {
	return spans[min(int(number), len(spans))-1]
}

// Block is a quarantine that keeps a request from upstreams.
type Block struct {
	Key     string
	Crashes int            // Upstreams that are known to have crashed, maxCrashes at most.
	Left    clock.Duration // Until the next trial, or the end of the quarantine.
}

// Subject describes what is in quarantine.
func (b Block) Subject() string {
	if isFingerprint(b.Key) {
		return "the request"
	}
	return "the prompt part " + b.Key
}

// SetVMs sets the names of this VM and of the live VMs, which take turns at trials.
func (t *Tracker) SetVMs(self string, live []string) {
	if t.self == self && slices.Equal(t.vms, live) {
		return
	}
	t.self, t.vms = self, live
	for _, r := range t.records {
		r.turn = turn{}
	}
}

// Check returns the quarantine of the keys of a request that keeps it from upstreams. A request that
// may be a trial is not kept from them.
func (t *Tracker) Check(now clock.Time, keys []string) (out Block, blocked bool) {
	for i, k := range keys {
		r := t.records[k]
		if r == nil || !r.isQuarantined() || t.mayTry(now, r, keys[i+1:]) {
			continue
		}
		until := r.trialAt()
		if r.trialCrashes >= maxTrialCrashes {
			until = r.changedAt.Add(maxQuarantine)
		}
		if left := max(turnTime, until.Sub(now)); left > out.Left {
			out = Block{Key: k, Crashes: len(r.crashes), Left: left}
		}
	}
	return out, out.Left > 0
}

// Admit is Check for a request that is about to be sent. If it is a trial, the next spans of the
// quarantines begin, so that no other request is.
func (t *Tracker) Admit(now clock.Time, requestID string, keys []string) (block Block, trial bool, events []Event) {
	if b, blocked := t.Check(now, keys); blocked {
		return b, false, nil
	}
	for _, k := range keys {
		r := t.records[k]
		if r == nil || len(r.crashes) == 0 {
			continue
		}
		t.count(r, &r.sent)
		if !r.isQuarantined() {
			continue
		}
		r.spans++
		r.until, r.changedAt = now.Add(spanLength(r.spans)), now
		t.markUnsent(r)
		trial = true
		events = append(events, Event{Kind: Tried, Key: k, Crashes: len(r.crashes), Requests: requests(r.crashes), RequestID: requestID, Span: spanLength(r.spans)})
	}
	return Block{}, trial, append(events, t.judge(now)...)
}

// RepeatTrial has the trial of the given keys repeated soon, as it had no result.
func (t *Tracker) RepeatTrial(now clock.Time, keys []string) {
	for _, k := range keys {
		if r := t.records[k]; r != nil && r.isQuarantined() {
			r.until = min(r.until, now.Add(spans[0]))
			t.markUnsent(r)
		}
	}
}

// mayTry reports whether a request may be the trial of a key. narrower are the request's keys after it.
func (t *Tracker) mayTry(now clock.Time, r *record, narrower []string) bool {
	due := r.trialAt()
	if due > now || r.trialCrashes >= maxTrialCrashes {
		return false
	}
	doublings := min(maxDoublings, int(now.Sub(due)/turnTime))
	if doublings < maxDoublings && slices.ContainsFunc(narrower, t.isSuspect) {
		return false
	}
	return t.rank(r) < 1<<doublings
}

// trialAt returns when the next trial may be made.
func (r *record) trialAt() clock.Time {
	if requests(r.crashes) >= provenRequests && r.isGuiltyAlone() && int(r.spans) < len(spans) {
		return r.until.Add(provenDelay)
	}
	return r.until
}

// isSuspect reports whether a key may be the reason for crashes that another key is in quarantine for.
func (t *Tracker) isSuspect(key string) bool {
	r := t.records[key]
	return r != nil && len(r.crashes) >= suspectCrashes && r.alive == 0
}

// turn is the position of this VM in the order of turns at the trial after a span, from 0.
type turn struct {
	span uint32
	rank int
}

// rank returns the position of this VM in the order of turns at the next trial of a key.
func (t *Tracker) rank(r *record) int {
	if r.turn.span != r.spans {
		order := rendezvous.Rank(r.key+" "+strconv.FormatUint(uint64(r.spans), 10), t.vms)
		r.turn = turn{span: r.spans, rank: max(0, slices.Index(order, t.self))}
	}
	return r.turn.rank
}
