// Package fault holds the base types of the project's failures. Every failure
// is a value of a named type, so that callers test it with errors.Is and
// errors.As and never by its text.
package fault

// Sentinel is a constant error. A package declares its own as
//
//	const ErrClosed = fault.Sentinel("link: closed")
type Sentinel string

// Error implements error.
func (s Sentinel) Error() string { return string(s) }
