// Package state is the replicated state machine. It holds the revisions of the
// tables, the outcome of each change identifier, the claims of bookings and the
// fencing number for orders. Only committed commands change it, with the same
// result on every replica.
package state

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Retention limits.
const (
	// MaxRevisions is the maximum number of retained revisions.
	MaxRevisions = 512
	// MaxRevisionBytes bounds the total size of the documents of retained
	// revisions, so that a snapshot fits on a small disk.
	MaxRevisionBytes = 4 << 20
	// MaxChanges is the maximum number of retained change identifiers. It exceeds
	// the changes of one day at the fleet size planned for two years ahead.
	MaxChanges = 25_000
	// MaxClaims is the maximum number of retained claims.
	MaxClaims = 200_000
	// ClaimRetention is the retention period of a claim. It is much longer than the
	// period in which callers retry.
	ClaimRetention = 24 * clock.Hour
)

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	sink         invariant.Sink
	now          clock.Time // Latest time carried by a command.
	applied      uint64
	revisions    []*fleetpb.Revision // Oldest first; the last one is in force.
	changes      *orderedMap[*fleetpb.ChangeOutcome]
	claims       *orderedMap[*fleetpb.ClaimRecord]
	fencing      uint64
	ordersHolder string
}

// New returns an empty state.
func New(sink invariant.Sink) *State {
	return &State{
		sink:    sink,
		changes: newOrderedMap[*fleetpb.ChangeOutcome](),
		claims:  newOrderedMap[*fleetpb.ClaimRecord](),
	}
}

// AppliedIndex returns the index of the last applied entry.
func (s *State) AppliedIndex() uint64 { return s.applied }

// Apply applies the command at the given index. A command whose change identifier
// was used before changes nothing and returns the outcome of the first use.
func (s *State) Apply(index uint64, c *fleetpb.Command) *fleetpb.Result {
	invariant.Check(s.sink, index > s.applied, "appliedOnce", "applied index %d after index %d", index, s.applied)
	s.applied = index
	if c == nil {
		return nil
	}
	s.now = max(s.now, clock.Time(c.AtMs))
	if earlier, ok := s.changes.get(c.ChangeId); ok && c.ChangeId != "" {
		repeated := proto.CloneOf(earlier.Result)
		repeated.Repeated = true
		return repeated
	}
	result := s.execute(index, c)
	result.Index = index
	if c.ChangeId != "" {
		s.changes.put(c.ChangeId, &fleetpb.ChangeOutcome{ChangeId: c.ChangeId, Result: result, AtMs: int64(s.now)})
		s.changes.trim(MaxChanges)
	}
	return result
}

func (s *State) execute(index uint64, c *fleetpb.Command) *fleetpb.Result {
	switch b := c.Body.(type) {
	case *fleetpb.Command_Apply:
		return s.applyTables(c, b.Apply)
	case *fleetpb.Command_Adopt:
		return s.adoptTables(b.Adopt)
	case *fleetpb.Command_Claim:
		return s.claim(b.Claim)
	case *fleetpb.Command_Settle:
		return s.settle(b.Settle)
	case *fleetpb.Command_Grant:
		s.fencing, s.ordersHolder = index, b.Grant.Holder
		return &fleetpb.Result{Fencing: s.fencing}
	}
	return &fleetpb.Result{Code: fleetpb.Result_INVALID, Detail: fmt.Sprintf("unknown command %T", c.Body)}
}

// applyTables accepts new tables if they are based on the current revision.
func (s *State) applyTables(c *fleetpb.Command, a *fleetpb.ApplyTables) *fleetpb.Result {
	current := s.Revision()
	if a.BaseRevision != current.GetNumber() {
		return &fleetpb.Result{
			Code: fleetpb.Result_CONFLICT, Revision: current.GetNumber(), Author: current.GetAuthor(),
			Detail: fmt.Sprintf("based on revision %d, the present one is %d", a.BaseRevision, current.GetNumber()),
		}
	}
	next := &fleetpb.Revision{
		Number: current.GetNumber() + 1, ChangeId: c.ChangeId, Author: a.Author, Note: a.Note,
		AtMs: int64(s.now), Document: a.Document,
	}
	s.addRevision(next)
	return &fleetpb.Result{Revision: next.Number}
}

// adoptTables accepts new tables if their number is higher than the current
// revision's. A lower or equal number gives the same kind of result and changes
// nothing, so that adoptions may be repeated and reordered.
func (s *State) adoptTables(a *fleetpb.AdoptTables) *fleetpb.Result {
	current := s.Revision()
	if a.Number <= current.GetNumber() {
		return &fleetpb.Result{Revision: current.GetNumber()}
	}
	s.addRevision(&fleetpb.Revision{Number: a.Number, Author: a.Author, AtMs: int64(s.now), Document: a.Document})
	return &fleetpb.Result{Revision: a.Number}
}

// addRevision puts a revision in force and removes the oldest ones beyond the
// retention limits.
func (s *State) addRevision(next *fleetpb.Revision) {
	current := s.Revision()
	invariant.Check(s.sink, next.Number > current.GetNumber(), "neverReverts", "revision %d after %d", next.Number, current.GetNumber())
	all := append(slices.Clone(s.revisions), next)
	first, size := len(all)-1, len(next.Document)
	for first > 0 && len(all)-first < MaxRevisions && size+len(all[first-1].Document) <= MaxRevisionBytes {
		first--
		size += len(all[first].Document)
	}
	s.revisions = all[first:]
}

// Revision returns the revision in force, or nil before the first.
func (s *State) Revision() *fleetpb.Revision {
	if len(s.revisions) == 0 {
		return nil
	}
	return s.revisions[len(s.revisions)-1]
}

// RevisionAt returns the revision with the given number if it is retained.
func (s *State) RevisionAt(number uint64) (*fleetpb.Revision, bool) {
	for _, r := range s.revisions {
		if r.Number == number {
			return r, true
		}
	}
	return nil, false
}

// History returns the retained revisions without their documents, newest first.
func (s *State) History() []*fleetpb.Revision {
	out := make([]*fleetpb.Revision, 0, len(s.revisions))
	for _, r := range slices.Backward(s.revisions) {
		out = append(out, &fleetpb.Revision{Number: r.Number, ChangeId: r.ChangeId, Author: r.Author, Note: r.Note, AtMs: r.AtMs})
	}
	return out
}

// Fencing returns the latest fencing number and the VM that may issue orders.
func (s *State) Fencing() (number uint64, holder string) { return s.fencing, s.ordersHolder }
