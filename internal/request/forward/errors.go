package forward

import "github.com/jasminecove/jasminecove/internal/base/fault"

// Causes of a failed attempt or response.
const (
	errNoTables          = fault.Sentinel("forward: routing tables not loaded yet")
	errOutdated          = fault.Sentinel("forward: newer routing tables are committed and not loaded yet")
	errStartFull         = fault.Sentinel("forward: too many requests, or too large ones, wait for the start of the VM")
	errPoolUnknown       = fault.Sentinel("forward: the upstreams of the pool are not known yet")
	errRetryLimit        = fault.Sentinel("forward: retry limit of the pool reached")
	errResponseTooLarge  = fault.Sentinel("forward: response exceeds the maximum size")
	errNoIntegrity       = fault.Sentinel("forward: response has no integrity header")
	errStalled           = fault.Sentinel("forward: the stream made no progress")
	errEngineDead        = fault.Sentinel("forward: an engine on the path is dead")
	errNotEventStream    = fault.Sentinel("forward: response is not an event stream")
	errTruncated         = fault.Sentinel("forward: event stream truncated")
	errNotResumable      = fault.Sentinel("forward: stream broke and the route does not allow resuming it")
	errQuarantined       = fault.Sentinel("forward: upstreams crash on the request or a part of its prompt")
	errRepeatedCrash     = fault.Sentinel("forward: runs of the request broke at several upstreams")
	errAttemptsExhausted = fault.Sentinel("forward: no attempts left")
)
