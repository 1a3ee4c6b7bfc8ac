// Package accounts keeps the records of the most recent requests in memory.
package accounts

import (
	"sync"

	"github.com/jasminecove/jasminecove/internal/request/exchange"
)

// capacity is the number of requests whose records are kept.
const capacity = 4096

// Store holds the records of requests by request id. It is safe for concurrent use.
type Store struct {
	mu   sync.Mutex
	byID map[string]exchange.Account
	ring [capacity]string // Request ids in the order of Add.
	next int              // Index in ring of the oldest id.
}

// New returns an empty Store.
func New() *Store { return &Store{byID: make(map[string]exchange.Account, capacity)} }

// Add stores the record of a request. When the store is full, it replaces the oldest one.
func (s *Store) Add(a exchange.Account) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.ring[s.next]; old != "" {
		delete(s.byID, old)
	}
	s.ring[s.next] = a.ID
	s.next = (s.next + 1) % capacity
	s.byID[a.ID] = a
}

// Get returns the record of a request, if it is still kept.
func (s *Store) Get(id string) (exchange.Account, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.byID[id]
	return a, ok
}
