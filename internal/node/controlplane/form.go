package controlplane

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Spans of forming and joining a group.
const (
	// discoverSettle is how long the set of VMs with a disk must stay the same
	// before they form a new group.
	discoverSettle = 1200 * clock.Millisecond
	// discoverLimit is how long a first start waits for as many VMs with a disk as
	// the group should have.
	discoverLimit = 5 * clock.Second
	// leaderlessRejoin is how long a replica goes without a leader before it asks
	// whether the group still counts it.
	leaderlessRejoin = 3 * clock.Second
)

// form brings the VM's replica into a group and keeps it there. The voters that the
// settings name, or that are discovered at a first start, form a new group only
// when all of them answer and none belongs to one yet; a replica that finds a group
// joins it as a learner. So a replaced disk can never start a second group, and
// never votes before it has learnt.
func (p *Plane) form(ctx context.Context) {
	began, offered := p.cfg.Clock.Now(), false
	view := &diskView{since: began}
	leaderless := began
	for ctx.Err() == nil {
		now := p.cfg.Clock.Now()
		st, ok := p.ReplicaStatus()
		switch {
		case !ok || st.Leader != "":
			leaderless = now
		}
		switch {
		case !ok:
		case !st.Formed:
			p.tryForm(ctx, view, began)
		case !offered:
			offered = true
			p.task(func() { p.offerInitial(ctx) })
		case now.Sub(leaderless) > leaderlessRejoin:
			leaderless = now
			p.join(ctx, &fleetpb.Replica{Id: st.ID, Vm: p.cfg.Settings.VM})
		}
		_ = delay.Wait(ctx, formEvery)
	}
}

// diskView is the set of VMs with a disk as last seen.
type diskView struct {
	names []string
	since clock.Time
}

// voterNames returns the names of the VMs that would form a new group, or nothing
// while that is not settled.
func (p *Plane) voterNames(view *diskView, began clock.Time) []string {
	f := p.cfg.Settings.Fleet
	if f.BearFaults == 0 {
		return p.initialVoters()
	}
	now := p.cfg.Clock.Now()
	names := fleet{p}.Replicas()
	slices.Sort(names)
	if !slices.Equal(names, view.names) {
		view.names, view.since = names, now
	}
	enough := len(names) >= f.VoterTarget() || now.Sub(began) > discoverLimit
	if !f.FirstStart || !enough || now.Sub(view.since) < discoverSettle {
		return nil
	}
	return names[:min(len(names), f.VoterTarget())]
}

// tryForm asks the other VMs with a disk how things stand and acts on it.
func (p *Plane) tryForm(ctx context.Context, view *diskView, began clock.Time) {
	self := &fleetpb.Replica{Id: p.replica.Load().ID(), Vm: p.cfg.Settings.VM}
	names := p.voterNames(view, began)
	forms := len(names) > 0 && slices.Min(names) == self.Vm
	asked := names
	if p.cfg.Settings.Fleet.BearFaults > 0 {
		asked = fleet{p}.Replicas()
	}
	voters := []*fleetpb.Replica{self}
	for _, vm := range asked {
		if vm == self.Vm {
			continue
		}
		answer, ok := p.askFormed(ctx, vm, forms)
		if ok && answer.Formed {
			p.join(ctx, self)
			return
		}
		if ok && answer.Promised && slices.Contains(names, vm) {
			voters = append(voters, answer.Replica)
		}
	}
	if !forms || len(voters) < len(names) || !p.promise(self.Vm) {
		return
	}
	slices.SortFunc(voters, func(a, b *fleetpb.Replica) int { return strings.Compare(a.Id, b.Id) })
	if err := p.replica.Load().Bootstrap(ctx, voters); err != nil {
		p.log.Error("group not formed", "error", err)
		return
	}
	p.log.Info("new group formed", "voters", len(voters))
}

// promise binds this VM to the new group that a VM forms. It reports whether no
// other VM had the promise.
func (p *Plane) promise(vm string) bool {
	p.promised.CompareAndSwap(nil, vm)
	return p.promised.Load() == vm
}

func (p *Plane) askFormed(ctx context.Context, vm string, promise bool) (*fleetpb.FormAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	reply, err := p.callVM(ctx, vm, &fleetpb.Call{Body: &fleetpb.Call_Form{Form: &fleetpb.FormQuery{Promise: promise}}})
	if err != nil || reply.Form == nil {
		return nil, false
	}
	return reply.Form, true
}

// join asks the leader to take this replica as a learner. The members' list of
// the group may hold it already, in which case the leader does nothing.
func (p *Plane) join(ctx context.Context, self *fleetpb.Replica) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := p.client.Join(ctx, &fleetpb.Join{Replica: self}); err != nil {
		p.log.Debug("join not answered yet", "error", err)
	}
}

// offerInitial gives a new group its first tables. An existing group keeps its
// own, because the change is based on no revision.
func (p *Plane) offerInitial(ctx context.Context) {
	if len(p.cfg.Initial) == 0 {
		return
	}
	result, err := p.client.Propose(ctx, &fleetpb.Command{
		ChangeId: "initial",
		Body:     &fleetpb.Command_Apply{Apply: &fleetpb.ApplyTables{Document: p.cfg.Initial, Author: p.cfg.Settings.VM, Note: "initial tables"}},
	})
	if err != nil {
		p.log.Error("initial tables not accepted", "error", err)
		return
	}
	p.log.Debug("initial tables offered", "code", result.Code, "revision", result.Revision)
}

// formTimeout bounds a question to one VM while a group is formed.
const formTimeout = 500 * time.Millisecond
