package command

import (
	"fmt"
	"io"
	"slices"

	"github.com/jasminecove/jasminecove/internal/node/admin"
	"github.com/jasminecove/jasminecove/internal/routing/directory"
)

// printStatus prints a status as text.
func printStatus(out io.Writer, s admin.Status) {
	fmt.Fprintf(out, "seen from %s in %s: ready %s, revision %d, view %s old, %d requests in flight\n",
		s.VM, s.DataCentre, s.Ready, s.Revision, s.ViewAge, s.InFlight)
	if s.Violations > 0 {
		fmt.Fprintf(out, "INVARIANTS VIOLATED: %d, see the log\n", s.Violations)
	}
	fmt.Fprintln(out, "\nVMs")
	for _, vm := range s.VMs {
		note := ""
		if vm.Leader {
			note += " leader"
		} else if vm.Replica {
			note += " replica"
		}
		if vm.Draining {
			note += " draining"
		}
		fmt.Fprintf(out, "  %-16s %-12s %-8s revision %d%s\n", vm.Name, vm.DataCentre, vm.State, vm.Revision, note)
	}
	for _, p := range s.Pools {
		load := s.Admission[p.Name]
		fmt.Fprintf(out, "\npool %s: %d in flight, %d queued, limit %d", p.Name, load.InFlight, load.Queued, load.Limit)
		if p.Bound > 0 {
			fmt.Fprintf(out, ", bound %.0f tokens/s", p.Bound)
		}
		if p.Missing != "" {
			fmt.Fprintf(out, ", MISSING LAYERS %s", p.Missing)
		}
		fmt.Fprintln(out)
		slices.SortFunc(p.Upstreams, func(a, b directory.UpstreamView) int { return int(a.Layers[0]) - int(b.Layers[0]) })
		for _, u := range p.Upstreams {
			fmt.Fprintf(out, "  %-16s %-12s layers %d-%d  in flight %d  weight %.0f  hop %.1f ms  home %s\n",
				u.ID, u.State, u.Layers[0], u.Layers[1], u.InFlight, u.Weight, u.HopMean, u.Home)
		}
	}
}
