package ratecap

import "github.com/jasminecove/jasminecove/internal/base/clock"

// pause is the time for which the process of an upstream wants no requests of this VM.
type pause struct {
	startedMs uint64
	until     clock.Time
}

// Pause records that the process of an upstream that started at a given time wants no requests of this VM
// for a while. A shorter pause does not replace a longer one. Pause reports whether it changed anything.
func (l *Limiter) Pause(now clock.Time, upstream string, startedMs uint64, d clock.Duration) bool {
	// now is truncated to milliseconds, so that the pause would end too early without one more.
	next := pause{startedMs, now.Add(d + 1)}
	p, known := l.pauses[upstream]
	if known && (startedMs < p.startedMs || startedMs == p.startedMs && next.until <= p.until) {
		return false
	}
	l.pauses[upstream] = next
	return true
}

// EndPause ends the pause of an upstream whose next process is known.
func (l *Limiter) EndPause(upstream string) { delete(l.pauses, upstream) }

// PausedFor returns how long an upstream still wants no requests.
func (l *Limiter) PausedFor(now clock.Time, upstream string) clock.Duration {
	p, known := l.pauses[upstream]
	if !known {
		return 0
	}
	if left := p.until.Sub(now); left > 0 {
		return left
	}
	delete(l.pauses, upstream)
	return 0
}
