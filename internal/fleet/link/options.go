package link

import "github.com/jasminecove/jasminecove/internal/base/clock"

// Option changes how a Transport behaves.
type Option func(*Transport)

// WithProbe sets the span between probes of a link and the silence after which
// it is replaced, though it may still be open.
func WithProbe(every, silence clock.Duration) Option {
	return func(t *Transport) { t.probeEvery, t.silence = every, silence }
}

// WithIdle sets the span after which a link that carries nothing is closed.
func WithIdle(span clock.Duration) Option {
	return func(t *Transport) { t.idle = span }
}
