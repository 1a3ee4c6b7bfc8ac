// Package announcer sends the announcements of a stand-in to the VMs and renews them.
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

// Timeout of one announcement, and the shortest delay before the next.
const (
	callTimeout = 500 * time.Millisecond
	minDelay    = 100 * time.Millisecond
)

// Announcer sends announcements to one VM, and goes on to the next VM when a call fails.
type Announcer struct {
	addresses []string
	describe  func() *upstreampb.Announcement
	wake      chan struct{}
	client    *http.Client

	mu       sync.Mutex
	sequence uint64
	next     int
}

// New returns an Announcer for the VMs with the given base URLs. describe returns
// the present announcement, or nil to send none.
func New(addresses []string, describe func() *upstreampb.Announcement) *Announcer {
	return &Announcer{
		addresses: addresses,
		describe:  describe,
		wake:      make(chan struct{}, 1),
		client:    &http.Client{Timeout: callTimeout},
		sequence:  uint64(time.Now().UnixMicro()),
	}
}

// AnnounceNow makes Run announce without waiting for the next renewal.
func (a *Announcer) AnnounceNow() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run sends and renews announcements until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	for {
		delay := a.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		case <-time.After(delay):
		}
	}
}

// announce tries the VMs in turn until one accepts the announcement, and returns
// the delay until the next announcement.
func (a *Announcer) announce(ctx context.Context) time.Duration {
	m := a.describe()
	if m == nil || len(a.addresses) == 0 {
		return minDelay
	}
	for range a.addresses {
		if renewInterval, ok := a.send(ctx, m); ok {
			return max(renewInterval, minDelay)
		}
		a.next++
	}
	return minDelay
}

// send announces to one VM and returns the renewal interval in its reply.
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
