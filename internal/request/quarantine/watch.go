package quarantine

import (
	"slices"
	"sync"

	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// maxEarlyBreaks is the number of runs of one request that may break before they have survived,
// unless runs with each of its shared parts have survived recently and not as many upstreams crashed.
const maxEarlyBreaks = 2

// Watch observes the runs of one request for what they say of its keys. It is safe for concurrent
// use.
type Watch struct {
	guard     *Guard
	requestID string
	keys      []string
	starts    func(upstreams []string) []uint64

	mu     sync.Mutex
	broken int  // Runs that broke before they had survived.
	trial  bool // The request is a trial whose run has not begun.
}

// Watch returns a Watch for a request with some keys. starts returns when the processes of upstreams
// started, as Unix times in ms.
func (g *Guard) Watch(requestID string, keys []string, starts func(upstreams []string) []uint64) *Watch {
	return &Watch{guard: g, requestID: requestID, keys: keys, starts: starts}
}

// Check returns the quarantine that keeps the request from upstreams.
func (w *Watch) Check() (Block, bool) {
	w.mu.Lock()
	trial := w.trial
	w.mu.Unlock()
	if trial {
		return Block{}, false
	}
	return w.guard.Check(w.keys)
}

// Admit is Check for a request that is about to be sent, which may make it a trial.
func (w *Watch) Admit() (Block, bool) {
	if w.guard == nil || len(w.keys) == 0 {
		return Block{}, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.trial {
		return Block{}, false
	}
	b, trial := w.guard.admit(w.requestID, w.keys)
	w.trial = trial
	return b, b.Left > 0
}

// Repeated reports whether too many runs of the request broke early to start another one.
func (w *Watch) Repeated() bool {
	w.mu.Lock()
	broken := w.broken
	w.mu.Unlock()
	if broken < maxEarlyBreaks {
		return false
	}
	shared := sharedParts(w.keys)
	return len(shared) > 0 && !w.guard.Sound(shared) || w.guard.Crashes(w.keys) >= maxEarlyBreaks
}

// WatchedRun is one run of a watched request. It is safe for concurrent use.
type WatchedRun struct {
	w     *Watch
	trial bool // The run is a trial.

	mu         sync.Mutex
	upstreams  []Run // The upstreams that the run depends on.
	firstEvent clock.Time
	began      bool // The first event has arrived.
	alive      bool // The upstream was alive aliveTime after it.
	survived   bool
}

// Begin starts to observe a run that depends on some upstreams.
func (w *Watch) Begin(upstreams []string) *WatchedRun {
	r := &WatchedRun{w: w}
	w.mu.Lock()
	r.trial, w.trial = w.trial, false
	w.mu.Unlock()
	r.DependOn(upstreams)
	return r
}

// Refused records that an upstream refused to run the request.
func (r *WatchedRun) Refused() { r.endTrial() }

// endTrial has a trial without a result repeated soon.
func (r *WatchedRun) endTrial() {
	if r.trial {
		r.w.guard.repeatTrial(r.w.keys)
	}
}

// NotSent records that the request did not reach an upstream. If it is a trial, it remains one.
func (r *WatchedRun) NotSent() {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	r.w.trial = r.trial
}

// DependOn replaces the upstreams that the run depends on.
func (r *WatchedRun) DependOn(upstreams []string) {
	if r.w.guard == nil || len(r.w.keys) == 0 {
		return
	}
	runs := make([]Run, len(upstreams))
	for i, startedMs := range r.w.starts(upstreams) {
		runs[i] = Run{RequestID: r.w.requestID, Upstream: upstreams[i], StartedMs: startedMs, Keys: r.w.keys, Trial: r.trial}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upstreams = runs
}

// Progress records that a part of the answer arrived.
func (r *WatchedRun) Progress() {
	if r.w.guard == nil || len(r.w.keys) == 0 {
		return
	}
	now := r.w.guard.clock.Now()
	r.mu.Lock()
	if !r.began {
		r.began, r.firstEvent = true, now
	}
	survives := !r.survived && now.Sub(r.firstEvent) >= SurviveTime
	isAlive := !r.alive && now.Sub(r.firstEvent) >= aliveTime
	r.alive = r.alive || isAlive
	r.mu.Unlock()
	if isAlive {
		r.w.guard.runAlive(r.w.keys)
	}
	if survives {
		r.survive()
	}
}

func (r *WatchedRun) survive() {
	r.mu.Lock()
	r.survived = true
	r.mu.Unlock()
	r.w.guard.RunSurvived(r.w.keys)
}

// Complete records that the answer is complete. Without framing, the end of an upstream looks like
// the end of the answer.
func (r *WatchedRun) Complete(framed bool) {
	r.mu.Lock()
	survived, upstreams := r.survived, r.aliveRuns()
	r.mu.Unlock()
	switch {
	case survived:
	case framed:
		r.survive()
	default:
		r.report(upstreams)
	}
}

// Broke records that the run broke. That counts against the keys if one of the upstreams is found
// to have ended.
func (r *WatchedRun) Broke() {
	r.mu.Lock()
	survived, upstreams := r.survived, r.aliveRuns()
	r.mu.Unlock()
	if survived {
		return
	}
	r.w.mu.Lock()
	r.w.broken++
	r.w.mu.Unlock()
	r.report(upstreams)
}

// Abandoned records that nobody waits for the run any more, though upstreams may go on with it. It
// accuses like a broken run, but does not keep the request from another run.
func (r *WatchedRun) Abandoned() {
	r.mu.Lock()
	survived, upstreams := r.survived, r.aliveRuns()
	r.mu.Unlock()
	if !survived {
		r.report(upstreams)
		r.endTrial()
	}
}

// Lost records that the run lost an upstream, also if it goes on without it.
func (r *WatchedRun) Lost(upstream string) {
	r.mu.Lock()
	survived, upstreams := r.survived, r.aliveRuns()
	r.mu.Unlock()
	if survived {
		return
	}
	for _, u := range upstreams {
		if u.Upstream == upstream {
			r.w.guard.RunBroke(u)
		}
	}
}

// aliveRuns returns the runs on the upstreams with what is known of them.
func (r *WatchedRun) aliveRuns() []Run {
	runs := slices.Clone(r.upstreams)
	for i := range runs {
		runs[i].Alive = r.alive
	}
	return runs
}

// report reports the break of the run. It counts for the first of the upstreams that is found to
// have ended.
func (r *WatchedRun) report(upstreams []Run) {
	if r.w.guard == nil {
		return
	}
	id := r.w.guard.breaks.Add(1)
	for _, u := range upstreams {
		u.Break = id
		r.w.guard.RunBroke(u)
	}
}

// SinceFirstEvent returns the time since the first part of the answer arrived, or -1 before it.
func (r *WatchedRun) SinceFirstEvent() clock.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.began {
		return -1
	}
	return r.w.guard.clock.Now().Sub(r.firstEvent)
}
