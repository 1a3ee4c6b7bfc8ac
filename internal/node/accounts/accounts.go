// Package accounts remembers what became of the newest requests.
package accounts

import (
	"sync"

	"github.com/jasminecove/jasminecove/internal/request/exchange"
)

// capacity is the number of requests that are remembered.
const capacity = 4096

// Store holds accounts by request id. It is safe for concurrent use.
type Store struct {
	mu   sync.Mutex
	byID map[string]exchange.Account
	ring [capacity]string
	next int
}

// New returns an empty Store.
func New() *Store { return &Store{byID: make(map[string]exchange.Account, capacity)} }

// Add remembers an account and forgets the oldest when full.
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

// Get returns the account of a request.
func (s *Store) Get(id string) (exchange.Account, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.byID[id]
	return a, ok
}
