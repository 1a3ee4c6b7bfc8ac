package state

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Capture returns a function that encodes the current state. The function may run
// in another goroutine while the state changes, because records are replaced and
// never modified.
func (s *State) Capture() func() ([]byte, error) {
	m := &fleetpb.StateSnapshot{
		Revisions: slices.Clone(s.revisions), Changes: s.changes.values(), Claims: s.claims.values(),
		Fencing: s.fencing, OrdersHolder: s.ordersHolder, NowMs: int64(s.now),
	}
	return func() ([]byte, error) {
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		if err != nil {
			return nil, fmt.Errorf("encode state: %w", err)
		}
		return data, nil
	}
}

// Encode returns the encoded state. The encoding is deterministic: it is identical
// on every replica at the same index.
func (s *State) Encode() ([]byte, error) { return s.Capture()() }

// Restore replaces the state by an encoded one at the given index. On an error
// the state is unchanged.
func (s *State) Restore(index uint64, data []byte) error {
	var m fleetpb.StateSnapshot
	if err := proto.Unmarshal(data, &m); err != nil {
		return fmt.Errorf("decode state: %w", err)
	}
	next := New(s.sink)
	next.now, next.applied = clock.Time(m.NowMs), index
	next.revisions, next.fencing, next.ordersHolder = m.Revisions, m.Fencing, m.OrdersHolder
	for _, c := range m.Changes {
		next.changes.put(c.ChangeId, c)
	}
	for _, c := range m.Claims {
		next.claims.put(c.Key, c)
	}
	*s = *next
	return nil
}
