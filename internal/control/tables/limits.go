package tables

import (
	"fmt"
	"math"
	"strings"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/label"
)

// Limits of the numbers in tables. Within them, sums and products of the fields stay in range.
const (
	maxDuration = 365 * 24 * clock.Hour
	maxCount    = 1 << 30
	maxLayers   = 1 << 12
	minQuantity = 1e-9 // Of a number that must be above 0.
	maxQuantity = 1e12
)

// limits checks the strings, which go into headers, logs and messages, and the ranges of numbers.
func (v *validator) limits() {
	for i, r := range v.doc.Routes {
		v.routeLimits(fmt.Sprintf("routes[%d]", i), r)
	}
	for i, p := range v.doc.Pools {
		v.poolLimits(fmt.Sprintf("pools[%d]", i), p)
	}
	for i, o := range v.doc.Organisations {
		key := fmt.Sprintf("organisations[%d]", i)
		v.text(key+".name", o.Name)
		for _, k := range o.Keys {
			v.text(key+".keys", k)
		}
	}
	c := v.doc.Callers
	v.count("callers.maxHeaderBytes", c.MaxHeaderBytes)
	if c.MaxBodyBytes < 0 {
		v.add("callers.maxBodyBytes", "must not be negative")
	}
	v.duration("callers.headerTimeout", c.HeaderTimeout)
	v.duration("callers.idleTimeout", c.IdleTimeout)
}

func (v *validator) routeLimits(key string, r Route) {
	v.text(key+".name", r.Name)
	v.printable(key+".match", r.Match.Model, r.Match.Host, r.Match.PathPrefix)
	v.printable(key+".match.methods", r.Match.Methods...)
	v.duration(key+".deadline", r.Deadline)
	v.duration(key+".objective", r.Objective)
	v.count(key+".attempts", r.Attempts)
	for i, s := range r.Split {
		if s.Weight > maxCount {
			v.add(fmt.Sprintf("%s.split[%d].weight", key, i), "must not exceed %d", maxCount)
		}
	}
	if r.Events != nil {
		v.duration(key+".events.callerTimeout", r.Events.CallerTimeout)
		v.duration(key+".events.maxGap", r.Events.MaxGap)
	}
}

func (v *validator) poolLimits(key string, p Pool) {
	v.text(key+".name", p.Name)
	v.text(key, p.Model)
	v.text(key, p.Version)
	v.text(key, p.Service)
	if !label.IsPrintable(p.HealthPath) || strings.Contains(p.HealthPath, " ") {
		v.add(key+".healthPath", "must be a path without spaces and control characters")
	}
	v.duration(key+".hedgeAfter", p.HedgeAfter)
	v.count(key+".concurrency", p.Concurrency)
	v.count(key+".maxConnections", p.MaxConnections)
	if p.Layers > maxLayers {
		v.add(key+".layers", "must not exceed %d", maxLayers)
	}
	if math.IsNaN(p.RetryShare) || math.IsNaN(p.MinTokensPerSecond) {
		v.add(key, "retryShare and keepTokensPerSecond must be numbers")
	}
	if p.Engine != nil {
		v.engineLimits(key+".engine", p.Engine)
	}
}

func (v *validator) engineLimits(key string, e *Engine) {
	if e.Layers > maxLayers {
		v.add(key+".layers", "must not exceed %d", maxLayers)
	}
	v.count(key, e.Slots, e.MaxConcurrentLoads, e.EventTokens, e.DefaultPromptTokens, e.DefaultAnswerTokens)
	v.duration(key+".loadTime", e.LoadTime)
	v.positive(key, e.LayerMB, e.CacheBytesPerToken, e.ReadTokensPerMs)
	v.quantity(key, e.ActivationBytesPerToken, e.LinkMbps, e.StepMs, e.PerRequestMs, e.ContextMsPerK)
	for i, k := range e.Kinds {
		key := fmt.Sprintf("%s.kinds[%d]", key, i)
		v.text(key+".name", k.Name)
		v.positive(key, k.MemoryMB, k.StepFactor, k.ReadFactor)
	}
}

func (v *validator) text(key, s string) {
	if !label.IsText(s) {
		v.add(key, "must be UTF-8 of at most %d bytes without control characters", label.MaxBytes)
	}
}

func (v *validator) printable(key string, all ...string) {
	for _, s := range all {
		if !label.IsPrintable(s) {
			v.add(key, "must be UTF-8 without control characters")
		}
	}
}

func (v *validator) duration(key string, d clock.Duration) {
	if d < 0 || d > maxDuration {
		v.add(key, "must be between 0 and %s", maxDuration)
	}
}

func (v *validator) count(key string, counts ...int) {
	for _, n := range counts {
		if n < 0 || n > maxCount {
			v.add(key, "counts must be between 0 and %d", maxCount)
		}
	}
}

func (v *validator) positive(key string, quantities ...float64) {
	for _, x := range quantities {
		if !(x >= minQuantity && x <= maxQuantity) { // True for NaN.
			v.add(key, "numbers that must be above 0 must be between %g and %g", minQuantity, maxQuantity)
		}
	}
}

func (v *validator) quantity(key string, quantities ...float64) {
	for _, x := range quantities {
		if !(x >= 0 && x <= maxQuantity) { // True for NaN.
			v.add(key, "numbers must be between 0 and %g", maxQuantity)
		}
	}
}
