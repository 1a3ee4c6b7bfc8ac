package client_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/control/client"
	"github.com/jasminecove/jasminecove/internal/control/replica"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// electingFleet is a fleet whose replicas have no leader at first. They name a VM as
// leader that does not reply.
type electingFleet struct {
	leads atomic.Bool
	calls atomic.Int64
}

func (e *electingFleet) Call(_ context.Context, vm string, _ *fleetpb.Call) (*fleetpb.Reply, error) {
	e.calls.Add(1)
	switch {
	case vm == "dead":
		return nil, context.DeadlineExceeded
	case vm == "b" && e.leads.Load():
		return &fleetpb.Reply{Code: fleetpb.Reply_OK}, nil
	}
	return &fleetpb.Reply{Code: fleetpb.Reply_NOT_LEADER, Leader: "dead"}, nil
}

func (e *electingFleet) Replicas() []string { return []string{"a", "b"} }

func (e *electingFleet) Boot(string) (uint64, bool, bool) { return 1, false, true }

func newClient(e *electingFleet) *client.Client {
	return client.New("caller", clock.NewSystem(), func() *replica.Replica { return nil }, e)
}

// TestRetryNow checks that RetryNow ends the retry delay of a call whose backoff
// has grown, so that the call reaches the new leader at once.
func TestRetryNow(t *testing.T) {
	e := &electingFleet{}
	c := newClient(e)
	done := make(chan error, 1)
	go func() {
		_, err := c.Read(t.Context(), &fleetpb.ReadState{Tables: true})
		done <- err
	}()
	time.Sleep(time.Second)
	e.leads.Store(true)
	start := time.Now()
	for range 4 {
		// Each attempt goes to the next replica.
		c.RetryNow()
		time.Sleep(5 * time.Millisecond)
	}
	assert.NilError(t, <-done)
	assert.Assert(t, time.Since(start) < 100*time.Millisecond, "%s", time.Since(start))
}

// TestStaleLeaderHint checks that a call reaches the leader while another replica
// still names a dead VM as leader.
func TestStaleLeaderHint(t *testing.T) {
	e := &electingFleet{}
	e.leads.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, err := newClient(e).Read(ctx, &fleetpb.ReadState{Tables: true})
	assert.NilError(t, err, "%d calls", e.calls.Load())
}

// silentLeader is a fleet whose leader was killed, so that calls to it get no reply, and whose
// other replica has been elected since.
type silentLeader struct{ electingFleet }

func (e *silentLeader) Call(ctx context.Context, vm string, c *fleetpb.Call) (*fleetpb.Reply, error) {
	if vm == "dead" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return e.electingFleet.Call(ctx, vm, c)
}

// TestLeaderElected checks that a call that waits for the reply of a leader that was killed
// goes to the next leader as soon as this one is known.
func TestLeaderElected(t *testing.T) {
	e := &silentLeader{}
	c := client.New("caller", clock.NewSystem(), func() *replica.Replica { return nil }, e)
	done := make(chan error, 1)
	go func() {
		_, err := c.Read(t.Context(), &fleetpb.ReadState{Tables: true})
		done <- err
	}()
	time.Sleep(300 * time.Millisecond)
	e.leads.Store(true)
	start := time.Now()
	c.LeaderElected()
	assert.NilError(t, <-done)
	assert.Assert(t, time.Since(start) < 300*time.Millisecond, "%s", time.Since(start))
}
