package command

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func versionCommand(streams Streams) *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "jasminecove version",
		ShortHelp:  "print the version",
		Exec: func(context.Context, []string) error {
			version, goVersion := "unknown", ""
			if info, ok := debug.ReadBuildInfo(); ok {
				version, goVersion = info.Main.Version, info.GoVersion
			}
			fmt.Fprintf(streams.Out, "jasminecove %s (%s)\n", version, goVersion)
			return nil
		},
	}
}
