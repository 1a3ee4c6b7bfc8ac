package quarantine

import "github.com/jasminecove/jasminecove/internal/base/clock"

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	Accused     EventKind = "Accused"       // An upstream crashed under a run with the key.
	Learned     EventKind = "Learned"       // Another VM sent crashes or a quarantine of the key.
	Quarantined EventKind = "Quarantined"   // Requests with the key are refused from now on.
	Tried       EventKind = "Tried"         // A request with the key is sent as a trial.
	Cleared     EventKind = "Cleared"       // The key is not accused any more.
	Ended       EventKind = "QuarantineEnd" // The quarantine ended by time.
)

// Name returns the name of the event in logs and metrics, for example partAccused or requestAccused.
func (e Event) Name() string { return e.subject() + string(e.Kind) }

// metric returns the name of the counter of such events.
func (e Event) metric() string { return e.subject() + "_events_total" }

func (e Event) subject() string {
	if isFingerprint(e.Key) {
		return "request"
	}
	return "part"
}

// Event is a decision of a Tracker about one key, with its inputs.
type Event struct {
	Kind      EventKind
	Key       string
	Crashes   int            // Upstreams that crashed under runs with the key, maxCrashes at most.
	Requests  int            // Requests of these runs.
	Rivals    int            // Other keys that as many crashes accuse or more; for Quarantined.
	Upstream  string         // That crashed; for Accused.
	RequestID string         // Of the run; for Accused and Tried.
	VM        string         // That sent the record; for Learned.
	Reason    string         // For Cleared.
	Span      clock.Duration // Of the quarantine until the next trial, from now on; 0 without one.
}
