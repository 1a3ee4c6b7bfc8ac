package pace_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/pipeline/pace"
)

func TestDeadlineSlowLink(t *testing.T) {
	b := pace.NewEstimator()
	for range 50 {
		b.Observe("near", 2, 1)
		b.Observe("far", 200, 1)
	}
	assert.Equal(t, b.Deadline("near", 1), 400*clock.Millisecond)
	assert.Assert(t, b.Deadline("far", 1) >= 1200*clock.Millisecond)
}

func TestDeadlinePrompt(t *testing.T) {
	b := pace.NewEstimator()
	b.Observe("r", 100, 1)
	assert.Assert(t, b.Deadline("r", 800) > 10*b.Deadline("r", 1))
	assert.Assert(t, b.Deadline("unknown", 1) > b.Deadline("r", 1))
}
