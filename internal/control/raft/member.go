package raft

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// proposeMembership proposes a change of a single voter, or of learners.
func (c *Core) proposeMembership(now clock.Time, m MembershipMsg) {
	if err := c.checkMembership(m.Membership); err != nil {
		c.out.Proposed = append(c.out.Proposed, ProposalResult{Tag: m.Tag, Err: err})
		return
	}
	c.propose(now, &fleetpb.Entry{Membership: m.Membership}, m.Tag)
	if c.role == Leader {
		c.trackMembership(now)
		c.replicateAll(now)
	}
}

func (c *Core) checkMembership(next *fleetpb.Membership) error {
	switch {
	case c.role != Leader:
		return ErrNotLeader
	case c.membershipIndex > c.commit || c.commit < c.termStartIndex:
		return ErrMembershipPending
	}
	added, removed := difference(c.membership.Voters, next.Voters)
	if len(added)+len(removed) > 1 || len(next.Voters) == 0 {
		return ErrMembershipStep
	}
	for _, id := range added {
		// A new voter must durably hold every committed entry before it counts
		// towards a quorum.
		if p := c.progress[id]; p == nil || p.match < c.commit {
			return ErrNotCaughtUp
		}
	}
	return nil
}

// difference returns the identifiers that are only in b, and those only in a.
func difference(a, b []*fleetpb.Replica) (added, removed []string) {
	has := func(set []*fleetpb.Replica, id string) bool {
		return slices.ContainsFunc(set, func(r *fleetpb.Replica) bool { return r.Id == id })
	}
	for _, r := range b {
		if !has(a, r.Id) {
			added = append(added, r.Id)
		}
	}
	for _, r := range a {
		if !has(b, r.Id) {
			removed = append(removed, r.Id)
		}
	}
	return added, removed
}

// MembershipCommitted reports whether the latest membership is committed.
func (c *Core) MembershipCommitted() bool {
	return c.membership != nil && c.membershipIndex <= c.commit
}

// removeReplacedVoter removes a voter whose VM has a later voter, as soon as the later
// one's promotion is committed. The removal is sent together with the new commit
// index, so that the lost replica stops counting towards the quorum as soon as
// any follower learns of the promotion.
func (c *Core) removeReplacedVoter(now clock.Time) {
	if c.role != Leader || c.transferTo != "" || !c.MembershipCommitted() || c.commit < c.termStartIndex {
		return
	}
	for i, v := range c.membership.Voters {
		later := c.membership.Voters[i+1:]
		if !slices.ContainsFunc(later, func(r *fleetpb.Replica) bool { return r.Vm == v.Vm }) {
			continue
		}
		next := proto.CloneOf(c.membership)
		next.Voters = slices.Delete(next.Voters, i, i+1)
		c.appendEntry(&fleetpb.Entry{Membership: next})
		c.trackMembership(now)
		for _, id := range c.followers() {
			c.replicate(id, c.progress[id])
		}
		return
	}
}

// stepDownIfRemoved makes a leader step down once its own removal from the voters
// is committed.
func (c *Core) stepDownIfRemoved(now clock.Time) {
	if c.commit >= c.membershipIndex && !c.isVoter(c.id) {
		c.broadcastCommit()
		c.becomeFollower(now, c.term, "")
	}
}

// transfer starts a leadership transfer. The lease ends first, so that the next
// leader can be elected without waiting for it to expire.
func (c *Core) transfer(now clock.Time, m TransferMsg) {
	if c.role != Leader || c.transferTo != "" {
		return
	}
	to := m.To
	if to == "" {
		to = c.bestSuccessor(m.Avoid)
	}
	p := c.progress[to]
	if p == nil || !c.isVoter(to) {
		return
	}
	c.transferTo = to
	c.transferDeadline = now.Add(2 * c.electionTimeout)
	c.finishTransfer(to, p)
}

// finishTransfer asks the successor to start an election once it has every entry.
func (c *Core) finishTransfer(id string, p *progress) {
	if c.transferTo != id || p.match < c.log.lastIndex() {
		return
	}
	c.leaseUntil = 0
	c.send(&fleetpb.RaftMessage{Kind: fleetpb.RaftMessage_TIMEOUT_NOW, To: id})
}

// bestSuccessor returns the most up-to-date voter that is not to be avoided, or one that is if
// there is no other. Among equals it is the one that replied last, because a voter that has
// just restarted may not receive messages yet.
func (c *Core) bestSuccessor(avoid func(id string) bool) string {
	avoided := func(id string) bool { return avoid != nil && avoid(id) }
	best := ""
	for _, id := range c.followers() {
		if !c.isVoter(id) {
			continue
		}
		p, b := c.progress[id], c.progress[best]
		switch {
		case b == nil || avoided(best) && !avoided(id):
			best = id
		case avoided(id) && !avoided(best):
		case p.match > b.match || p.match == b.match && p.lastAck > b.lastAck:
			best = id
		}
	}
	return best
}
