package controlplane

import (
	"context"

	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/control/client"
	"github.com/jasminecove/jasminecove/internal/fleet/gossip"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Message implements link.Handler.
func (p *Plane) Message(fromVM string, e *fleetpb.Envelope) {
	if !p.listening.Load() {
		return // The sender repeats what matters.
	}
	switch b := e.Body.(type) {
	case *fleetpb.Envelope_Raft:
		if r := p.replica.Load(); r != nil {
			r.Deliver(fromVM, b.Raft)
		}
	case *fleetpb.Envelope_Occupancy:
		p.update(gossip.ActivityMsg{VM: fromVM})
		if !isValidOccupancy(b.Occupancy) {
			p.log.Error("ignored a report of load with a field out of range", "vm", fromVM)
			return
		}
		if p.cfg.OnOccupancy != nil {
			p.cfg.OnOccupancy(fromVM, b.Occupancy)
		}
	case *fleetpb.Envelope_Parts:
		p.handleParts(fromVM, b.Parts)
	case *fleetpb.Envelope_Gossip:
		b.Gossip.From = fromVM
		p.update(gossip.PeerMsg{Message: b.Gossip})
	}
}

// Answered implements link.Handler.
func (p *Plane) Answered(vm string) { p.update(gossip.ActivityMsg{VM: vm}) }

// Call implements link.Handler.
func (p *Plane) Call(ctx context.Context, vm string, c *fleetpb.Call) *fleetpb.Reply {
	if !p.listening.Load() {
		return &fleetpb.Reply{Code: fleetpb.Reply_UNAVAILABLE, Detail: "the VM is starting"}
	}
	c.From = vm
	switch b := c.Body.(type) {
	case *fleetpb.Call_Form:
		return p.handleForm(vm, b.Form)
	case *fleetpb.Call_Drain:
		p.drainOnce.Do(p.cfg.Drain)
		return &fleetpb.Reply{}
	case *fleetpb.Call_Demand:
		return &fleetpb.Reply{Demand: p.demand.report(vm, b.Demand)}
	case *fleetpb.Call_Upstreams:
		homes := b.Upstreams.Homes
		if b.Upstreams.All {
			for _, h := range p.cfg.Directory.HomeHashes() {
				homes = append(homes, h.Vm)
			}
		}
		reply := &fleetpb.Reply{Digests: p.cfg.Directory.DigestsOf(homes)}
		if b.Upstreams.All && p.cfg.Parts != nil {
			reply.Parts = p.cfg.Parts.All()
		}
		return reply
	case *fleetpb.Call_Lend:
		if p.cfg.Lend == nil {
			return &fleetpb.Reply{}
		}
		return &fleetpb.Reply{Lent: uint32(p.cfg.Lend(b.Lend.Pool, int(b.Lend.Repeats)))}
	case *fleetpb.Call_Load:
		return p.handleLoad(vm, b.Load)
	case *fleetpb.Call_Confirm:
		return p.handleConfirm(vm, b.Confirm)
	case *fleetpb.Call_Explain:
		return &fleetpb.Reply{Account: p.cfg.Explain(b.Explain.RequestId)}
	case *fleetpb.Call_Read:
		if b.Read.Local {
			return &fleetpb.Reply{State: p.notice(b.Read.Have)}
		}
	}
	return client.Serve(ctx, p.replica.Load(), c)
}

// handleForm reports whether this VM's replica belongs to a Raft group and, if asked, promises
// to join the group that the calling VM forms.
func (p *Plane) handleForm(vm string, q *fleetpb.FormQuery) *fleetpb.Reply {
	r := p.replica.Load()
	if r == nil {
		return &fleetpb.Reply{Code: fleetpb.Reply_REFUSED, Detail: "the VM has no replica"}
	}
	st := r.Status()
	answer := &fleetpb.FormAnswer{Replica: &fleetpb.Replica{Id: st.ID, Vm: p.cfg.Settings.VM}, Formed: st.Formed, Founder: p.isFounder(r)}
	if q.Promise && !st.Formed {
		answer.Promised, answer.PromisedTo = p.founding.Promise(p.cfg.Clock.Now(), vm)
	} else {
		answer.PromisedTo = p.founding.Holder()
	}
	return &fleetpb.Reply{Form: answer}
}

// fleet is the client.Fleet of the control state client: it calls other VMs.
type fleet struct {
	p *Plane
}

// Call implements client.Fleet.
func (f fleet) Call(ctx context.Context, vm string, c *fleetpb.Call) (*fleetpb.Reply, error) {
	return f.p.callVM(ctx, vm, c)
}

// Replicas implements client.Fleet. It returns the live and suspected VMs that have a replica.
func (f fleet) Replicas() []string {
	var out []string
	for _, m := range f.p.Members() {
		if m.Replica != "" && (m.State == fleetpb.Member_ALIVE || m.State == fleetpb.Member_SUSPECT) {
			out = append(out, m.Vm)
		}
	}
	return out
}

// Boot implements client.Fleet.
func (f fleet) Boot(vm string) (boot uint64, gone, known bool) {
	f.p.mu.Lock()
	defer f.p.mu.Unlock()
	m, ok := f.p.gossip.Member(vm)
	if !ok {
		return 0, false, false
	}
	return m.Boot, m.State == fleetpb.Member_DEAD || m.State == fleetpb.Member_LEFT, true
}

// DrainVM asks a VM to drain.
func (p *Plane) DrainVM(ctx context.Context, vm string) error {
	if vm == p.cfg.Settings.VM {
		p.drainOnce.Do(p.cfg.Drain)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := p.callVM(ctx, vm, &fleetpb.Call{Body: &fleetpb.Call_Drain{Drain: &fleetpb.Drain{}}})
	return err
}

// Borrow asks another VM for retries from its share of a pool's retry limit, and returns
// the number granted.
func (p *Plane) Borrow(ctx context.Context, vm, pool string, retries int) (int, error) {
	reply, err := p.callVM(ctx, vm, &fleetpb.Call{Body: &fleetpb.Call_Lend{Lend: &fleetpb.Lend{Pool: pool, Repeats: uint32(retries)}}})
	if err != nil {
		return 0, err
	}
	return int(reply.Lent), nil
}

// ExplainRemote asks the other VMs for their record of a request, in JSON. It returns nil
// if no VM has one.
func (p *Plane) ExplainRemote(ctx context.Context, id string) []byte {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	vms := p.liveVMs()
	answers := make(chan []byte, len(vms))
	asked := 0
	for _, vm := range vms {
		if vm == p.cfg.Settings.VM {
			continue
		}
		asked++
		go func() {
			defer crash.Recover("explain call")
			var account []byte
			defer func() { answers <- account }()
			reply, err := p.callVM(ctx, vm, &fleetpb.Call{Body: &fleetpb.Call_Explain{Explain: &fleetpb.Explain{RequestId: id}}})
			if err == nil {
				account = reply.Account
			}
		}()
	}
	for range asked {
		if data := <-answers; len(data) > 0 {
			return data
		}
	}
	return nil
}
