package session

import "github.com/jasminecove/jasminecove/internal/base/invariant"

// Option changes how a Session behaves.
type Option func(*Session)

// WithMaxTokens ends the answer after n tokens.
func WithMaxTokens(n int) Option {
	return func(s *Session) { s.maxTokens = n }
}

// WithRetainBytes bounds the total size of the stage inputs that the session keeps in
// order to rebuild a lost stage by replay. Above the bound the session keeps none, and
// the loss of a stage requires a rebuild of the whole path.
func WithRetainBytes(n int) Option {
	return func(s *Session) { s.maxRetainBytes = n }
}

// WithPriority sets the priority that is sent to engines. Engines run requests with a
// higher priority first.
func WithPriority(p uint32) Option {
	return func(s *Session) { s.priority = p }
}

// WithInvariants reports invariant violations to sink instead of panicking.
func WithInvariants(sink invariant.Sink) Option {
	return func(s *Session) { s.sink = sink }
}
