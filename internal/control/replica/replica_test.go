package replica_test

import (
	"context"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/control/journal"
	"github.com/jasminecove/jasminecove/internal/control/replica"
	"github.com/jasminecove/jasminecove/internal/control/state"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// faults is the clock, sender and receiver of changes of a replica. Each panics once when told to.
type faults struct {
	clock.Clock
	now, change atomic.Bool
}

func (f *faults) Now() clock.Time {
	if f.now.CompareAndSwap(true, false) {
		panic("clock")
	}
	return f.Clock.Now()
}

func (f *faults) SendRaft(string, *fleetpb.RaftMessage) {}

func (f *faults) changed(*state.State) {
	if f.change.CompareAndSwap(true, false) {
		panic("change")
	}
}

// end lets the clock panic until the replica ends, and returns the reason. The check of the membership goes on.
func (f *faults) end(ended <-chan error) error {
	defer f.now.Store(false)
	for {
		f.now.Store(true)
		select {
		case err := <-ended:
			return err
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func open(t *testing.T, folder string, f *faults) *replica.Replica {
	t.Helper()
	disk, err := journal.Folder(folder)
	assert.NilError(t, err)
	r, err := replica.Open(replica.Config{
		VM: "a", Disk: disk, Clock: f, Source: rng.New(1), Sink: invariant.Fatal{}, Log: hclog.NewNullLogger(), Sender: f, OnChange: f.changed,
	})
	assert.NilError(t, err)
	return r
}

func run(ctx context.Context, r *replica.Replica) <-chan error {
	result := make(chan error, 1)
	go func() { result <- r.Run(ctx) }()
	return result
}

func awaitLead(t *testing.T, r *replica.Replica) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); r.Status().Role != "leader"; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the replica does not lead")
	}
}

func apply(t *testing.T, r *replica.Replica, base uint64) {
	t.Helper()
	result, err := r.Propose(t.Context(), &fleetpb.Command{Body: &fleetpb.Command_Apply{Apply: &fleetpb.ApplyTables{BaseRevision: base, Document: []byte{byte(base)}}}})
	assert.NilError(t, err)
	assert.Equal(t, result.Revision, base+1)
}

// TestPanicLosesNothing guards against the end of a process by a panic of its replica, and against a
// replica that is opened again without its term, its vote or what it acknowledged.
func TestPanicLosesNothing(t *testing.T) {
	folder, f := t.TempDir(), &faults{Clock: clock.NewSystem()}
	r := open(t, folder, f)
	id, ended := r.ID(), run(t.Context(), r)
	assert.NilError(t, r.Bootstrap(t.Context(), []*fleetpb.Replica{{Id: id, Vm: "a"}}))
	for base := range uint64(3) {
		awaitLead(t, r)
		apply(t, r, base)
		before := r.Status()
		assert.ErrorIs(t, f.end(ended), replica.ErrPanicked)
		_, err := r.Propose(t.Context(), &fleetpb.Command{})
		assert.ErrorIs(t, err, replica.ErrStopped)
		r = open(t, folder, f)
		assert.Equal(t, r.ID(), id)
		assert.Assert(t, r.Status().Term == before.Term && r.Status().Last >= before.Commit, "%+v after %+v", r.Status(), before)
		ended = run(t.Context(), r)
	}
	awaitLead(t, r)
	assert.NilError(t, r.Read(t.Context(), func(s *state.State) { assert.Equal(t, len(s.History()), 3) }))
}

// TestPanicsOutsideTheReplica guards against the end of a replica by those that read its state.
func TestPanicsOutsideTheReplica(t *testing.T) {
	f := &faults{Clock: clock.NewSystem()}
	r := open(t, t.TempDir(), f)
	ended := run(t.Context(), r)
	assert.NilError(t, r.Bootstrap(t.Context(), []*fleetpb.Replica{{Id: r.ID(), Vm: "a"}}))
	awaitLead(t, r)
	f.change.Store(true)
	apply(t, r, 0)
	for end := time.Now().Add(5 * time.Second); f.change.Load(); time.Sleep(time.Millisecond) { // It follows the result.
		assert.Assert(t, time.Now().Before(end))
	}
	assert.ErrorIs(t, r.Read(t.Context(), func(*state.State) { panic("read") }), replica.ErrPanicked)
	apply(t, r, 1)
	assert.Equal(t, len(ended), 0)
}

// TestFailedOpenUnlocks guards against a folder that stays locked, so that no later attempt opens it.
func TestFailedOpenUnlocks(t *testing.T) {
	folder, f := t.TempDir(), &faults{Clock: clock.NewSystem()}
	f.now.Store(true)
	func() {
		defer func() { assert.Equal(t, recover(), "clock") }()
		open(t, folder, f)
	}()
	_, err := os.Stat(filepath.Join(folder, "journal"))
	assert.NilError(t, err)
	open(t, folder, f)
}
