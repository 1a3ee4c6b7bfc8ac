package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminecove/jasminecove/internal/cli/explain"
	"github.com/jasminecove/jasminecove/internal/cli/operator"
)

// queryCommand describes a command that reads a value from a VM and prints it.
type queryCommand struct {
	name, usage, short, long string
	register                 func(fs *flag.FlagSet) // Adds the command's own flags; may be nil.
	// read returns the value and a function that prints it as text.
	read func(ctx context.Context, c *operator.Client, args []string) (v any, text func(), err error)
}

// build returns the command.
func (q queryCommand) build(streams Streams) *ffcli.Command {
	fs := flag.NewFlagSet(q.name, flag.ContinueOnError)
	var c connectionFlags
	c.register(fs)
	if q.register != nil {
		q.register(fs)
	}
	return &ffcli.Command{
		Name: q.name, ShortUsage: q.usage, ShortHelp: q.short, LongHelp: q.long, FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			client, err := c.client()
			if err != nil {
				return err
			}
			v, text, err := q.read(ctx, client, args)
			if err != nil {
				return err
			}
			return c.print(streams.Out, v, text)
		},
	}
}

func getCommand(streams Streams) *ffcli.Command {
	var number uint64
	return queryCommand{
		name: "get", usage: "jasminecove get [-revision 40]", short: "print the tables",
		long: `Example:
  jasminecove get -revision 40 > tables.yaml`,
		register: func(fs *flag.FlagSet) {
			fs.Uint64Var(&number, "revision", 0, "a past revision; 0 for the current one")
		},
		read: func(ctx context.Context, c *operator.Client, _ []string) (any, func(), error) {
			r, err := c.Revision(ctx, number)
			return r, func() { fmt.Fprint(streams.Out, r.Document) }, callError(err)
		},
	}.build(streams)
}

func historyCommand(streams Streams) *ffcli.Command {
	return queryCommand{
		name: "history", usage: "jasminecove history", short: "list the accepted revisions",
		long: `Newest first.

Example:
  jasminecove history -output json`,
		read: func(ctx context.Context, c *operator.Client, _ []string) (any, func(), error) {
			all, err := c.History(ctx)
			return all, func() {
				for _, r := range all {
					fmt.Fprintf(streams.Out, "%6d  %s  %-16s %s  %s\n", r.Number, r.At, r.Author, r.ChangeID, r.Note)
				}
			}, callError(err)
		},
	}.build(streams)
}

func explainCommand(streams Streams) *ffcli.Command {
	var logs string
	c := queryCommand{
		name: "explain", usage: "jasminecove explain [-logs FILE,FILE] REQUEST-ID", short: "show how a request was processed",
		long: `Queries all VMs, each of which keeps the records of its newest 4096 requests. With
-logs it reads the decisions from VMs' log files instead, merges them by timestamp
and prints the cause of the request's end; - is standard input.

Examples:
  jasminecove explain 4a29ce512e9484d3928d0dfa
  jasminecove explain -logs vm-01.log,vm-02.log 4a29ce512e9484d3928d0dfa`,
		register: func(fs *flag.FlagSet) {
			fs.StringVar(&logs, "logs", "", "comma-separated log files of VMs")
		},
		read: func(ctx context.Context, c *operator.Client, args []string) (any, func(), error) {
			if len(args) != 1 {
				return nil, nil, usageError("exactly one request id is required")
			}
			a, err := c.Explain(ctx, args[0])
			return a, func() { printAccount(streams.Out, a) }, callError(err)
		},
	}.build(streams)
	queryVM := c.Exec
	c.Exec = func(ctx context.Context, args []string) error {
		if logs == "" {
			return queryVM(ctx, args)
		}
		if len(args) != 1 {
			return usageError("exactly one request id is required")
		}
		return explainLogs(streams, logs, args[0])
	}
	return c
}

// readLogs reads the lines of the log files in a comma-separated list, in which - is standard input.
func readLogs(names string) ([]explain.Line, error) {
	var in []io.Reader
	for _, name := range strings.Split(names, ",") {
		if name == "-" {
			in = append(in, os.Stdin)
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			return nil, withExitCode(ExitInvalid, fmt.Errorf("open log: %w", err))
		}
		defer func() { _ = f.Close() }()
		in = append(in, f)
	}
	lines, err := explain.Read(in...)
	if err != nil {
		return nil, withExitCode(ExitInvalid, err)
	}
	return lines, nil
}

// explainLogs prints a request's log lines from the named files, and the cause of its end.
func explainLogs(streams Streams, names, id string) error {
	lines, err := readLogs(names)
	if err != nil {
		return err
	}
	selected, err := explain.RequestLines(lines, id)
	if err != nil {
		return err
	}
	for _, l := range selected {
		fmt.Fprintln(streams.Out, l)
	}
	fmt.Fprintln(streams.Out, explain.Cause(selected, id))
	return nil
}

func statusCommand(streams Streams) *ffcli.Command {
	return queryCommand{
		name: "status", usage: "jasminecove status", short: "show the state of the fleet",
		long: `Shows one VM's view of the fleet: the VMs and the revision in force on each, the
leader, the pools with their upstreams, and the age of the view.

Example:
  jasminecove status -server https://10.0.0.1:7002 -authority authority.pem -token-file token`,
		read: func(ctx context.Context, c *operator.Client, _ []string) (any, func(), error) {
			s, err := c.Status(ctx)
			return s, func() { printStatus(streams.Out, s) }, callError(err)
		},
	}.build(streams)
}
