package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func getCommand(streams Streams) *ffcli.Command {
	fs := flag.NewFlagSet("get", flag.ContinueOnError)
	var c connection
	c.register(fs)
	number := fs.Uint64("revision", 0, "a past revision; 0 for the present one")
	return &ffcli.Command{
		Name:       "get",
		ShortUsage: "jasminecove get [-revision 40]",
		ShortHelp:  "print the tables",
		LongHelp: `Example:
  jasminecove get -revision 40 > tables.yaml`,
		FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			client, err := c.client()
			if err != nil {
				return err
			}
			r, err := client.Get(ctx, *number)
			if err != nil {
				return called(err)
			}
			return c.print(streams.Out, r, func() { fmt.Fprint(streams.Out, r.Document) })
		},
	}
}

func historyCommand(streams Streams) *ffcli.Command {
	fs := flag.NewFlagSet("history", flag.ContinueOnError)
	var c connection
	c.register(fs)
	return &ffcli.Command{
		Name:       "history",
		ShortUsage: "jasminecove history",
		ShortHelp:  "list the accepted revisions",
		LongHelp: `Newest first.

Example:
  jasminecove history -output json`,
		FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			client, err := c.client()
			if err != nil {
				return err
			}
			all, err := client.History(ctx)
			if err != nil {
				return called(err)
			}
			return c.print(streams.Out, all, func() {
				for _, r := range all {
					fmt.Fprintf(streams.Out, "%6d  %s  %-16s %s  %s\n", r.Number, r.At, r.Author, r.ChangeID, r.Note)
				}
			})
		},
	}
}

func explainCommand(streams Streams) *ffcli.Command {
	fs := flag.NewFlagSet("explain", flag.ContinueOnError)
	var c connection
	c.register(fs)
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "jasminecove explain REQUEST-ID",
		ShortHelp:  "tell what became of a request",
		LongHelp: `Asks all VMs. Each remembers its newest 4096 requests.

Example:
  jasminecove explain 4a29ce512e9484d3928d0dfa`,
		FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usage("give one request id")
			}
			client, err := c.client()
			if err != nil {
				return err
			}
			a, err := client.Explain(ctx, args[0])
			if err != nil {
				return called(err)
			}
			return c.print(streams.Out, a, func() { printAccount(streams.Out, a) })
		},
	}
}
