// Package recent provides a map of bounded size that keeps recently set entries.
package recent

// Map keeps at least the most recently set entries, up to its capacity, and at most twice as
// many. It holds them in two generations: when the newer one is full, it replaces the older one.
// It is not safe for concurrent use.
type Map[K comparable, V any] struct {
	capacity     int
	newer, older map[K]V
}

// New returns an empty Map.
func New[K comparable, V any](capacity int) *Map[K, V] {
	return &Map[K, V]{capacity: max(1, capacity), newer: map[K]V{}}
}

// Get returns the value of a key.
func (m *Map[K, V]) Get(key K) (V, bool) {
	if v, ok := m.newer[key]; ok {
		return v, true
	}
	v, ok := m.older[key]
	return v, ok
}

// Set sets the value of a key.
func (m *Map[K, V]) Set(key K, value V) {
	if _, ok := m.newer[key]; !ok && len(m.newer) >= m.capacity {
		m.older, m.newer = m.newer, map[K]V{}
	}
	m.newer[key] = value
}

// Delete removes a key.
func (m *Map[K, V]) Delete(key K) {
	delete(m.newer, key)
	delete(m.older, key)
}
