package stagelink

import (
	"context"
	"sync"

	"github.com/jasminecove/jasminecove/internal/base/crash"
)

// Set holds the links of a VM, one for each engine. It is safe for concurrent use.
type Set struct {
	ctx    context.Context
	opts   []Option
	notify func(replica string, down bool)

	mu     sync.Mutex
	links  map[string]*Link
	closed bool
}

// NewSet returns an empty set whose links are closed when ctx is cancelled. notify is called
// when an engine becomes reachable or unreachable.
func NewSet(ctx context.Context, notify func(replica string, down bool), opts ...Option) *Set {
	return &Set{ctx: ctx, opts: opts, notify: notify, links: map[string]*Link{}}
}

// Get returns the link to an engine. It opens one if there is none or if the engine's
// address has changed.
func (s *Set) Get(replica, address string) (*Link, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, ErrClosed
	}
	l := s.links[replica]
	if l != nil && l.Address() == address {
		return l, nil
	}
	if l != nil {
		crash.Go("close of a stage link", l.Close)
	}
	opts := append([]Option{withNotify(s.notify)}, s.opts...)
	l = Open(s.ctx, replica, address, opts...)
	s.links[replica] = l
	return l, nil
}

// NotifyLeaving notifies the sessions on an engine that it is leaving.
func (s *Set) NotifyLeaving(replica string) {
	s.mu.Lock()
	l := s.links[replica]
	s.mu.Unlock()
	if l != nil {
		l.NotifyLeaving()
	}
}

// Drop closes the link to an engine whose lease has ended.
func (s *Set) Drop(replica string) {
	s.mu.Lock()
	l := s.links[replica]
	delete(s.links, replica)
	s.mu.Unlock()
	if l != nil {
		crash.Go("close of a stage link", l.Close)
	}
}

// Stats returns the sums of all links' counters.
func (s *Set) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum Stats
	for _, l := range s.links {
		st := l.Stats()
		sum.Silences += st.Silences
		sum.Redials += st.Redials
		sum.Stray += st.Stray
	}
	return sum
}

// Close closes all links and waits for their goroutines.
func (s *Set) Close() {
	s.mu.Lock()
	s.closed = true
	links := make([]*Link, 0, len(s.links))
	for _, l := range s.links {
		links = append(links, l)
	}
	s.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
}
