// Package engineapi is the one place that speaks an engine's HTTP interface
// beside its stage stream: cache export and import, and orders. Another protocol
// of engines is one more implementation of API.
package engineapi

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/wire/framing"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// API is what the router asks of an engine besides running frames.
type API interface {
	// CopyCache copies a session's cache from one engine to another.
	CopyCache(ctx context.Context, from, to string, session uint64) error
	// Order gives an engine a fenced order.
	Order(ctx context.Context, address string, o *upstreampb.Order) (*upstreampb.OrderReply, error)
}

// StatusError reports an unexpected HTTP status of an engine.
type StatusError struct {
	Call   string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine %s answered status %d", e.Call, e.Status)
}

// callTimeout bounds one call to an engine.
const callTimeout = 5 * time.Second

// HTTP is the API over HTTP with protobuf bodies.
type HTTP struct {
	client *http.Client
}

// New returns an HTTP API.
func New() *HTTP { return &HTTP{client: &http.Client{Timeout: callTimeout}} }

// CopyCache implements API.
func (h *HTTP) CopyCache(ctx context.Context, from, to string, session uint64) error {
	ask, err := proto.Marshal(&upstreampb.CacheExport{Session: session})
	if err != nil {
		return fmt.Errorf("encode export: %w", err)
	}
	state, err := h.post(ctx, from, "/v1/cache/export", ask)
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
	req, err := sling.New().Base("http://" + address).Post(path).Body(bytes.NewReader(body)).Request()
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", path, err)
	}
	resp, err := h.client.Do(req.WithContext(ctx))
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Call: path, Status: resp.StatusCode}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, framing.MaxMessageBytes))
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", path, err)
	}
	return data, nil
}
