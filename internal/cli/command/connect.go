package command

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/jasminecove/jasminecove/internal/cli/operator"
)

// connection are the flags of commands that call a VM.
type connection struct {
	server    string
	authority string
	tokenFile string
	output    string
}

// register adds the flags to a set.
func (c *connection) register(fs *flag.FlagSet) {
	fs.StringVar(&c.server, "server", "http://127.0.0.1:7002", "operators' address of any VM")
	fs.StringVar(&c.authority, "authority", "", "file with the fleet's authorities, for https")
	fs.StringVar(&c.tokenFile, "token-file", "", "file with the operators' token")
	fs.StringVar(&c.output, "output", "text", "form of the output: text or json")
}

// client returns a client of the VM.
func (c *connection) client() (*operator.Client, error) {
	if c.output != "text" && c.output != "json" {
		return nil, usage("-output must be text or json, not %q", c.output)
	}
	return operator.New(operator.Config{Server: c.server, Authority: c.authority, TokenFile: c.tokenFile})
}

// print writes v as JSON, or as text by the function.
func (c *connection) print(out io.Writer, v any, text func()) error {
	if c.output == "json" {
		return json.NewEncoder(out).Encode(v)
	}
	text()
	return nil
}

// called gives a failed call its exit code.
func called(err error) error {
	if err == nil {
		return nil
	}
	var status *operator.StatusError
	if errors.As(err, &status) && status.Status < 500 {
		return exit(ExitFailed, err)
	}
	return exit(ExitUnavailable, fmt.Errorf("no VM answered: %w", err))
}
