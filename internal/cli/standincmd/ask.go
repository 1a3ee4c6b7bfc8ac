package standincmd

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/cli/operator"
	"github.com/jasminecove/jasminecove/internal/standin/caller"
)

// Errors of the caller's commands.
const (
	errIncomplete    = fault.Sentinel("the answer is incomplete or wrong")
	errFaultsRefused = fault.Sentinel("the stand-in refused the faults")
	errIdle          = fault.Sentinel("the VM has no request in flight")
)

// askCommand requests one completion and checks the answer.
func askCommand() *ffcli.Command {
	fs := flag.NewFlagSet("ask", flag.ContinueOnError)
	base := fs.String("base", "http://127.0.0.1:7000", "base address at which a VM serves callers")
	model := fs.String("model", "crew", "model")
	layers := fs.Uint("layers", 12, "layers of the model")
	prompt := fs.String("prompt", "summarize the inspection", "prompt")
	tokens := fs.Int("max-tokens", 20, "number of tokens to request")
	return &ffcli.Command{
		Name: "ask", ShortUsage: "standin ask -base http://127.0.0.1:7000", ShortHelp: "request a completion and check the answer", FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			c := caller.New(1)
			defer c.Close()
			a := c.Complete(ctx, caller.Request{BaseURL: *base, Model: *model, Layers: uint32(*layers), Prompt: *prompt, MaxTokens: *tokens})
			fmt.Printf("%s %s %s: %d tokens, first after %s, all after %s, request %s\n", a.Verdict, a.Outcome, a.RefusalKind, a.Tokens, a.FirstToken, a.Duration, a.RequestID)
			if a.Verdict != caller.Whole {
				return errIncomplete
			}
			return nil
		},
	}
}

// inFlightCommand succeeds when a VM has requests in flight.
func inFlightCommand() *ffcli.Command {
	fs := flag.NewFlagSet("inflight", flag.ContinueOnError)
	server := fs.String("server", "http://127.0.0.1:7002", "base address of a VM's operators' interface")
	authority := fs.String("authority", "", "PEM file of the fleet's certificate authorities")
	return &ffcli.Command{
		Name: "inflight", ShortUsage: "standin inflight -server URL", ShortHelp: "succeed when a VM has requests in flight", FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			c, err := operator.New(operator.Config{Server: *server, Authority: *authority})
			if err != nil {
				return err
			}
			s, err := c.Status(ctx)
			if err != nil {
				return err
			}
			if s.InFlight == 0 {
				return errIdle
			}
			return nil
		},
	}
}

// faultCommand replaces the faults that a stand-in injects by those in its JSON argument.
func faultCommand() *ffcli.Command {
	fs := flag.NewFlagSet("fault", flag.ContinueOnError)
	address := fs.String("address", "", "host:port of the stand-in engine or service")
	return &ffcli.Command{
		Name: "fault", ShortUsage: `standin fault -address 127.0.0.1:9000 '{"stall":true}'`, ShortHelp: "set the faults that a stand-in injects", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+*address+"/faults", strings.NewReader(strings.Join(args, "")))
			if err != nil {
				return err
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return err
			}
			defer func() { _ = resp.Body.Close() }()
			if resp.StatusCode != http.StatusOK {
				return errFaultsRefused
			}
			return nil
		},
	}
}
