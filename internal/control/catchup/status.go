// Package catchup brings a VM to the newest revision of the tables that it knows to be committed.
package catchup

import "github.com/jasminecove/jasminecove/internal/base/clock"

// Status says how current the tables of a VM are.
type Status struct {
	Revision uint64         // In force on the VM; 0 if there is none.
	Age      clock.Duration // How long Revision has been in force.
	Wanted   uint64         // Newest revision known to be committed.
	Behind   clock.Duration // How long the next revision after Revision that is known has been known; 0 if there is none.
}

// maxBehind is how long a VM may handle requests by tables of which it knows that newer ones are committed.
const maxBehind = 1 * clock.Second

// IsOutdated reports whether the tables in force must not be used, as newer ones have been known for too long: routes
// may lead elsewhere, and keys may have been withdrawn.
func (s Status) IsOutdated() bool { return s.IsBehind() && s.Behind > maxBehind }

// IsBehind reports whether a newer revision is known than the one in force.
func (s Status) IsBehind() bool { return s.Wanted > s.Revision }
