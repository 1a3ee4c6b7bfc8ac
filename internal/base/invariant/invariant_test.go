package invariant_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/invariant"
)

func TestCounter(t *testing.T) {
	var last *invariant.Violation
	c := invariant.NewCounter(func(v *invariant.Violation) { last = v })
	assert.Assert(t, invariant.Check(c, true, "order", "fine"))
	assert.Assert(t, !invariant.Check(c, false, "order", "layer %d twice", 3))
	assert.Equal(t, c.Count(), int64(1))
	assert.Equal(t, last.Error(), "invariant order: layer 3 twice")
}
