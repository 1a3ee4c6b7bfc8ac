package controlplane

import (
	"context"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/fleet/gossip"
	"github.com/jasminecove/jasminecove/internal/routing/directory"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Intervals of the anti-entropy comparison of upstreams by home VM. A VM that has just joined
// may have missed digests. Homes are therefore compared in every round for antiEntropyPeriod
// after a VM joined, and in every stableRounds-th round otherwise.
const (
	antiEntropyInterval = 500 * time.Millisecond
	antiEntropyPeriod   = 5 * clock.Second
	stableRounds        = 10
)

// A comparison lists every home. In a fleet of more than smallFleetVMs it is therefore made
// largeFleetFactor times less often.
const (
	smallFleetVMs    = 12
	largeFleetFactor = 12
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
	p.gossip = gossip.New(self, p.cfg.Source, s.Fleet.Seeds)
	p.mu.Unlock()
}

// gossipLoop drives the gossip timer and, on the leader, issues the stamps that date the view of
// the control state.
func (p *Plane) gossipLoop(ctx context.Context) {
	stampedAt, stamps := clock.Time(0), uint64(0)
	delay.Every(ctx, gossipTickInterval, func() {
		p.update(gossip.TickMsg{})
		now := p.cfg.Clock.Now()
		if now.Sub(stampedAt) < stampInterval {
			return
		}
		st, ok := p.ReplicaStatus()
		if !ok {
			return
		}
		if st.Role == "leader" && st.LeaseLeft > 0 {
			stampedAt = now
			stamps++
			p.stampedAt.Store(int64(now))
			p.update(gossip.StampMsg{Stamp: st.Term<<gossip.StampTermShift + stamps})
		}
	})
}

// update passes a message to the gossip state and executes the resulting effects.
func (p *Plane) update(msg gossip.Msg) {
	p.mu.Lock()
	if p.gossip == nil {
		p.mu.Unlock()
		return
	}
	e := p.gossip.Update(p.cfg.Clock.Now(), msg)
	p.mu.Unlock()
	for _, o := range e.Send {
		if p.transport != nil {
			p.transport.Send(o.Address, &fleetpb.Envelope{Body: &fleetpb.Envelope_Gossip{Gossip: o.Message}})
		}
	}
	if e.Stamp > 0 {
		p.stampedAt.Store(int64(p.cfg.Clock.Now()))
		p.client.RetryNow()
	}
	for _, ev := range e.Events {
		p.memberChanged(ev)
	}
	if e.Revision > 0 {
		p.wantRevision(e.Revision, e.From)
	}
	if len(e.Digests) > 0 {
		if changed := p.cfg.Directory.TakeDigests(e.Digests); len(changed) > 0 {
			p.update(gossip.DigestsMsg{Digests: changed, Except: e.From})
		}
	}
	if len(e.HomeHashes) > 0 {
		p.compareHomes(e.From, e.HomeHashes)
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
			p.lastJoinAt.Store(int64(p.cfg.Clock.Now()))
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

// antiEntropyLoop periodically compares upstreams with another VM by sending the hash of
// each home, which repairs the loss of a digest.
func (p *Plane) antiEntropyLoop(ctx context.Context) {
	rounds := 0
	delay.Every(ctx, antiEntropyInterval, func() {
		p.mu.Lock()
		targets, vms := p.gossip.Targets(), len(p.gossip.Live())
		p.mu.Unlock()
		rounds++
		recent := p.cfg.Clock.Now().Sub(clock.Time(p.lastJoinAt.Load())) < antiEntropyPeriod
		interval := stableRounds
		if vms > smallFleetVMs {
			interval *= largeFleetFactor
		}
		if len(targets) == 0 || !recent && rounds%interval != 0 {
			return
		}
		m := &fleetpb.GossipMessage{Kind: fleetpb.GossipMessage_SYNC_REPLY, From: p.cfg.Settings.VM, Homes: p.cfg.Directory.HomeHashes()}
		to := targets[rounds%len(targets)]
		p.transport.Send(to, &fleetpb.Envelope{Body: &fleetpb.Envelope_Gossip{Gossip: m}})
	})
}

// compareHomes compares another VM's home hashes with those of this VM, and fetches the
// upstreams of the homes that differ from that VM.
func (p *Plane) compareHomes(vm string, theirs []*fleetpb.HomeHash) {
	ours := map[string]uint64{}
	for _, h := range p.cfg.Directory.HomeHashes() {
		ours[h.Vm] = h.Hash
	}
	var homes []string
	for _, h := range theirs {
		if h.Vm != p.cfg.Settings.VM && ours[h.Vm] != h.Hash {
			homes = append(homes, h.Vm)
		}
	}
	if len(homes) == 0 {
		return
	}
	go p.fetchUpstreams(vm, homes)
}

// syncUpstreams fetches all upstreams from the first VMs that are found, so that a VM that
// has just started need not wait for announcements.
func (p *Plane) syncUpstreams(ctx context.Context) {
	defer p.upstreamsSynced.Store(true)
	ctx, cancel := context.WithTimeout(ctx, initialSyncTimeout)
	defer cancel()
	asked := map[string]bool{p.cfg.Settings.VM: true}
	for ctx.Err() == nil && len(asked) <= initialSyncVMs {
		for _, vm := range p.liveVMs() {
			if asked[vm] || len(asked) > initialSyncVMs {
				continue
			}
			asked[vm] = true
			reply, err := p.callVM(ctx, vm, &fleetpb.Call{Body: &fleetpb.Call_Upstreams{Upstreams: &fleetpb.Upstreams{All: true}}})
			if err != nil {
				p.log.Debug("failed to fetch upstreams", "vm", vm, "error", err)
				continue
			}
			p.cfg.Directory.TakeDigests(reply.Digests)
		}
		_ = delay.Wait(ctx, fetchRetryDelay)
	}
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
