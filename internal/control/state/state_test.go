package state_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jasminecove/jasminecove/internal/base/invariant"
	"github.com/jasminecove/jasminecove/internal/control/state"
	"github.com/jasminecove/jasminecove/internal/testkit/seeded"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

func apply(change string, base uint64, author string) *fleetpb.Command {
	return &fleetpb.Command{ChangeId: change, Body: &fleetpb.Command_Apply{Apply: &fleetpb.ApplyTables{
		BaseRevision: base, Document: []byte(change), Author: author,
	}}}
}

func claim(key, run string, fingerprint uint64, at int64) *fleetpb.Command {
	return &fleetpb.Command{AtMs: at, Body: &fleetpb.Command_Claim{Claim: &fleetpb.ClaimBooking{Key: key, RunId: run, Fingerprint: fingerprint}}}
}

func settle(key, run string, kind fleetpb.Outcome_Kind) *fleetpb.Command {
	return &fleetpb.Command{Body: &fleetpb.Command_Settle{Settle: &fleetpb.SettleClaim{Key: key, RunId: run, Outcome: &fleetpb.Outcome{Kind: kind, Status: 201}}}}
}

// TestConcurrentChangesConflict applies two changes based on the same revision. The second
// must get a conflict that names the author of the first.
func TestConcurrentChangesConflict(t *testing.T) {
	s := state.New(invariant.Fatal{})
	assert.Equal(t, s.Apply(1, apply("c1", 0, "amal")).Code, fleetpb.Result_OK)
	lost := s.Apply(2, apply("c2", 0, "bea"))
	assert.Equal(t, lost.Code, fleetpb.Result_CONFLICT)
	assert.Equal(t, lost.Revision, uint64(1))
	assert.Equal(t, lost.Author, "amal")
}

// TestRepeatedChange checks that a repeated change identifier gets its first outcome, also
// after many later changes.
func TestRepeatedChange(t *testing.T) {
	s := state.New(invariant.Fatal{})
	s.Apply(1, apply("c0", 0, "amal"))
	for i := uint64(1); i < 600; i++ {
		s.Apply(i+1, apply(fmt.Sprintf("c%d", i), i, "bea"))
	}
	again := s.Apply(700, apply("c0", 0, "amal"))
	assert.Assert(t, again.Repeated)
	assert.Equal(t, again.Code, fleetpb.Result_OK)
	assert.Equal(t, again.Revision, uint64(1))
	assert.Equal(t, s.Revision().Number, uint64(600))
}

func TestClaimRunsOnce(t *testing.T) {
	s := state.New(invariant.Fatal{})
	assert.Equal(t, s.Apply(1, claim("k", "r1", 7, 0)).Code, fleetpb.Result_OK)
	assert.Equal(t, s.Apply(2, claim("k", "r2", 7, 0)).Code, fleetpb.Result_HELD)
	assert.Equal(t, s.Apply(3, claim("k", "r3", 8, 0)).Code, fleetpb.Result_FINGERPRINT)
	assert.Equal(t, s.Apply(4, settle("k", "r2", fleetpb.Outcome_COMPLETE)).Code, fleetpb.Result_STALE)
	assert.Equal(t, s.Apply(5, settle("k", "r1", fleetpb.Outcome_COMPLETE)).Code, fleetpb.Result_OK)
	late := s.Apply(6, claim("k", "r4", 7, 0))
	assert.Equal(t, late.Code, fleetpb.Result_HELD)
	assert.Equal(t, late.Outcome.Status, uint32(201))
}

// TestClaimAfterNotRun checks that a claim may be taken again when its run did not happen,
// and that the earlier run can no longer settle it.
func TestClaimAfterNotRun(t *testing.T) {
	s := state.New(invariant.Fatal{})
	s.Apply(1, claim("k", "r1", 7, 0))
	s.Apply(2, settle("k", "r1", fleetpb.Outcome_NOT_RUN))
	assert.Equal(t, s.Apply(3, claim("k", "r2", 7, 0)).Code, fleetpb.Result_OK)
	assert.Equal(t, s.Apply(4, settle("k", "r1", fleetpb.Outcome_COMPLETE)).Code, fleetpb.Result_STALE)
}

func TestClaimsExpire(t *testing.T) {
	s := state.New(invariant.Fatal{})
	s.Apply(1, claim("k", "r1", 7, 1000))
	s.Apply(2, claim("l", "r2", 7, 1000+int64(state.ClaimRetention)-1))
	assert.Equal(t, s.ClaimCount(), 2)
	s.Apply(3, claim("m", "r3", 7, 1000+int64(state.ClaimRetention)))
	assert.Equal(t, s.ClaimCount(), 2)
	assert.Assert(t, s.Claim("k") == nil)
}

// TestRestoreEquivalence checks that a replica that was restored from a snapshot
// at any point gives the same results and the same snapshot as one that was not.
func TestRestoreEquivalence(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		a := state.New(invariant.Fatal{})
		b := state.New(invariant.Fatal{})
		for i := uint64(1); i < 60; i++ {
			key := fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key"))
			run := fmt.Sprint("r", rapid.IntRange(0, 5).Draw(t, "run"))
			var c *fleetpb.Command
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0:
				c = apply(run, rapid.Uint64Range(0, 5).Draw(t, "base"), "x")
			case 1:
				c = claim(key, run, 1, int64(i)*int64(state.ClaimRetention)/20)
			case 2:
				c = settle(key, run, fleetpb.Outcome_Kind(rapid.IntRange(1, 3).Draw(t, "kind")))
			case 3:
				c = &fleetpb.Command{Body: &fleetpb.Command_Grant{Grant: &fleetpb.GrantOrders{Holder: key}}}
			}
			assert.Equal(t, a.Apply(i, c).String(), b.Apply(i, c).String())
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				data, err := b.Encode()
				assert.NilError(t, err)
				b = state.New(invariant.Fatal{})
				assert.NilError(t, b.Restore(i, data))
			}
		}
		x, err := a.Encode()
		assert.NilError(t, err)
		y, err := b.Encode()
		assert.NilError(t, err)
		assert.DeepEqual(t, x, y)
	})
}

// TestAdoptHighestNumber adopts tables with lower numbers, and with the current
// number, after the highest one.
func TestAdoptHighestNumber(t *testing.T) {
	s := state.New(invariant.Fatal{})
	index := uint64(0)
	adopt := func(number uint64, document string) *fleetpb.Result {
		index++
		return s.Apply(index, &fleetpb.Command{Body: &fleetpb.Command_Adopt{Adopt: &fleetpb.AdoptTables{Number: number, Document: []byte(document)}}})
	}
	assert.Equal(t, adopt(3, "three").Revision, uint64(3))
	assert.Equal(t, adopt(9, "nine").Revision, uint64(9))
	for _, late := range []uint64{3, 5, 9} {
		r := adopt(late, "other")
		assert.Equal(t, r.Code, fleetpb.Result_OK)
		assert.Equal(t, r.Revision, uint64(9))
	}
	assert.Equal(t, string(s.Revision().Document), "nine")
}

// TestRetainedDocumentsBounded checks that large documents evict older revisions,
// and that the newest revision stays.
func TestRetainedDocumentsBounded(t *testing.T) {
	s := state.New(invariant.Fatal{})
	large := make([]byte, state.MaxRevisionBytes/3)
	for i := range uint64(10) {
		s.Apply(i+1, &fleetpb.Command{Body: &fleetpb.Command_Adopt{Adopt: &fleetpb.AdoptTables{Number: i + 1, Document: large}}})
	}
	assert.Equal(t, len(s.History()), 3)
	assert.Equal(t, s.Revision().Number, uint64(10))
}
