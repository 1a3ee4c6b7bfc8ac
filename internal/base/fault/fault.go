// Package fault provides the sentinel error type. Every error that callers distinguish is a
// value of a named type, so that they use errors.Is and errors.As and never compare texts.
package fault

// Sentinel is a constant error. A package declares its own as
//
//	const ErrClosed = fault.Sentinel("link: closed")
type Sentinel string

// Error implements error.
func (s Sentinel) Error() string { return string(s) }
