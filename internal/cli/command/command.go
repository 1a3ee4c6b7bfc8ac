// Package command implements the jasminecove command line. Each group of subcommands has a file of
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
	ExitFailed      = 1 // The command failed.
	ExitUsage       = 2 // The arguments are invalid.
	ExitInvalid     = 3 // A file is missing or invalid.
	ExitConflict    = 4 // The tables were changed since the base revision.
	ExitUnavailable = 5 // No VM or no quorum is reachable.
	ExitIncomplete  = 6 // Partly done, for example not yet in force on every VM.
)

// ErrUsage reports invalid arguments.
const ErrUsage = fault.Sentinel("wrong arguments")

// ExitError is an error with the exit code of the process.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the error without its exit code.
func (e *ExitError) Unwrap() error { return e.Err }

// withExitCode wraps err with an exit code.
func withExitCode(code int, err error) error { return &ExitError{Code: code, Err: err} }

// usageError returns an ErrUsage with a message and the exit code for it.
func usageError(format string, args ...any) error {
	return withExitCode(ExitUsage, fmt.Errorf("%w: "+format, append([]any{ErrUsage}, args...)...))
}

// Streams are the output streams of a command.
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

// Main runs the command line with the arguments of the process.
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

Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 invalid file, 4 conflict,
5 no VM or no quorum reachable, 6 partly done.`,
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
