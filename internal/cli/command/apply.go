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

// Spans of apply.
const (
	applyRetryPause = 200 * time.Millisecond
	waitPoll        = 20 * time.Millisecond
)

// applyFlags are the flags of apply.
type applyFlags struct {
	connection
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
	fs.StringVar(&f.file, "f", "", "tables file")
	fs.Int64Var(&f.base, "base", -1, "revision that the change is based on; -1 takes the present one")
	fs.StringVar(&f.changeID, "change-id", "", "identifier of the change; give the same again after a lost reply")
	fs.StringVar(&f.author, "author", "", "who makes the change; the user's name by default")
	fs.StringVar(&f.note, "note", "", "why the change is made")
	fs.BoolVar(&f.wait, "wait", false, "wait until the revision is in force on every live VM")
	fs.DurationVar(&f.timeout, "timeout", 30*time.Second, "bound on the whole command")
	fs.Uint64Var(&f.rollback, "rollback", 0, "apply the tables of a past revision as a new change, in place of -f")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "jasminecove apply -f tables.yaml [-wait]",
		ShortHelp:  "change both tables",
		LongHelp: `Changes the tables when nobody else changed them since the base revision. Exits
4 on a conflict and names the present revision and its author; exits 3 when the
tables are faulty, and nothing of them is accepted; exits 6 when -wait ends
before every live VM has the revision, and names those that do not.

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
		return usage("give either -f or -rollback")
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
	result, err := applyUntilAnswered(ctx, client, change)
	if err != nil {
		return called(fmt.Errorf("change %s is not known to be accepted; send it again with -change-id %s -base %d: %w", change.ChangeID, change.ChangeID, change.Base, err))
	}
	if err := f.report(streams, change, result); err != nil {
		return err
	}
	if !f.wait {
		return nil
	}
	return waitInForce(ctx, streams, client, result.Revision)
}

// change builds the change from the flags.
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
			return c, exit(ExitInvalid, fmt.Errorf("read tables: %w", err))
		}
		c.Document = string(data)
	} else {
		past, err := client.Revision(ctx, f.rollback)
		if err != nil {
			return c, called(err)
		}
		c.Document = past.Document
		if c.Note == "" {
			c.Note = fmt.Sprintf("rollback to revision %d", f.rollback)
		}
	}
	if f.base >= 0 {
		return c, nil
	}
	present, err := client.Revision(ctx, 0)
	c.Base = present.Number
	return c, called(err)
}

// applyUntilAnswered sends the change until a reply comes. Its identifier makes
// that safe.
func applyUntilAnswered(ctx context.Context, client *operator.Client, change admin.Change) (admin.ChangeResult, error) {
	for {
		result, err := client.Apply(ctx, change)
		if err == nil {
			return result, nil
		}
		select {
		case <-ctx.Done():
			return result, err
		case <-time.After(applyRetryPause):
		}
	}
}

func (f *applyFlags) report(streams Streams, change admin.Change, r admin.ChangeResult) error {
	switch r.Code {
	case admin.CodeConflict:
		return exit(ExitConflict, fmt.Errorf("conflict: the present revision is %d by %s, the change was based on %d", r.Revision, r.Author, change.Base))
	case admin.CodeInvalid:
		return exit(ExitInvalid, fmt.Errorf("nothing was accepted: %s", r.Detail))
	}
	return f.print(streams.Out, r, func() {
		repeated := ""
		if r.Repeated {
			repeated = " (accepted before, not applied again)"
		}
		fmt.Fprintf(streams.Out, "revision %d accepted%s\n", r.Revision, repeated)
	})
}

// waitInForce waits until every live VM has the revision in force.
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
			return exit(ExitIncomplete, fmt.Errorf("accepted, but revision %d is not known to be in force on: %s", revision, strings.Join(behind, ", ")))
		case <-time.After(waitPoll):
		}
	}
}

// vmsBehind names the live VMs with an older revision.
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
