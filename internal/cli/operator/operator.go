// Package operator is a client of the operators' interface.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"

	"github.com/dghubble/sling"

	"github.com/jasminecove/jasminecove/internal/fleet/keys"
	"github.com/jasminecove/jasminecove/internal/node/admin"
	"github.com/jasminecove/jasminecove/internal/request/exchange"
)

// maxAnswer bounds an answer that is read.
const maxAnswer = 64 << 20

// StatusError reports an answer that is not a success.
type StatusError struct {
	Status int
	Text   string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Text) }

// Client calls one VM's operators' interface.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// Config says where the interface is and how to be let in.
type Config struct {
	Server    string // For example https://10.0.0.1:7002.
	Authority string // File with the fleet's authorities; empty for plain HTTP.
	TokenFile string
}

// New returns a client.
func New(cfg Config) (*Client, error) {
	c := &Client{base: strings.TrimSuffix(cfg.Server, "/"), http: &http.Client{}}
	if cfg.Authority != "" {
		secure, err := keys.OperatorClient(cfg.Authority)
		if err != nil {
			return nil, err
		}
		c.http.Transport = &http.Transport{TLSClientConfig: secure}
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

// ForVM returns a client of a VM on this machine by its folder of keys.
func ForVM(address, keyFolder string) (*Client, error) {
	return New(Config{Server: "https://" + address, Authority: filepath.Join(keyFolder, keys.AuthorityFile)})
}

// Status returns the VM's view of the fleet.
func (c *Client) Status(ctx context.Context) (admin.Status, error) {
	var s admin.Status
	return s, c.get(ctx, "/v1/status", &s)
}

// Revision returns a revision of the tables, the present one for 0.
func (c *Client) Revision(ctx context.Context, number uint64) (admin.Revision, error) {
	path := "/v1/tables"
	if number > 0 {
		path += fmt.Sprintf("?revision=%d", number)
	}
	var r admin.Revision
	return r, c.get(ctx, path, &r)
}

// History returns the kept revisions, newest first.
func (c *Client) History(ctx context.Context) ([]admin.Revision, error) {
	var out []admin.Revision
	return out, c.get(ctx, "/v1/tables/history", &out)
}

// Explain returns the account of a request.
func (c *Client) Explain(ctx context.Context, id string) (exchange.Account, error) {
	var a exchange.Account
	return a, c.get(ctx, "/v1/requests/"+url.PathEscape(id), &a)
}

// Apply offers new tables. A conflict or faulty tables are a result, not an error.
func (c *Client) Apply(ctx context.Context, change admin.Change) (admin.ChangeResult, error) {
	var r admin.ChangeResult
	err := c.post(ctx, "/v1/tables", change, &r, http.StatusConflict, http.StatusUnprocessableEntity)
	return r, err
}

// Drain asks a VM to drain.
func (c *Client) Drain(ctx context.Context, vm string) error {
	return c.post(ctx, "/v1/drain", admin.VMRequest{VM: vm}, nil)
}

// RemoveVoter takes a VM's replica out of the group.
func (c *Client) RemoveVoter(ctx context.Context, vm string) error {
	return c.post(ctx, "/v1/voters/remove", admin.VMRequest{VM: vm}, nil)
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	req, err := sling.New().Get(c.base + path).Request()
	if err != nil {
		return fmt.Errorf("call %s: %w", path, err)
	}
	return c.do(req.WithContext(ctx), into)
}

func (c *Client) post(ctx context.Context, path string, body, into any, fine ...int) error {
	req, err := sling.New().Post(c.base + path).BodyJSON(body).Request()
	if err != nil {
		return fmt.Errorf("call %s: %w", path, err)
	}
	return c.do(req.WithContext(ctx), into, fine...)
}

// do sends a call and reads its answer. Statuses in fine carry a result too.
func (c *Client) do(req *http.Request, into any, fine ...int) error {
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("call %s: %w", req.URL.Path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	ok := resp.StatusCode < http.StatusMultipleChoices
	for _, status := range fine {
		ok = ok || resp.StatusCode == status
	}
	if !ok {
		var f admin.Failure
		_ = json.Unmarshal(data, &f)
		return &StatusError{Status: resp.StatusCode, Text: f.Error}
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	return nil
}
