package link

import "github.com/jasminecove/jasminecove/internal/base/clock"

// Option changes how a Transport behaves.
type Option func(*Transport)

// WithProbe sets the interval between probes of a connection and the time without a
// reply after which it is replaced, even if QUIC still reports it as open.
func WithProbe(interval, timeout clock.Duration) Option {
	return func(t *Transport) { t.probeInterval, t.probeTimeout = interval, timeout }
}

// WithIdleTimeout sets the time after which a connection that this VM does not use is
// closed.
func WithIdleTimeout(timeout clock.Duration) Option {
	return func(t *Transport) { t.idleTimeout = timeout }
}

// WithTunnels sets what opens connections to upstreams for other VMs.
func WithTunnels(tunnels Tunnels) Option {
	return func(t *Transport) { t.tunnels = tunnels }
}
