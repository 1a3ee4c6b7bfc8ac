package raft

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// isVoter reports whether a replica is a voter in the latest membership.
func (c *Core) isVoter(id string) bool {
	for _, v := range c.membership.GetVoters() {
		if v.Id == id {
			return true
		}
	}
	return false
}

// quorum returns the number of voters that form a majority.
func (c *Core) quorum() int { return len(c.membership.GetVoters())/2 + 1 }

// preCampaign starts a pre-vote, which checks whether an election could be won
// without incrementing the term, so that a replica that was partitioned does not
// disrupt a working leader.
func (c *Core) preCampaign(now clock.Time) {
	c.resetElectionTimer(now)
	if !c.isVoter(c.id) {
		return
	}
	c.role = PreCandidate
	c.leader = ""
	c.votes = map[string]bool{c.id: true}
	if c.hasMajority() {
		c.campaign(now, false)
		return
	}
	for _, v := range c.membership.Voters {
		if v.Id != c.id {
			m := c.voteRequest(fleetpb.RaftMessage_PRE_VOTE, v.Id)
			c.send(m)
			m.Term = c.term + 1
		}
	}
}

// campaign starts an election in a new term.
func (c *Core) campaign(now clock.Time, transfer bool) {
	if !c.isVoter(c.id) {
		return
	}
	c.role = Candidate
	c.leader = ""
	c.term++
	c.vote = c.id
	c.saveHardState()
	c.resetElectionTimer(now)
	c.votes = map[string]bool{c.id: true}
	if c.hasMajority() {
		c.becomeLeader(now)
		return
	}
	for _, v := range c.membership.Voters {
		if v.Id != c.id {
			m := c.voteRequest(fleetpb.RaftMessage_VOTE, v.Id)
			m.Transfer = transfer
			c.sendAfterSync(m)
		}
	}
}

func (c *Core) voteRequest(kind fleetpb.RaftMessage_Kind, to string) *fleetpb.RaftMessage {
	return &fleetpb.RaftMessage{Kind: kind, To: to, LogIndex: c.log.lastIndex(), LogTerm: c.log.lastTerm()}
}

func (c *Core) onPreVote(now clock.Time, m *fleetpb.RaftMessage) {
	grant := m.Term > c.term && !c.withholdsVote(now) && c.log.upToDate(m.LogIndex, m.LogTerm)
	reply := &fleetpb.RaftMessage{Kind: fleetpb.RaftMessage_PRE_VOTE_REPLY, To: m.From, Reject: !grant}
	c.send(reply)
	if grant {
		reply.Term = m.Term
	}
}

func (c *Core) onPreVoteReply(now clock.Time, m *fleetpb.RaftMessage) {
	if m.Reject {
		if m.Term > c.term {
			c.becomeFollower(now, m.Term, "")
		}
		return
	}
	if c.role != PreCandidate || m.Term != c.term+1 {
		return
	}
	c.votes[m.From] = true
	if c.hasMajority() {
		c.campaign(now, false)
	}
}

func (c *Core) onVote(now clock.Time, m *fleetpb.RaftMessage) {
	grant := (c.vote == "" || c.vote == m.From) && c.role != Leader && c.log.upToDate(m.LogIndex, m.LogTerm)
	if grant {
		c.vote = m.From
		c.saveHardState()
		c.resetElectionTimer(now)
	}
	c.sendAfterSync(&fleetpb.RaftMessage{Kind: fleetpb.RaftMessage_VOTE_REPLY, To: m.From, Reject: !grant})
}

func (c *Core) onVoteReply(now clock.Time, m *fleetpb.RaftMessage) {
	if c.role != Candidate || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.hasMajority() {
		c.becomeLeader(now)
	}
}

// hasMajority reports whether a majority of the voters granted their vote.
func (c *Core) hasMajority() bool {
	n := 0
	for _, v := range c.membership.Voters {
		if c.votes[v.Id] {
			n++
		}
	}
	return n >= c.quorum()
}
