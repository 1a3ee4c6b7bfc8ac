package health_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/routing/health"
)

func fail(m *health.Monitor, now clock.Time, id string, n int) {
	for range n {
		m.Failed(now, id, "g", 4)
	}
}

func TestEjection(t *testing.T) {
	m := health.New()
	fail(m, 0, "a", 3)
	assert.Assert(t, m.Ejected("a"))
	assert.Assert(t, !m.Usable(500, "a"))
	assert.Assert(t, m.Usable(1000, "a"))
	m.Picked(1000, "a")
	assert.Assert(t, !m.Usable(1000, "a"), "only one trial at a time")
	m.Succeeded("a")
	assert.Assert(t, !m.Ejected("a"))
}

func TestFailedTrial(t *testing.T) {
	m := health.New()
	fail(m, 0, "a", 3)
	m.Picked(1000, "a")
	fail(m, 1000, "a", 1)
	assert.Assert(t, !m.Usable(2500, "a"))
	assert.Assert(t, m.Usable(3000, "a"))
}

func TestMaxEjectedShare(t *testing.T) {
	m := health.New()
	for _, id := range []string{"a", "b", "c", "d"} {
		fail(m, 0, id, 10)
	}
	ejected := 0
	for _, id := range []string{"a", "b", "c", "d"} {
		if m.Ejected(id) {
			ejected++
		}
	}
	assert.Equal(t, ejected, 2)
}
