package standincmd

import (
	"context"
	"flag"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminecove/jasminecove/internal/standin/slopes"
)

// slopesCommand measures how the cost of components grows with size; docs/CAPACITY.md reports the
// slopes.
func slopesCommand() *ffcli.Command {
	fs := flag.NewFlagSet("slopes", flag.ContinueOnError)
	group := fs.String("only", "", "group to measure, all if empty: gossip, registry, path, state, patch, session or idle")
	out := fs.String("json", "", "file to write the slopes to as JSON")
	return &ffcli.Command{
		Name: "slopes", ShortUsage: "standin slopes", ShortHelp: "measure how the cost of components grows with size", FlagSet: fs,
		Exec: func(context.Context, []string) error { return writeResults(*out, slopes.Run(os.Stdout, *group)) },
	}
}
