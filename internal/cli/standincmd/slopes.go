package standincmd

import (
	"context"
	"flag"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminecove/jasminecove/internal/standin/slopes"
)

// slopesCommand measures the slopes of docs/CAPACITY.md.
func slopesCommand() *ffcli.Command {
	fs := flag.NewFlagSet("slopes", flag.ContinueOnError)
	only := fs.String("only", "", "group of slopes: gossip, registry, path, state, patch, session or idle")
	out := fs.String("json", "", "file for the slopes")
	return &ffcli.Command{
		Name: "slopes", ShortUsage: "standin slopes", ShortHelp: "measure what parts cost at several sizes", FlagSet: fs,
		Exec: func(context.Context, []string) error { return writeResults(*out, slopes.Run(os.Stdout, *only)) },
	}
}
