package engine

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/standin/model"
)

// Option configures an Engine.
type Option func(*Engine)

// WithModel sets the model, its version and its number of layers.
func WithModel(name, version string, layers uint32) Option {
	return func(e *Engine) { e.name, e.version, e.modelLayers = name, version, layers }
}

// WithLayers sets the layers that the engine holds, from up to, not including, to.
func WithLayers(from, to uint32) Option {
	return func(e *Engine) { e.layerFrom, e.layerTo = from, to }
}

// WithSpeed sets the number of positions that the engine processes per second in
// decode. Prefill is prefillSpeedup times faster.
func WithSpeed(tokensPerSecond float64) Option {
	return func(e *Engine) { e.tokensPerSecond = tokensPerSecond }
}

// WithAccelerator sets the kind of accelerator that the engine announces.
func WithAccelerator(kind string) Option {
	return func(e *Engine) { e.accelerator = kind }
}

// WithDataCentre sets the data centre that the engine announces.
func WithDataCentre(name string) Option {
	return func(e *Engine) { e.dataCentre = name }
}

// WithLink sets the one-way delay and the bandwidth of the engine's link. A
// bandwidth of 0 means no limit.
func WithLink(delay clock.Duration, bytesPerSecond float64) Option {
	return func(e *Engine) { e.linkDelay, e.linkBytesPerSecond = delay, bytesPerSecond }
}

// WithPositionBytes sets the size of one position between stages, at least
// model.HiddenBytes.
func WithPositionBytes(bytes int) Option {
	return func(e *Engine) { e.positionBytes = max(bytes, model.HiddenBytes) }
}

// WithAnnounceTo sets the base addresses of the VMs to announce to, for example
// http://127.0.0.1:7001.
func WithAnnounceTo(addresses ...string) Option {
	return func(e *Engine) { e.announceTo = addresses }
}

// WithLease sets the lease that announcements request.
func WithLease(lease clock.Duration) Option {
	return func(e *Engine) { e.lease = lease }
}

// WithIgnoreFencing makes the engine accept orders with old fencing numbers.
func WithIgnoreFencing() Option {
	return func(e *Engine) { e.ignoreFencing = true }
}
