package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/node/settings"
)

func checkCommand(streams Streams) *ffcli.Command {
	fs := flag.NewFlagSet("check", flag.ContinueOnError)
	settingsFile := fs.String("settings", "", "settings file to check")
	tablesFile := fs.String("tables", "", "tables file to check")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "jasminecove check [-settings vm.yaml] [-tables tables.yaml]",
		ShortHelp:  "check files without a running fleet",
		LongHelp: `Names every fault with file, line and key. Exits 3 when there is any.

Example:
  jasminecove check -tables tables.yaml`,
		FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(context.Context, []string) error {
			if *settingsFile == "" && *tablesFile == "" {
				return usage("give -settings or -tables")
			}
			return errors.Join(checkSettings(streams, *settingsFile), checkTables(streams, *tablesFile))
		},
	}
}

func checkSettings(streams Streams, file string) error {
	if file == "" {
		return nil
	}
	if _, err := settings.Load(file); err != nil {
		return exit(ExitInvalid, err)
	}
	fmt.Fprintf(streams.Out, "%s: fine\n", file)
	return nil
}

func checkTables(streams Streams, file string) error {
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return exit(ExitInvalid, fmt.Errorf("read tables: %w", err))
	}
	_, err = tables.Parse(data)
	var invalid *tables.InvalidError
	if errors.As(err, &invalid) {
		for _, f := range invalid.Faults {
			fmt.Fprintf(streams.Err, "%s:%d: %s: %s\n", file, f.Line, f.Key, f.Text)
		}
		return exit(ExitInvalid, fmt.Errorf("%s has %d faults", file, len(invalid.Faults)))
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "%s: fine\n", file)
	return nil
}
