package raft

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// outgoingSnapshot is the state of a snapshot transfer to a follower.
type outgoingSnapshot struct {
	snapshot Snapshot
	offset   uint64
}

// incomingSnapshot is the state of a snapshot transfer from the leader.
type incomingSnapshot struct {
	index uint64
	term  uint64
	data  []byte
}

// startSnapshot begins a transfer to a follower whose next entry is no longer in
// the log.
func (c *Core) startSnapshot(id string, p *progress) {
	p.snapshot = &outgoingSnapshot{snapshot: c.log.snapshot}
	c.sendChunk(id, p)
}

// sendChunk sends the first chunk that the follower has not acknowledged.
func (c *Core) sendChunk(id string, p *progress) {
	s := p.snapshot
	total := uint64(len(s.snapshot.State))
	end := min(total, s.offset+uint64(c.chunkBytes))
	c.send(&fleetpb.RaftMessage{
		Kind: fleetpb.RaftMessage_SNAPSHOT, To: id, Round: c.round,
		Chunk: &fleetpb.SnapshotChunk{
			Index: s.snapshot.Index, Term: s.snapshot.Term, Offset: s.offset, Total: total,
			Data: s.snapshot.State[s.offset:end], Membership: s.snapshot.Membership,
		},
	})
}

// onSnapshot handles one chunk. The reply carries the offset of the next chunk
// wanted, also when the received one was out of order.
func (c *Core) onSnapshot(now clock.Time, m *fleetpb.RaftMessage) {
	if m.Chunk == nil || !c.acceptLeader(now, m) {
		return
	}
	reply := &fleetpb.RaftMessage{Kind: fleetpb.RaftMessage_SNAPSHOT_REPLY, To: m.From, Round: m.Round, LogIndex: m.Chunk.Index}
	if t, ok := c.log.term(m.Chunk.Index); ok && t == m.Chunk.Term {
		c.commit = max(c.commit, m.Chunk.Index)
	}
	if m.Chunk.Index <= c.commit {
		// The log already covers the snapshot.
		c.incoming = nil
		reply.Hint = m.Chunk.Total
		c.sendAfterSync(reply)
		return
	}
	in := c.incoming
	if in == nil || in.index != m.Chunk.Index || in.term != m.Chunk.Term {
		in = &incomingSnapshot{index: m.Chunk.Index, term: m.Chunk.Term}
		c.incoming = in
	}
	if m.Chunk.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Chunk.Data...)
	}
	reply.Hint = uint64(len(in.data))
	if reply.Hint >= m.Chunk.Total {
		c.install(m.Chunk, in.data)
	}
	c.sendAfterSync(reply)
}

// install replaces the log and the state by a complete snapshot.
func (c *Core) install(chunk *fleetpb.SnapshotChunk, state []byte) {
	s := Snapshot{Index: chunk.Index, Term: chunk.Term, Membership: chunk.Membership, State: state}
	c.incoming = nil
	c.log.restore(s)
	c.commit, c.applied, c.synced = s.Index, s.Index, s.Index
	c.membership, c.membershipIndex = s.Membership, s.Index
	c.out.Restore = &s
	c.out.TruncateFrom = 0
	c.out.Append = nil
	c.out.Committed = nil
}

// onSnapshotReply continues the transfer, or resumes log replication once it is
// complete.
func (c *Core) onSnapshotReply(now clock.Time, m *fleetpb.RaftMessage) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.lastAck = now
	p.round = max(p.round, m.Round)
	c.completeRounds(now)
	s := p.snapshot
	if s == nil || m.LogIndex != s.snapshot.Index {
		return
	}
	if m.Hint < uint64(len(s.snapshot.State)) {
		if m.Hint != s.offset || m.Hint == 0 {
			s.offset = m.Hint
			c.sendChunk(m.From, p)
		}
		return
	}
	p.snapshot = nil
	p.match = max(p.match, s.snapshot.Index)
	p.next = p.match + 1
	p.probing = true
	p.inFlight = 0
	c.advance(now)
	if c.role == Leader {
		c.sendAppend(m.From, p, true)
	}
}
