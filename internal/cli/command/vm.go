package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminecove/jasminecove/internal/cli/operator"
)

func drainCommand(streams Streams) *ffcli.Command {
	return vmCommand(streams, "drain", "stop a VM without interrupting requests",
		`The VM becomes unready, transfers its Raft leadership, finishes the requests in
flight, and exits with 0. SIGTERM on the VM has the same effect.

Example:
  jasminecove drain vm-03`, (*operator.Client).Drain)
}

func retireCommand(streams Streams) *ffcli.Command {
	return vmCommand(streams, "retire", "remove a VM's replica from the Raft group permanently",
		`Use it for a VM with a disk that will not come back. A VM whose disk was replaced
needs no command: it joins by itself, and its old replica is removed.

Example:
  jasminecove retire vm-02`, (*operator.Client).RemoveVoter)
}

// vmCommand returns a command that makes one call about the VM in its argument.
func vmCommand(streams Streams, name, short, long string, call func(*operator.Client, context.Context, string) error) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	var c connectionFlags
	c.register(fs)
	return &ffcli.Command{
		Name: name, ShortUsage: "jasminecove " + name + " VM", ShortHelp: short, LongHelp: long, FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("exactly one VM is required")
			}
			client, err := c.client()
			if err != nil {
				return err
			}
			if err := call(client, ctx, args[0]); err != nil {
				return callError(err)
			}
			fmt.Fprintf(streams.Out, "%s: %s asked for\n", args[0], name)
			return nil
		},
	}
}
