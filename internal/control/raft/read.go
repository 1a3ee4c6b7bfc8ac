package raft

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// pendingRead waits for a heartbeat round that began after it.
type pendingRead struct {
	tag   uint64
	index uint64 // 0 until an entry of the leader's term is committed.
	round uint64
}

// read answers at once under the lease, or after a round of heartbeats.
func (c *Core) read(now clock.Time, tag uint64) {
	if c.role != Leader {
		c.out.Reads = append(c.out.Reads, Read{Tag: tag, Err: ErrNotLeader})
		return
	}
	if c.commit >= c.termStart && now.Before(c.LeaseUntil()) {
		c.out.Reads = append(c.out.Reads, Read{Tag: tag, Index: c.commit})
		return
	}
	r := pendingRead{tag: tag, round: c.round + 1}
	if c.commit >= c.termStart {
		r.index = c.commit
	}
	c.reads = append(c.reads, r)
	c.beat(now)
}

// confirmReads gives reads that came before the term's first commit their index.
func (c *Core) confirmReads() {
	if c.commit < c.termStart {
		return
	}
	for i := range c.reads {
		if c.reads[i].index == 0 {
			c.reads[i].index = c.commit
		}
	}
}

// answerReads answers the reads whose round a majority has answered.
func (c *Core) answerReads(_ clock.Time, round uint64) {
	c.confirmReads()
	kept := c.reads[:0]
	for _, r := range c.reads {
		if r.index == 0 || r.round > round {
			kept = append(kept, r)
			continue
		}
		c.out.Reads = append(c.out.Reads, Read{Tag: r.tag, Index: r.index})
	}
	c.reads = kept
}

func (c *Core) failReads(err error) {
	for _, r := range c.reads {
		c.out.Reads = append(c.out.Reads, Read{Tag: r.tag, Err: err})
	}
	c.reads = nil
}
