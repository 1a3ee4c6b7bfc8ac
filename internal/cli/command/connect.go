package command

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/jasminecove/jasminecove/internal/cli/operator"
)

// connectionFlags are the flags shared by the commands that call a VM.
type connectionFlags struct {
	server    string
	authority string
	tokenFile string
	output    string
}

// register adds the flags to fs.
func (c *connectionFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&c.server, "server", "http://127.0.0.1:7002", "base address of any VM's operators' interface")
	fs.StringVar(&c.authority, "authority", "", "PEM file of the fleet's certificate authorities, for https")
	fs.StringVar(&c.tokenFile, "token-file", "", "file with the operators' token")
	fs.StringVar(&c.output, "output", "text", "output format: text or json")
}

// client returns a client of the VM that the flags name.
func (c *connectionFlags) client() (*operator.Client, error) {
	if c.output != "text" && c.output != "json" {
		return nil, usageError("-output must be text or json, not %q", c.output)
	}
	return operator.New(operator.Config{Server: c.server, Authority: c.authority, TokenFile: c.tokenFile})
}

// print writes v as JSON, or calls text to print it, depending on -output.
func (c *connectionFlags) print(out io.Writer, v any, text func()) error {
	if c.output == "json" {
		return json.NewEncoder(out).Encode(v)
	}
	text()
	return nil
}

// callError wraps the error of a failed call with the exit code of the command:
// ExitFailed if a VM answered with a status below 500, and ExitUnavailable for any other
// error. It returns nil if err is nil.
func callError(err error) error {
	if err == nil {
		return nil
	}
	var status *operator.StatusError
	if errors.As(err, &status) && status.Status < 500 {
		return withExitCode(ExitFailed, err)
	}
	return withExitCode(ExitUnavailable, fmt.Errorf("no VM answered: %w", err))
}
