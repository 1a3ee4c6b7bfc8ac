package controlplane

import (
	"context"
	"errors"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/control/journal"
	"github.com/jasminecove/jasminecove/internal/control/replica"
)

// openReplica opens the VM's replica if it has a data folder. A lone VM without one keeps its
// journal in memory.
func (p *Plane) openReplica() error {
	s := p.cfg.Settings
	disk := p.memory
	if s.DataFolder != "" {
		var err error
		disk, err = journal.Folder(s.DataFolder)
		if err != nil {
			return err
		}
	} else if s.Listen.Fleet != "" {
		return nil
	}
	seed := p.seed()
	r, err := replica.Open(replica.Config{
		VM: s.VM, Disk: disk, Clock: p.cfg.Clock, Source: rng.New(seed), Sink: p.cfg.Sink, Log: p.cfg.Log,
		Sender: p, OnChange: p.stateChanged, TargetVoters: s.Fleet.VoterTarget(), FirstStart: s.Fleet.FirstStart, HasLeft: p.hasLeft,
	})
	if err != nil {
		return err
	}
	p.replica.Store(r)
	return nil
}

// seed returns a random number. Gossip uses the same source concurrently when a replica is reopened.
func (p *Plane) seed() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cfg.Source.Uint64()
}

// runReplica runs the VM's replica. When its disk fails or it panics, the VM continues without a
// replica and tries to open the data folder again until it succeeds. The state is then read from the
// journal on disk; state in memory may never have reached the disk, or be half changed.
func (p *Plane) runReplica(ctx context.Context) {
	started := time.Now()
	err := p.replica.Load().Run(ctx)
	for reload := minReloadDelay; ctx.Err() == nil && err != nil; {
		p.replica.Store(nil)
		p.log.Error("replica stopped", "error", err)
		wait := reopenDelay
		if errors.Is(err, replica.ErrPanicked) {
			if time.Since(started) >= maxReloadDelay {
				reload = minReloadDelay
			}
			wait, reload = reload, min(2*reload, maxReloadDelay)
		} else if p.cfg.Settings.Fleet.FaultTolerance == 0 {
			p.failed <- err
			return
		}
		if delay.Wait(ctx, wait) != nil {
			return
		}
		started = time.Now()
		err = replica.ErrPanicked
		crash.Contain("opening of the replica", func() { err = p.openReplica() })
		if err != nil {
			continue
		}
		p.log.Info("replica reopened", "id", p.replica.Load().ID())
		err = p.replica.Load().Run(ctx)
	}
}
