package rejoin_test

import (
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/control/journal"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/node/decision"
	"github.com/jasminecove/jasminecove/internal/node/placer"
	"github.com/jasminecove/jasminecove/internal/node/rejoin"
	"github.com/jasminecove/jasminecove/internal/request/quarantine"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

const document = `
routes: [{name: draft, match: {host: a.example, pathPrefix: /}, pool: crew, calls: idempotent, deadline: 5s, anonymous: true}]
pools:
  - {name: crew, service: crew, healthPath: /health}
`

var errUnhealthy = errors.New("unhealthy")

// fakeUpstreams answers calls to the addresses of upstreams.
type fakeUpstreams struct {
	mu        sync.Mutex
	ids       map[string]string        // Id of the upstream that runs at each address.
	unhealthy map[string]bool          // By id.
	from      int                      // First layer that engines hold.
	reports   map[string]placer.Report // By id, if not the usual one.
}

func (u *fakeUpstreams) Healthy(_ context.Context, id, address, path string) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if path != "/health" || u.ids[address] != id || u.unhealthy[id] {
		return errUnhealthy
	}
	return nil
}

func (u *fakeUpstreams) Report(_ context.Context, id, _ string) (placer.Report, error) {
	if r, ok := u.reports[id]; ok {
		return r, nil
	}
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

// restore runs a store until the list on a disk is restored into a catalog.
func restore(t *testing.T, disk journal.Disk, c *catalog.Catalog, api rejoin.API) {
	t.Helper()
	log := decision.New("vm", hclog.Error, io.Discard)
	defer log.Close()
	ctx, cancel := context.WithCancel(t.Context())
	s := &rejoin.Store{Disk: disk, Catalog: c, API: api, Log: log}
	var tasks sync.WaitGroup
	tasks.Go(func() { s.Run(ctx) })
	defer tasks.Wait()
	defer cancel()
	for end := time.Now().Add(restoreBound); len(c.Members("crew")) == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "no upstream restored in time")
	}
}

// restoreBound ends a test that would hang; it is not a bound on what is tested.
const restoreBound = 5 * time.Second

// TestRestore restarts a VM while one upstream is unhealthy, one is leaving, and the address of
// one is used by another process. Only the upstream that still accepts requests under its own
// id may be restored.
func TestRestore(t *testing.T) {
	disk, before := folder(t), newCatalog(t)
	api := &fakeUpstreams{ids: map[string]string{}, unhealthy: map[string]bool{"unhealthy": true}, from: 4}
	for _, id := range []string{"unhealthy", "healthy", "replaced", "leaving"} {
		announce(before, id, id+":1", 10, id == "leaving")
		api.ids[id+":1"] = id
	}
	api.ids["replaced:1"] = "other"
	assert.NilError(t, (&rejoin.Store{Disk: disk, Catalog: before, API: api}).Save())
	after := newCatalog(t)
	restore(t, disk, after, api)
	members := after.Members("crew")
	assert.Equal(t, len(members), 1)
	assert.Equal(t, members[0].Id, "healthy")
	assert.Equal(t, members[0].LayerFrom, uint32(4), "the layers that the engine holds now")
	// Sequence numbers of announcements continue from the last one before the restart.
	announce(after, "healthy", "healthy:1", 9, true)
	assert.Assert(t, !after.Members("crew")[0].Leaving, "an announcement from before the restart was applied")
	announce(after, "healthy", "healthy:1", 11, true)
	assert.Assert(t, after.Members("crew")[0].Leaving)
}

// TestRestoreListOfEarlierVersion restores a list whose sequences hold the start time as well. The next
// announcement must count.
func TestRestoreListOfEarlierVersion(t *testing.T) {
	disk, before := folder(t), newCatalog(t)
	api := &fakeUpstreams{ids: map[string]string{"a:1": "a"}}
	announce(before, "a", "a:1", 1<<20|10, false)
	assert.NilError(t, (&rejoin.Store{Disk: disk, Catalog: before, API: api}).Save())
	after := newCatalog(t)
	restore(t, disk, after, api)
	announce(after, "a", "a:1", 11, true)
	assert.Assert(t, after.Members("crew")[0].Leaving)
}

// TestRestoreKeepsNewerAnnouncement lets an upstream announce that it is leaving before it is
// checked. The stored announcement must not replace the newer one.
func TestRestoreKeepsNewerAnnouncement(t *testing.T) {
	disk, before := folder(t), newCatalog(t)
	api := &fakeUpstreams{ids: map[string]string{"a:1": "a"}}
	announce(before, "a", "a:1", 10, false)
	assert.NilError(t, (&rejoin.Store{Disk: disk, Catalog: before, API: api}).Save())
	after := newCatalog(t)
	announce(after, "a", "a:1", 11, true)
	restore(t, disk, after, api)
	assert.Assert(t, after.Members("crew")[0].Leaving)
}

// fullDisk is a disk without free space.
type fullDisk struct{ journal.Disk }

var errFull = errors.New("no space left")

type fullFile struct{ journal.File }

func (fullFile) Write([]byte) (int, error) { return 0, errFull }

func (d fullDisk) Create(name string) (journal.File, error) {
	f, err := d.Disk.Create(name)
	return fullFile{f}, err
}

// TestSaveFullDisk fails a write for lack of space. The previous list must remain and be
// restored.
func TestSaveFullDisk(t *testing.T) {
	disk, before := folder(t), newCatalog(t)
	api := &fakeUpstreams{ids: map[string]string{"a:1": "a"}}
	announce(before, "a", "a:1", 10, false)
	s := &rejoin.Store{Disk: disk, Catalog: before, API: api}
	assert.NilError(t, s.Save())
	announce(before, "b", "b:1", 10, false)
	s.Disk = fullDisk{disk}
	assert.ErrorIs(t, s.Save(), errFull)
	after := newCatalog(t)
	restore(t, disk, after, api)
	assert.Equal(t, after.Members("crew")[0].Id, "a")
}

// TestQuarantineSurvivesRestartOfAllVMs saves a quarantined part, and restores it without any other
// VM.
func TestQuarantineSurvivesRestartOfAllVMs(t *testing.T) {
	disk, c := folder(t), newCatalog(t)
	log := decision.New("vm", hclog.Error, io.Discard)
	defer log.Close()
	before := quarantine.NewGuard(clock.NewSystem(), log, tally.NoopScope)
	for _, id := range []string{"e1", "e2", "e3"} {
		before.RunBroke(quarantine.Run{RequestID: id, Upstream: id, StartedMs: 1, Keys: []string{"bad"}})
		before.UpstreamEnded(id)
	}
	assert.NilError(t, (&rejoin.Store{Disk: disk, Catalog: c, Log: log, Parts: before}).Save())
	after := quarantine.NewGuard(clock.NewSystem(), log, tally.NoopScope)
	(&rejoin.Store{Disk: disk, Catalog: newCatalog(t), Log: log, Parts: after}).RestoreParts()
	b, quarantined := after.Check([]string{"bad"})
	assert.Assert(t, quarantined)
	assert.Equal(t, b.Crashes, 3)
	assert.Assert(t, b.Left > 0 && b.Left <= 2*clock.Second, "%s left", b.Left)
}

// FuzzList checks that whatever list is on the disk, what is restored from it can be saved again.
func FuzzList(f *testing.F) {
	a, err := proto.Marshal(&upstreampb.Announcement{Id: "a", Kind: "service", Name: "crew", Address: "a:1", Sequence: 1<<20 | 3, StartedMs: 1, LayerTo: 4})
	assert.NilError(f, err)
	list, err := proto.Marshal(&fleetpb.KnownUpstreams{SavedMs: 1<<64 - 1, Upstreams: []*fleetpb.KnownUpstream{{Announcement: a, HealthPath: "/health"}, {Announcement: []byte{1}, HealthPath: "/\r\n"}}, Parts: []*fleetpb.PartRecord{{Part: "p", AgeMs: 1<<32 - 1}}})
	assert.NilError(f, err)
	f.Add(list)
	folder := f.TempDir()
	f.Fuzz(func(t *testing.T, list []byte) {
		assert.NilError(t, os.WriteFile(filepath.Join(folder, "upstreams"), list, 0o600))
		disk, err := journal.Folder(folder)
		assert.NilError(t, err)
		c := newCatalog(t)
		log := decision.New("vm", hclog.Error, io.Discard)
		defer log.Close()
		s := &rejoin.Store{Disk: disk, Catalog: c, API: &fakeUpstreams{ids: map[string]string{"a:1": "a"}, from: 1<<32 - 1}, Log: log, Parts: quarantine.NewGuard(clock.NewSystem(), (*decision.Log)(nil), tally.NoopScope)}
		s.RestoreParts()
		s.Restore(t.Context())
		for _, u := range c.Members("crew") {
			assert.NilError(t, registry.Validate(u.Announcement))
		}
		assert.NilError(t, s.Save())
	})
}

// TestRestoreChecksReports guards against engines that are restored with the layers of a process that started
// since, or with layers that the model does not have. They must not cost the others.
func TestRestoreChecksReports(t *testing.T) {
	disk, before := folder(t), newCatalog(t)
	api := &fakeUpstreams{ids: map[string]string{}, reports: map[string]placer.Report{
		"a": {From: 0, To: 4, StartedMs: 2}, "b": {From: 4, To: 9, StartedMs: 1}, "c": {From: 4, To: 8, StartedMs: 1},
	}}
	for id := range api.reports {
		announce(before, id, id+":1", 10, false)
		api.ids[id+":1"] = id
	}
	assert.NilError(t, (&rejoin.Store{Disk: disk, Catalog: before, API: api}).Save())
	after := newCatalog(t)
	doc := &tables.Document{Pools: []tables.Pool{{Name: "crew", Service: "crew", HealthPath: "/health", Engine: &tables.Engine{Layers: 8}}}}
	after.SetTables(doc)
	restore(t, disk, after, api)
	members := after.Members("crew")
	assert.Equal(t, len(members), 1)
	assert.Equal(t, members[0].Id, "c")
}
