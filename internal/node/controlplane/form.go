package controlplane

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/base/label"
	"github.com/jasminecove/jasminecove/internal/control/founding"
	"github.com/jasminecove/jasminecove/internal/control/replica"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Delays and timeouts of forming and joining a Raft group.
const (
	// leaderlessTimeout is how long a replica stays without a leader before it asks to join
	// again, in case the group no longer lists it as a member.
	leaderlessTimeout = 3 * clock.Second
)

// form brings the VM's replica into a Raft group and keeps it a member. The voters that are
// named in the settings, or discovered at a first start, form a new group only when all of
// them answer and none belongs to a group yet; see package founding. A replica that finds an
// existing group joins it as a learner. A replica on a replaced disk therefore never starts a
// second group, and never votes before it has caught up with the log.
func (p *Plane) form(ctx context.Context) {
	proposed := false
	leaderlessSince := p.cfg.Clock.Now()
	for ctx.Err() == nil {
		now := p.cfg.Clock.Now()
		st, ok := p.ReplicaStatus()
		switch {
		case !ok || st.Leader != "":
			leaderlessSince = now
		}
		switch {
		case !ok:
		case !st.Formed:
			p.tryForm(ctx, now)
		case !proposed:
			proposed = true
			p.task("initial tables", func() { p.proposeInitial(ctx) })
		case now.Sub(leaderlessSince) > leaderlessTimeout && !p.draining.Load():
			leaderlessSince = now
			p.join(ctx, &fleetpb.Replica{Id: st.ID, Vm: p.cfg.Settings.VM})
		}
		_ = delay.Wait(ctx, formInterval)
	}
}

// foundingConfig returns the configuration of the VM's part in forming a group.
func (p *Plane) foundingConfig() founding.Config {
	f := p.cfg.Settings.Fleet
	c := founding.Config{VM: p.cfg.Settings.VM, Target: f.VoterTarget(), FirstStart: f.FirstStart}
	if f.FaultTolerance == 0 {
		c.Voters = p.initialVoters()
	}
	return c
}

// isFounder reports whether the VM's replica may form a group. That it was created at a first start
// is on its disk, because the settings do not say so any more when its process starts again.
func (p *Plane) isFounder(r *replica.Replica) bool {
	return p.cfg.Settings.Fleet.FirstStart || r.IsFounder()
}

// tryForm asks the other VMs with a disk whether they belong to a group. It joins an existing
// group, or forms a new one if this VM is the one to do so and all voters have promised.
func (p *Plane) tryForm(ctx context.Context, now clock.Time) {
	// The plane drops a replica whose disk fails, at any time.
	r := p.replica.Load()
	if r == nil {
		return
	}
	self := &fleetpb.Replica{Id: r.ID(), Vm: p.cfg.Settings.VM}
	out := p.founding.Attempt(now, fleet{p}.Replicas(), self, p.isFounder(r), func(vm string, promise bool) (*fleetpb.FormAnswer, bool) {
		return p.queryFormed(ctx, vm, promise)
	})
	switch {
	case out.Join:
		p.join(ctx, self)
	case len(out.Voters) > 0:
		p.foundGroup(ctx, r, out.Voters)
	}
}

// foundGroup forms a new group of voters that have promised to take part.
func (p *Plane) foundGroup(ctx context.Context, r *replica.Replica, voters []*fleetpb.Replica) {
	slices.SortFunc(voters, func(a, b *fleetpb.Replica) int { return strings.Compare(a.Id, b.Id) })
	if err := r.Bootstrap(ctx, voters); err != nil {
		p.log.Error("failed to form a new group", "error", err)
		p.founding.Withdraw()
		return
	}
	p.log.Info("formed a new group", "voters", len(voters))
}

// queryFormed asks a VM whether its replica belongs to a group and, with promise, to join the
// group that this VM forms.
func (p *Plane) queryFormed(ctx context.Context, vm string, promise bool) (*fleetpb.FormAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	reply, err := p.callVM(ctx, vm, &fleetpb.Call{Body: &fleetpb.Call_Form{Form: &fleetpb.FormQuery{Promise: promise}}})
	if err != nil || !label.IsValid(reply.GetForm().GetReplica().GetId()) {
		return nil, false
	}
	return reply.Form, true
}

// join asks the leader to add this replica as a learner. The leader does nothing if the
// replica is a member already.
func (p *Plane) join(ctx context.Context, self *fleetpb.Replica) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := p.client.Join(ctx, &fleetpb.Join{Replica: self}); err != nil {
		p.log.Debug("failed to join the group, will retry", "error", err)
	}
}

// proposeInitial proposes the first tables to a new group. An existing group keeps its
// tables, because the change has no base revision.
func (p *Plane) proposeInitial(ctx context.Context) {
	if len(p.cfg.Initial) == 0 {
		return
	}
	result, err := p.client.Propose(ctx, &fleetpb.Command{
		ChangeId: "initial",
		Body:     &fleetpb.Command_Apply{Apply: &fleetpb.ApplyTables{Document: p.cfg.Initial, Author: p.cfg.Settings.VM, Note: "initial tables"}},
	})
	if err != nil {
		p.log.Error("failed to propose the initial tables", "error", err)
		return
	}
	p.log.Debug("proposed the initial tables", "code", result.Code, "revision", result.Revision)
}

// formTimeout bounds a call to one VM while a group is formed.
const formTimeout = 500 * time.Millisecond
