package controlplane

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// form brings the VM's replica into a group. The voters that the settings name
// form a new group only when all of them answer and none belongs to one yet; a
// replica that finds a group joins it as a learner. So a replaced disk can never
// start a second group, and never votes before it has learnt.
func (p *Plane) form(ctx context.Context) {
	ticker := time.NewTicker(formEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if p.replica.Status().Formed {
			p.offerInitial(ctx)
			return
		}
		p.tryForm(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// tryForm asks the other voters how things stand and acts on it.
func (p *Plane) tryForm(ctx context.Context) {
	self := &fleetpb.Replica{Id: p.replica.ID(), Vm: p.cfg.Settings.VM}
	voters := []*fleetpb.Replica{self}
	names := p.initialVoters()
	for _, vm := range names {
		if vm == self.Vm {
			continue
		}
		answer, ok := p.askFormed(ctx, vm)
		if ok && answer.Formed {
			p.join(ctx, self)
			return
		}
		if ok {
			voters = append(voters, answer.Replica)
		}
	}
	if len(voters) < len(names) || !slices.Contains(names, self.Vm) || slices.Min(names) != self.Vm {
		return
	}
	slices.SortFunc(voters, func(a, b *fleetpb.Replica) int { return strings.Compare(a.Id, b.Id) })
	if err := p.replica.Form(ctx, voters); err != nil {
		p.log.Error("group not formed", "error", err)
		return
	}
	p.log.Info("new group formed", "voters", len(voters))
}

func (p *Plane) askFormed(ctx context.Context, vm string) (*fleetpb.FormAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := p.callVM(ctx, vm, &fleetpb.Call{Body: &fleetpb.Call_Form{Form: &fleetpb.FormQuery{}}})
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
