package session

import "github.com/jasminecove/jasminecove/internal/base/invariant"

// Option changes how a Session behaves.
type Option func(*Session)

// WithMaxTokens ends the answer after n tokens.
func WithMaxTokens(n int) Option {
	return func(s *Session) { s.maxTokens = n }
}

// WithRetainBytes bounds the inputs that the session keeps for each stage to
// rebuild a lost one. Beyond the bound a lost stage costs a whole rebuild.
func WithRetainBytes(n int) Option {
	return func(s *Session) { s.retainLimit = n }
}

// WithPriority sets the priority that engines see, higher is sooner.
func WithPriority(p uint32) Option {
	return func(s *Session) { s.priority = p }
}

// WithInvariants sends violations to sink instead of panicking.
func WithInvariants(sink invariant.Sink) Option {
	return func(s *Session) { s.sink = sink }
}
