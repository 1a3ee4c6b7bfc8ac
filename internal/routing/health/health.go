// Package health implements outlier ejection: it ejects upstreams that fail repeatedly
// and readmits each after a successful trial request. It ejects at most a fixed fraction
// of a group, so that a failure that affects all members does not empty the group.
package health

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// Parameters of ejection.
const (
	failuresToEject = 3                // Consecutive failures.
	firstEjection   = 1 * clock.Second // Doubles with each consecutive ejection.
	maxEjection     = 30 * clock.Second
	// maxEjectedShare is the largest fraction of a group that may be ejected.
	maxEjectedShare = 0.5
)

// state is the health of one upstream.
type state struct {
	group     string
	failures  int
	ejections int
	until     clock.Time
	ejected   bool
	trial     bool // A trial request is in flight.
}

// Monitor tracks the health of upstreams. It is not safe for concurrent use.
type Monitor struct {
	upstreams map[string]*state
}

// New returns an empty Monitor.
func New() *Monitor { return &Monitor{upstreams: map[string]*state{}} }

// Failed records a failure of an upstream in a group of size members. It reports whether
// the failure caused an ejection.
func (m *Monitor) Failed(now clock.Time, id, group string, size int) bool {
	s := m.stateOf(id, group)
	s.failures++
	if s.trial {
		s.trial = false
		m.eject(now, s)
		return true
	}
	if s.ejected || s.failures < failuresToEject || !m.canEject(group, size) {
		return false
	}
	m.eject(now, s)
	return true
}

// Succeeded records a success.
func (m *Monitor) Succeeded(id string) {
	s := m.upstreams[id]
	if s == nil {
		return
	}
	s.failures = 0
	if s.trial {
		s.trial = false
		s.ejected = false
	}
	if !s.ejected {
		s.ejections = 0
	}
}

// Usable reports whether a request may be sent to an upstream now. After its ejection
// time an ejected upstream is usable for one trial request, which Picked marks as in
// flight.
func (m *Monitor) Usable(now clock.Time, id string) bool {
	s := m.upstreams[id]
	if s == nil || !s.ejected {
		return true
	}
	return !now.Before(s.until) && !s.trial
}

// Picked records that a request is being sent to a usable upstream.
func (m *Monitor) Picked(now clock.Time, id string) {
	s := m.upstreams[id]
	if s != nil && s.ejected && !now.Before(s.until) {
		s.trial = true
	}
}

// Ejected reports whether an upstream is currently ejected.
func (m *Monitor) Ejected(id string) bool {
	s := m.upstreams[id]
	return s != nil && s.ejected
}

// Forget discards the state of an upstream.
func (m *Monitor) Forget(id string) { delete(m.upstreams, id) }

func (m *Monitor) stateOf(id, group string) *state {
	s := m.upstreams[id]
	if s == nil {
		s = &state{}
		m.upstreams[id] = s
	}
	s.group = group
	return s
}

func (m *Monitor) eject(now clock.Time, s *state) {
	span := firstEjection << min(s.ejections, 5)
	s.until = now.Add(min(span, maxEjection))
	s.ejections++
	s.ejected = true
	s.failures = 0
}

// canEject reports whether one more member of a group may be ejected.
func (m *Monitor) canEject(group string, size int) bool {
	ejected := 0
	for _, s := range m.upstreams {
		if s.group == group && s.ejected {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(size)
}
