// Package controlplane runs a VM's membership in the fleet: its replica of the control state
// if it has one, its gossip view of the other VMs, the tables in force, and the client of
// the leader.
package controlplane

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/control/catchup"
	"github.com/jasminecove/jasminecove/internal/control/client"
	"github.com/jasminecove/jasminecove/internal/control/founding"
	"github.com/jasminecove/jasminecove/internal/control/journal"
	"github.com/jasminecove/jasminecove/internal/control/replica"
	"github.com/jasminecove/jasminecove/internal/control/state"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/fleet/gossip"
	"github.com/jasminecove/jasminecove/internal/fleet/keys"
	"github.com/jasminecove/jasminecove/internal/fleet/link"
	"github.com/jasminecove/jasminecove/internal/fleet/loadsum"
	"github.com/jasminecove/jasminecove/internal/node/settings"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Errors of the control plane.
const (
	ErrUnknownVM        = fault.Sentinel("controlplane: the VM is not known")
	ErrWrongCertificate = fault.Sentinel("controlplane: the certificate was issued to another VM")
	ErrNotSynced        = fault.Sentinel("controlplane: the present tables are not known yet")
	ErrBaseMismatch     = fault.Sentinel("controlplane: the tables are a patch to a different base revision")
	ErrUnconfirmed      = fault.Sentinel("controlplane: not enough VMs have recorded the change")
	ErrUnanswered       = fault.Sentinel("controlplane: the VM did not answer")
	ErrOutOfRange       = fault.Sentinel("controlplane: a field of another VM's message is out of range")
	ErrStale            = fault.Sentinel("controlplane: the view of the control state is too old")
)

// Intervals, delays and timeouts of the plane's tasks.
const (
	// gossipTickInterval is the interval between gossip ticks; gossipFlushDelay is how long
	// updates are collected before an additional tick sends them.
	gossipTickInterval = 100 * time.Millisecond
	gossipFlushDelay   = 20 * time.Millisecond
	stampInterval      = 500 * clock.Millisecond
	formInterval       = 200 * time.Millisecond
	demandInterval     = 1 * time.Second
	fetchRetryDelay    = 50 * time.Millisecond
	callTimeout        = 2 * time.Second
	// confirmRetryDelay is the delay between two reads of the current revision at a start.
	confirmRetryDelay = 50 * time.Millisecond
	// installPollInterval is the interval at which an awaited revision is checked.
	installPollInterval = 5 * time.Millisecond
	// reopenDelay is the delay before the data folder is opened again after a disk failure. After panics it
	// grows from minReloadDelay to maxReloadDelay.
	reopenDelay    = 1 * time.Second
	minReloadDelay = 100 * time.Millisecond
	maxReloadDelay = 30 * time.Second
)

// Config configures a Plane.
type Config struct {
	Settings  settings.Settings
	Clock     clock.Clock
	Sink      invariant.Sink
	Log       hclog.Logger
	Directory Directory
	Limits    Limits
	// Parse parses a tables document. It defaults to tables.Parse. Committed tables that it returns
	// beside an error are put in force.
	Parse func(document []byte) (*tables.Document, error)
	// OnOccupancy, if set, receives the capacity that another VM's requests hold on upstreams.
	OnOccupancy func(vm string, o *fleetpb.Occupancy)
	// Parts, if set, exchanges with other VMs what is known of the requests and prompt parts on which upstreams
	// crash.
	Parts PartExchange
	// Lend, if set, grants another VM retries from this one's share of a pool's retry limit
	// and returns the number granted.
	Lend   func(pool string, retries int) int
	Source *rng.Source
	// Tunnels opens connections to upstreams for other VMs. It may be nil.
	Tunnels link.Tunnels
	// Initial is the first tables document of a new group, if any.
	Initial []byte
	// Drain is called when another VM asks this one to drain.
	Drain func()
	// Explain returns the record of a request in JSON, or nil if there is none.
	Explain func(requestID string) []byte
}

// Directory holds a VM's view of the upstreams and the tables in force.
type Directory interface {
	SetTables(doc *tables.Document)
	TakeDigests(digests []*fleetpb.Digest) (changed []*fleetpb.Digest)
	DigestsOf(homes []string) []*fleetpb.Digest
	// UpstreamsHash returns a hash of the live upstreams, and HomeHashes one for each home.
	UpstreamsHash() uint64
	HomeHashes() []*fleetpb.HomeHash
	HomeLost(vm string)
	HomeBack(vm string)
	// Deregister removes an upstream that reported its end.
	Deregister(id string)
}

// PartExchange holds what a VM knows of the requests and prompt parts on which upstreams crash.
type PartExchange interface {
	Merge(vm string, records []*fleetpb.PartRecord)
	// Receive takes what another VM sent, and returns what it is to be sent back, or nil.
	Receive(vm string, m *fleetpb.PartRecords) *fleetpb.PartRecords
	// All returns all records.
	All() []*fleetpb.PartRecord
	// TakeUnsent returns the records to be sent to a number of gossip targets, and messages to be sent to
	// single VMs. Next returns some records in turn.
	TakeUnsent(targets int) (all []*fleetpb.PartRecord, byVM map[string]*fleetpb.PartRecords)
	Next() []*fleetpb.PartRecord
	// Changed is signalled when TakeUnsent has records.
	Changed() <-chan struct{}
	Tick()
}

// Limits holds the rate limits of the organisations, for which the VMs exchange demand.
type Limits interface {
	Demands() map[string]float64
	SetOtherDemand(org string, others float64)
	SetVMs(n int)
}

// Plane is a VM's membership in the fleet.
type Plane struct {
	cfg       Config
	log       hclog.Logger
	transport *link.Transport                 // Nil on a lone VM.
	replica   atomic.Pointer[replica.Replica] // Nil without a disk, or while it fails.
	memory    journal.Disk                    // Of a lone VM without a data folder.
	client    *client.Client
	demand    *demandAggregator
	loads     loads

	mu     sync.Mutex // Guards gossip and the source of random numbers.
	gossip *gossip.Core
	// gossipQueued is signalled when gossip updates wait to be sent; capacity 1.
	gossipQueued chan struct{}

	current   atomic.Pointer[fleetpb.Revision]
	installMu sync.Mutex
	patches   patchCache
	catchupMu sync.Mutex
	catchup   *catchup.Core // Guarded by catchupMu.
	wake      chan struct{} // Signalled when a VM may have to be asked for the tables; capacity 1.
	founding  *founding.Founding
	// seeds are those of the settings, and storedSeeds those on disk. Guarded by mu.
	seeds, storedSeeds []string
	confirmed          atomic.Bool // The revision that the quorum named at the start is in force.
	// upstreamsSynced is set when the initial fetch of upstreams from other VMs has ended.
	upstreamsSynced atomic.Bool
	stampedAt       atomic.Int64  // clock.Time of the newest stamp.
	stampTerm       atomic.Uint64 // Term of the newest stamp.
	issuedAt        clock.Time    // When this VM last issued a stamp; used by gossipLoop only.
	issued          uint64        // Number of stamps that this VM issued; used by gossipLoop only.
	drainOnce       sync.Once
	draining        atomic.Bool
	// listening is set once messages of other VMs can be handled. The transport accepts them before.
	listening atomic.Bool
	tasks     sync.WaitGroup
	ctx       context.Context // Of the tasks.
	cancel    context.CancelFunc
	failed    chan error
}

// New creates a Plane. Start runs it.
func New(cfg Config) (*Plane, error) {
	p := &Plane{cfg: cfg, log: cfg.Log.Named("control"), memory: journal.Memory(), wake: make(chan struct{}, 1), gossipQueued: make(chan struct{}, 1), failed: make(chan error, 1)}
	p.demand = newDemandAggregator(cfg.Clock)
	p.catchup = catchup.New(rng.New(cfg.Source.Uint64()))
	p.loads = loads{collector: loadsum.New(cfg.Settings.DataCentre), avoidUntil: map[string]clock.Time{}}
	p.founding = founding.New(p.foundingConfig(), cfg.Clock.Now())
	if p.cfg.Parse == nil {
		p.cfg.Parse = tables.Parse
	}
	if err := p.openReplica(); err != nil {
		return nil, err
	}
	p.client = client.New(cfg.Settings.VM, cfg.Clock, p.replica.Load, fleet{p})
	return p, nil
}

// Start joins the fleet. Stop leaves it.
func (p *Plane) Start(ctx context.Context) error {
	p.ctx, p.cancel = context.WithCancel(ctx)
	ctx = p.ctx
	s := p.cfg.Settings
	address := ""
	if s.Listen.Fleet != "" {
		ring, err := loadRing(s)
		if err != nil {
			return err
		}
		if ring.VM() != s.VM {
			return fmt.Errorf("%w: %s", ErrWrongCertificate, ring.VM())
		}
		p.transport, err = link.Listen(ctx, s.Listen.Fleet, ring, p, p.cfg.Log, link.WithTunnels(p.cfg.Tunnels))
		if err != nil {
			return err
		}
		address = p.transport.Address()
	}
	p.startGossip(address)
	p.listening.Store(true)
	if p.replica.Load() != nil {
		p.task("replica", func() { p.runReplica(ctx) })
		p.task("group", func() { p.form(ctx) })
	}
	p.task("gossip", func() { p.gossipLoop(ctx) })
	if p.cfg.Parts != nil && p.transport != nil {
		p.task("parts", func() { p.partsLoop(ctx) })
	}
	p.task("first upstreams", func() { p.syncUpstreams(ctx) })
	p.task("tables", func() { p.fetchLoop(ctx) })
	p.task("confirmation of the tables", func() { p.confirmLoop(ctx) })
	if p.transport != nil {
		p.task("demand", func() { p.demandLoop(ctx) })
	}
	return nil
}

// loadRing loads the VM's keys according to its settings.
func loadRing(s settings.Settings) (*keys.Ring, error) {
	if s.Fleet.WithoutKeys {
		return keys.Unverified(s.VM)
	}
	return keys.Load(s.Fleet.Keys)
}

// Failed returns a channel that delivers the error of a disk that can no longer be trusted.
// The process must end then.
func (p *Plane) Failed() <-chan error { return p.failed }

// stateChanged is called in the replica's goroutine after commands were applied.
func (p *Plane) stateChanged(s *state.State) {
	if rev := s.Revision(); rev != nil {
		p.install(rev, p.cfg.Settings.VM)
	}
}

// Client returns the client of the leader.
func (p *Plane) Client() *client.Client { return p.client }

// FleetAddress returns the address at which other VMs reach this one, or "" on a lone VM.
func (p *Plane) FleetAddress() string {
	if p.transport == nil {
		return ""
	}
	return p.transport.Address()
}

// Current returns the revision in force, or nil.
func (p *Plane) Current() *fleetpb.Revision { return p.current.Load() }

// UpstreamsSynced reports whether the upstreams have been fetched from other VMs at the start,
// or the timeout for that has passed. It is always true on a lone VM.
func (p *Plane) UpstreamsSynced() bool { return p.transport == nil || p.upstreamsSynced.Load() }

// SendRaft implements replica.Sender.
func (p *Plane) SendRaft(vm string, m *fleetpb.RaftMessage) {
	if address, ok := p.address(vm); ok {
		p.transport.Send(address, &fleetpb.Envelope{Body: &fleetpb.Envelope_Raft{Raft: m}})
	}
}

// callVM sends a call to the named VM.
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

// Members returns all VMs of the membership view.
func (p *Plane) Members() []*fleetpb.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gossip.Members()
}

// LiveVMs returns the number of live VMs.
func (p *Plane) LiveVMs() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gossip == nil {
		return 1
	}
	return len(p.gossip.Live())
}

// Peers returns the number of other live VMs of this VM's data centre.
func (p *Plane) Peers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gossip == nil {
		return 0
	}
	n := 0
	for _, m := range p.gossip.Live() {
		if m.DataCentre == p.cfg.Settings.DataCentre && m.Vm != p.cfg.Settings.VM {
			n++
		}
	}
	return n
}

// ReplicaStatus returns the status of the VM's replica, if it has one.
func (p *Plane) ReplicaStatus() (replica.Status, bool) {
	r := p.replica.Load()
	if r == nil {
		return replica.Status{}, false
	}
	return r.Status(), true
}

// OrderLease returns the term and remaining lease of the VM's replica if it leads.
func (p *Plane) OrderLease() (term uint64, left clock.Duration) {
	r := p.replica.Load()
	if r == nil {
		return 0, 0
	}
	return r.OrderLease()
}

// LinkStats returns the traffic counters of the VM's links.
func (p *Plane) LinkStats() link.Stats {
	if p.transport == nil {
		return link.Stats{}
	}
	return p.transport.Stats()
}

// Stop announces that the VM leaves the fleet and ends all tasks.
func (p *Plane) Stop() {
	p.update(gossip.LeaveMsg{})
	if p.transport != nil {
		// Give the last messages time to be sent.
		time.Sleep(gossipFlushDelay)
	}
	p.cancel()
	if p.transport != nil {
		p.transport.Close()
	}
	p.tasks.Wait()
}

// task runs f in a goroutine that Stop waits for, and again if it panics.
func (p *Plane) task(name string, f func()) {
	p.tasks.Add(1)
	go func() {
		defer crash.Report(name)
		defer p.tasks.Done()
		crash.Restart(p.ctx, name, f)
	}()
}

// initialVoters returns the voters named in the settings, or this VM alone if there are none.
func (p *Plane) initialVoters() []string {
	if voters := p.cfg.Settings.Fleet.Voters; len(voters) > 0 {
		return voters
	}
	return []string{p.cfg.Settings.VM}
}
