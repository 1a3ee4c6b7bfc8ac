package forward

import "github.com/jasminecove/jasminecove/internal/base/fault"

// Causes of a failed attempt or response.
const (
	errNoTables    = fault.Sentinel("forward: routing tables not loaded yet")
	errNoBudget    = fault.Sentinel("forward: retry limit of the pool reached")
	errTooLong     = fault.Sentinel("forward: response is larger than 16 MiB")
	errNoIntegrity = fault.Sentinel("forward: response has no integrity header")
	errStalled     = fault.Sentinel("forward: the stream made no progress")
	errLost        = fault.Sentinel("forward: an engine on the path is dead")
	errNotEvents   = fault.Sentinel("forward: response is not an event stream")
	errCutEvent    = fault.Sentinel("forward: event stream truncated")
	errNoResume    = fault.Sentinel("forward: stream broke and the route does not allow resuming it")
	errAttempts    = fault.Sentinel("forward: no attempts left")
)
