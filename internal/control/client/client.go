// Package client calls the leader of the control state from any VM. It retries
// across leader changes and lost replies. Retried commands are idempotent by their
// change identifier or run identifier.
package client

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/control/replica"
	"github.com/jasminecove/jasminecove/internal/control/state"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// ErrUnavailable reports that no leader replied before the deadline.
const ErrUnavailable = fault.Sentinel("client: no leader of the control state replied before the deadline")

// Timeouts and delays of a call.
const (
	// attemptTimeout bounds one attempt, so that the call moves on from an unreachable
	// VM to another.
	attemptTimeout = 1 * time.Second
	// hedgeDelay is how long a VM is given to reply before another one is tried beside it, apart from the time that the
	// call takes at minBytesPerMs. Copies of a large call for other VMs would delay the first one on a slow link.
	hedgeDelay        = 200 * time.Millisecond
	minBytesPerMs     = 512
	initialRetryDelay = 5 * time.Millisecond
	maxRetryDelay     = 200 * time.Millisecond
	// DefaultTimeout bounds a call whose context has no deadline.
	DefaultTimeout = 10 * time.Second
	// removalPollInterval is the interval at which a leader checks whether a replica has been removed.
	removalPollInterval = 20 * time.Millisecond
)

// Fleet sends calls to other VMs and provides membership information.
type Fleet interface {
	// Call sends a call to the named VM.
	Call(ctx context.Context, vm string, c *fleetpb.Call) (*fleetpb.Reply, error)
	// Replicas returns the names of the VMs known to have a replica.
	Replicas() []string
	// Boot returns the boot number of a VM, which increases with each start of its
	// process. gone is true when the VM is dead or has left; known is false when
	// nothing is known about it.
	Boot(vm string) (boot uint64, gone, known bool)
}

// Client calls the leader of the control state on behalf of a VM.
type Client struct {
	vm         string
	clock      clock.Clock
	local      func() *replica.Replica // Returns nil while the VM has no replica.
	fleet      Fleet
	leaderHint atomic.Value // Presumed leader's VM, a string; "" if unknown.

	mu      sync.Mutex
	wake    chan struct{} // Closed by the next RetryNow.
	elected chan struct{} // Closed by LeaderElected.
}

// New returns a client. local returns the VM's own replica, or nil.
func New(vm string, clk clock.Clock, local func() *replica.Replica, fleet Fleet) *Client {
	c := &Client{vm: vm, clock: clk, local: local, fleet: fleet, wake: make(chan struct{}), elected: make(chan struct{})}
	c.leaderHint.Store("")
	return c
}

// RetryNow makes calls that wait between two attempts retry at once. It is called
// when a leader is known to be alive.
func (c *Client) RetryNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.wake)
	c.wake = make(chan struct{})
}

// LeaderElected makes all calls retry at once, also those that wait for the reply of another
// VM, which may be the earlier leader and dead. It is called when a new leader is known.
func (c *Client) LeaderElected() {
	c.RetryNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.elected)
	c.elected = make(chan struct{})
}

// signals returns the channels that RetryNow and LeaderElected close.
func (c *Client) signals() (retry, elected <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wake, c.elected
}

// Leader returns the VM that replied as the leader last, or "" if it is not known.
func (c *Client) Leader() string { return c.leaderHint.Load().(string) }

// Propose commits a command.
func (c *Client) Propose(ctx context.Context, cmd *fleetpb.Command) (*fleetpb.Result, error) {
	cmd.AtMs = int64(c.clock.Now())
	reply, err := c.call(ctx, &fleetpb.Call{From: c.vm, Body: &fleetpb.Call_Propose{Propose: cmd}})
	return reply.GetResult(), err
}

// Read performs a linearizable read at the leader.
func (c *Client) Read(ctx context.Context, r *fleetpb.ReadState) (*fleetpb.Reply, error) {
	return c.call(ctx, &fleetpb.Call{From: c.vm, Body: &fleetpb.Call_Read{Read: r}})
}

// Join asks the leader to add a replica to the group.
func (c *Client) Join(ctx context.Context, j *fleetpb.Join) error {
	_, err := c.call(ctx, &fleetpb.Call{From: c.vm, Body: &fleetpb.Call_Join{Join: j}})
	return err
}

// Leave tells the leader that the VM of a replica is about to stop. It reports whether the VM
// should wait until a successor has taken the replica's place.
func (c *Client) Leave(ctx context.Context, replicaID string) (waiting bool, err error) {
	reply, err := c.call(ctx, &fleetpb.Call{From: c.vm, Body: &fleetpb.Call_Leave{Leave: &fleetpb.Leave{Replica: replicaID}}})
	return reply.GetWaiting(), err
}

// Claim implements filter.Claims.
func (c *Client) Claim(ctx context.Context, b *fleetpb.ClaimBooking) (*fleetpb.Result, error) {
	boot, _, _ := c.fleet.Boot(c.vm)
	b.Owner = fmt.Sprintf("%s#%d", c.vm, boot)
	return c.Propose(ctx, &fleetpb.Command{Body: &fleetpb.Command_Claim{Claim: b}})
}

// Settle implements filter.Claims.
func (c *Client) Settle(ctx context.Context, s *fleetpb.SettleClaim) error {
	_, err := c.Propose(ctx, &fleetpb.Command{Body: &fleetpb.Command_Settle{Settle: s}})
	return err
}

// Lookup implements filter.Claims.
func (c *Client) Lookup(ctx context.Context, key string) (*fleetpb.ClaimRecord, error) {
	reply, err := c.Read(ctx, &fleetpb.ReadState{ClaimKey: key})
	return reply.GetClaim(), err
}

// OwnerLost implements filter.Claims.
func (c *Client) OwnerLost(owner string) bool {
	vm, number, ok := strings.Cut(owner, "#")
	if !ok {
		return false
	}
	boot, gone, known := c.fleet.Boot(vm)
	return known && (gone || strconv.FormatUint(boot, 10) != number)
}

// RefusedError reports a call that the leader refused.
type RefusedError struct {
	Detail string
}

// Error implements error.
func (e *RefusedError) Error() string { return "client: refused: " + e.Detail }

// Serve handles a call at the local replica, which may be nil.
func Serve(ctx context.Context, r *replica.Replica, call *fleetpb.Call) *fleetpb.Reply {
	if r == nil {
		return &fleetpb.Reply{Code: fleetpb.Reply_NOT_LEADER}
	}
	switch b := call.Body.(type) {
	case *fleetpb.Call_Propose:
		return servePropose(ctx, r, b.Propose)
	case *fleetpb.Call_Read:
		return serveRead(ctx, r, b.Read)
	case *fleetpb.Call_Join:
		return serveJoin(ctx, r, b.Join)
	case *fleetpb.Call_Leave:
		return serveLeave(ctx, r, b.Leave)
	}
	return &fleetpb.Reply{Code: fleetpb.Reply_REFUSED, Detail: fmt.Sprintf("unknown call %T", call.Body)}
}

func servePropose(ctx context.Context, r *replica.Replica, cmd *fleetpb.Command) *fleetpb.Reply {
	// Tables are validated before they are committed and not when they are applied,
	// because replicas of different software versions could disagree on the result.
	if a := cmd.GetApply(); a != nil {
		if _, err := tables.Parse(a.Document); err != nil {
			return &fleetpb.Reply{Result: &fleetpb.Result{Code: fleetpb.Result_INVALID, Detail: err.Error()}}
		}
	}
	if s := cmd.GetSettle(); s != nil && s.Outcome.GetKind() == fleetpb.Outcome_PENDING {
		return &fleetpb.Reply{Code: fleetpb.Reply_REFUSED, Detail: "a claim is settled with an outcome"}
	}
	result, err := r.Propose(ctx, cmd)
	if err != nil {
		return errorReply(err)
	}
	return &fleetpb.Reply{Result: result}
}

func serveRead(ctx context.Context, r *replica.Replica, rd *fleetpb.ReadState) *fleetpb.Reply {
	reply := &fleetpb.Reply{}
	err := r.Read(ctx, func(s *state.State) {
		if rd.ClaimKey != "" {
			reply.Claim = s.Claim(rd.ClaimKey)
		}
		if rd.Tables {
			reply.State = &fleetpb.RevisionNotice{Number: s.Revision().GetNumber()}
			if !rd.NumberOnly {
				reply.State.Revision = s.Revision()
			}
		}
		if rd.Revision > 0 {
			past, ok := s.RevisionAt(rd.Revision)
			if !ok {
				reply.Code, reply.Detail = fleetpb.Reply_REFUSED, "the revision is not kept"
				return
			}
			reply.State = &fleetpb.RevisionNotice{Number: past.Number, Revision: past}
		}
		if rd.History {
			reply.History = s.History()
		}
	})
	if err != nil {
		return errorReply(err)
	}
	return reply
}

// serveJoin handles a request to add or remove a replica. Only the leader accepts it. A
// removal is acknowledged once it is committed, because only this leader knows of it until then.
func serveJoin(ctx context.Context, r *replica.Replica, j *fleetpb.Join) *fleetpb.Reply {
	st := r.Status()
	if st.Role != "leader" {
		return &fleetpb.Reply{Code: fleetpb.Reply_NOT_LEADER, Leader: st.Leader}
	}
	if j.Replica != nil {
		r.Join(j.Replica)
	}
	if j.Remove == "" {
		return &fleetpb.Reply{}
	}
	r.Retire(j.Remove)
	for {
		st = r.Status()
		isMember := slices.Contains(st.Voters, j.Remove) || slices.Contains(st.Learners, j.Remove)
		switch {
		case st.Role != "leader":
			return &fleetpb.Reply{Code: fleetpb.Reply_NOT_LEADER, Leader: st.Leader}
		case !isMember && !st.MembershipChanging:
			return &fleetpb.Reply{}
		}
		if err := delay.Wait(ctx, removalPollInterval); err != nil {
			return &fleetpb.Reply{Code: fleetpb.Reply_UNAVAILABLE, Detail: "the replica is not removed yet"}
		}
	}
}

// serveLeave handles the announcement that a replica's VM is about to stop. Only the leader
// accepts it.
func serveLeave(ctx context.Context, r *replica.Replica, l *fleetpb.Leave) *fleetpb.Reply {
	if st := r.Status(); st.Role != "leader" {
		return &fleetpb.Reply{Code: fleetpb.Reply_NOT_LEADER, Leader: st.Leader}
	}
	waiting, err := r.Leave(ctx, l.Replica)
	if err != nil {
		return errorReply(err)
	}
	return &fleetpb.Reply{Waiting: waiting}
}

func errorReply(err error) *fleetpb.Reply {
	if errors.Is(err, replica.ErrUnencodable) {
		return &fleetpb.Reply{Code: fleetpb.Reply_REFUSED, Detail: err.Error()}
	}
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) {
		return &fleetpb.Reply{Code: fleetpb.Reply_NOT_LEADER, Leader: notLeader.Leader, Detail: err.Error()}
	}
	return &fleetpb.Reply{Code: fleetpb.Reply_UNAVAILABLE, Detail: err.Error()}
}
