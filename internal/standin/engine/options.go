package engine

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/standin/model"
)

// Option changes how an Engine behaves.
type Option func(*Engine)

// WithModel sets the model, its version and its number of layers.
func WithModel(name, version string, layers uint32) Option {
	return func(e *Engine) { e.name, e.version, e.modelLayers = name, version, layers }
}

// WithLayers sets the layers that the engine holds, from up to, not including, to.
func WithLayers(from, to uint32) Option {
	return func(e *Engine) { e.layerFrom, e.layerTo = from, to }
}

// WithSpeed sets the positions that the engine runs in a second, in decode. The
// engine takes prompts prefillFactor times faster.
func WithSpeed(perSecond float64) Option {
	return func(e *Engine) { e.speed = perSecond }
}

// WithAccelerator names the accelerator kind.
func WithAccelerator(kind string) Option {
	return func(e *Engine) { e.accelerator = kind }
}

// WithDataCentre names the data centre.
func WithDataCentre(name string) Option {
	return func(e *Engine) { e.dataCentre = name }
}

// WithLink sets the one-way delay and the bytes a second of the engine's link.
// 0 bytes a second means no bound.
func WithLink(delay clock.Duration, bytesPerSecond float64) Option {
	return func(e *Engine) { e.linkDelay, e.linkRate = delay, bytesPerSecond }
}

// WithPositionBytes sets the bytes of one position between layers.
func WithPositionBytes(bytes int) Option {
	return func(e *Engine) { e.width = max(bytes, model.HiddenBytes) }
}

// WithAnnounceTo sets the base addresses of the VMs to announce to, for example
// http://127.0.0.1:7001.
func WithAnnounceTo(addresses ...string) Option {
	return func(e *Engine) { e.announceTo = addresses }
}

// WithLease sets the lease that announcements ask for.
func WithLease(lease clock.Duration) Option {
	return func(e *Engine) { e.lease = lease }
}

// WithIgnoreFencing makes the engine accept orders with old fencing numbers.
func WithIgnoreFencing() Option {
	return func(e *Engine) { e.ignoreFencing = true }
}
