package raft

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// onAppend handles entries or a heartbeat from the leader of the current term.
func (c *Core) onAppend(now clock.Time, m *fleetpb.RaftMessage) {
	if !c.acceptLeader(now, m) {
		return
	}
	reply := &fleetpb.RaftMessage{Kind: fleetpb.RaftMessage_APPEND_REPLY, To: m.From, Round: m.Round}
	if t, ok := c.log.term(m.LogIndex); m.LogIndex >= c.log.baseIndex && (!ok || t != m.LogTerm) {
		reply.Reject = true
		reply.Hint = c.conflictHint(m.LogIndex)
		c.sendAfterSync(reply)
		return
	}
	last := c.storeEntries(m)
	if last < m.LogIndex {
		last = m.LogIndex
	}
	c.commit = max(c.commit, min(m.Commit, last))
	reply.LogIndex = last
	c.sendAfterSync(reply)
}

// acceptLeader accepts the sender as the leader of the current term.
func (c *Core) acceptLeader(now clock.Time, m *fleetpb.RaftMessage) bool {
	if !invariant.Check(c.sink, c.role != Leader, "oneLeaderATerm", "%s and %s are both leaders of term %d", c.id, m.From, c.term) {
		return false
	}
	if c.role != Follower {
		c.role = Follower
	}
	c.leader = m.From
	c.lastContact = now
	c.resetElectionTimer(now)
	return true
}

// conflictHint returns the highest index at which the logs may match, given a mismatch
// at index.
func (c *Core) conflictHint(index uint64) uint64 {
	if index > c.log.lastIndex() {
		return c.log.lastIndex()
	}
	return max(index-1, c.log.baseIndex)
}

// storeEntries appends a message's entries to the log and returns the index up to which
// the log is now known to match the leader's.
func (c *Core) storeEntries(m *fleetpb.RaftMessage) uint64 {
	last := m.LogIndex
	for i, e := range m.Entries {
		last = e.Index
		if e.Index <= c.log.baseIndex {
			continue
		}
		t, ok := c.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			c.truncateFrom(e.Index)
		}
		rest := m.Entries[i:]
		c.log.append(rest...)
		c.out.Append = append(c.out.Append, rest...)
		c.membership, c.membershipIndex = c.log.membership()
		return rest[len(rest)-1].Index
	}
	return last
}

// truncateFrom removes the entries from index on, which conflict with the leader's.
func (c *Core) truncateFrom(index uint64) {
	invariant.Check(c.sink, index > c.commit, "committedNeverLost", "%s truncates the log from entry %d, but the commit index is %d", c.id, index, c.commit)
	c.log.truncateFrom(index)
	c.synced = min(c.synced, index-1)
	c.out.TruncateFrom = index
	c.out.Append = nil
}
