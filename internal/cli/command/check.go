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
		ShortHelp:  "check files without connecting to a fleet",
		LongHelp: `Prints every error with its file, line and key. Exits with 3 if there is any.

Example:
  jasminecove check -tables tables.yaml`,
		FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(context.Context, []string) error {
			if *settingsFile == "" && *tablesFile == "" {
				return usageError("-settings or -tables is required")
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
		return withExitCode(ExitInvalid, err)
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
		return withExitCode(ExitInvalid, fmt.Errorf("read tables: %w", err))
	}
	_, err = tables.Parse(data)
	var invalid *tables.InvalidError
	if errors.As(err, &invalid) {
		for _, f := range invalid.Faults {
			fmt.Fprintf(streams.Err, "%s:%d: %s: %s\n", file, f.Line, f.Key, f.Text)
		}
		return withExitCode(ExitInvalid, fmt.Errorf("%s has %d faults", file, len(invalid.Faults)))
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "%s: fine\n", file)
	return nil
}
