// Package announcer renews a stand-in's announcement with the VMs.
package announcer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// Spans of the announcer.
const (
	callTimeout = 500 * time.Millisecond
	retryDelay  = 100 * time.Millisecond
)

// Announcer announces to the first VM that answers.
type Announcer struct {
	addresses []string
	describe  func() *upstreampb.Announcement
	wake      chan struct{}
	client    *http.Client

	mu       sync.Mutex
	sequence uint64
	next     int
}

// New returns an Announcer. describe gives the present announcement, or nil to
// stay silent.
func New(addresses []string, describe func() *upstreampb.Announcement) *Announcer {
	return &Announcer{
		addresses: addresses,
		describe:  describe,
		wake:      make(chan struct{}, 1),
		client:    &http.Client{Timeout: callTimeout},
		sequence:  uint64(time.Now().UnixMicro()),
	}
}

// AnnounceNow announces without waiting for the next renewal.
func (a *Announcer) AnnounceNow() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run announces until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	for {
		delay := a.once(ctx)
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		case <-time.After(delay):
		}
	}
}

// once announces to the VMs in turn and returns the span until the next try.
func (a *Announcer) once(ctx context.Context) time.Duration {
	m := a.describe()
	if m == nil || len(a.addresses) == 0 {
		return retryDelay
	}
	for range a.addresses {
		if renew, ok := a.send(ctx, m); ok {
			return max(renew, retryDelay)
		}
		a.next++
	}
	return retryDelay
}

// send announces to one VM and returns the renewal span that it asks for.
func (a *Announcer) send(ctx context.Context, m *upstreampb.Announcement) (time.Duration, bool) {
	a.mu.Lock()
	a.sequence++
	m.Sequence = a.sequence
	a.mu.Unlock()
	body, err := protojson.Marshal(m)
	if err != nil {
		return 0, false
	}
	address := a.addresses[a.next%len(a.addresses)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return 0, false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	var reply upstreampb.AnnounceReply
	if err != nil || resp.StatusCode != http.StatusOK || protojson.Unmarshal(data, &reply) != nil {
		return 0, false
	}
	return time.Duration(reply.RenewMs) * time.Millisecond, true
}
