// Package health ejects upstreams that fail where others do not, and lets them
// back in by trial. At most a stated share of a group is ejected, so that a
// failure that all share does not empty the group.
package health

import (
	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// Constants of ejection.
const (
	failuresToEject = 3
	firstEjection   = 1 * clock.Second
	maxEjection     = 30 * clock.Second
	// maxEjectedShare bounds the ejected part of a group.
	maxEjectedShare = 0.5
)

// state is what is known of one upstream.
type state struct {
	group     string
	failures  int
	ejections int
	until     clock.Time
	ejected   bool
	trial     bool // One request tries whether the upstream is well again.
}

// Monitor holds the health of upstreams. It is not safe for concurrent use.
type Monitor struct {
	upstreams map[string]*state
}

// New returns an empty Monitor.
func New() *Monitor { return &Monitor{upstreams: map[string]*state{}} }

// Failed records a failure of an upstream of a group that has size members. It
// reports whether the upstream was ejected by it.
func (m *Monitor) Failed(now clock.Time, id, group string, size int) bool {
	s := m.get(id, group)
	s.failures++
	if s.trial {
		s.trial = false
		m.eject(now, s)
		return true
	}
	if s.ejected || s.failures < failuresToEject || !m.room(group, size) {
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

// Usable reports whether an upstream may get a request now. An ejected one whose
// time has passed is usable for one trial; Picked claims it.
func (m *Monitor) Usable(now clock.Time, id string) bool {
	s := m.upstreams[id]
	if s == nil || !s.ejected {
		return true
	}
	return !now.Before(s.until) && !s.trial
}

// Picked tells the monitor that a usable upstream was picked.
func (m *Monitor) Picked(now clock.Time, id string) {
	s := m.upstreams[id]
	if s != nil && s.ejected && !now.Before(s.until) {
		s.trial = true
	}
}

// Ejected reports whether an upstream is ejected at present.
func (m *Monitor) Ejected(id string) bool {
	s := m.upstreams[id]
	return s != nil && s.ejected
}

// Forget drops an upstream.
func (m *Monitor) Forget(id string) { delete(m.upstreams, id) }

func (m *Monitor) get(id, group string) *state {
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

func (m *Monitor) room(group string, size int) bool {
	ejected := 0
	for _, s := range m.upstreams {
		if s.group == group && s.ejected {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(size)
}
