package placement_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/upstream/placement"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

func engine(id, version string, from, to uint32) *upstreampb.Announcement {
	return &upstreampb.Announcement{Id: id, Version: version, LayerFrom: from, LayerTo: to, TokensPerSecond: 100}
}

func pool(version string, minTokensPerSecond float64, engines ...*upstreampb.Announcement) []placement.Pool {
	return []placement.Pool{{Tables: tables.Pool{Name: "crew", Model: "crew", Version: version, Layers: 8}, Engines: engines, MinTokensPerSecond: minTokensPerSecond}}
}

// next returns the order proposed after the settle delay.
func next(p *placement.Planner, pools []placement.Pool) *placement.Proposal {
	if n := p.Next(1000, pools); n != nil {
		return n
	}
	return p.Next(1000+10*clock.Time(clock.Second), pools)
}

// TestSettleDelay checks that an order is proposed only once it has been needed for the
// settle delay.
func TestSettleDelay(t *testing.T) {
	p := placement.New()
	pools := pool("", 0, engine("a1", "1", 0, 4), engine("a2", "1", 0, 4))
	assert.Assert(t, p.Next(1000, pools) == nil)
	assert.Assert(t, p.Next(2000, pools) == nil)
	assert.Assert(t, p.Next(4000, pools) != nil)
}

// TestFillGap checks that a redundant engine is moved to the missing layers, and never the
// only engine of a range.
func TestFillGap(t *testing.T) {
	n := next(placement.New(), pool("", 0, engine("a1", "1", 0, 4), engine("a2", "1", 0, 4)))
	assert.Equal(t, n.Order.LayerFrom, uint32(4))
	assert.Equal(t, n.Order.LayerTo, uint32(8))
	assert.Assert(t, next(placement.New(), pool("", 0, engine("a1", "1", 0, 4))) == nil, "only engine of a range was moved")
}

func TestRollKeepsCapacity(t *testing.T) {
	engines := []*upstreampb.Announcement{engine("a1", "1", 0, 4), engine("a2", "1", 0, 4), engine("b1", "1", 4, 8), engine("b2", "1", 4, 8)}
	n := next(placement.New(), pool("2", 80, engines...))
	assert.Equal(t, n.Order.Version, "2")
	assert.Assert(t, next(placement.New(), pool("2", 150, engines...)) == nil)
}

// TestOneOrderAtATime checks that no other order is proposed while an engine loads.
func TestOneOrderAtATime(t *testing.T) {
	p := placement.New()
	engines := []*upstreampb.Announcement{engine("a1", "1", 0, 4), engine("a2", "1", 0, 4), engine("b1", "1", 4, 8), engine("b2", "1", 4, 8)}
	pools := pool("2", 0, engines...)
	n := next(p, pools)
	p.RecordAccepted(11_000, "a1")
	assert.Assert(t, p.Next(20_000, pools) == nil)
	engines[0].Version = "2"
	p.Next(21_000, pools)
	after := p.Next(25_000, pools)
	assert.Assert(t, after != nil && after.Order.Id != n.Order.Id)
	assert.Equal(t, after.Order.LayerFrom, uint32(4), "next order must be for the other range, to complete a path of the version")
}
