// Package operator is a client of the operators' interface of a VM.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"

	"github.com/dghubble/sling"

	"github.com/jasminecove/jasminecove/internal/fleet/keys"
	"github.com/jasminecove/jasminecove/internal/node/admin"
	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
)

const maxBodyBytes = 64 << 20

// StatusError reports a response whose status is not a success.
type StatusError struct {
	Status int
	Text   string // Error message from the response body.
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Text) }

// Client calls the operators' interface of one VM.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// Config holds the address of the operators' interface and the credentials for it.
type Config struct {
	Server    string // For example https://10.0.0.1:7002.
	Authority string // PEM file of the fleet's certificate authorities; empty for plain HTTP.
	TokenFile string // File with the operators' bearer token; empty for none.
}

// New returns a client of the VM at cfg.Server. It reads the files that cfg names.
func New(cfg Config) (*Client, error) {
	c := &Client{base: strings.TrimSuffix(cfg.Server, "/"), http: &http.Client{}}
	if cfg.Authority != "" {
		tlsConfig, err := keys.OperatorClient(cfg.Authority)
		if err != nil {
			return nil, err
		}
		c.http.Transport = &http.Transport{TLSClientConfig: tlsConfig}
	}
	if cfg.TokenFile != "" {
		data, err := os.ReadFile(cfg.TokenFile)
		if err != nil {
			return nil, fmt.Errorf("read token: %w", err)
		}
		c.token = strings.TrimSpace(string(data))
	}
	return c, nil
}

// ForVM returns a client of the VM whose operators' interface listens on address. It trusts the
// certificate authorities in the VM's key folder.
func ForVM(address, keyFolder string) (*Client, error) {
	return New(Config{Server: "https://" + address, Authority: filepath.Join(keyFolder, keys.AuthorityFile)})
}

// Status returns the VM's view of the fleet.
func (c *Client) Status(ctx context.Context) (admin.Status, error) {
	var s admin.Status
	return s, c.get(ctx, "/v1/status", &s)
}

// Revision returns the given revision of the tables, or the current one if number is 0.
func (c *Client) Revision(ctx context.Context, number uint64) (admin.Revision, error) {
	path := "/v1/tables"
	if number > 0 {
		path += fmt.Sprintf("?revision=%d", number)
	}
	var r admin.Revision
	return r, c.get(ctx, path, &r)
}

// History returns the revisions that the fleet keeps, newest first.
func (c *Client) History(ctx context.Context) ([]admin.Revision, error) {
	var out []admin.Revision
	return out, c.get(ctx, "/v1/tables/history", &out)
}

// Explain returns the record of a request.
func (c *Client) Explain(ctx context.Context, id string) (exchange.Account, error) {
	var a exchange.Account
	return a, c.get(ctx, "/v1/requests/"+url.PathEscape(id), &a)
}

// Apply submits new tables. A conflict and invalid tables are reported in the result, not as an error.
func (c *Client) Apply(ctx context.Context, change admin.Change) (admin.ChangeResult, error) {
	var r admin.ChangeResult
	err := c.post(ctx, "/v1/tables", change, &r, http.StatusConflict, http.StatusUnprocessableEntity)
	return r, err
}

// Drain requests that a VM drain.
func (c *Client) Drain(ctx context.Context, vm string) error {
	return c.post(ctx, "/v1/drain", admin.VMRequest{VM: vm}, nil)
}

// RemoveVoter removes a VM's replica from the Raft group.
func (c *Client) RemoveVoter(ctx context.Context, vm string) error {
	return c.post(ctx, "/v1/voters/remove", admin.VMRequest{VM: vm}, nil)
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	req, err := sling.New().Get(c.base + path).Request()
	if err != nil {
		return fmt.Errorf("call %s: %w", path, err)
	}
	return c.do(req.WithContext(ctx), out)
}

func (c *Client) post(ctx context.Context, path string, body, out any, accepted ...int) error {
	req, err := sling.New().Post(c.base + path).BodyJSON(body).Request()
	if err != nil {
		return fmt.Errorf("call %s: %w", path, err)
	}
	return c.do(req.WithContext(ctx), out, accepted...)
}

// do sends a request and decodes the response body into out, unless out is nil. The accepted statuses
// carry a result as a success does.
func (c *Client) do(req *http.Request, out any, accepted ...int) error {
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("call %s: %w", req.URL.Path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if !call.IsStatus(resp.StatusCode) {
		return fmt.Errorf("call %s: %w: %03d", req.URL.Path, call.ErrStatus, resp.StatusCode)
	}
	data, err := call.ReadAll(resp.Body, maxBodyBytes)
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	ok := resp.StatusCode < http.StatusMultipleChoices
	for _, status := range accepted {
		ok = ok || resp.StatusCode == status
	}
	if !ok {
		var f admin.Failure
		_ = json.Unmarshal(data, &f)
		return &StatusError{Status: resp.StatusCode, Text: f.Error}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}
