package forward

import "github.com/jasminecove/jasminecove/internal/base/fault"

// Reasons for which a send or an answer ends.
const (
	errNoTables    = fault.Sentinel("forward: no tables are in force yet")
	errNoBudget    = fault.Sentinel("forward: the share of repeats is used up")
	errTooLong     = fault.Sentinel("forward: the answer is longer than an answer may be")
	errNoIntegrity = fault.Sentinel("forward: the answer bears no integrity header")
	errStalled     = fault.Sentinel("forward: the stream made no progress")
	errLost        = fault.Sentinel("forward: an engine on the path was found dead")
	errNotEvents   = fault.Sentinel("forward: the new run did not answer with events")
	errCutEvent    = fault.Sentinel("forward: the stream ended within an event")
	errNoResume    = fault.Sentinel("forward: the stream broke and may not be resumed")
	errAttempts    = fault.Sentinel("forward: the route's attempts are used up")
)
