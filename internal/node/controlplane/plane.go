// Package controlplane is a VM's part in the fleet: its replica of the control
// state if it has one, its view of the other VMs, the tables in force, and the
// way to the leader.
package controlplane

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/control/client"
	"github.com/jasminecove/jasminecove/internal/control/journal"
	"github.com/jasminecove/jasminecove/internal/control/replica"
	"github.com/jasminecove/jasminecove/internal/control/state"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/fleet/gossip"
	"github.com/jasminecove/jasminecove/internal/fleet/keys"
	"github.com/jasminecove/jasminecove/internal/fleet/link"
	"github.com/jasminecove/jasminecove/internal/node/settings"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Failures of the control plane.
const (
	ErrUnknownVM = fault.Sentinel("controlplane: the VM is not known")
	ErrKeysVM    = fault.Sentinel("controlplane: the certificate is another VM's")
	ErrNotYet    = fault.Sentinel("controlplane: the present tables are not known yet")
	ErrBase      = fault.Sentinel("controlplane: the tables are told as a change of others")
	ErrStale     = fault.Sentinel("controlplane: the view of the control state is too old")
)

// Spans of the plane's tasks.
const (
	gossipTick  = 20 * time.Millisecond
	stampEvery  = 500 * clock.Millisecond
	formEvery   = 200 * time.Millisecond
	demandEvery = 1 * time.Second
	fetchPause  = 50 * time.Millisecond
	callTimeout = 2 * time.Second
	// reopenEvery is the span between two tries to use a disk that failed.
	reopenEvery = 1 * time.Second
)

// Config is what a plane is made of.
type Config struct {
	Settings  settings.Settings
	Clock     clock.Clock
	Sink      invariant.Sink
	Log       hclog.Logger
	Directory Directory
	Limits    Limits
	// Parse reads a tables document. Nil takes tables.Parse.
	Parse func(document []byte) (*tables.Document, error)
	// Occupied is told what another VM's requests hold on upstreams, if set.
	Occupied func(vm string, o *fleetpb.Occupancy)
	// Lend gives another VM repeats out of this one's part of a pool's retry limit, if
	// set.
	Lend   func(pool string, repeats int) int
	Source *rng.Source
	// Initial is the tables document that a new group starts with, if any.
	Initial []byte
	// Drain is called when another VM asks this one to drain.
	Drain func()
	// Explain returns the account of a request in JSON, or nothing.
	Explain func(requestID string) []byte
}

// Directory is a VM's view of upstreams, and takes the tables in force.
type Directory interface {
	SetTables(doc *tables.Document)
	TakeDigests(digests []*fleetpb.Digest) (news []*fleetpb.Digest)
	DigestsOf(homes []string) []*fleetpb.Digest
	HomeHashes() []*fleetpb.HomeHash
	HomeLost(vm string)
	HomeBack(vm string)
}

// Limits are the organisations' limits, whose demand the VMs share.
type Limits interface {
	Demands() map[string]float64
	SetOtherDemand(org string, others float64)
	SetVMs(n int)
}

// Plane is a VM's part in the fleet.
type Plane struct {
	cfg       Config
	log       hclog.Logger
	transport *link.Transport                 // Nil on a lone VM.
	replica   atomic.Pointer[replica.Replica] // Nil without a disk, or while it fails.
	client    *client.Client
	demand    *demandHome

	mu     sync.Mutex // Guards gossip and the source of random numbers.
	gossip *gossip.Core

	current   atomic.Pointer[fleetpb.Revision]
	installMu sync.Mutex
	patches   patchCache
	wanted    atomic.Pointer[want]
	wake      chan struct{}
	promised  atomic.Value // Name of the VM that this one forms a new group with, a string.
	confirmed atomic.Bool  // The quorum has told the present once.
	// introduced is set once other VMs have told the upstreams that they know.
	introduced atomic.Bool
	stampedAt  atomic.Int64 // clock.Time of the newest stamp.
	movedAt    atomic.Int64 // clock.Time at which a VM was last met.
	drained    sync.Once
	tasks      sync.WaitGroup
	cancel     context.CancelFunc
	failed     chan error
}

// want is a revision that another VM has in force.
type want struct {
	number uint64
	vm     string
}

// New prepares a plane.
func New(cfg Config) (*Plane, error) {
	p := &Plane{cfg: cfg, log: cfg.Log.Named("control"), wake: make(chan struct{}, 1), failed: make(chan error, 1)}
	p.demand = newDemandHome(cfg.Clock)
	if p.cfg.Parse == nil {
		p.cfg.Parse = tables.Parse
	}
	if err := p.openReplica(); err != nil {
		return nil, err
	}
	p.client = client.New(cfg.Settings.VM, cfg.Clock, p.replica.Load, fleet{p})
	return p, nil
}

// Start joins the fleet. Stop ends it.
func (p *Plane) Start(ctx context.Context) error {
	ctx, p.cancel = context.WithCancel(ctx)
	s := p.cfg.Settings
	address := ""
	if s.Listen.Fleet != "" {
		ring, err := loadRing(s)
		if err != nil {
			return err
		}
		if ring.VM() != s.VM {
			return fmt.Errorf("%w: %s", ErrKeysVM, ring.VM())
		}
		p.transport, err = link.Listen(ctx, s.Listen.Fleet, ring, p, p.cfg.Log)
		if err != nil {
			return err
		}
		address = p.transport.Address()
	}
	p.startGossip(address)
	if p.replica.Load() != nil {
		p.task(func() { p.runReplica(ctx) })
		p.task(func() { p.form(ctx) })
	}
	p.task(func() { p.gossipLoop(ctx) })
	p.task(func() { p.fetchLoop(ctx) })
	if p.transport != nil {
		p.task(func() { p.homesLoop(ctx) })
		p.task(func() { p.demandLoop(ctx) })
	}
	return nil
}

// openReplica opens the VM's replica if it has a data folder, or is alone.
func (p *Plane) openReplica() error {
	s := p.cfg.Settings
	disk := journal.Memory()
	if s.DataFolder != "" {
		var err error
		disk, err = journal.Folder(s.DataFolder)
		if err != nil {
			return err
		}
	} else if s.Listen.Fleet != "" {
		return nil
	}
	p.mu.Lock() // The gossip draws from the same source when a failed disk is opened again.
	seed := p.cfg.Source.Uint64()
	p.mu.Unlock()
	r, err := replica.Open(replica.Config{
		VM: s.VM, Disk: disk, Clock: p.cfg.Clock, Source: rng.New(seed), Sink: p.cfg.Sink, Log: p.cfg.Log,
		Sender: p, OnChange: p.stateChanged, TargetVoters: s.Fleet.VoterTarget(),
	})
	if err != nil {
		return err
	}
	p.replica.Store(r)
	return nil
}

// runReplica runs the VM's replica. When its disk fails, the VM goes on without a
// replica and opens the data folder again until it can be used: what the journal
// holds is then read from the disk and not taken from memory.
func (p *Plane) runReplica(ctx context.Context) {
	err := p.replica.Load().Run(ctx)
	for ctx.Err() == nil && err != nil {
		p.replica.Store(nil)
		p.log.Error("replica stopped, the disk failed", "error", err)
		if p.cfg.Settings.Fleet.BearFaults == 0 {
			p.failed <- err
			return
		}
		if delay.Wait(ctx, reopenEvery) != nil {
			return
		}
		if err = p.openReplica(); err != nil {
			continue
		}
		p.log.Info("replica opened again", "id", p.replica.Load().ID())
		err = p.replica.Load().Run(ctx)
	}
}

// loadRing returns the VM's keys as its settings say.
func loadRing(s settings.Settings) (*keys.Ring, error) {
	if s.Fleet.WithoutKeys {
		return keys.Unverified(s.VM)
	}
	return keys.Load(s.Fleet.Keys)
}

// Failed carries the error of a disk that may not be trusted any more. The
// process must end.
func (p *Plane) Failed() <-chan error { return p.failed }

// stateChanged runs in the replica's goroutine after commands were applied.
func (p *Plane) stateChanged(s *state.State) {
	if rev := s.Revision(); rev != nil {
		p.install(rev)
	}
}

// Client returns the way to the leader.
func (p *Plane) Client() *client.Client { return p.client }

// FleetAddress returns the address that other VMs reach, or "".
func (p *Plane) FleetAddress() string {
	if p.transport == nil {
		return ""
	}
	return p.transport.Address()
}

// Current returns the revision in force, or nil.
func (p *Plane) Current() *fleetpb.Revision { return p.current.Load() }

// Age returns how old the VM's view of the control state is.
func (p *Plane) Age() clock.Duration {
	if r := p.replica.Load(); r != nil && r.Status().LeaseLeft > 0 {
		return 0
	}
	at := p.stampedAt.Load()
	if at == 0 {
		return 0
	}
	return p.cfg.Clock.Now().Sub(clock.Time(at))
}

// Ready returns why the VM may not take requests, or nil.
func (p *Plane) Ready() error {
	if !p.confirmed.Load() || p.transport != nil && !p.introduced.Load() {
		return ErrNotYet
	}
	if limit := p.cfg.Settings.Fleet.ReadyMaxAge; limit > 0 && p.Age() > limit {
		return ErrStale
	}
	return nil
}

// Introduced reports whether other VMs have told the upstreams that they know, or none
// did in time.
func (p *Plane) Introduced() bool { return p.transport == nil || p.introduced.Load() }

// SendRaft implements replica.Sender.
func (p *Plane) SendRaft(vm string, m *fleetpb.RaftMessage) {
	if address, ok := p.address(vm); ok {
		p.transport.Send(address, &fleetpb.Envelope{Body: &fleetpb.Envelope_Raft{Raft: m}})
	}
}

// callVM asks a VM by name.
func (p *Plane) callVM(ctx context.Context, vm string, c *fleetpb.Call) (*fleetpb.Reply, error) {
	address, ok := p.address(vm)
	if !ok {
		return nil, fmt.Errorf("%s: %w", vm, ErrUnknownVM)
	}
	return p.transport.Call(ctx, address, c)
}

// address returns the fleet address of a VM.
func (p *Plane) address(vm string) (string, bool) {
	if p.transport == nil {
		return "", false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.gossip.Member(vm)
	if !ok {
		return "", false
	}
	return m.Address, true
}

// Members returns every VM that is known.
func (p *Plane) Members() []*fleetpb.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gossip.Members()
}

// ReplicaStatus returns the status of the VM's replica, if it has one.
func (p *Plane) ReplicaStatus() (replica.Status, bool) {
	r := p.replica.Load()
	if r == nil {
		return replica.Status{}, false
	}
	return r.Status(), true
}

// OrderLease returns the lease of the VM's replica, if it leads.
func (p *Plane) OrderLease() (term uint64, left clock.Duration) {
	r := p.replica.Load()
	if r == nil {
		return 0, 0
	}
	return r.OrderLease()
}

// LinkStats returns what the VM's links carried.
func (p *Plane) LinkStats() link.Stats {
	if p.transport == nil {
		return link.Stats{}
	}
	return p.transport.Stats()
}

// SetDraining tells other VMs that this one drains, and hands the lead over.
func (p *Plane) SetDraining() {
	if r := p.replica.Load(); r != nil {
		r.TransferLeadership()
	}
	p.update(gossip.DrainMsg{Draining: true})
}

// Stop leaves the fleet.
func (p *Plane) Stop() {
	p.update(gossip.LeaveMsg{})
	if p.transport != nil {
		// The last messages need a moment on the way.
		time.Sleep(gossipTick)
	}
	p.cancel()
	if p.transport != nil {
		p.transport.Close()
	}
	p.tasks.Wait()
}

func (p *Plane) task(f func()) {
	p.tasks.Add(1)
	go func() {
		defer p.tasks.Done()
		f()
	}()
}

// initialVoters returns the names of the VMs that form a new group.
func (p *Plane) initialVoters() []string {
	if voters := p.cfg.Settings.Fleet.Voters; len(voters) > 0 {
		return voters
	}
	return []string{p.cfg.Settings.VM}
}
