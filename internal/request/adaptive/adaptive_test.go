package adaptive_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/request/adaptive"
)

func TestLimitConverges(t *testing.T) {
	// The maximum latency of the server reaches the target at 200 requests in flight.
	l := adaptive.New(0)
	now := clock.Time(0)
	src := rng.New(1)
	for range 20_000 {
		now = now.Add(10)
		l.Observe(now, src.Float64()*float64(l.Value())/200, l.Value())
	}
	assert.Assert(t, l.Value() > 170 && l.Value() < 240, "limit %d", l.Value())
}

func TestIdlePoolLimitUnchanged(t *testing.T) {
	l := adaptive.New(0)
	for now := clock.Time(1); now < 10000; now += 10 {
		l.Observe(now, 0.1, 1)
	}
	assert.Equal(t, l.Value(), 16)
}

func TestFixedLimitUnchanged(t *testing.T) {
	l := adaptive.New(7)
	for now := clock.Time(1); now < 10000; now += 10 {
		l.Observe(now, 9, 7)
	}
	assert.Equal(t, l.Value(), 7)
}
