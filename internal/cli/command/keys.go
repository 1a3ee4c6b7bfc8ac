package command

import (
	"context"
	"flag"
	"fmt"
	"path/filepath"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminecove/jasminecove/internal/fleet/keys"
)

func keysCommand(streams Streams) *ffcli.Command {
	return &ffcli.Command{
		Name:       "keys",
		ShortUsage: "jasminecove keys <authority|issue|trust|retire> -folder keys [VM ...]",
		ShortHelp:  "create and rotate the fleet's keys",
		LongHelp: `A new fleet:
  jasminecove keys authority -folder keys
  jasminecove keys issue -folder keys vm-01 vm-02 vm-03
Then copy each VM's folder, such as keys/vm-01, to that VM. Keep the authority's key
off the VMs.

A rotation without downtime. Copy each VM's folder to the VM after each step:
  jasminecove keys authority -folder keys
  jasminecove keys trust -folder keys vm-01 vm-02 vm-03
  jasminecove keys issue -folder keys vm-01 vm-02 vm-03
  jasminecove keys retire -folder keys
  jasminecove keys trust -folder keys vm-01 vm-02 vm-03`,
		Subcommands: []*ffcli.Command{
			keysSubcommand(streams, "authority", "create a new authority in addition to the trusted ones", false, func(folder, _ string) error { return keys.CreateAuthority(folder) }),
			keysSubcommand(streams, "issue", "issue certificates for VMs", true, issue),
			keysSubcommand(streams, "trust", "update the trusted authorities in VMs' folders", true, trust),
			keysSubcommand(streams, "retire", "remove all authorities but the newest", false, func(folder, _ string) error { return keys.RetireAuthorities(folder) }),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func issue(folder, vm string) error { return keys.Issue(folder, vm, filepath.Join(folder, vm)) }

func trust(folder, vm string) error { return keys.Trust(folder, filepath.Join(folder, vm)) }

// keysSubcommand returns a command that runs step on a folder of keys: once, or for each VM in the
// arguments if perVM is set.
func keysSubcommand(streams Streams, name, short string, perVM bool, step func(folder, vm string) error) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	folder := fs.String("folder", "keys", "folder with the authority and a folder for each VM")
	return &ffcli.Command{
		Name: name, ShortUsage: "jasminecove keys " + name + " -folder keys", ShortHelp: short, FlagSet: fs,
		Exec: func(_ context.Context, vms []string) error {
			if perVM == (len(vms) == 0) {
				return usageError("issue and trust require VMs, authority and retire take none")
			}
			if !perVM {
				vms = []string{""}
			}
			for _, vm := range vms {
				if err := step(*folder, vm); err != nil {
					return err
				}
				fmt.Fprintf(streams.Out, "%s %s: done\n", name, filepath.Join(*folder, vm))
			}
			return nil
		},
	}
}
