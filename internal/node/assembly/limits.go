package assembly

import (
	"maps"
	"slices"
	"time"

	"github.com/jasminecove/jasminecove/internal/routing/ratecap"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// selfReportInterval is the interval at which a VM reports to its gossip targets what upstreams said in
// responses, if they did.
const selfReportInterval = 500 * time.Millisecond

// shareSelfReports splits the rate limits of upstreams among the VMs that have not left, and reports them.
// Live VMs take turns at trials of quarantined parts.
func (n *Node) shareSelfReports() {
	var vms, live []string
	for _, m := range n.plane.Members() {
		if m.State != fleetpb.Member_LEFT {
			vms = append(vms, m.Vm)
		}
		if m.State == fleetpb.Member_ALIVE {
			live = append(live, m.Vm)
		}
	}
	slices.Sort(vms)
	n.dir.SetVMs(vms)
	slices.Sort(live)
	n.quarantine.SetVMs(n.settings.VM, live)
	if limits, leaving := n.dir.Limits(), n.dir.SaidLeaving(); len(limits)+len(leaving) > 0 {
		n.plane.ShareOccupancy(&fleetpb.Occupancy{FindingsOnly: true, Limits: limits, Leaving: leaving})
	}
}

// mergeSelfReports records what upstreams said to another VM: that they leave, and their rate limits.
func (n *Node) mergeSelfReports(vm string, o *fleetpb.Occupancy) {
	for _, l := range o.Leaving {
		n.dir.RecordLeaving(l.Upstream, l.StartedMs)
	}
	changes := n.dir.MergeLimits(vm, o.Limits)
	for _, id := range slices.Sorted(maps.Keys(changes)) {
		n.log.Info("upstream changed its rate limit", "upstream", id, "rate", changes[id].Rate, "was", changes[id].Was, "reportedBy", vm)
	}
}

// logRateLimit logs a change of an upstream's rate limit that a response named.
func (n *Node) logRateLimit(upstream, requestID string, change ratecap.Change) {
	n.log.Info("upstream changed its rate limit", "upstream", upstream, "rate", change.Rate, "was", change.Was, "request", requestID)
	n.tel.Metrics.Counter("upstream_rate_limit_changes").Inc(1)
}
