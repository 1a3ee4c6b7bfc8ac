package raft

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
)

// Option changes how a Core behaves.
type Option func(*Core)

// WithTimes sets the span between heartbeats and the least election timeout. An
// election waits between one and two timeouts.
func WithTimes(heartbeat, election clock.Duration) Option {
	return func(c *Core) { c.heartbeat, c.election = heartbeat, election }
}

// WithInvariants sends violations to sink instead of panicking.
func WithInvariants(sink invariant.Sink) Option {
	return func(c *Core) { c.sink = sink }
}

// WithSnapshotChunk sets the bytes of one part of a snapshot in transfer.
func WithSnapshotChunk(bytes int) Option {
	return func(c *Core) { c.chunkBytes = bytes }
}

// WithKeepTail sets how many entries stay in the log after a snapshot, so that a
// follower that is a little behind needs no snapshot.
func WithKeepTail(entries uint64) Option {
	return func(c *Core) { c.keepTail = entries }
}
