package link

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// TestLivenessProbes checks when a connection is probed: by messages once the peer has shown
// that it answers those, by a separate probe after a message that carried none, and not at all
// while nothing is sent.
func TestLivenessProbes(t *testing.T) {
	l := liveness{interval: 500, timeout: 1500}
	now := clock.Time(10_000)
	assert.Equal(t, l.due(now), uint64(0), "an unused connection was probed")

	assert.Equal(t, l.messageSent(now), uint64(0), "a message carried a probe to a peer that may not answer it")
	assert.Equal(t, l.due(now), uint64(1))
	l.received(1, true)
	now += 400
	assert.Equal(t, l.messageSent(now), uint64(0), "two probes within the interval")
	assert.Equal(t, l.wait(now, 5000), clock.Duration(100))
	now += 100
	assert.Equal(t, l.due(now), uint64(2), "the last message was not confirmed")
	l.received(2, true)
	now += 500
	assert.Equal(t, l.messageSent(now), uint64(3))
	l.received(3, true)
	now += 10_000
	assert.Equal(t, l.due(now), uint64(0), "an idle connection was probed")
	assert.Assert(t, !l.failed(now))
}

// TestLivenessTimeout checks that each message on a connection that has gone silent leads to a
// failure within the interval and the timeout, whether it is followed by others or not.
func TestLivenessTimeout(t *testing.T) {
	for _, messages := range []int{1, 5, 100} {
		l := liveness{interval: 500, timeout: 1500, answersCarried: true, probedAt: 9_900}
		now := clock.Time(10_000)
		for i := 0; !l.failed(now); i++ {
			if i < messages {
				l.messageSent(now)
			}
			l.due(now)
			now += 50
			assert.Assert(t, now <= 10_000+500+1500+50, "%d messages", messages)
		}
	}
}
