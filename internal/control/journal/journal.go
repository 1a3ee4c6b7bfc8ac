// Package journal stores a replica's persistent state in a data folder, as a
// write-ahead log of checksummed records and a snapshot. A record is durable only
// after a successful sync. After a failed write or sync the journal accepts no
// further writes, because the page cache may no longer match the disk; the process
// must be restarted.
package journal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/control/raft"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Errors of a journal.
const (
	ErrLocked         = fault.Sentinel("journal: the data folder is locked by another process")
	ErrPoisoned       = fault.Sentinel("journal: no further writes are accepted after an earlier write failed")
	ErrJournalMissing = fault.Sentinel("journal: the data folder has a snapshot but no journal")
)

// File names in the data folder.
const (
	journalFile  = "journal"
	snapshotFile = "snapshot"
	lockFile     = "lock"
	newSuffix    = ".new"
)

// CorruptionError reports corruption that an interrupted write cannot cause.
type CorruptionError struct {
	File   string
	Offset int64
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("journal: file %s is corrupted at offset %d", e.File, e.Offset)
}

// WriteError reports a write or sync that failed, for example on a full disk.
type WriteError struct {
	Step string
	Err  error
}

// Error implements error.
func (e *WriteError) Error() string { return fmt.Sprintf("journal: %s: %v", e.Step, e.Err) }

// Unwrap returns the underlying error.
func (e *WriteError) Unwrap() error { return e.Err }

// Journal is an open data folder. It is not safe for concurrent use, except for
// SaveSnapshot.
type Journal struct {
	disk     Disk
	unlock   io.Closer
	file     File
	identity *fleetpb.Identity
	poisoned atomic.Bool
	buf      []byte
	records  int
	size     int64
}

// Loaded is the content of a data folder.
type Loaded struct {
	Identity       *fleetpb.Identity // Nil when the folder was empty.
	State          raft.PersistentState
	TruncatedBytes int // Size of the incomplete record that was truncated at the end.
}

// Open locks and loads the folder. For an empty folder, Loaded is empty and Begin
// must be called next.
func Open(disk Disk) (*Journal, Loaded, error) {
	unlock, err := disk.Lock()
	if err != nil {
		return nil, Loaded{}, err
	}
	j := &Journal{disk: disk, unlock: unlock}
	loaded, err := j.load()
	if err != nil {
		return nil, Loaded{}, errors.Join(err, unlock.Close())
	}
	return j, loaded, nil
}

func (j *Journal) load() (Loaded, error) {
	var loaded Loaded
	snapshot, hasSnapshot, err := j.readSnapshot()
	if err != nil {
		return loaded, err
	}
	data, err := j.disk.ReadFile(journalFile)
	if errors.Is(err, os.ErrNotExist) {
		if hasSnapshot {
			return loaded, ErrJournalMissing
		}
		return loaded, nil
	}
	if err != nil {
		return loaded, fmt.Errorf("read journal: %w", err)
	}
	loaded.State.Snapshot = snapshot
	if err := j.replay(data, &loaded); err != nil {
		return loaded, err
	}
	j.identity = loaded.Identity
	return loaded, j.reopen(int64(len(data) - loaded.TruncatedBytes))
}

// reopen opens the journal for appending after its valid records, which fill size
// bytes.
func (j *Journal) reopen(size int64) error {
	file, err := j.disk.Append(journalFile)
	if err != nil {
		return &WriteError{Step: "open", Err: err}
	}
	if err := file.Truncate(size); err != nil {
		return errors.Join(&WriteError{Step: "truncate incomplete record", Err: err}, file.Close())
	}
	if err := file.Sync(); err != nil {
		return errors.Join(&WriteError{Step: "sync", Err: err}, file.Close())
	}
	j.file = file
	return nil
}

func (j *Journal) readSnapshot() (raft.Snapshot, bool, error) {
	data, err := j.disk.ReadFile(snapshotFile)
	if errors.Is(err, os.ErrNotExist) {
		return raft.Snapshot{}, false, nil
	}
	if err != nil {
		return raft.Snapshot{}, false, fmt.Errorf("read snapshot: %w", err)
	}
	payload, size, ok := readRecord(data)
	var m fleetpb.SnapshotFile
	if !ok || size != len(data) || proto.Unmarshal(payload, &m) != nil {
		return raft.Snapshot{}, false, &CorruptionError{File: snapshotFile}
	}
	return raft.Snapshot{Index: m.Index, Term: m.Term, Membership: m.Membership, State: m.State}, true, nil
}

// replay rebuilds the persistent state from the journal's records.
func (j *Journal) replay(data []byte, loaded *Loaded) error {
	payloads, validBytes, corruptAt := splitRecords(data)
	if corruptAt >= 0 {
		return &CorruptionError{File: journalFile, Offset: corruptAt}
	}
	loaded.TruncatedBytes = len(data) - validBytes
	j.size = int64(validBytes)
	j.records = len(payloads)
	for _, payload := range payloads {
		var r fleetpb.JournalRecord
		if err := proto.Unmarshal(payload, &r); err != nil {
			return &CorruptionError{File: journalFile, Offset: int64(validBytes)}
		}
		loaded.applyRecord(&r)
	}
	if loaded.Identity == nil {
		// The first record holds the replica's identity. Without it the journal
		// cannot be attributed to a replica and is not usable.
		return &CorruptionError{File: journalFile}
	}
	return nil
}

// applyRecord applies one record.
func (l *Loaded) applyRecord(r *fleetpb.JournalRecord) {
	if r.Identity != nil {
		l.Identity = r.Identity
	}
	if r.Hard != nil {
		l.State.Hard = r.Hard
	}
	if r.Cut > 0 {
		l.truncateFrom(r.Cut)
	}
	for _, e := range r.Entries {
		if e.Index <= l.State.Snapshot.Index {
			continue
		}
		l.truncateFrom(e.Index)
		l.State.Entries = append(l.State.Entries, e)
	}
}

func (l *Loaded) truncateFrom(index uint64) {
	entries := l.State.Entries
	for len(entries) > 0 && entries[len(entries)-1].Index >= index {
		entries = entries[:len(entries)-1]
	}
	l.State.Entries = entries
}

// Init initialises an empty folder for the replica of the given identity.
func (j *Journal) Init(identity *fleetpb.Identity, d raft.PersistentState) error {
	j.identity = identity
	return j.Rewrite(d)
}

// Append makes one update durable.
func (j *Journal) Append(hard *fleetpb.HardState, truncateFrom uint64, entries []*fleetpb.Entry) error {
	if j.poisoned.Load() {
		return ErrPoisoned
	}
	payload, err := proto.MarshalOptions{}.MarshalAppend(nil, &fleetpb.JournalRecord{Hard: hard, Cut: truncateFrom, Entries: entries})
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	j.buf = appendRecord(j.buf[:0], payload)
	if _, err := j.file.Write(j.buf); err != nil {
		return j.poison("write", err)
	}
	if err := j.file.Sync(); err != nil {
		return j.poison("sync", err)
	}
	j.records++
	j.size += int64(len(j.buf))
	return nil
}

// Records returns the number of records since the last Rewrite.
func (j *Journal) Records() int { return j.records }

// Size returns the bytes of the journal file.
func (j *Journal) Size() int64 { return j.size }

// SaveSnapshot stores a snapshot and replaces an older one. It may run concurrently
// with Append. Until Reset, the journal holds entries that the snapshot covers;
// Open skips them.
func (j *Journal) SaveSnapshot(s raft.Snapshot) error {
	if j.poisoned.Load() {
		return ErrPoisoned
	}
	payload, err := proto.Marshal(&fleetpb.SnapshotFile{Index: s.Index, Term: s.Term, Membership: s.Membership, State: s.State})
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	file, err := j.replaceFile(snapshotFile, payload)
	if err != nil {
		return err
	}
	return file.Close()
}

// Reset starts a new journal with the entries that follow the saved snapshot.
func (j *Journal) Reset(hard *fleetpb.HardState, entries []*fleetpb.Entry) error {
	if j.poisoned.Load() {
		return ErrPoisoned
	}
	payload, err := proto.Marshal(&fleetpb.JournalRecord{Identity: j.identity, Hard: hard, Entries: entries})
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	file, err := j.replaceFile(journalFile, payload)
	if err != nil {
		return err
	}
	if j.file != nil {
		_ = j.file.Close()
	}
	j.file, j.records, j.size = file, 1, int64(len(payload))
	return nil
}

// Rewrite stores a snapshot, if there is one, and starts a new journal with the
// entries that follow it.
func (j *Journal) Rewrite(d raft.PersistentState) error {
	if d.Snapshot.Index > 0 {
		if err := j.SaveSnapshot(d.Snapshot); err != nil {
			return err
		}
	}
	return j.Reset(d.Hard, d.Entries)
}

// replaceFile atomically replaces a file by one that holds a single record, and
// makes this durable. It returns the file, open for appending.
func (j *Journal) replaceFile(name string, payload []byte) (File, error) {
	file, err := j.disk.Create(name + newSuffix)
	if err != nil {
		return nil, j.poison("create", err)
	}
	if _, err := file.Write(appendRecord(nil, payload)); err != nil {
		return nil, errors.Join(j.poison("write", err), file.Close())
	}
	if err := file.Sync(); err != nil {
		return nil, errors.Join(j.poison("sync", err), file.Close())
	}
	if err := j.disk.Rename(name+newSuffix, name); err != nil {
		return nil, errors.Join(j.poison("rename", err), file.Close())
	}
	if err := j.disk.SyncFolder(); err != nil {
		return nil, errors.Join(j.poison("sync folder", err), file.Close())
	}
	return file, nil
}

func (j *Journal) poison(step string, err error) error {
	j.poisoned.Store(true)
	return &WriteError{Step: step, Err: err}
}

// Close closes the journal file and releases the lock on the folder.
func (j *Journal) Close() error {
	var err error
	if j.file != nil {
		err = j.file.Close()
	}
	return errors.Join(err, j.unlock.Close())
}
