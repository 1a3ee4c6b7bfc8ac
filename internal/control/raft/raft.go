// Package raft implements the Raft consensus algorithm for a small group of
// replicas, with pre-vote, check-quorum, a leader lease that depends only on
// bounded clock drift, learners, single-server membership changes, read-index
// reads, chunked snapshots and pipelined replication.
//
// A Core is a deterministic state machine and does no I/O. Its caller passes it
// messages and performs the resulting effects; see Effects for the order.
package raft

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Defaults and limits.
const (
	defaultHeartbeatInterval = 50 * clock.Millisecond
	defaultElectionTimeout   = 300 * clock.Millisecond
	defaultChunkBytes        = 256 << 10
	defaultTrailingEntries   = 1024
	maxTrailingBytes         = 4 << 20
	maxBatchEntries          = 512
	maxBatchBytes            = 1 << 20
	maxInFlight              = 64 // Unacknowledged appends to one follower.
	// MaxClockDriftPercent bounds the difference between the rates of two clocks. The
	// leader's lease is shorter by this share than the election timeout, during
	// which followers withhold their votes.
	MaxClockDriftPercent = 10
)

// Role is the role of a replica in the current term.
type Role int

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String implements fmt.Stringer.
func (r Role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[r]
}

// PersistentState is the durable state from which a replica starts.
type PersistentState struct {
	Hard     *fleetpb.HardState
	Snapshot Snapshot
	Entries  []*fleetpb.Entry
}

// Core is the consensus state of one replica.
type Core struct {
	id                string
	src               *rng.Source
	sink              invariant.Sink
	heartbeatInterval clock.Duration
	electionTimeout   clock.Duration
	chunkBytes        int
	trailingEntries   uint64

	term       uint64
	vote       string
	log        *entryLog
	membership *fleetpb.Membership
	// membershipIndex is the index of the entry that set membership.
	membershipIndex uint64

	role    Role
	leader  string
	commit  uint64
	applied uint64
	synced  uint64

	lastContact      clock.Time // Time of the last contact from a leader; votes are withheld for an election timeout after it.
	electionDeadline clock.Time
	votes            map[string]bool

	progress         map[string]*progress
	round            uint64
	rounds           []roundStart
	nextHeartbeat    clock.Time
	leaseUntil       clock.Time
	termStartIndex   uint64 // Index of the first entry of the leader's term.
	transferTo       string
	transferDeadline clock.Time
	reads            []pendingRead

	incoming *incomingSnapshot
	out      Effects
}

// New returns a replica that continues from its persistent state.
func New(id string, now clock.Time, src *rng.Source, d PersistentState, opts ...Option) *Core {
	c := &Core{
		id: id, src: src, sink: invariant.Fatal{},
		heartbeatInterval: defaultHeartbeatInterval, electionTimeout: defaultElectionTimeout,
		chunkBytes: defaultChunkBytes, trailingEntries: defaultTrailingEntries,
		log: newLog(d.Snapshot, d.Entries),
	}
	for _, opt := range opts {
		opt(c)
	}
	if d.Hard != nil {
		c.term, c.vote = d.Hard.Term, d.Hard.Vote
	}
	c.commit, c.applied = d.Snapshot.Index, d.Snapshot.Index
	c.synced = c.log.lastIndex()
	c.membership, c.membershipIndex = c.log.membership()
	// The time of the last contact is lost in a restart. Votes are withheld for a
	// full election timeout, because the leader's lease may still be valid.
	c.lastContact = now
	c.resetElectionTimer(now)
	return c
}

// Bootstrap returns the state from which the first voters of a new group start.
func Bootstrap(voters []*fleetpb.Replica) PersistentState {
	const firstTerm = 1
	return PersistentState{
		Hard:     &fleetpb.HardState{Term: firstTerm},
		Snapshot: Snapshot{Index: 1, Term: firstTerm, Membership: &fleetpb.Membership{Voters: voters}},
	}
}

// ID returns the replica's identifier.
func (c *Core) ID() string { return c.id }

// Role returns the replica's role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Leader returns the leader's identifier, or "" if it is unknown.
func (c *Core) Leader() string { return c.leader }

// CommitIndex returns the highest index known to be committed.
func (c *Core) CommitIndex() uint64 { return c.commit }

// LastIndex returns the index of the last entry.
func (c *Core) LastIndex() uint64 { return c.log.lastIndex() }

// Membership returns the latest membership, committed or not.
func (c *Core) Membership() *fleetpb.Membership { return c.membership }

// SnapshotIndex returns the index of the latest snapshot.
func (c *Core) SnapshotIndex() uint64 { return c.log.snapshot.Index }

// LeaseUntil returns the end of the leader's lease, or 0 when there is none. A
// leader may act without contacting its followers, for example to issue orders,
// only until then.
func (c *Core) LeaseUntil() clock.Time {
	if c.role != Leader || c.transferTo != "" {
		return 0
	}
	return c.leaseUntil
}

// LastContact returns the time of a follower's last contact from its leader.
func (c *Core) LastContact() clock.Time { return c.lastContact }

// MatchIndex returns the highest index that the leader knows to be durable on a replica.
func (c *Core) MatchIndex(id string) uint64 {
	if id == c.id {
		return c.synced
	}
	if p := c.progress[id]; p != nil {
		return p.match
	}
	return 0
}

// LastAck returns the time of the last reply from a replica to the leader.
func (c *Core) LastAck(id string) clock.Time {
	if p := c.progress[id]; p != nil {
		return p.lastAck
	}
	return 0
}

// Update processes one message and returns the effects that the caller must
// perform.
func (c *Core) Update(now clock.Time, msg Msg) Effects {
	switch m := msg.(type) {
	case TickMsg:
		c.tick(now)
	case PeerMsg:
		c.handleMessage(now, m.Message)
	case ProposeMsg:
		c.propose(now, &fleetpb.Entry{Command: m.Command}, m.Tag)
	case MembershipMsg:
		c.proposeMembership(now, m)
	case ReadMsg:
		c.read(now, m.Tag)
	case SyncedMsg:
		c.onSynced(now, m)
	case CompactMsg:
		c.compact(m)
	case TransferMsg:
		c.transfer(now, m)
	}
	c.emitCommitted()
	out := c.out
	c.out = Effects{}
	return out
}

func (c *Core) tick(now clock.Time) {
	if c.role == Leader {
		c.leaderTick(now)
		return
	}
	if !now.Before(c.electionDeadline) {
		c.preCampaign(now)
	}
}

// handleMessage handles a message from another replica.
func (c *Core) handleMessage(now clock.Time, m *fleetpb.RaftMessage) {
	if m.To != c.id {
		return
	}
	switch m.Kind {
	case fleetpb.RaftMessage_PRE_VOTE:
		c.onPreVote(now, m)
		return
	case fleetpb.RaftMessage_PRE_VOTE_REPLY:
		c.onPreVoteReply(now, m)
		return
	case fleetpb.RaftMessage_VOTE:
		if !m.Transfer && c.withholdsVote(now) {
			return
		}
	}
	if m.Term > c.term {
		c.becomeFollower(now, m.Term, "")
	}
	if m.Term < c.term {
		c.rejectStaleTerm(m)
		return
	}
	switch m.Kind {
	case fleetpb.RaftMessage_VOTE:
		c.onVote(now, m)
	case fleetpb.RaftMessage_VOTE_REPLY:
		c.onVoteReply(now, m)
	case fleetpb.RaftMessage_APPEND:
		c.onAppend(now, m)
	case fleetpb.RaftMessage_APPEND_REPLY:
		c.onAppendReply(now, m)
	case fleetpb.RaftMessage_SNAPSHOT:
		c.onSnapshot(now, m)
	case fleetpb.RaftMessage_SNAPSHOT_REPLY:
		c.onSnapshotReply(now, m)
	case fleetpb.RaftMessage_TIMEOUT_NOW:
		c.campaign(now, true)
	}
}

// rejectStaleTerm replies with the current term to a leader of an older term.
func (c *Core) rejectStaleTerm(m *fleetpb.RaftMessage) {
	if m.Kind == fleetpb.RaftMessage_APPEND || m.Kind == fleetpb.RaftMessage_SNAPSHOT {
		c.sendAfterSync(&fleetpb.RaftMessage{Kind: fleetpb.RaftMessage_APPEND_REPLY, To: m.From, Reject: true})
	}
}

func (c *Core) becomeFollower(now clock.Time, term uint64, leader string) {
	if term > c.term {
		c.term, c.vote = term, ""
		c.saveHardState()
	}
	if c.role == Leader {
		c.failReads(ErrNotLeader)
		// The lease may still be valid, so this replica withholds its vote too.
		c.lastContact = now
	}
	c.role = Follower
	c.leader = leader
	c.progress = nil
	c.transferTo = ""
	c.resetElectionTimer(now)
}

func (c *Core) saveHardState() {
	c.out.Hard = &fleetpb.HardState{Term: c.term, Vote: c.vote}
}

func (c *Core) resetElectionTimer(now clock.Time) {
	c.electionDeadline = now.Add(c.electionTimeout + clock.Duration(c.src.Int64N(int64(c.electionTimeout))))
}

// withholdsVote reports whether the replica withholds its vote because it had contact
// from a leader within the election timeout. The leader's lease depends on this.
func (c *Core) withholdsVote(now clock.Time) bool {
	if c.role == Leader {
		return now.Before(c.leaseUntil)
	}
	return now.Sub(c.lastContact) < c.electionTimeout
}

// send queues a message that does not depend on unsynced state.
func (c *Core) send(m *fleetpb.RaftMessage) {
	m.From, m.Term = c.id, c.term
	c.out.Send = append(c.out.Send, m)
}

// sendAfterSync queues a message to be sent once this update is durable.
func (c *Core) sendAfterSync(m *fleetpb.RaftMessage) {
	m.From, m.Term = c.id, c.term
	c.out.SendAfterSync = append(c.out.SendAfterSync, m)
}

// emitCommitted emits the committed entries that have not been applied yet.
func (c *Core) emitCommitted() {
	for c.applied < c.commit && c.applied < c.log.lastIndex() {
		c.applied++
		c.out.Committed = append(c.out.Committed, c.log.at(c.applied))
	}
}

// compact stores a snapshot of the applied state and discards older entries.
func (c *Core) compact(m CompactMsg) {
	if m.Index <= c.log.snapshot.Index || m.Index > c.applied {
		return
	}
	t, ok := c.log.term(m.Index)
	if !ok {
		return
	}
	s := Snapshot{Index: m.Index, Term: t, Membership: c.log.membershipAt(m.Index), State: m.State}
	c.log.compact(s, c.trailingEntries)
}

// Snapshot returns the latest snapshot.
func (c *Core) Snapshot() Snapshot { return c.log.snapshot }

// EntriesAfterSnapshot returns the entries after the snapshot.
func (c *Core) EntriesAfterSnapshot() []*fleetpb.Entry {
	return c.log.entries[c.log.snapshot.Index-c.log.baseIndex:]
}
