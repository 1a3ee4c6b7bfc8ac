// Package catchup brings a VM to the newest revision of the tables that it knows to be committed.
package catchup

import "github.com/jasminecove/jasminecove/internal/base/clock"

// Status says how current the tables of a VM are.
type Status struct {
	Revision uint64         // In force on the VM; 0 if there is none.
	Age      clock.Duration // How long Revision has been in force.
	Wanted   uint64         // Newest revision known to be committed.
	Behind   clock.Duration // How long a newer revision than Revision has been known; 0 if there is none.
}

// IsBehind reports whether a newer revision is known than the one in force.
func (s Status) IsBehind() bool { return s.Wanted > s.Revision }
