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
		ShortHelp:  "make and rotate the fleet's keys",
		LongHelp: `A new fleet:
  jasminecove keys authority -folder keys
  jasminecove keys issue -folder keys vm-01 vm-02 vm-03
and copy keys/vm-01 to that VM, and so on. The authority's key stays with you.

A rotation without a stop, copying each VM's folder after each step:
  jasminecove keys authority -folder keys
  jasminecove keys trust -folder keys vm-01 vm-02 vm-03
  jasminecove keys issue -folder keys vm-01 vm-02 vm-03
  jasminecove keys retire -folder keys
  jasminecove keys trust -folder keys vm-01 vm-02 vm-03`,
		Subcommands: []*ffcli.Command{
			keysStep(streams, "authority", "make a new authority, beside those trusted", false, func(folder, _ string) error { return keys.CreateAuthority(folder) }),
			keysStep(streams, "issue", "make certificates of VMs", true, issue),
			keysStep(streams, "trust", "give VMs the trusted authorities", true, trust),
			keysStep(streams, "retire", "trust only the newest authority", false, func(folder, _ string) error { return keys.RetireAuthorities(folder) }),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func issue(folder, vm string) error { return keys.Issue(folder, vm, filepath.Join(folder, vm)) }

func trust(folder, vm string) error { return keys.Trust(folder, filepath.Join(folder, vm)) }

// keysStep is one step on a folder of keys, for each VM if perVM is set.
func keysStep(streams Streams, name, short string, perVM bool, step func(folder, vm string) error) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	folder := fs.String("folder", "keys", "folder of the authority and the VMs' folders")
	return &ffcli.Command{
		Name: name, ShortUsage: "jasminecove keys " + name + " -folder keys", ShortHelp: short, FlagSet: fs,
		Exec: func(_ context.Context, vms []string) error {
			if perVM == (len(vms) == 0) {
				return usage("VMs go with issue and trust only")
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
