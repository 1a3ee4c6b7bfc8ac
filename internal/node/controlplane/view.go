package controlplane

import "github.com/jasminecove/jasminecove/internal/base/clock"

// ViewAge returns the age of the VM's view of the control state. It is 0 while the VM's replica
// holds the lease, and before the first stamp.
func (p *Plane) ViewAge() clock.Duration {
	if p.leads() {
		return 0
	}
	at := p.stampedAt.Load()
	if at == 0 {
		return 0
	}
	return p.cfg.Clock.Now().Sub(clock.Time(at))
}

// HasRecentView reports whether the VM leads, or received a stamp of the leader at most limit ago. Then
// it is on the side of the quorum if the fleet is partitioned.
func (p *Plane) HasRecentView(limit clock.Duration) bool {
	return (p.stampedAt.Load() != 0 || p.leads()) && p.ViewAge() <= limit
}

func (p *Plane) leads() bool {
	r := p.replica.Load()
	return r != nil && r.Status().LeaseLeft > 0
}

// TablesConfirmed reports whether the tables that a quorum named since the start of this VM are in force
// here, or there were none.
func (p *Plane) TablesConfirmed() bool { return p.confirmed.Load() }

// Ready returns nil if the VM may accept requests, or the reason why not.
func (p *Plane) Ready() error {
	if !p.confirmed.Load() || p.transport != nil && !p.upstreamsSynced.Load() {
		return ErrNotSynced
	}
	if limit := p.cfg.Settings.Fleet.ReadyMaxAge; limit > 0 && p.ViewAge() > limit {
		return ErrStale
	}
	return nil
}
