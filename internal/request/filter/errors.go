package filter

import "github.com/jasminecove/jasminecove/internal/base/fault"

// ErrResponseTooLarge is returned for a service's response that is larger than maxResponse.
const ErrResponseTooLarge = fault.Sentinel("filter: response of the service is larger than 16 MiB")
