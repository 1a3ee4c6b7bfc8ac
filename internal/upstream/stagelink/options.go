package stagelink

import "github.com/jasminecove/jasminecove/internal/base/clock"

// Option changes how a Link behaves.
type Option func(*Link)

// WithProbe sets the span between probes and the silence after which the
// connection counts as lost, though it may still be open.
func WithProbe(every, silence clock.Duration) Option {
	return func(l *Link) { l.probeEvery, l.silence = every, silence }
}

// WithRedial bounds the time in which a lost connection may be replaced before
// its sessions are told that the replica is lost.
func WithRedial(bound clock.Duration) Option {
	return func(l *Link) { l.redial = bound }
}

// withNotify is told when the engine becomes reachable or unreachable.
func withNotify(notify func(replica string, down bool)) Option {
	return func(l *Link) { l.notify = notify }
}
