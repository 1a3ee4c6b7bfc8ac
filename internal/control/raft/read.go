package raft

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// pendingRead is a read that waits for the acknowledgement of a heartbeat round
// started after it arrived.
type pendingRead struct {
	tag   uint64
	index uint64 // 0 until an entry of the leader's term is committed.
	round uint64
}

// read responds at once while the lease is valid, and otherwise after a round of
// heartbeats.
func (c *Core) read(now clock.Time, tag uint64) {
	if c.role != Leader {
		c.out.Reads = append(c.out.Reads, ReadResult{Tag: tag, Err: ErrNotLeader})
		return
	}
	if c.commit >= c.termStartIndex && now.Before(c.LeaseUntil()) {
		c.out.Reads = append(c.out.Reads, ReadResult{Tag: tag, Index: c.commit})
		return
	}
	r := pendingRead{tag: tag, round: c.round + 1}
	if c.commit >= c.termStartIndex {
		r.index = c.commit
	}
	c.reads = append(c.reads, r)
	c.startRound(now)
}

// setReadIndexes sets the index of reads that arrived before the first commit of
// the leader's term.
func (c *Core) setReadIndexes() {
	if c.commit < c.termStartIndex {
		return
	}
	for i := range c.reads {
		if c.reads[i].index == 0 {
			c.reads[i].index = c.commit
		}
	}
}

// completeReads responds to the reads whose round a majority has acknowledged.
func (c *Core) completeReads(_ clock.Time, round uint64) {
	c.setReadIndexes()
	kept := c.reads[:0]
	for _, r := range c.reads {
		if r.index == 0 || r.round > round {
			kept = append(kept, r)
			continue
		}
		c.out.Reads = append(c.out.Reads, ReadResult{Tag: r.tag, Index: r.index})
	}
	c.reads = kept
}

func (c *Core) failReads(err error) {
	for _, r := range c.reads {
		c.out.Reads = append(c.out.Reads, ReadResult{Tag: r.tag, Err: err})
	}
	c.reads = nil
}
