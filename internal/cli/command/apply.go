package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminecove/jasminecove/internal/cli/operator"
	"github.com/jasminecove/jasminecove/internal/node/admin"
)

const (
	applyRetryInterval = 200 * time.Millisecond
	statusPollInterval = 20 * time.Millisecond
)

type applyFlags struct {
	connectionFlags
	file     string
	base     int64
	changeID string
	author   string
	note     string
	wait     bool
	timeout  time.Duration
	rollback uint64
}

func applyCommand(streams Streams) *ffcli.Command {
	fs := flag.NewFlagSet("apply", flag.ContinueOnError)
	var f applyFlags
	f.register(fs)
	fs.StringVar(&f.file, "f", "", "file with the new tables")
	fs.Int64Var(&f.base, "base", -1, "revision that the change is based on; -1 for the current one")
	fs.StringVar(&f.changeID, "change-id", "", "identifier of the change; use the same one to repeat a change whose reply was lost")
	fs.StringVar(&f.author, "author", "", "author of the change; the name of the current user by default")
	fs.StringVar(&f.note, "note", "", "reason for the change")
	fs.BoolVar(&f.wait, "wait", false, "wait until the revision is in force on every live VM")
	fs.DurationVar(&f.timeout, "timeout", 30*time.Second, "time limit of the whole command")
	fs.Uint64Var(&f.rollback, "rollback", 0, "past revision whose tables are applied as a new change, instead of -f")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "jasminecove apply -f tables.yaml [-wait]",
		ShortHelp:  "change the tables of routes and pools",
		LongHelp: `Changes the tables unless they were changed since the base revision. Exits with
4 on a conflict and prints the current revision and its author; with 3 if the
tables are invalid, in which case nothing is accepted; with 6 if -wait times out
before the revision is in force on every live VM, and prints the other VMs.

Examples:
  jasminecove apply -f tables.yaml -wait
  jasminecove apply -f tables.yaml -base 41 -change-id spring-routes
  jasminecove apply -rollback 40`,
		FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec:    func(ctx context.Context, _ []string) error { return apply(ctx, streams, f) },
	}
}

func apply(ctx context.Context, streams Streams, f applyFlags) error {
	if (f.file == "") == (f.rollback == 0) {
		return usageError("exactly one of -f and -rollback is required")
	}
	client, err := f.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	change, err := f.change(ctx, client)
	if err != nil {
		return err
	}
	result, err := applyWithRetry(ctx, client, change)
	if err != nil {
		return callError(fmt.Errorf("change %s is not known to be accepted; send it again with -change-id %s -base %d: %w", change.ChangeID, change.ChangeID, change.Base, err))
	}
	if err := f.report(streams, change, result); err != nil {
		return err
	}
	if !f.wait {
		return nil
	}
	return waitInForce(ctx, streams, client, result.Revision)
}

// change builds the change from the flags, and reads what it lacks from the tables file or the VM.
func (f *applyFlags) change(ctx context.Context, client *operator.Client) (admin.Change, error) {
	c := admin.Change{ChangeID: f.changeID, Author: f.author, Note: f.note, Base: uint64(max(f.base, 0))}
	if c.ChangeID == "" {
		c.ChangeID = newChangeID()
	}
	if c.Author == "" {
		c.Author = userName()
	}
	if f.file != "" {
		data, err := os.ReadFile(f.file)
		if err != nil {
			return c, withExitCode(ExitInvalid, fmt.Errorf("read tables: %w", err))
		}
		c.Document = string(data)
	} else {
		old, err := client.Revision(ctx, f.rollback)
		if err != nil {
			return c, callError(err)
		}
		c.Document = old.Document
		if c.Note == "" {
			c.Note = fmt.Sprintf("rollback to revision %d", f.rollback)
		}
	}
	if f.base >= 0 {
		return c, nil
	}
	current, err := client.Revision(ctx, 0)
	c.Base = current.Number
	return c, callError(err)
}

// applyWithRetry sends the change until a VM replies. Repeating it is safe, because a change with
// a known identifier is not applied again.
func applyWithRetry(ctx context.Context, client *operator.Client, change admin.Change) (admin.ChangeResult, error) {
	for {
		result, err := client.Apply(ctx, change)
		if err == nil {
			return result, nil
		}
		select {
		case <-ctx.Done():
			return result, err
		case <-time.After(applyRetryInterval):
		}
	}
}

// report prints the result, or returns an error if the change was not accepted.
func (f *applyFlags) report(streams Streams, change admin.Change, r admin.ChangeResult) error {
	switch r.Code {
	case admin.CodeConflict:
		return withExitCode(ExitConflict, fmt.Errorf("conflict: the present revision is %d by %s, the change was based on %d", r.Revision, r.Author, change.Base))
	case admin.CodeInvalid:
		return withExitCode(ExitInvalid, fmt.Errorf("nothing was accepted: %s", r.Detail))
	}
	return f.print(streams.Out, r, func() {
		repeated := ""
		if r.Repeated {
			repeated = " (accepted before, not applied again)"
		}
		fmt.Fprintf(streams.Out, "revision %d accepted%s\n", r.Revision, repeated)
	})
}

// waitInForce waits until the revision is in force on every live VM.
func waitInForce(ctx context.Context, streams Streams, client *operator.Client, revision uint64) error {
	var behind []string
	for {
		s, err := client.Status(ctx)
		if err == nil {
			if behind = vmsBehind(s, revision); len(behind) == 0 {
				fmt.Fprintf(streams.Out, "revision %d is in force on every live VM\n", revision)
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return withExitCode(ExitIncomplete, fmt.Errorf("accepted, but revision %d is not known to be in force on: %s", revision, strings.Join(behind, ", ")))
		case <-time.After(statusPollInterval):
		}
	}
}

// vmsBehind returns the names of the live VMs that have an older revision.
func vmsBehind(s admin.Status, revision uint64) []string {
	var out []string
	for _, vm := range s.VMs {
		if (vm.State == "alive" || vm.State == "suspect") && vm.Revision < revision {
			out = append(out, vm.Name)
		}
	}
	return out
}

func newChangeID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
