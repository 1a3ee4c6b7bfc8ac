package assembly_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/fleet/loadsum"
	"github.com/jasminecove/jasminecove/internal/standin/local"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// TestLoadsOfLargeFleet has 14 VMs in two data centres report their load. Each learns the load
// of all, also after the collector of a data centre was lost, whose own load no longer counts
// then. No VM's load is counted twice meanwhile.
func TestLoadsOfLargeFleet(t *testing.T) {
	const vms, each = 14, 5
	const document = "routes: [{name: look, match: {pathPrefix: /look}, pool: desk, deadline: 1s}]\npools: [{name: desk, service: desk}]\n"
	f, err := local.New(local.Config{Folder: t.TempDir(), VMs: vms, Voters: 3, DataCentres: 2, Tables: []byte(document), Logs: io.Discard, DrainNotice: 20})
	assert.NilError(t, err)
	assert.NilError(t, f.StartAll(t.Context(), 20*time.Second))
	t.Cleanup(f.Stop)
	var mu sync.Mutex
	known, most := make([]uint32, vms), uint32(0)
	stops := make([]context.CancelFunc, vms)
	var reporters sync.WaitGroup
	for i, n := range f.Nodes {
		ctx, cancel := context.WithCancel(t.Context())
		stops[i] = cancel
		reporters.Add(1)
		go func() {
			defer reporters.Done()
			for sequence := uint64(1); ctx.Err() == nil; sequence++ {
				sums, err := n.Plane().ReportLoad(ctx, &fleetpb.Occupancy{Boot: 1, Sequence: sequence, Holds: []*fleetpb.Hold{{Upstream: "e", Requests: each}}})
				if err == nil {
					total := uint32(0)
					for _, s := range sums {
						for _, h := range s.Holds {
							total += h.Requests
						}
					}
					mu.Lock()
					known[i], most = total, max(most, total)
					mu.Unlock()
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	defer reporters.Wait()
	defer func() {
		for _, stop := range stops {
			stop()
		}
	}()
	all := func(live, want int) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			count := 0
			for i, n := range f.Nodes {
				if n != nil && known[i] == uint32(want) {
					count++
				}
			}
			return count == live
		}
	}
	eventually(t, "all VMs know the load of all", all(vms, vms*each))
	var names []string
	for i, s := range f.Settings {
		if s.DataCentre == f.Settings[0].DataCentre {
			names = append(names, f.Settings[i].VM)
		}
	}
	collector := loadsum.Choose(f.Settings[0].DataCentre, names, func(string) bool { return false })
	for i, s := range f.Settings {
		if s.VM == collector {
			stops[i]()
			f.StopVM(i)
		}
	}
	eventually(t, "all VMs know the load of those that are left", all(vms-1, (vms-1)*each))
	assert.Assert(t, most <= vms*each, "a VM's load was counted twice: %d", most)
}
