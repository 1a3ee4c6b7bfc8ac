package catalog_test

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// TestVerify guards against upstreams of services that no table names, and against the loss of known ones
// when tables change.
func TestVerify(t *testing.T) {
	const now = 1_771_704_444_934
	c := catalog.New("vm", clock.NewManual(now), clock.Minute, nil)
	announced := func(change func(*upstreampb.Announcement)) *upstreampb.Announcement {
		a := &upstreampb.Announcement{Id: "i-1", Name: "crew", Address: "10.0.0.1:80", LeaseMs: 60_000, Sequence: 2, StartedMs: 5, LayerFrom: 70, LayerTo: 80}
		change(a)
		return a
	}
	sound := announced(func(*upstreampb.Announcement) {})
	other := announced(func(a *upstreampb.Announcement) { a.Name = "other" })
	assert.NilError(t, c.Verify(other), "no tables are in force yet")
	setPools := func(pools ...tables.Pool) { c.SetTables(&tables.Document{Pools: pools}) }
	setPools(tables.Pool{Name: "crew", Service: "crew", Engine: &tables.Engine{Layers: 80}}, tables.Pool{Name: "desk", Service: "desk"})
	for want, change := range map[error]func(*upstreampb.Announcement){
		nil:                          func(*upstreampb.Announcement) {},
		catalog.ErrUnknownService:    func(a *upstreampb.Announcement) { a.Name = "other" },
		catalog.ErrLayersBeyondModel: func(a *upstreampb.Announcement) { a.LayerTo = 81 },
		catalog.ErrStartInFuture:     func(a *upstreampb.Announcement) { a.StartedMs = now + 2*uint64(clock.Hour) },
	} {
		assert.Equal(t, c.Verify(announced(change)), want)
	}
	c.Announce(proto.CloneOf(sound))
	assert.ErrorIs(t, c.Verify(other), catalog.ErrUnknownService)
	leaving := announced(func(a *upstreampb.Announcement) { a.Leaving = true })
	setPools(tables.Pool{Name: "crew", Service: "crew", Engine: &tables.Engine{Layers: 75}})
	assert.NilError(t, c.Verify(sound), "it holds what it held")
	assert.NilError(t, c.Verify(announced(func(a *upstreampb.Announcement) { a.LayerFrom = 69 })), "it was ordered before")
	assert.ErrorIs(t, c.Verify(announced(func(a *upstreampb.Announcement) { a.LayerTo = 81 })), catalog.ErrLayersBeyondModel)
	assert.NilError(t, c.Verify(announced(func(a *upstreampb.Announcement) { a.LayerTo, a.Leaving = 81, true })), "that it leaves counts")
	setPools()
	assert.NilError(t, c.Verify(leaving), "its service was just removed")
	assert.ErrorIs(t, c.Verify(announced(func(a *upstreampb.Announcement) { a.StartedMs = 6 })), catalog.ErrUnknownService)
}
