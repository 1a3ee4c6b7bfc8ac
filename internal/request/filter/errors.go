package filter

import "github.com/jasminecove/jasminecove/internal/base/fault"

// Errors of calls.
const (
	// errPanicked ends an attempt that panicked.
	errPanicked = fault.Sentinel("filter: the call ended by a panic")
	// errRepeatedCrash ends a model call that lost engines before its answer had begun.
	errRepeatedCrash = fault.Sentinel("filter: several upstreams broke off the request early")
)
