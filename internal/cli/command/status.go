package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminecove/jasminecove/internal/node/admin"
	"github.com/jasminecove/jasminecove/internal/routing/directory"
)

func statusCommand(streams Streams) *ffcli.Command {
	fs := flag.NewFlagSet("status", flag.ContinueOnError)
	var c connection
	c.register(fs)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "jasminecove status",
		ShortHelp:  "show the fleet at a glance",
		LongHelp: `Shows one VM's view: the VMs and the revision in force on each, the leader, the
pools with their upstreams, and the age of the view.

Example:
  jasminecove status -server https://10.0.0.1:7002 -authority authority.pem -token-file token`,
		FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			client, err := c.client()
			if err != nil {
				return err
			}
			s, err := client.Status(ctx)
			if err != nil {
				return called(err)
			}
			return c.print(streams.Out, s, func() { printStatus(streams.Out, s) })
		},
	}
}

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
