package standincmd

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminecove/jasminecove/internal/standin/load"
)

// loadCommand sends completion requests to running VMs in an open loop.
func loadCommand() *ffcli.Command {
	fs := flag.NewFlagSet("load", flag.ContinueOnError)
	targets := fs.String("targets", "http://127.0.0.1:7000", "comma-separated base addresses at which VMs serve callers")
	model := fs.String("model", "crew", "model")
	layers := fs.Uint("layers", 12, "layers of the model")
	rate := fs.Float64("rate", 10, "requests per second")
	arrivals := fs.String("arrivals", "poisson", "arrival process: poisson or even")
	duration := fs.Duration("span", 10*time.Second, "duration of the load")
	warmup := fs.Duration("warmup", 2*time.Second, "initial part of the load that the report leaves out")
	words := fs.Int("words", 8, "words per prompt")
	tokens := fs.Int("tokens", 100, "mean tokens per answer")
	prefixes := fs.Int("prefixes", 0, "number of distinct prompt prefixes, 0 for no shared prefixes")
	seed := fs.Uint64("seed", 1, "seed of the load")
	out := fs.String("json", "", "file to write the report to as JSON")
	return &ffcli.Command{
		Name: "load", ShortUsage: "standin load -rate 20", ShortHelp: "send completion requests in an open loop", FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			r := load.Run(ctx, load.Config{
				Targets: strings.Split(*targets, ","), Model: *model, Layers: uint32(*layers), RequestsPerSecond: *rate, Arrivals: *arrivals,
				Duration: *duration, Warmup: *warmup, PromptWords: *words, OutputTokens: *tokens, Prefixes: *prefixes, Seed: *seed,
			})
			fmt.Printf("%.0f tokens/s, %.1f whole answers/s, verdicts %v, refusals %v, first token %.1f/%.1f/%.1f ms, between tokens %.1f/%.1f/%.1f ms, seed %d\n",
				r.TokensPerSecond, r.WholePerSecond, r.Verdicts, r.Refusals, r.FirstToken.P50, r.FirstToken.P95, r.FirstToken.P99, r.BetweenTokens.P50, r.BetweenTokens.P95, r.BetweenTokens.P99, r.Seed)
			return writeResults(*out, r)
		},
	}
}
