package rejoin_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/control/journal"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/node/decision"
	"github.com/jasminecove/jasminecove/internal/node/placer"
	"github.com/jasminecove/jasminecove/internal/node/rejoin"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

const document = `
routes: [{name: draft, match: {host: a.example, pathPrefix: /}, pool: crew, calls: idempotent, deadline: 5s, anonymous: true}]
pools:
  - {name: crew, service: crew, healthPath: /well}
`

var errIll = errors.New("ill")

// upstreams answers for upstreams at their addresses.
type upstreams struct {
	mu   sync.Mutex
	ids  map[string]string // By address: who is there now.
	ill  map[string]bool   // By id.
	from int               // First layer that engines hold.
}

func (u *upstreams) Healthy(_ context.Context, id, address, path string) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if path != "/well" || u.ids[address] != id || u.ill[id] {
		return errIll
	}
	return nil
}

func (u *upstreams) Report(context.Context, string, string) (placer.Report, error) {
	return placer.Report{From: u.from, To: 8}, nil
}

func folder(t *testing.T) journal.Disk {
	t.Helper()
	disk, err := journal.Folder(t.TempDir())
	assert.NilError(t, err)
	return disk
}

func newCatalog(t *testing.T) *catalog.Catalog {
	t.Helper()
	c := catalog.New("vm", clock.NewSystem(), clock.Minute, nil)
	doc, err := tables.Parse([]byte(document))
	assert.NilError(t, err)
	c.SetTables(doc)
	return c
}

func announce(c *catalog.Catalog, id, address string, sequence uint64, leaving bool) {
	c.Announce(&upstreampb.Announcement{
		Id: id, Kind: "service", Name: "crew", Address: address, LeaseMs: 60_000, Sequence: sequence, StartedMs: 1,
		Leaving: leaving, LayerFrom: 0, LayerTo: 4,
	})
}

// run recalls what a disk holds into a catalog.
func run(t *testing.T, disk journal.Disk, c *catalog.Catalog, api rejoin.API) {
	t.Helper()
	log := decision.New("vm", hclog.Error, io.Discard)
	defer log.Close()
	ctx, cancel := context.WithCancel(t.Context())
	k := &rejoin.Store{Disk: disk, Catalog: c, API: api, Log: log}
	var tasks sync.WaitGroup
	tasks.Go(func() { k.Run(ctx) })
	defer tasks.Wait()
	defer cancel()
	for end := time.Now().Add(recallBound); len(c.Members("crew")) == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "nothing was recalled")
	}
}

const recallBound = 5 * time.Second

// TestStartedVMKnowsTheUpstreamsThatStillAnswer ends a VM and starts it again while one
// upstream is ill, one leaves, and another process has the address of one.
func TestStartedVMKnowsTheUpstreamsThatStillAnswer(t *testing.T) {
	disk, before := folder(t), newCatalog(t)
	api := &upstreams{ids: map[string]string{}, ill: map[string]bool{"ill": true}, from: 4}
	for _, id := range []string{"ill", "well", "replaced", "leaving"} {
		announce(before, id, id+":1", 10, id == "leaving")
		api.ids[id+":1"] = id
	}
	api.ids["replaced:1"] = "stranger"
	assert.NilError(t, (&rejoin.Store{Disk: disk, Catalog: before, API: api}).Save())
	after := newCatalog(t)
	run(t, disk, after, api)
	members := after.Members("crew")
	assert.Equal(t, len(members), 1)
	assert.Equal(t, members[0].Id, "well")
	assert.Equal(t, members[0].LayerFrom, uint32(4), "the layers that the engine holds now")
	// Its next announcement goes on where the last one was.
	announce(after, "well", "well:1", 9, true)
	assert.Assert(t, !after.Members("crew")[0].Leaving, "an announcement from before the restart changed it")
	announce(after, "well", "well:1", 11, true)
	assert.Assert(t, after.Members("crew")[0].Leaving)
}

// TestUpstreamHeardOfSinceStaysAsItIs lets an upstream begin to leave before it is asked.
func TestUpstreamHeardOfSinceStaysAsItIs(t *testing.T) {
	disk, before := folder(t), newCatalog(t)
	api := &upstreams{ids: map[string]string{"a:1": "a"}}
	announce(before, "a", "a:1", 10, false)
	assert.NilError(t, (&rejoin.Store{Disk: disk, Catalog: before, API: api}).Save())
	after := newCatalog(t)
	announce(after, "a", "a:1", 11, true)
	run(t, disk, after, api)
	assert.Assert(t, after.Members("crew")[0].Leaving)
}

// failing is a disk that takes no more bytes.
type failing struct{ journal.Disk }

var errFull = errors.New("no space left")

type full struct{ journal.File }

func (full) Write([]byte) (int, error) { return 0, errFull }

func (d failing) Create(name string) (journal.File, error) {
	f, err := d.Disk.Create(name)
	return full{f}, err
}

// TestFullDiskKeepsTheListThatItHas fails a write; the earlier list is recalled.
func TestFullDiskKeepsTheListThatItHas(t *testing.T) {
	disk, before := folder(t), newCatalog(t)
	api := &upstreams{ids: map[string]string{"a:1": "a"}}
	announce(before, "a", "a:1", 10, false)
	k := &rejoin.Store{Disk: disk, Catalog: before, API: api}
	assert.NilError(t, k.Save())
	announce(before, "b", "b:1", 10, false)
	k.Disk = failing{disk}
	assert.ErrorIs(t, k.Save(), errFull)
	after := newCatalog(t)
	run(t, disk, after, api)
	assert.Equal(t, after.Members("crew")[0].Id, "a")
}
