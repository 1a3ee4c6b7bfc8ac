// Package command is the jasminecove command line. Each subcommand has a file of
// its own.
package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminecove/jasminecove/internal/base/fault"
)

// Exit codes of the command line.
const (
	ExitOK          = 0
	ExitFailed      = 1 // The command could not do its work.
	ExitUsage       = 2 // The arguments are wrong.
	ExitInvalid     = 3 // A file or its content is faulty.
	ExitConflict    = 4 // Somebody else changed the tables first.
	ExitUnavailable = 5 // No VM or no quorum could be reached.
	ExitIncomplete  = 6 // Done in part, for example not yet in force everywhere.
)

// ErrUsage reports wrong arguments.
const ErrUsage = fault.Sentinel("wrong arguments")

// ExitError is an error with the exit code that it stands for.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the failure itself.
func (e *ExitError) Unwrap() error { return e.Err }

// exit gives a failure its exit code.
func exit(code int, err error) error { return &ExitError{Code: code, Err: err} }

// usage reports wrong arguments.
func usage(format string, args ...any) error {
	return exit(ExitUsage, fmt.Errorf("%w: "+format, append([]any{ErrUsage}, args...)...))
}

// Streams are what a command reads and writes.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// Run runs the command line and returns its exit code.
func Run(ctx context.Context, args []string, streams Streams) int {
	err := root(streams).ParseAndRun(ctx, args)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	fmt.Fprintf(streams.Err, "jasminecove: %v\n", err)
	var exitErr *ExitError
	if errors.As(err, &exitErr) {
		return exitErr.Code
	}
	return ExitFailed
}

// Main runs the command line of this process.
func Main() {
	os.Exit(Run(context.Background(), os.Args[1:], Streams{Out: os.Stdout, Err: os.Stderr}))
}

func root(streams Streams) *ffcli.Command {
	fs := flag.NewFlagSet("jasminecove", flag.ContinueOnError)
	fs.SetOutput(streams.Err)
	return &ffcli.Command{
		Name:       "jasminecove",
		ShortUsage: "jasminecove <command> [flags]",
		LongHelp: `A router for model pipelines over mixed accelerators.

Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 faulty file, 4 conflict,
5 nothing could be reached, 6 done in part.`,
		FlagSet: fs,
		Subcommands: []*ffcli.Command{
			serveCommand(streams),
			checkCommand(streams),
			applyCommand(streams),
			getCommand(streams),
			historyCommand(streams),
			statusCommand(streams),
			explainCommand(streams),
			reportCommand(streams),
			drainCommand(streams),
			retireCommand(streams),
			keysCommand(streams),
			demoCommand(streams),
			versionCommand(streams),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}
