package raft

import (
	"sort"

	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// entryLog holds the latest snapshot, the entries after it and some before it.
type entryLog struct {
	snapshot Snapshot
	// baseIndex and baseTerm are the index and the term of the entry just before the
	// first retained one. Entries covered by the snapshot may be retained for
	// followers that are slightly behind.
	baseIndex uint64
	baseTerm  uint64
	entries   []*fleetpb.Entry
}

func newLog(s Snapshot, entries []*fleetpb.Entry) *entryLog {
	return &entryLog{snapshot: s, baseIndex: s.Index, baseTerm: s.Term, entries: entries}
}

// lastIndex returns the index of the last entry.
func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

// lastTerm returns the term of the last entry.
func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index, if it is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// at returns the entry at index.
func (l *entryLog) at(index uint64) *fleetpb.Entry { return l.entries[index-l.baseIndex-1] }

// slice returns the entries from index on, up to maxEntries and about maxBytes.
func (l *entryLog) slice(index uint64, maxEntries, maxBytes int) []*fleetpb.Entry {
	var out []*fleetpb.Entry
	size := 0
	for i := index; i <= l.lastIndex() && len(out) < maxEntries; i++ {
		e := l.at(i)
		size += len(e.Command)
		if size > maxBytes && len(out) > 0 {
			break
		}
		out = append(out, e)
	}
	return out
}

func (l *entryLog) append(entries ...*fleetpb.Entry) {
	l.entries = append(l.entries, entries...)
}

// truncateFrom removes the entries from index on.
func (l *entryLog) truncateFrom(index uint64) {
	l.entries = l.entries[:index-l.baseIndex-1]
}

// compact replaces the snapshot by a newer one and retains up to keep entries
// before it, within maxTrailingBytes.
func (l *entryLog) compact(s Snapshot, keep uint64) {
	l.snapshot = s
	target := s.Index - min(keep, s.Index)
	for size, i := 0, s.Index; i > max(target, l.baseIndex); i-- {
		if size += len(l.at(i).Command); size > maxTrailingBytes {
			target = i
			break
		}
	}
	if target <= l.baseIndex {
		return
	}
	t, _ := l.term(target)
	kept := make([]*fleetpb.Entry, l.lastIndex()-target)
	copy(kept, l.entries[target-l.baseIndex:])
	l.baseIndex, l.baseTerm, l.entries = target, t, kept
}

// restore replaces the whole log by a snapshot.
func (l *entryLog) restore(s Snapshot) {
	*l = entryLog{snapshot: s, baseIndex: s.Index, baseTerm: s.Term}
}

// upToDate reports whether a log that ends at the given index and term is at
// least as up to date as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// membership returns the latest membership in the log or the snapshot, and its
// index.
func (l *entryLog) membership() (*fleetpb.Membership, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Membership != nil {
			return l.entries[i].Membership, l.entries[i].Index
		}
	}
	return l.snapshot.Membership, l.snapshot.Index
}

// membershipAt returns the membership in effect at index.
func (l *entryLog) membershipAt(index uint64) *fleetpb.Membership {
	end := sort.Search(len(l.entries), func(i int) bool { return l.entries[i].Index > index })
	for i := end - 1; i >= 0; i-- {
		if l.entries[i].Membership != nil {
			return l.entries[i].Membership
		}
	}
	return l.snapshot.Membership
}
