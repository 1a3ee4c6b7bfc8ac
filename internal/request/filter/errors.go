package filter

import "github.com/jasminecove/jasminecove/internal/base/fault"

// ErrResponseTooLarge reports a service's answer beyond the stated bound.
const ErrResponseTooLarge = fault.Sentinel("filter: the service's response is too large")
