package standincmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminecove/jasminecove/internal/standin/experiment"
)

// experimentCommand measures each combination of engine mix, pick policy and load.
func experimentCommand() *ffcli.Command {
	fs := flag.NewFlagSet("experiment", flag.ContinueOnError)
	mixes := fs.String("mixes", "equal,accelerators,links,prefixes", "comma-separated engine mixes to run")
	policies := fs.String("policies", "planned,roundRobin,leastInFlight,random", "comma-separated pick policies to run")
	shares := fs.String("shares", "1.3", "comma-separated offered loads, as shares of the throughput bound")
	duration := fs.Duration("span", 12*time.Second, "duration of each load")
	warmup := fs.Duration("warmup", 4*time.Second, "initial part of the load that the results leave out")
	vms := fs.Int("vms", 3, "VMs")
	seed := fs.Uint64("seed", 1, "seed of the load")
	out := fs.String("json", "", "file to write the results to as JSON")
	return &ffcli.Command{
		Name: "experiment", ShortUsage: "standin experiment -mixes equal -shares 0.5,0.95", ShortHelp: "measure throughput and latency against the throughput bound", FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			var results []experiment.Result
			for _, mix := range strings.Split(*mixes, ",") {
				for _, policy := range strings.Split(*policies, ",") {
					for _, share := range strings.Split(*shares, ",") {
						cfg := experiment.Config{Mix: experiment.Mixes()[mix], Policy: policy, VMs: *vms, Duration: *duration, Warmup: *warmup, Seed: *seed}
						if _, err := fmt.Sscan(share, &cfg.OfferedShare); err != nil {
							return fmt.Errorf("share %q: %w", share, err)
						}
						r, err := experiment.Run(ctx, cfg)
						if err != nil {
							return err
						}
						results = append(results, r)
						printResult(r)
					}
				}
			}
			return writeResults(*out, results)
		},
	}
}

func printResult(r experiment.Result) {
	l := r.Load
	fmt.Printf("%-13s %-14s offered %.2f of %5.0f tokens/s: %5.0f (%.3f of the bound)  first %.0f/%.0f/%.0f ms  between %.1f/%.1f/%.1f ms  whole %.1f/s  verdicts %v  refusals %v in %.1f ms  violations %d  seed %d\n",
		r.Mix, r.Policy, r.OfferedShare, r.Bound, l.TokensPerSecond, r.BoundShare, l.FirstToken.P50, l.FirstToken.P95, l.FirstToken.P99,
		l.BetweenTokens.P50, l.BetweenTokens.P95, l.BetweenTokens.P99, l.WholePerSecond, l.Verdicts, l.Refusals, l.RefusalLatency.P50, r.Violations, l.Seed)
}

// writeResults writes v as JSON to a file, or nothing if the file name is empty.
func writeResults(file string, v any) error {
	if file == "" {
		return nil
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode results: %w", err)
	}
	const mode = 0o644
	return os.WriteFile(file, data, mode)
}

// deathsCommand kills engines under load and measures the recovery.
func deathsCommand() *ffcli.Command {
	fs := flag.NewFlagSet("deaths", flag.ContinueOnError)
	deaths := fs.Int("deaths", 100, "number of engines to kill")
	killInterval := fs.Duration("every", 250*time.Millisecond, "time between two kills")
	restartDelay := fs.Duration("back", 700*time.Millisecond, "time after which a killed engine starts again")
	silent := fs.Bool("silent", false, "make engines stop responding instead of killing them")
	share := fs.Float64("share", 0.4, "offered load as a share of the throughput bound")
	seed := fs.Uint64("seed", 1, "random seed of the run")
	out := fs.String("json", "", "file to write the result to as JSON")
	return &ffcli.Command{
		Name: "deaths", ShortUsage: "standin deaths -deaths 1000", ShortHelp: "kill engines while they generate answers", FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			cfg := experiment.EngineFailureConfig{Deaths: *deaths, KillInterval: *killInterval, RestartDelay: *restartDelay, Silent: *silent}
			cfg.Config = experiment.Config{Mix: experiment.Mixes()["equal"], Policy: "planned", VMs: 3, OfferedShare: *share, Seed: *seed}
			r, err := experiment.RunDeaths(ctx, cfg)
			if err != nil {
				return err
			}
			fmt.Printf("deaths %d silent %v verdicts %v refusals %v recovery %+v tokens/s %.0f violations %d seed %d\n",
				r.Deaths, r.Silent, r.Load.Verdicts, r.Load.Refusals, r.Recovery, r.Load.TokensPerSecond, r.Violations, *seed)
			return writeResults(*out, r)
		},
	}
}

// bookingsCommand sends bookings while services and VMs fail.
func bookingsCommand() *ffcli.Command {
	fs := flag.NewFlagSet("bookings", flag.ContinueOnError)
	count := fs.Int("count", 10_000, "number of bookings to send")
	workers := fs.Int("workers", 64, "number of concurrent callers")
	seed := fs.Uint64("seed", 1, "random seed of the run")
	out := fs.String("json", "", "file to write the result to as JSON")
	return &ffcli.Command{
		Name: "bookings", ShortUsage: "standin bookings -count 100000", ShortHelp: "send bookings while services and VMs are killed", FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			cfg := experiment.BookingConfig{Bookings: *count, Workers: *workers, Services: 3}
			cfg.Config = experiment.Config{Mix: experiment.Mix{Name: "none"}, Policy: "planned", VMs: 3, Seed: *seed}
			r, err := experiment.RunBookings(ctx, cfg)
			if err != nil {
				return err
			}
			fmt.Printf("%+v seed %d\n", r, *seed)
			return writeResults(*out, r)
		},
	}
}

// controlCommand measures commits, dissemination and recovery of the control state.
func controlCommand() *ffcli.Command {
	fs := flag.NewFlagSet("control", flag.ContinueOnError)
	vms := fs.Int("vms", 9, "VMs")
	voters := fs.Int("voters", 3, "number of VMs with a Raft replica")
	changes := fs.Int("changes", 200, "number of changes to apply one after another")
	out := fs.String("json", "", "file to write the result to as JSON")
	return &ffcli.Command{
		Name: "control", ShortUsage: "standin control -vms 9 -voters 3", ShortHelp: "measure commits, dissemination and recovery of the control state", FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			r, err := experiment.RunControl(ctx, *vms, *voters, *changes)
			if err != nil {
				return err
			}
			fmt.Printf("%+v\n", r)
			return writeResults(*out, r)
		},
	}
}
