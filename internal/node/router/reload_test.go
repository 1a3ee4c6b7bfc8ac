package router

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/node/settings"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
)

const errTorn = fault.Sentinel("router_test: the file is written just now")

type noUpstreams struct{ Upstreams }

func withSeeds(vm string, seeds ...string) Config {
	return Config{Settings: settings.Settings{VM: vm, Fleet: settings.Fleet{Seeds: seeds}}}
}

// TestReloadWhileFileIsWritten guards against settings that end with a file that was read while it was
// written, and against a new file that is not read because of it.
func TestReloadWhileFileIsWritten(t *testing.T) {
	var next Config
	var readErr error
	reads := 0
	cfg := Config{Out: io.Discard, Upstreams: func(*call.Pool) Upstreams { return noUpstreams{} }}
	cfg.Settings = settings.Settings{VM: "vm", DataCentre: "x", Fleet: settings.Fleet{WithoutKeys: true}}
	cfg.Reload = func() (Config, error) { reads++; return next, readErr }
	r, err := New(cfg)
	assert.NilError(t, err)
	assert.NilError(t, r.plane.Start(t.Context()))
	defer r.plane.Stop()
	r.HandleReload(withSeeds("vm", "127.0.0.1:1"), nil)
	next, readErr = Config{}, errTorn
	r.HandleReload(cfg.Reload())
	assert.Assert(t, r.reloadAgain.Load(), "a file that could not be read is read again")
	next, readErr = withSeeds("other", "127.0.0.1:9"), nil
	r.reloadIfNeeded()
	assert.DeepEqual(t, r.plane.Seeds(), []string{"127.0.0.1:1"})
	next = withSeeds("vm", "127.0.0.1:2")
	r.reloadIfNeeded()
	assert.DeepEqual(t, r.plane.Seeds(), []string{"127.0.0.1:2"})
	assert.Assert(t, r.reloadAgain.Load(), "a new file is read once more")
	next = withSeeds("vm", "127.0.0.1:2", "127.0.0.1:3")
	r.reloadIfNeeded()
	r.reloadIfNeeded()
	assert.DeepEqual(t, r.plane.Seeds(), []string{"127.0.0.1:2", "127.0.0.1:3"})
	assert.Assert(t, !r.reloadAgain.Load())
	assert.Equal(t, reads, 5)
}
