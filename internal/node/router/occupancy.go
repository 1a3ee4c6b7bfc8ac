package router

import (
	"context"
	"time"

	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Intervals of the exchange of occupancy.
const (
	// occupancyInterval is the interval at which a VM of a small fleet sends its occupancy to
	// all others, and at which a VM of a larger one repeats its findings to its gossip targets.
	occupancyInterval = 240 * time.Millisecond
	// reportRounds is the number of these intervals between two reports to the collector.
	reportRounds = 2
)

// occupancyLoop tells other VMs what capacity this VM's requests hold on upstreams. An upstream
// that was found dead, is to be vacated or said that it leaves is reported at once, because running
// requests or an order wait for this, and it gets requests until then.
func (r *Router) occupancyLoop(ctx context.Context) {
	ticker := time.NewTicker(occupancyInterval)
	defer ticker.Stop()
	for {
		found := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.found:
			found = true
		}
		r.reports++
		r.countVMs()
		r.demand.Publish()
		if r.plane.TargetsAll() {
			o := r.catalog.Occupancy()
			o.Sequence, o.Boot, o.Demand = r.reports, r.started, r.demand.Report()
			r.plane.ShareOccupancy(o)
			continue
		}
		if findings := r.catalog.Findings(); findings != nil {
			r.plane.ShareOccupancy(findings)
		}
		if !found && r.reports%reportRounds == 0 {
			r.reportLoad(ctx)
		}
	}
}

// reportLoad exchanges the load with the other VMs of a large fleet, through the collector of
// the data centre.
func (r *Router) reportLoad(ctx context.Context) {
	o := r.catalog.Occupancy()
	o.Sequence, o.Boot, o.Demand = r.reports, r.started, r.demand.Report()
	sums, err := r.plane.ReportLoad(ctx, o)
	if err != nil {
		return // The plane has logged it; the next report goes to another VM.
	}
	r.catalog.MergeLoads(o, sums)
	r.demand.Merge(sums)
}

// mergeOccupancy records the report of another VM.
func (r *Router) mergeOccupancy(vm string, o *fleetpb.Occupancy) {
	r.catalog.MergeOccupancy(vm, o)
	r.demand.MergeReport(vm, o)
}
