package stagelink

import "github.com/jasminecove/jasminecove/internal/base/clock"

// Option changes how a Link behaves.
type Option func(*Link)

// WithProbe sets the interval between probes and the time without a frame after which the
// connection is considered lost, even if it is still open.
func WithProbe(interval, timeout clock.Duration) Option {
	return func(l *Link) { l.probeInterval, l.probeTimeout = interval, timeout }
}

// WithRedialTimeout bounds the time to replace a lost connection, after which its sessions
// are notified that the replica is lost.
func WithRedialTimeout(timeout clock.Duration) Option {
	return func(l *Link) { l.redialTimeout = timeout }
}

// withNotify sets the function called when the engine becomes reachable or unreachable.
func withNotify(notify func(replica string, down bool)) Option {
	return func(l *Link) { l.notify = notify }
}
