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
	return vmCommand(streams, "drain", "stop a VM without cutting a request",
		`The VM turns unready, hands its lead over, finishes what is in flight, and
exits 0. It is the same as SIGTERM on the VM.

Example:
  jasminecove drain vm-03`, (*operator.Client).Drain)
}

func retireCommand(streams Streams) *ffcli.Command {
	return vmCommand(streams, "retire", "take a VM's replica out of the group for good",
		`For a VM with a disk that will not come back. A VM whose disk was replaced
needs no command: it joins by itself and its old replica is removed.

Example:
  jasminecove retire vm-02`, (*operator.Client).RemoveVoter)
}

// vmCommand is a command on one VM.
func vmCommand(streams Streams, name, short, long string, call func(*operator.Client, context.Context, string) error) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	var c connection
	c.register(fs)
	return &ffcli.Command{
		Name: name, ShortUsage: "jasminecove " + name + " VM", ShortHelp: short, LongHelp: long, FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usage("give one VM")
			}
			client, err := c.client()
			if err != nil {
				return err
			}
			if err := call(client, ctx, args[0]); err != nil {
				return called(err)
			}
			fmt.Fprintf(streams.Out, "%s: %s asked for\n", args[0], name)
			return nil
		},
	}
}
