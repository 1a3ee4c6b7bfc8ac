package forward_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/request/retryshare"
)

// fakeLenders implements forward.Lenders. It lends at most a fixed number of retries per call.
type fakeLenders struct {
	maxPerCall int
	asked      atomic.Int64
}

func (b *fakeLenders) Others() []string { return []string{"vm-2", "vm-3", "vm-4"} }

func (b *fakeLenders) Borrow(_ context.Context, _, _ string, retries int) (int, error) {
	b.asked.Add(1)
	time.Sleep(5 * time.Millisecond)
	return min(b.maxPerCall, retries), nil
}

// TestBrokenStreamsShareLoan breaks more streams at once than the VM's own
// part of the retry limit covers. They must share loan rounds.
func TestBrokenStreamsShareLoan(t *testing.T) {
	const streams = 12
	for _, c := range []struct {
		name       string
		maxPerCall int
		complete   func(n int64) bool
	}{
		{"other VMs lend", 6, func(n int64) bool { return n == streams }},
		{"other VMs have no retries left", 0, func(n int64) bool { return n == 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.retries = retryshare.Limits{Allowance: 3, Window: 10 * clock.Second}
			b := &fakeLenders{maxPerCall: c.maxPerCall}
			f.lenders = b
			f.start(t, "e1", "crew", 0, 8, events(30, 11))
			f.start(t, "e2", "crew", 0, 8, events(30, 0))
			f.catalog.MarkBusy("e2", 100*clock.Millisecond)
			var complete atomic.Int64
			var callers sync.WaitGroup
			for range streams {
				callers.Go(func() {
					if _, body, err := f.do(t, "POST", "/draft/1", "prompt"); err == nil && body == wantEvents(1, 30) {
						complete.Add(1)
					}
				})
			}
			callers.Wait()
			assert.Assert(t, c.complete(complete.Load()), "%d of %d streams were complete", complete.Load(), streams)
			assert.Assert(t, b.asked.Load() <= streams, "%d loan requests", b.asked.Load())
		})
	}
}

// TestInitialUsageExpiresAfterWindow sends the first request to
// a pool one window after the process started. The retries that a new process counts as
// used must have expired by then.
func TestInitialUsageExpiresAfterWindow(t *testing.T) {
	f := newFixture(t)
	f.retries = retryshare.Limits{Allowance: 3, Window: 200 * clock.Millisecond}
	f.start(t, "e1", "crew", 0, 8, events(30, 11))
	// A request to another pool creates the handler, which starts the window.
	_, _, err := f.do(t, "GET", "/look/1", "")
	assert.NilError(t, err)
	time.Sleep(300 * time.Millisecond)
	_, body, err := f.do(t, "POST", "/draft/1", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, body, wantEvents(1, 30))
}
