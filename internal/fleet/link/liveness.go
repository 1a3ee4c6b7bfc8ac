package link

import "github.com/jasminecove/jasminecove/internal/base/clock"

// liveness decides when to probe a connection and when it has failed. Every message that is
// sent is confirmed by a probe at most interval later, and a probe that is not answered within
// timeout means that the connection no longer carries data. A connection on which nothing is
// sent is not probed.
//
// A message can carry a probe, which saves a packet. A peer that does not answer those is
// probed by separate messages.
type liveness struct {
	interval, timeout clock.Duration
	answersCarried    bool       // The peer answers probes that messages carry.
	sequence          uint64     // Of the last probe.
	probedAt          clock.Time // When the last probe was sent.
	waitingSince      clock.Time // When the unanswered probe was sent; 0 if there is none.
	unconfirmed       bool       // Something was sent after the last probe.
}

// messageSent records that a message is being sent. It returns the sequence of the probe that
// the message is to carry, or 0 for none.
func (l *liveness) messageSent(now clock.Time) (probe uint64) {
	if !l.answersCarried || !l.mayProbe(now) {
		l.unconfirmed = true
		return 0
	}
	return l.probe(now)
}

// callUnanswered records that a call on the connection has not been answered for a while.
func (l *liveness) callUnanswered() { l.unconfirmed = true }

// received records a reply to a probe.
func (l *liveness) received(sequence uint64, answersCarried bool) {
	l.answersCarried = l.answersCarried || answersCarried
	if sequence == l.sequence {
		l.waitingSince = 0
	}
}

// failed reports whether a probe was not answered in time.
func (l *liveness) failed(now clock.Time) bool {
	return l.waitingSince != 0 && now.Sub(l.waitingSince) >= l.timeout
}

// due returns the sequence of a separate probe to send now, or 0 for none.
func (l *liveness) due(now clock.Time) (probe uint64) {
	if !l.unconfirmed || !l.mayProbe(now) {
		return 0
	}
	return l.probe(now)
}

// wait returns the time until the connection may have failed or a probe may be due, or limit
// if that is shorter.
func (l *liveness) wait(now clock.Time, limit clock.Duration) clock.Duration {
	switch {
	case l.waitingSince != 0:
		limit = min(limit, l.timeout-now.Sub(l.waitingSince))
	case l.unconfirmed:
		limit = min(limit, l.interval-now.Sub(l.probedAt))
	}
	return max(1, limit)
}

func (l *liveness) mayProbe(now clock.Time) bool {
	return l.waitingSince == 0 && now.Sub(l.probedAt) >= l.interval
}

func (l *liveness) probe(now clock.Time) uint64 {
	l.sequence++
	l.probedAt, l.waitingSince, l.unconfirmed = now, now, false
	return l.sequence
}
