package client_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/control/client"
	"github.com/jasminecove/jasminecove/internal/control/replica"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// partlySilentFleet is a fleet of three replicas, the last of which leads. The silent ones do not reply.
type partlySilentFleet struct {
	electingFleet
	silent map[string]bool
}

func (f *partlySilentFleet) Replicas() []string { return []string{"a", "b", "c"} }

func (f *partlySilentFleet) Call(ctx context.Context, vm string, _ *fleetpb.Call) (*fleetpb.Reply, error) {
	switch {
	case f.silent[vm]:
		<-ctx.Done()
		return nil, ctx.Err()
	case vm == "c":
		return &fleetpb.Reply{Code: fleetpb.Reply_OK}, nil
	}
	return &fleetpb.Reply{Code: fleetpb.Reply_NOT_LEADER}, nil
}

// TestSilentReplicaDoesNotUseUpTheDeadline guards against a change, or a claim, that fails as the first replica
// that is tried does not reply before the deadline.
func TestSilentReplicaDoesNotUseUpTheDeadline(t *testing.T) {
	for _, silent := range []string{"a", "b"} {
		c := client.New("caller", clock.NewSystem(), func() *replica.Replica { return nil }, &partlySilentFleet{silent: map[string]bool{silent: true}})
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		_, err := c.Propose(ctx, &fleetpb.Command{})
		cancel()
		assert.NilError(t, err, "%s is silent", silent)
	}
}
