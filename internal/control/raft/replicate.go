package raft

import (
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// progress is the leader's view of a follower's log.
type progress struct {
	match    uint64 // Highest index known to be durable on the follower.
	next     uint64 // Index of the next entry to send.
	probing  bool   // The index up to which the logs match is not known yet.
	inFlight int    // Unacknowledged appends.
	round    uint64 // Latest acknowledged heartbeat round.
	lastAck  clock.Time
	snapshot *outgoingSnapshot
}

// roundStart is the start time of a heartbeat round.
type roundStart struct {
	round uint64
	at    clock.Time
}

func (c *Core) becomeLeader(now clock.Time) {
	c.role = Leader
	c.leader = c.id
	c.transferTo = ""
	c.leaseUntil = 0
	c.rounds = nil
	c.reads = nil
	c.progress = map[string]*progress{}
	c.trackMembership(now)
	// Entries of earlier terms are committed together with an entry of this term.
	entry := c.appendEntry(&fleetpb.Entry{})
	c.termStartIndex = entry.Index
	c.startRound(now)
}

// trackMembership adds and removes progress records to match the latest membership.
func (c *Core) trackMembership(now clock.Time) {
	isMember := map[string]bool{}
	for _, r := range slices.Concat(c.membership.Voters, c.membership.Learners) {
		isMember[r.Id] = true
		if r.Id != c.id && c.progress[r.Id] == nil {
			c.progress[r.Id] = &progress{next: c.log.lastIndex() + 1, probing: true, lastAck: now}
		}
	}
	for id := range c.progress {
		if !isMember[id] {
			delete(c.progress, id)
		}
	}
}

// appendEntry assigns index and term to an entry and adds it to the leader's log.
func (c *Core) appendEntry(e *fleetpb.Entry) *fleetpb.Entry {
	e.Index, e.Term = c.log.lastIndex()+1, c.term
	c.log.append(e)
	c.out.Append = append(c.out.Append, e)
	if e.Membership != nil {
		c.membership, c.membershipIndex = e.Membership, e.Index
	}
	return e
}

func (c *Core) propose(now clock.Time, e *fleetpb.Entry, tag uint64) {
	switch {
	case c.role != Leader:
		c.out.Proposed = append(c.out.Proposed, ProposalResult{Tag: tag, Err: ErrNotLeader})
		return
	case c.transferTo != "":
		c.out.Proposed = append(c.out.Proposed, ProposalResult{Tag: tag, Err: ErrTransferInProgress})
		return
	}
	c.appendEntry(e)
	c.out.Proposed = append(c.out.Proposed, ProposalResult{Tag: tag, Index: e.Index, Term: e.Term})
	c.replicateAll(now)
}

// leaderTick sends heartbeats, and steps down when no majority replies or a
// leadership transfer timed out.
func (c *Core) leaderTick(now clock.Time) {
	// After a failed transfer the successor may still start an election at any
	// time, so the leader cannot hold a lease for the rest of this term. It steps
	// down instead.
	transferFailed := c.transferTo != "" && !now.Before(c.transferDeadline)
	if transferFailed || !c.quorumActive(now) {
		c.becomeFollower(now, c.term, "")
		return
	}
	if !now.Before(c.nextHeartbeat) {
		c.startRound(now)
	}
}

// quorumActive reports whether a majority replied within two election timeouts.
func (c *Core) quorumActive(now clock.Time) bool {
	n := 0
	for _, v := range c.membership.Voters {
		if v.Id == c.id || c.progress[v.Id] != nil && now.Sub(c.progress[v.Id].lastAck) < 2*c.electionTimeout {
			n++
		}
	}
	return n >= c.quorum()
}

// startRound starts a heartbeat round. The lease is renewed from the start of the
// round once a majority has acknowledged it.
func (c *Core) startRound(now clock.Time) {
	c.round++
	c.rounds = append(c.rounds, roundStart{round: c.round, at: now})
	c.nextHeartbeat = now.Add(c.heartbeatInterval)
	for _, id := range c.followers() {
		p := c.progress[id]
		if p.snapshot != nil {
			c.sendChunk(id, p)
			continue
		}
		c.sendAppend(id, p, true)
	}
	c.completeRounds(now)
}

// followers returns the identifiers of the other members in sorted order, which
// keeps the core deterministic.
func (c *Core) followers() []string {
	ids := make([]string, 0, len(c.progress))
	for id := range c.progress {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *Core) replicateAll(now clock.Time) {
	for _, id := range c.followers() {
		c.replicate(id, c.progress[id])
	}
	c.advance(now)
}

// replicate sends a follower the entries that it lacks. While the logs are known
// to match, it pipelines appends without waiting for replies.
func (c *Core) replicate(id string, p *progress) {
	for p.snapshot == nil && p.next <= c.log.lastIndex() && p.inFlight < maxInFlight {
		if p.probing && p.inFlight > 0 {
			return
		}
		if !c.sendAppend(id, p, false) {
			return
		}
	}
}

// sendAppend sends the entries from p.next on. Without entries to send, it sends
// an append only if empty is set. It reports whether it sent a message.
func (c *Core) sendAppend(id string, p *progress, empty bool) bool {
	previous := p.next - 1
	term, ok := c.log.term(previous)
	if !ok {
		c.startSnapshot(id, p)
		return true
	}
	var entries []*fleetpb.Entry
	if p.inFlight < maxInFlight && (!p.probing || p.inFlight == 0) {
		entries = c.log.slice(p.next, maxBatchEntries, maxBatchBytes)
	}
	if len(entries) == 0 && !empty {
		return false
	}
	c.send(&fleetpb.RaftMessage{
		Kind: fleetpb.RaftMessage_APPEND, To: id, LogIndex: previous, LogTerm: term,
		Entries: entries, Commit: c.commit, Round: c.round,
	})
	if len(entries) > 0 {
		p.inFlight++
		if !p.probing {
			p.next += uint64(len(entries))
		}
	}
	return true
}

func (c *Core) onAppendReply(now clock.Time, m *fleetpb.RaftMessage) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.lastAck = now
	p.inFlight = max(0, p.inFlight-1)
	p.round = max(p.round, m.Round)
	if m.Reject {
		p.probing = true
		p.inFlight = 0
		p.next = max(p.match+1, min(m.Hint+1, p.next-1))
		c.sendAppend(m.From, p, true)
		c.completeRounds(now)
		return
	}
	if m.LogIndex >= p.match {
		p.match = m.LogIndex
		if p.probing || p.next <= p.match {
			p.probing = false
			p.next = p.match + 1
		}
	}
	c.completeRounds(now)
	c.advance(now)
	if c.role == Leader {
		c.replicate(m.From, p)
		c.finishTransfer(m.From, p)
	}
}

// advance moves the commit index to the highest entry that is durable on a
// majority of the voters.
func (c *Core) advance(now clock.Time) {
	matches := make([]uint64, 0, len(c.membership.Voters))
	for _, v := range c.membership.Voters {
		matches = append(matches, c.MatchIndex(v.Id))
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.quorum()]
	if index <= c.commit {
		return
	}
	// Only entries of the leader's own term are committed by counting replicas.
	if t, _ := c.log.term(index); t != c.term {
		return
	}
	c.commit = index
	c.stepDownIfRemoved(now)
	if c.role == Leader {
		c.removeReplacedVoter(now)
		c.broadcastCommit()
		c.setReadIndexes()
	}
}

// broadcastCommit sends the new commit index to the followers, so that they apply the
// entries without waiting for the next heartbeat.
func (c *Core) broadcastCommit() {
	for _, id := range c.followers() {
		p := c.progress[id]
		if p.snapshot == nil && !p.probing && p.next > c.log.lastIndex() {
			c.sendAppend(id, p, true)
		}
	}
}

// completeRounds renews the lease and completes reads up to the latest round that
// a majority has acknowledged.
func (c *Core) completeRounds(now clock.Time) {
	acked := make([]uint64, 0, len(c.membership.Voters))
	for _, v := range c.membership.Voters {
		switch p := c.progress[v.Id]; {
		case v.Id == c.id:
			acked = append(acked, c.round)
		case p != nil:
			acked = append(acked, p.round)
		}
	}
	if len(acked) < c.quorum() {
		return
	}
	slices.Sort(acked)
	round := acked[len(acked)-c.quorum()]
	for len(c.rounds) > 0 && c.rounds[0].round <= round {
		lease := c.electionTimeout * (100 - MaxClockDriftPercent) / 100
		c.leaseUntil = max(c.leaseUntil, c.rounds[0].at.Add(lease))
		c.rounds = c.rounds[1:]
	}
	c.completeReads(now, round)
}

// onSynced records which of the replica's own entries are durable.
func (c *Core) onSynced(now clock.Time, m SyncedMsg) {
	if t, ok := c.log.term(m.Index); !ok || t != m.Term {
		return
	}
	c.synced = max(c.synced, m.Index)
	if c.role == Leader {
		c.advance(now)
	}
}
