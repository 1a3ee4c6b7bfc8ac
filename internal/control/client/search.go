package client

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/framing"
)

// errNoReply is the error of an attempt that ended without a reply.
const errNoReply = fault.Sentinel("client: the VM did not reply")

// search tries VMs until the leader has replied to a call. A VM that does not reply soon is not waited for:
// another one is tried beside it. Several may receive the call, so that it must be idempotent.
type search struct {
	client   *Client
	call     *fleetpb.Call
	outcomes chan outcome
	pending  map[string]*attempt  // By VM.
	triedAt  map[string]time.Time // By VM.
	silent   map[string]bool      // VMs that did not reply. Replicas may still name them as the leader.
	tries    int
	position int           // In the round-robin order of the replicas.
	hedge    time.Duration // How long a VM is given to reply before another one is tried beside it.
	backoff  time.Duration
	last     error // Of the last attempt that failed.
}

// attempt is a call to one VM that has not ended.
type attempt struct {
	vm     string
	cancel context.CancelFunc
}

// outcome is the end of an attempt.
type outcome struct {
	attempt *attempt
	reply   *fleetpb.Reply
	err     error
}

// call tries VMs until the leader has replied or the deadline has passed.
func (c *Client) call(ctx context.Context, call *fleetpb.Call) (*fleetpb.Reply, error) {
	timeout := DefaultTimeout
	if end, ok := ctx.Deadline(); ok {
		timeout = time.Until(end)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout) // Also ends the attempts that are pending at the return.
	defer cancel()
	s := &search{
		client: c, call: call, outcomes: make(chan outcome), pending: map[string]*attempt{}, triedAt: map[string]time.Time{},
		silent: map[string]bool{}, backoff: initialRetryDelay, hedge: hedgeDelay + time.Duration(proto.Size(call)/minBytesPerMs)*time.Millisecond,
	}
	retry, elected := c.signals()
	next := time.NewTimer(s.tryNext(ctx))
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, errors.Join(ErrUnavailable, s.last)
		case o := <-s.outcomes:
			if s.pending[o.attempt.vm] != o.attempt {
				continue // It was given up.
			}
			delete(s.pending, o.attempt.vm)
			reply, wait, err := s.judge(o)
			if reply != nil || err != nil {
				return reply, err
			}
			next.Reset(wait)
		case <-elected:
			s.giveUp()
			_, elected = c.signals()
			next.Reset(0)
		case <-retry:
			retry, _ = c.signals()
			s.backoff = initialRetryDelay
			if len(s.pending) == 0 {
				next.Reset(0)
			}
		case <-next.C:
			next.Reset(s.tryNext(ctx))
		}
	}
}

// judge returns the reply or the error with which the call ends, or the time until the next attempt.
func (s *search) judge(o outcome) (reply *fleetpb.Reply, wait time.Duration, err error) {
	vm, code := o.attempt.vm, o.reply.GetCode()
	switch {
	case framing.IsUnsendable(o.err):
		return nil, 0, &RefusedError{Detail: o.err.Error()}
	case o.err != nil:
		s.last, s.silent[vm] = o.err, true
		s.client.forget(vm)
	case code == fleetpb.Reply_OK:
		s.client.leaderHint.Store(vm)
		return o.reply, 0, nil
	case code == fleetpb.Reply_REFUSED:
		return nil, 0, &RefusedError{Detail: o.reply.Detail}
	case code == fleetpb.Reply_NOT_LEADER && o.reply.Leader != "" && o.reply.Leader != vm && !s.silent[o.reply.Leader]:
		s.client.leaderHint.Store(o.reply.Leader)
		switch {
		case s.pending[o.reply.Leader] != nil:
			return nil, s.hedge, nil
		case s.tries%2 == 1:
			return nil, 0, nil
		}
	default:
		s.client.forget(vm)
	}
	wait = s.backoff
	s.backoff = min(maxRetryDelay, 2*s.backoff)
	return nil, wait, nil
}

// tryNext starts the next attempt, and returns the time after which another one is due even if this one does not
// end.
func (s *search) tryNext(ctx context.Context) time.Duration {
	vm := s.choose()
	if vm == "" {
		return s.hedge
	}
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	a := &attempt{vm: vm, cancel: cancel}
	s.pending[vm], s.triedAt[vm] = a, time.Now()
	s.tries++
	crash.Go("call of the leader", func() {
		defer cancel()
		o := outcome{attempt: a, err: errNoReply} // Also after a panic.
		defer func() {
			select {
			case s.outcomes <- o:
			case <-ctx.Done(): // The call has ended.
			}
		}()
		o.reply, o.err = s.client.attempt(attemptCtx, vm, s.call)
	})
	return s.hedge
}

// choose returns the VM to try: the presumed leader if there is one, and otherwise the VMs with a replica in
// round-robin order. Attempts at a presumed leader do not advance that order, so that no replica is skipped.
// Beside other attempts a VM is tried again only after attemptTimeout.
func (s *search) choose() string {
	mayTry := func(vm string) bool {
		at, tried := s.triedAt[vm]
		return s.pending[vm] == nil && (len(s.pending) == 0 || !tried || time.Since(at) >= attemptTimeout)
	}
	if hint := s.client.Leader(); hint != "" && mayTry(hint) {
		return hint
	}
	vms := s.client.fleet.Replicas()
	if len(vms) == 0 {
		vms = []string{s.client.vm}
	}
	for range vms {
		s.position++
		if vm := vms[s.position%len(vms)]; mayTry(vm) {
			return vm
		}
	}
	return ""
}

// giveUp ends the attempts at other VMs, one of which may be the earlier leader and dead.
func (s *search) giveUp() {
	for vm, a := range s.pending {
		if vm == s.client.vm {
			continue
		}
		a.cancel()
		delete(s.pending, vm)
		s.silent[vm] = true
		s.client.forget(vm)
	}
}

// forget drops a VM as the presumed leader.
func (c *Client) forget(vm string) { c.leaderHint.CompareAndSwap(vm, "") }

// attempt sends the call to a VM.
func (c *Client) attempt(ctx context.Context, vm string, call *fleetpb.Call) (*fleetpb.Reply, error) {
	if vm == c.vm {
		return Serve(ctx, c.local(), call), nil
	}
	return c.fleet.Call(ctx, vm, call)
}
