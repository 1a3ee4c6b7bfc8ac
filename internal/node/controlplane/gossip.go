package controlplane

import (
	"context"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/fleet/gossip"
	"github.com/jasminecove/jasminecove/internal/routing/directory"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// A starting VM asks initialSyncVMs other VMs for their upstreams, and is not ready before
// they have answered or initialSyncTimeout has passed.
const (
	initialSyncVMs     = 2
	initialSyncTimeout = 2 * time.Second
)

// startGossip creates the gossip state with this VM as a member.
func (p *Plane) startGossip(address string) {
	s := p.cfg.Settings
	now := uint64(p.cfg.Clock.Now())
	self := &fleetpb.Member{
		Vm: s.VM, Address: address, DataCentre: s.DataCentre, Incarnation: now, Boot: now, CallersAddress: s.Listen.Callers,
	}
	if r := p.replica.Load(); r != nil {
		self.Replica = r.ID()
	}
	p.mu.Lock()
	p.seeds = s.Fleet.Seeds
	p.gossip = gossip.New(self, p.cfg.Source, p.seeds)
	p.mu.Unlock()
}

// gossipLoop drives the gossip timer and, on the leader, issues the stamps that date the view of
// the control state.
func (p *Plane) gossipLoop(ctx context.Context) {
	ticker := time.NewTicker(gossipTickInterval)
	defer ticker.Stop()
	flush := time.NewTimer(0)
	defer flush.Stop()
	flushing := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.gossipQueued:
			if !flushing {
				flushing = true
				flush.Reset(gossipFlushDelay)
			}
			continue
		case <-flush.C:
			flushing = false
		case <-ticker.C:
		}
		crash.Contain("gossip tick", func() { p.update(gossip.TickMsg{Upstreams: p.cfg.Directory.UpstreamsHash()}) })
		crash.Contain("stamp", p.stamp)
	}
}

// stamp issues a stamp if this VM leads and the last one is older than stampInterval.
func (p *Plane) stamp() {
	now := p.cfg.Clock.Now()
	if now.Sub(p.issuedAt) < stampInterval {
		return
	}
	st, ok := p.ReplicaStatus()
	if !ok || st.Role != "leader" || st.LeaseLeft <= 0 {
		return
	}
	p.issuedAt = now
	p.issued++
	p.stampedAt.Store(int64(now))
	if p.stampTerm.Swap(st.Term) < st.Term {
		// Other VMs learn of the election by the stamp. Calls of this VM may still wait for one of them.
		p.client.LeaderElected()
	}
	p.update(gossip.StampMsg{Stamp: st.Term<<gossip.StampTermShift + p.issued})
}

// updateGossip passes a message to the gossip state. A panic costs the message, and what waits to be sent.
func (p *Plane) updateGossip(msg gossip.Msg) (e gossip.Effects) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gossip != nil && !crash.Contain("gossip", func() { e = p.gossip.Update(p.cfg.Clock.Now(), msg) }) {
		crash.Contain("repair of the gossip", p.gossip.Repair)
	}
	return e
}

// update passes a message to the gossip state and executes the resulting effects. A panic of one does not
// keep the others from being executed, since most are reported only once.
func (p *Plane) update(msg gossip.Msg) {
	e := p.updateGossip(msg)
	if e.Queued {
		select {
		case p.gossipQueued <- struct{}{}:
		default:
		}
	}
	for _, o := range e.Send {
		if p.transport != nil {
			p.transport.Send(o.Address, &fleetpb.Envelope{Body: &fleetpb.Envelope_Gossip{Gossip: o.Message}})
		}
	}
	if e.Stamp > 0 {
		p.stampedAt.Store(int64(p.cfg.Clock.Now()))
		if term := e.Stamp >> gossip.StampTermShift; p.stampTerm.Swap(term) < term {
			p.client.LeaderElected()
		} else {
			p.client.RetryNow()
		}
	}
	for _, ev := range e.Events {
		crash.Contain("change of a VM", func() { p.memberChanged(ev) })
	}
	if e.Revision > 0 {
		p.wantRevision(e.Revision, e.From)
	}
	if len(e.Digests) > 0 {
		var changed []*fleetpb.Digest
		crash.Contain("digests", func() { changed = p.cfg.Directory.TakeDigests(e.Digests) })
		if len(changed) > 0 {
			p.update(gossip.DigestsMsg{Digests: changed, Except: e.From})
		}
	}
	if len(e.HomeHashes) > 0 {
		crash.Contain("comparison of upstreams", func() { p.compareHomes(e.From, e.HomeHashes) })
	}
	if e.UpstreamsDiffer != "" {
		crash.Contain("comparison of upstreams", func() { p.sendHomes(e.UpstreamsDiffer) })
	}
}

// memberChanged handles a VM's change of state.
func (p *Plane) memberChanged(e gossip.Event) {
	vm := e.Member.Vm
	switch e.Member.State {
	case fleetpb.Member_DEAD, fleetpb.Member_LEFT:
		p.log.Info("VM is gone", "vm", vm, "state", e.Member.State)
		p.cfg.Directory.HomeLost(vm)
	case fleetpb.Member_ALIVE:
		if e.Previous != int32(fleetpb.Member_SUSPECT) {
			p.log.Info("VM is here", "vm", vm)
			p.cfg.Directory.HomeBack(vm)
		}
	case fleetpb.Member_SUSPECT:
		p.log.Debug("VM is suspected", "vm", vm)
	}
}

// UpstreamsChanged gossips changes of the upstreams whose home is this VM.
func (p *Plane) UpstreamsChanged(c directory.Change) {
	if len(c.Digests) > 0 {
		p.update(gossip.DigestsMsg{Digests: c.Digests})
	}
}

// sendHomes sends the hash of each home to a VM, which then fetches the upstreams that it has
// missed. This repairs the loss of a digest.
func (p *Plane) sendHomes(vm string) {
	address, ok := p.address(vm)
	if !ok {
		return
	}
	m := &fleetpb.GossipMessage{Kind: fleetpb.GossipMessage_SYNC_REPLY, From: p.cfg.Settings.VM, Homes: p.cfg.Directory.HomeHashes()}
	p.transport.Send(address, &fleetpb.Envelope{Body: &fleetpb.Envelope_Gossip{Gossip: m}})
}

// compareHomes compares another VM's home hashes with those of this VM, and fetches the
// upstreams of the homes that differ from that VM. Those of this VM itself are among them: it
// may have restarted without knowing them, and is the one to end them.
func (p *Plane) compareHomes(vm string, theirs []*fleetpb.HomeHash) {
	ours := map[string]uint64{}
	for _, h := range p.cfg.Directory.HomeHashes() {
		ours[h.Vm] = h.Hash
	}
	var homes []string
	for _, h := range theirs {
		if ours[h.Vm] != h.Hash {
			homes = append(homes, h.Vm)
		}
	}
	if len(homes) == 0 {
		return
	}
	crash.Go("fetch of upstreams", func() { p.fetchUpstreams(vm, homes) })
}

// syncUpstreams fetches all upstreams from the first VMs that are found, so that a VM that
// has just started need not wait for announcements.
func (p *Plane) syncUpstreams(ctx context.Context) {
	defer p.upstreamsSynced.Store(true)
	ctx, cancel := context.WithTimeout(ctx, initialSyncTimeout)
	defer cancel()
	asked := map[string]bool{p.cfg.Settings.VM: true}
	next := func() string {
		for _, vm := range p.liveVMs() {
			if !asked[vm] {
				asked[vm] = true
				return vm
			}
		}
		return ""
	}
	for answers := 0; answers < initialSyncVMs && delay.Wait(ctx, fetchRetryDelay) == nil; {
		if callSeveral(ctx, 1, next, p.fetchAllUpstreams) == nil {
			answers++
		}
	}
}

// fetchAllUpstreams fetches all upstreams, and what is known of prompt parts, from a VM.
func (p *Plane) fetchAllUpstreams(ctx context.Context, vm string) error {
	reply, err := p.callVM(ctx, vm, &fleetpb.Call{Body: &fleetpb.Call_Upstreams{Upstreams: &fleetpb.Upstreams{All: true}}})
	if err != nil {
		p.log.Debug("failed to fetch upstreams", "vm", vm, "error", err)
		return err
	}
	p.cfg.Directory.TakeDigests(reply.Digests)
	if p.cfg.Parts != nil {
		p.cfg.Parts.Merge(vm, reply.Parts)
	}
	return nil
}

// fetchUpstreams fetches the upstreams of some homes from a VM.
func (p *Plane) fetchUpstreams(vm string, homes []string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply, err := p.callVM(ctx, vm, &fleetpb.Call{Body: &fleetpb.Call_Upstreams{Upstreams: &fleetpb.Upstreams{Homes: homes}}})
	if err != nil {
		p.log.Debug("failed to fetch upstreams", "vm", vm, "error", err)
		return
	}
	p.cfg.Directory.TakeDigests(reply.Digests)
}
