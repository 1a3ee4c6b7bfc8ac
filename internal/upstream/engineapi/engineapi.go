// Package engineapi is the client of an engine's HTTP interface other than its stage
// stream: cache export and import, and orders. An engine with another protocol needs
// another implementation of API.
package engineapi

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/upstream/call"
	"github.com/jasminecove/jasminecove/internal/wire/framing"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// API is the interface of an engine besides its stage stream.
type API interface {
	// CopyCache copies a session's cache from one engine to another.
	CopyCache(ctx context.Context, from, to string, session uint64) error
	// Order sends an engine an order with its fencing number.
	Order(ctx context.Context, address string, o *upstreampb.Order) (*upstreampb.OrderReply, error)
}

// StatusError reports that an engine returned an unexpected HTTP status.
type StatusError struct {
	Path   string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine %s: unexpected status %d", e.Path, e.Status)
}

// callTimeout bounds each HTTP request to an engine.
const callTimeout = 5 * time.Second

// HTTP implements API over HTTP. The bodies are protobuf messages, for orders in JSON.
type HTTP struct {
	pool *call.Pool
}

// New returns an HTTP client of engines that takes its connections from the pool.
func New(pool *call.Pool) *HTTP { return &HTTP{pool: pool} }

// CopyCache implements API.
func (h *HTTP) CopyCache(ctx context.Context, from, to string, session uint64) error {
	export, err := proto.Marshal(&upstreampb.CacheExport{Session: session})
	if err != nil {
		return fmt.Errorf("encode export: %w", err)
	}
	state, err := h.post(ctx, from, "/v1/cache/export", export)
	if err != nil {
		return err
	}
	_, err = h.post(ctx, to, "/v1/cache/import", state)
	return err
}

// Order implements API.
func (h *HTTP) Order(ctx context.Context, address string, o *upstreampb.Order) (*upstreampb.OrderReply, error) {
	body, err := protojson.Marshal(o)
	if err != nil {
		return nil, fmt.Errorf("encode order: %w", err)
	}
	data, err := h.post(ctx, address, "/v1/orders", body)
	if err != nil {
		return nil, err
	}
	reply := &upstreampb.OrderReply{}
	if err := protojson.Unmarshal(data, reply); err != nil {
		return nil, fmt.Errorf("decode order reply: %w", err)
	}
	return reply, nil
}

func (h *HTTP) post(ctx context.Context, address, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", path, err)
	}
	resp, err := h.pool.Do(ctx, address, call.NewRequest(req, body))
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", path, err)
	}
	defer resp.Close()
	if resp.Status != http.StatusOK {
		return nil, &StatusError{Path: path, Status: resp.Status}
	}
	data, err := call.ReadAll(resp, framing.MaxMessageBytes)
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", path, err)
	}
	return data, nil
}
