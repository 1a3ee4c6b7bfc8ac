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

// A VM that has just been met may have missed digests, so that homes are compared
// at each look for a while after VMs came, and at every calmLooks-th look otherwise.
const (
	homesLook   = 500 * time.Millisecond
	homesRecent = 5 * clock.Second
	calmLooks   = 10
)

// A comparison names every home, so that in a fleet of more than fewVMs it is made
// manyVMsFactor times less often.
const (
	fewVMs        = 12
	manyVMsFactor = 12
)

// A VM that starts asks as many others as introducers for upstreams, and is not ready
// before that, or before introduceWithin has passed.
const (
	introducers     = 2
	introduceWithin = 2 * time.Second
)

// startGossip begins the VM's view of the fleet.
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

// gossipLoop runs the view's timer and, on the leader, its stamps.
func (p *Plane) gossipLoop(ctx context.Context) {
	stampAt, stamps := clock.Time(0), uint64(0)
	delay.Every(ctx, gossipTick, func() {
		p.update(gossip.TickMsg{})
		now := p.cfg.Clock.Now()
		if now.Sub(stampAt) < stampEvery {
			return
		}
		st, ok := p.ReplicaStatus()
		if !ok {
			return
		}
		if st.Role == "leader" && st.LeaseLeft > 0 {
			stampAt = now
			stamps++
			p.stampedAt.Store(int64(now))
			p.update(gossip.StampMsg{Stamp: st.Term<<gossip.StampTermShift + stamps})
		}
	})
}

// update gives the view a message and carries out what follows.
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
		if news := p.cfg.Directory.TakeDigests(e.Digests); len(news) > 0 {
			p.update(gossip.DigestsMsg{Digests: news, Except: e.From})
		}
	}
	if len(e.HomeHashes) > 0 {
		p.compareHomes(e.From, e.HomeHashes)
	}
}

// memberChanged acts on a VM's new state.
func (p *Plane) memberChanged(e gossip.Event) {
	vm := e.Member.Vm
	switch e.Member.State {
	case fleetpb.Member_DEAD, fleetpb.Member_LEFT:
		p.log.Info("VM is gone", "vm", vm, "state", e.Member.State)
		p.cfg.Directory.HomeLost(vm)
	case fleetpb.Member_ALIVE:
		if e.Previous != int32(fleetpb.Member_SUSPECT) {
			p.log.Info("VM is here", "vm", vm)
			p.movedAt.Store(int64(p.cfg.Clock.Now()))
			p.cfg.Directory.HomeBack(vm)
		}
	case fleetpb.Member_SUSPECT:
		p.log.Debug("VM is suspected", "vm", vm)
	}
}

// UpstreamsChanged tells other VMs of changes among the upstreams whose home is
// here.
func (p *Plane) UpstreamsChanged(c directory.Change) {
	if len(c.Digests) > 0 {
		p.update(gossip.DigestsMsg{Digests: c.Digests})
	}
}

// homesLoop compares now and then what this VM and another know of upstreams, so
// that a digest that got lost is made up for.
func (p *Plane) homesLoop(ctx context.Context) {
	looks := 0
	delay.Every(ctx, homesLook, func() {
		p.mu.Lock()
		targets, vms := p.gossip.Targets(), len(p.gossip.Live())
		p.mu.Unlock()
		looks++
		recent := p.cfg.Clock.Now().Sub(clock.Time(p.movedAt.Load())) < homesRecent
		calm := calmLooks
		if vms > fewVMs {
			calm *= manyVMsFactor
		}
		if len(targets) == 0 || !recent && looks%calm != 0 {
			return
		}
		m := &fleetpb.GossipMessage{Kind: fleetpb.GossipMessage_SYNC_REPLY, From: p.cfg.Settings.VM, Homes: p.cfg.Directory.HomeHashes()}
		to := targets[looks%len(targets)]
		p.transport.Send(to, &fleetpb.Envelope{Body: &fleetpb.Envelope_Gossip{Gossip: m}})
	})
}

// compareHomes asks a VM for the upstreams of those homes of which it knows
// otherwise.
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
	go p.askUpstreams(vm, homes)
}

// learnUpstreams asks the first VMs that are met for all upstreams that they know, so
// that a VM that has just started does not wait for announcements.
func (p *Plane) learnUpstreams(ctx context.Context) {
	defer p.introduced.Store(true)
	ctx, cancel := context.WithTimeout(ctx, introduceWithin)
	defer cancel()
	asked := map[string]bool{p.cfg.Settings.VM: true}
	for ctx.Err() == nil && len(asked) <= introducers {
		for _, vm := range p.liveVMs() {
			if asked[vm] || len(asked) > introducers {
				continue
			}
			asked[vm] = true
			reply, err := p.callVM(ctx, vm, &fleetpb.Call{Body: &fleetpb.Call_Upstreams{Upstreams: &fleetpb.Upstreams{All: true}}})
			if err != nil {
				p.log.Debug("upstreams not told", "vm", vm, "error", err)
				continue
			}
			p.cfg.Directory.TakeDigests(reply.Digests)
		}
		_ = delay.Wait(ctx, fetchPause)
	}
}

func (p *Plane) askUpstreams(vm string, homes []string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply, err := p.callVM(ctx, vm, &fleetpb.Call{Body: &fleetpb.Call_Upstreams{Upstreams: &fleetpb.Upstreams{Homes: homes}}})
	if err != nil {
		p.log.Debug("upstreams not told", "vm", vm, "error", err)
		return
	}
	p.cfg.Directory.TakeDigests(reply.Digests)
}
