package filter

import "github.com/jasminecove/jasminecove/internal/base/fault"

// ErrResponseTooLarge is returned for a service's response that is larger than maxResponseBytes.
const ErrResponseTooLarge = fault.Sentinel("filter: response of the service exceeds the maximum size")
