package controlplane

import (
	"github.com/jasminecove/jasminecove/internal/base/label"
	"github.com/jasminecove/jasminecove/internal/request/demand"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Limits of the numbers in reports of other VMs. Sums over the VMs of a fleet stay in range.
const (
	maxReportedRequests = 1 << 24
	maxReportedTokens   = 1 << 52 // Tokens times layers.
	maxReportedLayers   = 1 << 16
	maxReportedVMs      = 1 << 16
	maxReportedRate     = 1e9 // Requests a second.
	maxReportedPace     = 1e6
)

// isValidOccupancy reports whether a report of another VM may be used.
func isValidOccupancy(o *fleetpb.Occupancy) bool {
	for _, p := range o.Placed {
		if !label.IsValid(p.Upstream) || p.LayerFrom > p.LayerTo || p.LayerTo > maxReportedLayers {
			return false
		}
	}
	for _, ids := range [][]string{o.Unreachable, o.Vacate} {
		for _, id := range ids {
			if !label.IsValid(id) {
				return false
			}
		}
	}
	for _, l := range o.Leaving {
		if !label.IsValid(l.Upstream) {
			return false
		}
	}
	return label.IsText(o.DataCentre) && isWithin(float64(o.Rate), maxReportedRate) && isValidLoad(o.Holds, o.Slow, o.Limits) && isValidDemand(o.Demand)
}

// areValidSums reports whether the sums of a collector may be used.
func areValidSums(sums []*fleetpb.LoadSum) bool {
	for _, s := range sums {
		if !label.IsText(s.DataCentre) || s.Vms > maxReportedVMs || !isWithin(float64(s.Rate), maxReportedRate) || !isValidLoad(s.Holds, s.Slow, s.Limits) || !isValidDemand(s.Demand) {
			return false
		}
	}
	return true
}

func isValidLoad(holds []*fleetpb.Hold, slow []*fleetpb.Slow, limits []*fleetpb.RateLimit) bool {
	for _, h := range holds {
		if !label.IsValid(h.Upstream) || h.Requests > maxReportedRequests || h.Tokens > maxReportedTokens {
			return false
		}
	}
	for _, s := range slow {
		if !label.IsValid(s.Upstream) || !isWithin(float64(s.Pace), maxReportedPace) {
			return false
		}
	}
	for _, l := range limits {
		if !label.IsValid(l.Upstream) || !isWithin(l.Rate, maxReportedRate) || !isWithin(float64(l.Used), maxReportedRate) {
			return false
		}
	}
	return true
}

func isValidDemand(entries []*fleetpb.PoolDemand) bool {
	if len(entries) > demand.MaxEntries {
		return false
	}
	for _, d := range entries {
		if !label.IsValid(d.Pool) || d.Priority > demand.MaxRank || d.Waiting > demand.MaxAmount || !isWithin(float64(d.Refused), demand.MaxAmount) {
			return false
		}
	}
	return true
}

func isWithin(x, limit float64) bool { return x >= 0 && x <= limit } // False for NaN.
