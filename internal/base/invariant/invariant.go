// Package invariant checks internal invariants at run time. In production, violations are
// counted and logged; tests fail at the first one.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Violation reports a violated invariant.
type Violation struct {
	Rule   string // Name of the invariant, in camel case.
	Detail string // The values that violate it.
}

// Error implements error.
func (v *Violation) Error() string { return "invariant " + v.Rule + ": " + v.Detail }

// Sink receives violations.
type Sink interface {
	Violated(v *Violation)
}

// Check reports a violation of rule to sink if ok is false. It returns ok.
func Check(sink Sink, ok bool, rule, format string, args ...any) bool {
	if !ok {
		sink.Violated(&Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)})
	}
	return ok
}

// Fatal panics with the violation. Tests and randomised runs use it.
type Fatal struct{}

// Violated implements Sink.
func (Fatal) Violated(v *Violation) { panic(v) }

// Counter counts violations and passes each to a function, such as a logger.
type Counter struct {
	count atomic.Int64
	each  func(v *Violation)
}

// NewCounter returns a Counter that calls each, if not nil, for every violation.
func NewCounter(each func(v *Violation)) *Counter { return &Counter{each: each} }

// Violated implements Sink.
func (c *Counter) Violated(v *Violation) {
	c.count.Add(1)
	if c.each != nil {
		c.each(v)
	}
}

// Count returns the number of violations so far.
func (c *Counter) Count() int64 { return c.count.Load() }
