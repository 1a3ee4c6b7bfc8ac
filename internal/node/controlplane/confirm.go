package controlplane

import (
	"context"
	"fmt"

	"github.com/jasminecove/jasminecove/internal/fleet/gossip"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Confirm returns once enough other VMs have recorded the state of an upstream that it is known after
// the loss of this VM and of as many others as the settings tolerate. It fails with
// ErrUnconfirmed when ctx ends before. A nil digest stands for the end of an upstream that this
// VM does not know.
func (p *Plane) Confirm(ctx context.Context, upstream string, digest *fleetpb.Digest) error {
	c := &fleetpb.Confirm{Ended: upstream}
	if digest != nil {
		c = &fleetpb.Confirm{Digests: []*fleetpb.Digest{digest}}
	}
	candidates, needed := p.confirmers()
	next := func() string {
		if len(candidates) == 0 {
			return ""
		}
		vm := candidates[0]
		candidates = candidates[1:]
		return vm
	}
	err := callSeveral(ctx, needed, next, func(ctx context.Context, vm string) error {
		reply, err := p.callVM(ctx, vm, &fleetpb.Call{Body: &fleetpb.Call_Confirm{Confirm: c}})
		if err == nil && reply.Code != fleetpb.Reply_OK {
			err = fmt.Errorf("%s: %w: %s", vm, ErrUnconfirmed, reply.Detail)
		}
		return err
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnconfirmed, err)
	}
	return nil
}

// confirmers returns the VMs that may confirm a change, in the order in which to ask them, and how
// many are to confirm it. VMs to which this one keeps connections come first.
func (p *Plane) confirmers() (candidates []string, needed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gossip == nil || p.transport == nil {
		return nil, 0
	}
	var alive []*fleetpb.Member
	for _, m := range p.gossip.Live() {
		if m.Vm != p.cfg.Settings.VM && m.State == fleetpb.Member_ALIVE {
			alive = append(alive, m)
		}
	}
	p.cfg.Source.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	var others []string
	for _, m := range alive {
		if p.gossip.IsTarget(m.Vm) {
			candidates = append(candidates, m.Vm)
		} else {
			others = append(others, m.Vm)
		}
	}
	return append(candidates, others...), min(len(alive), 1+p.cfg.Settings.Fleet.FaultTolerance)
}

// handleConfirm records changes of upstreams that another VM is about to acknowledge.
func (p *Plane) handleConfirm(vm string, c *fleetpb.Confirm) *fleetpb.Reply {
	if changed := p.cfg.Directory.TakeDigests(c.Digests); len(changed) > 0 {
		p.update(gossip.DigestsMsg{Digests: changed, Except: vm})
	}
	if c.Ended != "" {
		p.cfg.Directory.Deregister(c.Ended)
	}
	return &fleetpb.Reply{}
}
