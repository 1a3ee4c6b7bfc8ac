package plan_test

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jasminecove/jasminecove/internal/routing/plan"
	"github.com/jasminecove/jasminecove/internal/testkit/seeded"
)

func ExampleCompute() {
	p := plan.Compute(12, []plan.Replica{
		{ID: "a", From: 0, To: 6, Rate: 100},
		{ID: "b", From: 6, To: 12, Rate: 30},
		{ID: "c", From: 6, To: 12, Rate: 10},
	})
	fmt.Println(p.Bound, p.Weights["a"], p.Weights["b"], p.Weights["c"])
	// Output: 40 40 30 10
}

func TestComputeUnevenRanges(t *testing.T) {
	p := plan.Compute(12, []plan.Replica{
		{ID: "whole", From: 0, To: 12, Rate: 5},
		{ID: "a", From: 0, To: 4, Rate: 10},
		{ID: "b", From: 4, To: 12, Rate: 7},
		{ID: "stranded", From: 5, To: 12, Rate: 50},
	})
	assert.Equal(t, p.Bound, 12.0)
	_, used := p.Weights["stranded"]
	assert.Assert(t, !used)
}

func TestComputeGap(t *testing.T) {
	replicas := []plan.Replica{{ID: "a", From: 0, To: 4, Rate: 9}, {ID: "b", From: 8, To: 12, Rate: 9}}
	assert.Equal(t, plan.Compute(12, replicas).Bound, 0.0)
	from, missing := plan.MissingLayers(12, replicas)
	assert.Assert(t, missing)
	assert.Equal(t, from, uint32(4))
}

// TestComputeConservesFlow checks on random pools that the flow into each boundary equals
// the flow out of it, that no replica exceeds its rate, and that the total flow equals
// the bound.
func TestComputeConservesFlow(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		const layers = 8
		n := rapid.IntRange(1, 20).Draw(t, "n")
		replicas := make([]plan.Replica, n)
		for i := range replicas {
			from := rapid.IntRange(0, layers-1).Draw(t, "from")
			replicas[i] = plan.Replica{
				ID: fmt.Sprint(i), From: uint32(from),
				To:   uint32(rapid.IntRange(from+1, layers).Draw(t, "to")),
				Rate: float64(rapid.IntRange(1, 1000).Draw(t, "rate")),
			}
		}
		p := plan.Compute(layers, replicas)
		balance := make([]float64, layers+1)
		for _, r := range replicas {
			w := p.Weights[r.ID]
			assert.Assert(t, w <= r.Rate+1e-6)
			balance[r.From] -= w
			balance[r.To] += w
		}
		for i := 1; i < layers; i++ {
			assert.Assert(t, math.Abs(balance[i]) < 1e-6, "boundary %d", i)
		}
		assert.Assert(t, math.Abs(balance[layers]-p.Bound) < 1e-6)
	})
}
