package raft

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
)

// Option configures a Core.
type Option func(*Core)

// WithTiming sets the heartbeat interval and the minimum election timeout. The
// actual timeout is chosen at random between one and two times the minimum.
func WithTiming(heartbeatInterval, electionTimeout clock.Duration) Option {
	return func(c *Core) { c.heartbeatInterval, c.electionTimeout = heartbeatInterval, electionTimeout }
}

// WithInvariants reports invariant violations to sink instead of panicking.
func WithInvariants(sink invariant.Sink) Option {
	return func(c *Core) { c.sink = sink }
}

// WithSnapshotChunk sets the size of one chunk of a snapshot transfer.
func WithSnapshotChunk(bytes int) Option {
	return func(c *Core) { c.chunkBytes = bytes }
}

// WithTrailingEntries sets how many entries before a snapshot stay in the log, so that
// a follower that is slightly behind needs no snapshot transfer.
func WithTrailingEntries(entries uint64) Option {
	return func(c *Core) { c.trailingEntries = entries }
}
