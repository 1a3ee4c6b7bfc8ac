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

	"github.com/jasminecove/jasminecove/internal/cli/logstory"
	"github.com/jasminecove/jasminecove/internal/cli/operator"
)

// reader is a command that reads something from a VM and prints it.
type reader struct {
	name, usage, short, long string
	register                 func(fs *flag.FlagSet) // Adds flags of its own, or nil.
	// read returns what it read, and a function that prints it for people.
	read func(ctx context.Context, c *operator.Client, args []string) (v any, text func(), err error)
}

// command makes the reader a command.
func (r reader) command(streams Streams) *ffcli.Command {
	fs := flag.NewFlagSet(r.name, flag.ContinueOnError)
	var c connection
	c.register(fs)
	if r.register != nil {
		r.register(fs)
	}
	return &ffcli.Command{
		Name: r.name, ShortUsage: r.usage, ShortHelp: r.short, LongHelp: r.long, FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			client, err := c.client()
			if err != nil {
				return err
			}
			v, text, err := r.read(ctx, client, args)
			if err != nil {
				return err
			}
			return c.print(streams.Out, v, text)
		},
	}
}

func getCommand(streams Streams) *ffcli.Command {
	var number uint64
	return reader{
		name: "get", usage: "jasminecove get [-revision 40]", short: "print the tables",
		long: `Example:
  jasminecove get -revision 40 > tables.yaml`,
		register: func(fs *flag.FlagSet) {
			fs.Uint64Var(&number, "revision", 0, "a past revision; 0 for the present one")
		},
		read: func(ctx context.Context, c *operator.Client, _ []string) (any, func(), error) {
			r, err := c.Revision(ctx, number)
			return r, func() { fmt.Fprint(streams.Out, r.Document) }, called(err)
		},
	}.command(streams)
}

func historyCommand(streams Streams) *ffcli.Command {
	return reader{
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
			}, called(err)
		},
	}.command(streams)
}

func explainCommand(streams Streams) *ffcli.Command {
	var logs string
	c := reader{
		name: "explain", usage: "jasminecove explain [-logs FILE,FILE] REQUEST-ID", short: "tell what became of a request",
		long: `Asks all VMs. Each remembers its newest 4096 requests. With -logs it reads the
decisions that VMs wrote instead, merges them by the VMs' clocks and ends with the
cause; - stands for standard input.

Examples:
  jasminecove explain 4a29ce512e9484d3928d0dfa
  jasminecove explain -logs vm-01.log,vm-02.log 4a29ce512e9484d3928d0dfa`,
		register: func(fs *flag.FlagSet) {
			fs.StringVar(&logs, "logs", "", "log files of VMs, with commas between")
		},
		read: func(ctx context.Context, c *operator.Client, args []string) (any, func(), error) {
			if len(args) != 1 {
				return nil, nil, usage("give one request id")
			}
			a, err := c.Explain(ctx, args[0])
			return a, func() { printAccount(streams.Out, a) }, called(err)
		},
	}.command(streams)
	ask := c.Exec
	c.Exec = func(ctx context.Context, args []string) error {
		if logs == "" {
			return ask(ctx, args)
		}
		if len(args) != 1 {
			return usage("give one request id")
		}
		return explainLogs(streams, logs, args[0])
	}
	return c
}

// readLogs reads the decisions in log files, whose names have commas between; - stands
// for standard input.
func readLogs(names string) ([]logstory.Line, error) {
	var in []io.Reader
	for _, name := range strings.Split(names, ",") {
		if name == "-" {
			in = append(in, os.Stdin)
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			return nil, exit(ExitInvalid, fmt.Errorf("open log: %w", err))
		}
		defer func() { _ = f.Close() }()
		in = append(in, f)
	}
	lines, err := logstory.Read(in...)
	if err != nil {
		return nil, exit(ExitInvalid, err)
	}
	return lines, nil
}

// explainLogs prints a request's log lines from the named files, and the cause of its end.
func explainLogs(streams Streams, names, id string) error {
	lines, err := readLogs(names)
	if err != nil {
		return err
	}
	selected, err := logstory.RequestLines(lines, id)
	if err != nil {
		return err
	}
	for _, l := range selected {
		fmt.Fprintln(streams.Out, l)
	}
	fmt.Fprintln(streams.Out, logstory.Cause(selected, id))
	return nil
}

func statusCommand(streams Streams) *ffcli.Command {
	return reader{
		name: "status", usage: "jasminecove status", short: "show the fleet at a glance",
		long: `Shows one VM's view: the VMs and the revision in force on each, the leader, the
pools with their upstreams, and the age of the view.

Example:
  jasminecove status -server https://10.0.0.1:7002 -authority authority.pem -token-file token`,
		read: func(ctx context.Context, c *operator.Client, _ []string) (any, func(), error) {
			s, err := c.Status(ctx)
			return s, func() { printStatus(streams.Out, s) }, called(err)
		},
	}.command(streams)
}
