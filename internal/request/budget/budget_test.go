package budget_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/request/budget"
)

func TestRetriesBoundedWhenAllFail(t *testing.T) {
	b := budget.New(0.1)
	requests, retries := 0, 0
	for now := clock.Time(0); now < 10_000; now++ {
		requests++
		b.RecordRequest(now)
		for range 3 {
			if b.AllowRetry(now) {
				retries++
			}
		}
	}
	// A tenth of the requests, one per second over 10 s, and the initial token.
	assert.Assert(t, retries <= requests/10+11, "%d retries", retries)
	assert.Assert(t, retries >= requests/10)
}
