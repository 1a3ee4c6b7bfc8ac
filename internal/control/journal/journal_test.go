package journal_test

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/control/journal"
	"github.com/jasminecove/jasminecove/internal/control/raft"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

const errDisk = fault.Sentinel("no space left on device")

// faultyDisk is a Disk whose writes or syncs can be made to fail.
type faultyDisk struct {
	journal.Disk
	failWrite bool
	failSync  bool
}

type faultyFile struct {
	journal.File
	d *faultyDisk
}

func (d *faultyDisk) wrap(f journal.File, err error) (journal.File, error) {
	if err != nil {
		return nil, err
	}
	return &faultyFile{f, d}, nil
}

func (d *faultyDisk) Create(name string) (journal.File, error) { return d.wrap(d.Disk.Create(name)) }
func (d *faultyDisk) Append(name string) (journal.File, error) { return d.wrap(d.Disk.Append(name)) }

func (f *faultyFile) Write(p []byte) (int, error) {
	if f.d.failWrite {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, errDisk
	}
	return f.File.Write(p)
}

func (f *faultyFile) Sync() error {
	if f.d.failSync {
		return errDisk
	}
	return f.File.Sync()
}

func entry(i uint64) *fleetpb.Entry {
	return &fleetpb.Entry{Index: i, Term: 1, Command: []byte{byte(i), 2, 3}}
}

func folder(t *testing.T) (string, *faultyDisk) {
	t.Helper()
	dir := t.TempDir()
	d, err := journal.Folder(dir)
	assert.NilError(t, err)
	return dir, &faultyDisk{Disk: d}
}

func initJournal(t *testing.T, d journal.Disk) *journal.Journal {
	t.Helper()
	j, loaded, err := journal.Open(d)
	assert.NilError(t, err)
	assert.Assert(t, loaded.Identity == nil)
	assert.NilError(t, j.Init(&fleetpb.Identity{Id: "a-1", Vm: "a"}, raft.Bootstrap([]*fleetpb.Replica{{Id: "a-1", Vm: "a"}})))
	return j
}

func reload(t *testing.T, d journal.Disk) journal.Loaded {
	t.Helper()
	j, loaded, err := journal.Open(d)
	assert.NilError(t, err)
	assert.NilError(t, j.Close())
	return loaded
}

// TestAppendAndReload checks that Open returns what was appended, with later entries in place of
// truncated ones.
func TestAppendAndReload(t *testing.T) {
	_, d := folder(t)
	j := initJournal(t, d)
	assert.NilError(t, j.Append(&fleetpb.HardState{Term: 3, Vote: "b"}, 0, []*fleetpb.Entry{entry(2), entry(3), entry(4)}))
	assert.NilError(t, j.Append(nil, 4, []*fleetpb.Entry{{Index: 4, Term: 3}}))
	assert.NilError(t, j.Close())
	l := reload(t, d)
	assert.Equal(t, l.Identity.Id, "a-1")
	assert.Equal(t, l.State.Hard.Term, uint64(3))
	assert.Equal(t, len(l.State.Entries), 3)
	assert.Equal(t, l.State.Entries[2].Term, uint64(3))
	assert.Equal(t, l.State.Snapshot.Index, uint64(1))
}

// TestIncompleteRecordTruncated truncates the file at every byte of its last record, as a
// crash during a write can. Open must drop that record only.
func TestIncompleteRecordTruncated(t *testing.T) {
	dir, d := folder(t)
	j := initJournal(t, d)
	assert.NilError(t, j.Append(nil, 0, []*fleetpb.Entry{entry(2)}))
	file := filepath.Join(dir, "journal")
	before, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.NilError(t, j.Append(nil, 0, []*fleetpb.Entry{entry(3)}))
	assert.NilError(t, j.Close())
	complete, err := os.ReadFile(file)
	assert.NilError(t, err)
	for size := len(before); size < len(complete); size++ {
		assert.NilError(t, os.WriteFile(file, complete[:size], 0o600))
		l := reload(t, d)
		assert.Equal(t, len(l.State.Entries), 1, "file of %d bytes", size)
		assert.Equal(t, l.TruncatedBytes, size-len(before))
	}
}

// TestCorruptionDetected changes a bit at every offset except in the last 30 bytes, where
// the change may look like an incomplete record. Open must report corruption.
func TestCorruptionDetected(t *testing.T) {
	dir, d := folder(t)
	j := initJournal(t, d)
	for i := uint64(2); i < 6; i++ {
		assert.NilError(t, j.Append(nil, 0, []*fleetpb.Entry{entry(i)}))
	}
	assert.NilError(t, j.Close())
	file := filepath.Join(dir, "journal")
	complete, err := os.ReadFile(file)
	assert.NilError(t, err)
	for at := 0; at < len(complete)-30; at++ {
		bad := append([]byte(nil), complete...)
		bad[at] ^= 0x40
		assert.NilError(t, os.WriteFile(file, bad, 0o600))
		_, _, err := journal.Open(d)
		var corruption *journal.CorruptionError
		assert.Assert(t, errors.As(err, &corruption), "byte %d: %v", at, err)
		assert.Equal(t, corruption.File, "journal")
	}
}

// TestNoWritesAfterFailure checks that the journal refuses writes after a failed write or
// sync, even once the disk works again.
func TestNoWritesAfterFailure(t *testing.T) {
	for _, set := range []func(*faultyDisk){func(d *faultyDisk) { d.failWrite = true }, func(d *faultyDisk) { d.failSync = true }} {
		_, d := folder(t)
		j := initJournal(t, d)
		set(d)
		err := j.Append(nil, 0, []*fleetpb.Entry{entry(2)})
		var write *journal.WriteError
		assert.Assert(t, errors.As(err, &write))
		assert.ErrorIs(t, err, errDisk)
		d.failWrite, d.failSync = false, false
		assert.ErrorIs(t, j.Append(nil, 0, []*fleetpb.Entry{entry(2)}), journal.ErrPoisoned)
		assert.NilError(t, j.Close())
	}
}

// TestRewrite checks that a snapshot and the entries after it replace the journal, and
// that Open refuses a snapshot without a journal.
func TestRewrite(t *testing.T) {
	dir, d := folder(t)
	j := initJournal(t, d)
	for i := uint64(2); i < 100; i++ {
		assert.NilError(t, j.Append(nil, 0, []*fleetpb.Entry{entry(i)}))
	}
	s := raft.Snapshot{Index: 98, Term: 1, State: []byte("state")}
	assert.NilError(t, j.Rewrite(raft.PersistentState{Hard: &fleetpb.HardState{Term: 1}, Snapshot: s, Entries: []*fleetpb.Entry{entry(99)}}))
	assert.NilError(t, j.Append(nil, 0, []*fleetpb.Entry{entry(100)}))
	assert.NilError(t, j.Close())
	l := reload(t, d)
	assert.Equal(t, string(l.State.Snapshot.State), "state")
	assert.Equal(t, len(l.State.Entries), 2)
	assert.NilError(t, os.Remove(filepath.Join(dir, "journal")))
	_, _, err := journal.Open(d)
	assert.ErrorIs(t, err, journal.ErrJournalMissing)
}

// TestCrashBeforeReset checks that no entry is lost when the process crashes after
// the snapshot was saved and before the journal was replaced.
func TestCrashBeforeReset(t *testing.T) {
	dir, d := folder(t)
	j := initJournal(t, d)
	for i := uint64(2); i < 10; i++ {
		assert.NilError(t, j.Append(nil, 0, []*fleetpb.Entry{entry(i)}))
	}
	old, err := os.ReadFile(filepath.Join(dir, "journal"))
	assert.NilError(t, err)
	s := raft.Snapshot{Index: 5, Term: 1, State: []byte("state")}
	assert.NilError(t, j.Rewrite(raft.PersistentState{Snapshot: s}))
	assert.NilError(t, j.Close())
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "journal"), old, 0o600))
	l := reload(t, d)
	assert.Equal(t, l.State.Snapshot.Index, uint64(5))
	assert.Equal(t, len(l.State.Entries), 4)
	assert.Equal(t, l.State.Entries[0].Index, uint64(6))
}

func TestFolderLocked(t *testing.T) {
	_, d := folder(t)
	j := initJournal(t, d)
	defer func() { assert.NilError(t, j.Close()) }()
	_, _, err := journal.Open(d)
	assert.ErrorIs(t, err, journal.ErrLocked)
}

func FuzzOpen(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{3, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7})
	f.Fuzz(func(t *testing.T, data []byte) {
		dir := t.TempDir()
		d, err := journal.Folder(dir)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "journal"), data, 0o600))
		j, _, err := journal.Open(d)
		if err == nil {
			assert.NilError(t, j.Close())
		}
	})
}

var _ io.Closer = (*journal.Journal)(nil)
