// Package router assembles the process of a VM that forwards requests unchanged: the
// control plane, the catalog of upstreams, the forwarding chain and the placement of layers.
package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/control/journal"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/node/controlplane"
	"github.com/jasminecove/jasminecove/internal/node/decision"
	"github.com/jasminecove/jasminecove/internal/node/detector"
	"github.com/jasminecove/jasminecove/internal/node/listen"
	"github.com/jasminecove/jasminecove/internal/node/monitor"
	"github.com/jasminecove/jasminecove/internal/node/placer"
	"github.com/jasminecove/jasminecove/internal/node/rejoin"
	"github.com/jasminecove/jasminecove/internal/node/resources"
	"github.com/jasminecove/jasminecove/internal/node/settings"
	"github.com/jasminecove/jasminecove/internal/node/telemetry"
	"github.com/jasminecove/jasminecove/internal/node/uplink"
	"github.com/jasminecove/jasminecove/internal/request/demand"
	"github.com/jasminecove/jasminecove/internal/request/forward"
	"github.com/jasminecove/jasminecove/internal/request/inbound"
	"github.com/jasminecove/jasminecove/internal/request/quarantine"
	"github.com/jasminecove/jasminecove/internal/request/retryshare"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Reasons for a VM not to accept requests.
const (
	ErrDraining = fault.Sentinel("router: the VM is draining")
	ErrNoTables = fault.Sentinel("router: no tables are in force yet")
	// ErrIsolated reports a VM that reaches less than half of the VMs in its membership view, and not
	// the leader of the control state.
	ErrIsolated = fault.Sentinel("router: the VM is cut off from the others")
)

// Timeouts, intervals and limits of the VM's servers and tasks.
const (
	// maxHeaderBytes is the default for callers, and maxControlHeaderBytes the limit of all other clients.
	maxHeaderBytes        = 64 << 10
	maxControlHeaderBytes = 16 << 10
	leaseTickInterval     = 200 * time.Millisecond
	sweepInterval         = 1 * time.Second
	// aloneInterval is the interval at which a VM that reaches no other one reads its seeds again.
	aloneInterval = 1 * time.Second
)

// maxViewAge is the age of the view of the control state above which a VM may be cut off. The leader
// renews it about twice a second.
const maxViewAge = 2 * clock.Second

// Config configures a Router.
type Config struct {
	Settings settings.Settings
	// Callers, Readiness, Control and Metrics are the addresses that the VM listens on.
	// An empty address is not served.
	Callers, Readiness, Control, Metrics string
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath string
	// Dialect defines the header names used with callers and upstreams.
	Dialect forward.Dialect
	// Reload reads the settings again. It may be nil.
	Reload func() (Config, error)
	// Parse parses a tables document, like tables.Parse.
	Parse func(document []byte) (*tables.Document, error)
	// Dial opens connections to upstreams; nil stands for direct TCP connections.
	Dial call.Dial
	// Upstreams returns a client that queries upstreams and sends orders to engines through
	// a connection pool.
	Upstreams func(pool *call.Pool) Upstreams
	// ControlHandler returns the handler for upstreams and operators.
	ControlHandler func(r *Router) http.Handler
	Retries        retryshare.Limits
	// NoWaitQueue turns off the queues in which streams wait in order of rank.
	NoWaitQueue bool
	// MaxLease is the longest time that an upstream stays live without an announcement.
	MaxLease clock.Duration
	Out      io.Writer
}

// Upstreams queries upstreams and sends orders to engines.
type Upstreams interface {
	placer.API
	rejoin.API
}

// Router is the process of one VM.
type Router struct {
	cfg        Config
	clock      clock.Clock
	tel        *telemetry.Telemetry
	log        *decision.Log
	violations *invariant.Counter
	catalog    *catalog.Catalog
	plane      *controlplane.Plane
	pool       *call.Pool
	uplink     *uplink.Uplink
	upstreams  Upstreams
	handler    *forward.Handler
	quarantine *quarantine.Guard
	demand     *demand.Monitor // Nil if the part is turned off.
	resources  resources.Resources
	inbound    *inbound.Budget // Memory for callers' requests; nil if it is not limited.
	control    *inbound.Budget // Memory for calls to the control interface; nil if it is not limited.
	callers    *listen.Server  // Nil if the VM serves no callers.
	servers    []*listen.Server
	started    uint64
	reports    uint64 // Number of rounds of the occupancy loop, which alone uses it.

	draining      atomic.Bool
	reloadAgain   atomic.Bool   // The settings file may not have been written in full when it was read.
	reloadFailing atomic.Bool   // The settings file could not be used when it was last read.
	found         chan struct{} // Signalled when other VMs must be told of findings at once; capacity 1.
	vmCount       atomic.Int64
	mu            sync.Mutex
	ready         bool // Readiness in the last reply to the load balancer.
	tasks         sync.WaitGroup
	ctx           context.Context // Of the tasks.
	cancel        context.CancelFunc
}

// New creates a Router. Start runs it.
func New(cfg Config) (*Router, error) {
	s := cfg.Settings
	r := &Router{cfg: cfg, clock: clock.NewSystem(), found: make(chan struct{}, 1)}
	r.started = uint64(r.clock.Now())
	r.log = decision.New(s.VM, hclog.LevelFromString(s.Telemetry.LogLevel), cfg.Out)
	crash.SetOutput(s.VM, cfg.Out)
	var err error
	if r.tel, err = telemetry.New(s, io.Discard); err != nil {
		return nil, err
	}
	r.violations = invariant.NewCounter(func(v *invariant.Violation) {
		r.log.Logger().Error("invariant violated", "rule", v.Rule, "detail", v.Detail)
		r.tel.Metrics.Counter("invariant_violations_total").Inc(1)
	})
	r.openBudgets()
	src := rng.New(uint64(time.Now().UnixNano()))
	r.catalog = catalog.New(s.VM, r.clock, cfg.MaxLease, r.upstreamsChanged, catalog.WithDataCentre(s.DataCentre))
	r.quarantine = quarantine.NewGuard(r.clock, r.log, r.tel.Metrics)
	if !s.Shortage.Disabled {
		r.demand = demand.NewMonitor(r.clock, r.catalog.Running, r.log, r.tel.Metrics)
	}
	r.openUplink(src)
	r.plane, err = controlplane.New(controlplane.Config{
		Settings: s, Clock: r.clock, Sink: r.violations, Log: r.log.Logger(), Directory: r.catalog, Source: src, Tunnels: r.uplink,
		Parse: cfg.Parse, OnOccupancy: r.mergeOccupancy, Parts: r.quarantine,
		Lend:  func(pool string, retries int) int { return r.handler.Lend(pool, retries) },
		Drain: func() { r.log.Decision("drainAsked", s.VM) }, Explain: func(string) []byte { return nil },
	})
	if err != nil {
		return nil, err
	}
	r.catalog.SetVMCount(r.plane.LiveVMs)
	r.catalog.SetPeerCount(r.plane.Peers)
	r.upstreams = cfg.Upstreams(r.pool)
	detect := detector.New(detector.Config{Clock: r.clock, Catalog: r.catalog, Engines: r.upstreams, Prober: r.pool, Log: r.log, LinksLost: r.uplink.Lost, Go: func(task func()) { r.task("detector", task) }})
	forwarding := forward.Config{
		Dialect: cfg.Dialect, DataCentre: s.DataCentre, Clock: r.clock, Source: rng.New(src.Uint64()), Catalog: r.catalog, Pool: r.pool,
		Retries: cfg.Retries, Lenders: r.plane, VMs: r.vms, Ready: r.synced, StartWindow: startWindow(s), Tables: r.plane.TablesStatus, Closing: r.draining.Load, OnStall: detect.CheckStall, OnSuspect: detect.Verify,
		Repath: r.upstreams.Repath, Quarantine: r.quarantine, NoWaitQueue: cfg.NoWaitQueue, Inbound: r.inbound, Log: r.log, Metrics: r.tel.Metrics,
	}
	if r.demand != nil {
		forwarding.Demand = r.demand
	}
	r.handler = forward.New(forwarding)
	return r, nil
}

// startWindow returns for how long requests may wait for the start of the VM, see forward.Config.
func startWindow(s settings.Settings) clock.Duration {
	if s.Callers.WithoutStartWait {
		return 0
	}
	return forward.DefaultStartWindow
}

// Start opens the listeners and starts the background tasks. Drain or Stop ends them.
func (r *Router) Start(ctx context.Context) error {
	r.ctx, r.cancel = context.WithCancel(ctx)
	ctx = r.ctx
	if err := r.plane.Start(ctx); err != nil {
		return err
	}
	store, err := r.openUpstreamStore()
	if err != nil {
		r.Stop()
		return err
	}
	if store != nil {
		store.RestoreParts()
		store.RestoreVMs()
		r.task("upstream store", func() { store.Run(ctx) })
	}
	r.log.Decision("resources", r.cfg.Settings.VM, append(r.resources.LogFields(), "goMemoryLimit", r.resources.Apply(), "inboundBytes", r.inbound.Bytes())...)
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+r.cfg.ReadyPath, r.serveReady)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", r.tel.Handler)
	if profiles := telemetry.Profiles(r.cfg.Settings.Telemetry); profiles != nil {
		metrics.Handle("GET "+telemetry.ProfilesPath, profiles)
	}
	shares := listen.Divide(int(r.resources.Descriptors), r.resources.MemoryBytes)
	for _, l := range []struct {
		name, address string
		handler       http.Handler
		connections   int
	}{
		{callersListener, r.cfg.Callers, r.handler, shares.Callers}, {"readiness", r.cfg.Readiness, ready, shares.Readiness},
		{controlListener, r.cfg.Control, r.cfg.ControlHandler(r), shares.Control}, {"metrics", r.cfg.Metrics, metrics, shares.Metrics},
	} {
		if l.address == "" {
			continue
		}
		err := r.listen(l.name, l.address, l.handler, listen.WithMaxConnections(l.connections), listen.WithReceiveBuffer(shares.ReceiveBufferBytes))
		if err != nil && l.address == r.cfg.Metrics {
			// A failed metrics listener must not keep the VM from serving requests.
			r.log.Decision("metricsNotServed", r.cfg.Settings.VM, "error", err.Error())
			continue
		}
		if err != nil {
			r.Stop()
			return err
		}
	}
	r.task("lease timer", func() { delay.Every(ctx, leaseTickInterval, r.catalog.Tick) })
	r.task("connection sweep", func() { delay.Every(ctx, sweepInterval, r.pool.Sweep) })
	r.task("link probes", func() { r.uplink.Run(ctx) })
	if r.cfg.Reload != nil {
		r.task("seeds", func() { delay.Every(ctx, aloneInterval, r.reloadIfNeeded) })
	}
	r.task("panic count", func() {
		delay.Every(ctx, sweepInterval, func() { r.tel.Metrics.Gauge("contained_panics").Update(float64(crash.Contained())) })
	})
	r.task("occupancy", func() { r.occupancyLoop(ctx) })
	m := &monitor.Monitor{Catalog: r.catalog, Engines: r.upstreams, Log: r.log}
	r.task("engine monitor", func() { delay.Every(ctx, monitor.Interval, func() { m.Poll(ctx) }) })
	if r.cfg.Settings.DataFolder != "" { // Only a VM with a replica can lead.
		c := &placer.Controller{Clock: r.clock, Lease: r.plane, Catalog: r.catalog, API: r.upstreams, Log: r.log}
		r.task("placer", func() { c.Run(ctx) })
	}
	r.log.Decision("started", r.cfg.Settings.VM, "dataCentre", r.cfg.Settings.DataCentre, "callers", r.cfg.Callers, "control", r.cfg.Control,
		"fleet", r.plane.FleetAddress(), "disk", r.cfg.Settings.DataFolder != "", "firstStart", r.cfg.Settings.Fleet.FirstStart)
	return nil
}

// openUpstreamStore returns the store of upstreams and prompt parts on a VM with a data folder,
// or nil.
func (r *Router) openUpstreamStore() (*rejoin.Store, error) {
	if r.cfg.Settings.DataFolder == "" {
		return nil, nil
	}
	disk, err := journal.Folder(r.cfg.Settings.DataFolder)
	if err != nil {
		return nil, err
	}
	return &rejoin.Store{Disk: disk, Catalog: r.catalog, API: r.upstreams, Log: r.log, UpstreamsSynced: r.plane.UpstreamsSynced, Parts: r.quarantine, Fleet: r.plane}, nil
}

// task runs f in a goroutine that Stop waits for, and again if it panics.
func (r *Router) task(name string, f func()) {
	r.tasks.Add(1)
	go func() {
		defer crash.Report(name)
		defer r.tasks.Done()
		crash.Restart(r.ctx, name, f)
	}()
}

// Adopt commits tables under a revision number that the operator chose.
func (r *Router) Adopt(ctx context.Context, number uint64, document []byte) (uint64, error) {
	present, err := r.plane.Adopt(ctx, number, document, "operator")
	outcome := "committed"
	if err != nil {
		outcome = err.Error()
	}
	r.log.Decision("tablesOffered", fmt.Sprint(number), "bytes", len(document), "present", present, "outcome", outcome)
	return present, err
}

// LatestTables returns the newest committed tables document from the quorum, or nil before the
// first one.
func (r *Router) LatestTables(ctx context.Context) ([]byte, error) {
	rev, err := r.plane.LatestRevision(ctx)
	return rev.GetDocument(), err
}

// vms returns the number of VMs that share the retry limits. It includes unreachable VMs, which
// may still be serving requests.
func (r *Router) vms() int { return max(1, int(r.vmCount.Load())) }

// countVMs counts the VMs that have not left, and splits the rate limits of upstreams among them. Live
// VMs take turns at trials of quarantined parts.
func (r *Router) countVMs() {
	var vms, live []string
	for _, m := range r.plane.Members() {
		if m.State != fleetpb.Member_LEFT {
			vms = append(vms, m.Vm)
		}
		if m.State == fleetpb.Member_ALIVE {
			live = append(live, m.Vm)
		}
	}
	r.vmCount.Store(int64(len(vms)))
	slices.Sort(vms)
	r.catalog.SetVMs(vms)
	slices.Sort(live)
	r.quarantine.SetVMs(r.cfg.Settings.VM, live)
}
