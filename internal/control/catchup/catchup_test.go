package catchup_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/control/catchup"
)

// TestReporterIsAskedFirst guards against a VM that asks others for tables, although it knows the leader that has
// committed them, because the leader is not one of its gossip targets.
func TestReporterIsAskedFirst(t *testing.T) {
	c := catchup.New(rng.New(1))
	c.InForce(900, 6)
	c.Want(1000, 7, "leader")
	sources := []catchup.Source{{VM: "a"}, {VM: "b", Revision: 7}}
	vm, _ := c.Next(1000, sources)
	assert.Equal(t, vm, "leader")
	_, wait := c.Next(1000, sources)
	assert.Equal(t, wait, catchup.HedgeDelay)
	vm, _ = c.Next(1000+100, sources)
	assert.Equal(t, vm, "b")
	c.InForce(1000+110, 7)
	vm, wait = c.Next(1000+120, sources)
	assert.Assert(t, vm == "" && wait == 0)
}
