package controlplane

import (
	"context"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/fleet/gossip"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// A draining VM repeats to the leader that it leaves each leaveInterval, until a successor of
// its voter has taken its place, for leaveTimeout at most.
const (
	leaveInterval = 50 * clock.Millisecond
	leaveTimeout  = 4 * clock.Second
)

// SetDraining announces to other VMs that this one is draining, and hands over leadership.
func (p *Plane) SetDraining() {
	p.draining.Store(true)
	if r := p.replica.Load(); r != nil {
		r.TransferLeadership()
	}
	p.update(gossip.DrainMsg{Draining: true})
}

// LeaveGroup hands over what this VM's replica does for its group: its leadership and, if there
// is a learner to take its place, its vote. Until both are done, the group would tolerate fewer
// losses after this VM has stopped. The returned channel is closed then, or when ctx ends.
func (p *Plane) LeaveGroup(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	crash.Go("handover of the vote", func() {
		defer close(done)
		p.leaveGroup(ctx)
	})
	return done
}

func (p *Plane) leaveGroup(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout.Std())
	defer cancel()
	for ctx.Err() == nil {
		r := p.replica.Load()
		if r == nil || p.cfg.Settings.Fleet.VoterTarget() == 0 {
			return
		}
		st := r.Status()
		leads := st.Role == "leader" && len(st.Voters) > 1
		switch {
		case !st.Formed:
			return
		case leads:
			r.TransferLeadership()
		default:
			if waiting, err := p.client.Leave(ctx, st.ID); err == nil && !waiting {
				return
			}
		}
		_ = delay.Wait(ctx, leaveInterval.Std())
	}
	p.log.Warn("the vote of this VM was not handed over in time")
}

// hasLeft reports whether a VM has announced that it leaves the fleet.
func (p *Plane) hasLeft(vm string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gossip == nil {
		return false
	}
	m, ok := p.gossip.Member(vm)
	return ok && m.State == fleetpb.Member_LEFT
}
