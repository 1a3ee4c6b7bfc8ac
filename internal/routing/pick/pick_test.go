package pick_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/routing/pick"
)

func TestPlannedWeights(t *testing.T) {
	src := rng.New(1)
	cs := []pick.Candidate{{ID: "slow", Weight: 10}, {ID: "fast", Weight: 100}}
	for range 1100 {
		cs[pick.Planned{}.Pick(src, cs)].InFlight++
	}
	assert.Assert(t, cs[0].InFlight > 90 && cs[0].InFlight < 110, "slow got %d of 1100", cs[0].InFlight)
}

func TestLoadReportAge(t *testing.T) {
	fresh := pick.Candidate{Weight: 1, ReportedLoad: 10}
	old := fresh
	old.ReportAge = 10 * clock.Second
	assert.Assert(t, fresh.Load() > old.Load())
	assert.Equal(t, old.Load(), 0.5)
}

func TestPolicies(t *testing.T) {
	src := rng.New(2)
	for _, name := range []string{"planned", "twoChoices", "roundRobin", "leastInFlight", "random"} {
		p := pick.New(name)
		seen := map[int]bool{}
		cs := []pick.Candidate{{Weight: 1}, {Weight: 2}, {Weight: 3}}
		for range 200 {
			i := p.Pick(src, cs)
			cs[i].InFlight++
			seen[i] = true
		}
		assert.Equal(t, len(seen), 3, name)
	}
}
