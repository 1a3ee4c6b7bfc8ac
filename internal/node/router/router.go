// Package router puts the parts of a VM's process together that forwards requests as
// they are: the control plane, the catalog of upstreams, the forwarding chain and the
// placement of layers.
package router

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/control/journal"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/node/controlplane"
	"github.com/jasminecove/jasminecove/internal/node/decision"
	"github.com/jasminecove/jasminecove/internal/node/detector"
	"github.com/jasminecove/jasminecove/internal/node/placer"
	"github.com/jasminecove/jasminecove/internal/node/rejoin"
	"github.com/jasminecove/jasminecove/internal/node/settings"
	"github.com/jasminecove/jasminecove/internal/node/telemetry"
	"github.com/jasminecove/jasminecove/internal/request/forward"
	"github.com/jasminecove/jasminecove/internal/request/retryshare"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// Reasons for a VM to take no requests.
const (
	ErrDraining = fault.Sentinel("router: the VM is draining")
	ErrNoTables = fault.Sentinel("router: no tables are in force yet")
	// ErrIsolated reports a VM that reaches less than half of the VMs it knows.
	ErrIsolated = fault.Sentinel("router: the VM is cut off from the others")
)

// Spans and bounds of the VM's servers and tasks.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 64 << 10
	leaseTick         = 100 * time.Millisecond
	occupancyEvery    = 240 * time.Millisecond
	sweepEvery        = 1 * time.Second
)

// Config is what a Router is made of.
type Config struct {
	Settings settings.Settings
	// Callers, Readiness, Control and Metrics are the addresses that the VM serves;
	// an empty one is not served.
	Callers, Readiness, Control, Metrics string
	// ReadyPath answers the balancer.
	ReadyPath string
	// Dialect names the headers of callers and upstreams.
	Dialect forward.Dialect
	// Parse reads a tables document.
	Parse func(document []byte) (*tables.Document, error)
	// Upstreams asks upstreams and gives engines orders, through the pool of connections
	// that it is given.
	Upstreams func(pool *call.Pool) Upstreams
	// ControlHandler serves upstreams and operators.
	ControlHandler func(r *Router) http.Handler
	Retries        retryshare.Limits
	// MaxLease is how long an upstream may be silent.
	MaxLease clock.Duration
	Out      io.Writer
}

// Upstreams asks upstreams and gives engines orders.
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
	upstreams  Upstreams
	handler    *forward.Handler
	callers    *http.Server
	servers    []*http.Server
	started    uint64

	draining  atomic.Bool
	foundDead chan struct{} // Has an item when an upstream was found dead.
	vmCount   atomic.Int64
	mu        sync.Mutex
	ready     bool // Readiness as it was last told.
	tasks     sync.WaitGroup
	cancel    context.CancelFunc
}

// New prepares a VM's process.
func New(cfg Config) (*Router, error) {
	s := cfg.Settings
	r := &Router{cfg: cfg, clock: clock.NewSystem(), pool: call.NewPool(), foundDead: make(chan struct{}, 1)}
	r.started = uint64(r.clock.Now())
	r.log = decision.New(s.VM, hclog.LevelFromString(s.Telemetry.LogLevel), cfg.Out)
	var err error
	if r.tel, err = telemetry.New(s, io.Discard); err != nil {
		return nil, err
	}
	r.violations = invariant.NewCounter(func(v *invariant.Violation) {
		r.log.Logger().Error("invariant violated", "rule", v.Rule, "detail", v.Detail)
		r.tel.Metrics.Counter("invariant_violations_total").Inc(1)
	})
	src := rng.New(uint64(time.Now().UnixNano()))
	r.catalog = catalog.New(s.VM, r.clock, cfg.MaxLease, r.upstreamsChanged)
	r.plane, err = controlplane.New(controlplane.Config{
		Settings: s, Clock: r.clock, Sink: r.violations, Log: r.log.Logger(), Directory: r.catalog, Source: src,
		Parse: cfg.Parse, Occupied: r.catalog.MergeOccupancy,
		Lend:  func(pool string, repeats int) int { return r.handler.Lend(pool, repeats) },
		Drain: func() { r.log.Decision("drainAsked", s.VM) }, Explain: func(string) []byte { return nil },
	})
	if err != nil {
		return nil, err
	}
	r.catalog.SetVMCount(r.vms)
	r.upstreams = cfg.Upstreams(r.pool)
	detect := detector.New(detector.Config{Clock: r.clock, Catalog: r.catalog, Engines: r.upstreams, Prober: r.pool, Log: r.log, Go: r.task})
	r.handler = forward.New(forward.Config{
		Dialect: cfg.Dialect, DataCentre: s.DataCentre, Clock: r.clock, Source: rng.New(src.Uint64()), Catalog: r.catalog, Pool: r.pool,
		Retries: cfg.Retries, Lenders: r.plane, VMs: r.vms, Ready: r.known, Closing: r.draining.Load, OnStall: detect.Stalled, OnSuspect: detect.Verify,
		Repath: r.upstreams.Repath, Log: r.log, Metrics: r.tel.Metrics,
	})
	return r, nil
}

// Start listens and serves. Drain or Stop ends it.
func (r *Router) Start(ctx context.Context) error {
	ctx, r.cancel = context.WithCancel(ctx)
	if err := r.plane.Start(ctx); err != nil {
		return err
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+r.cfg.ReadyPath, r.serveReady)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", r.tel.Handler)
	for _, l := range []struct {
		address string
		handler http.Handler
	}{{r.cfg.Callers, r.handler}, {r.cfg.Readiness, ready}, {r.cfg.Control, r.cfg.ControlHandler(r)}, {r.cfg.Metrics, metrics}} {
		if l.address == "" {
			continue
		}
		err := r.listen(l.address, l.handler)
		if err != nil && l.address == r.cfg.Metrics {
			// Requests are served without metrics too.
			r.log.Decision("metricsNotServed", r.cfg.Settings.VM, "error", err.Error())
			continue
		}
		if err != nil {
			r.Stop()
			return err
		}
	}
	r.task(func() { delay.Every(ctx, leaseTick, r.catalog.Tick) })
	r.task(func() { delay.Every(ctx, sweepEvery, r.pool.Sweep) })
	r.task(func() { r.occupancyLoop(ctx) })
	c := &placer.Controller{Clock: r.clock, Lease: r.plane, Catalog: r.catalog, API: r.upstreams, Log: r.log}
	r.task(func() { c.Run(ctx) })
	if err := r.recall(ctx); err != nil {
		r.Stop()
		return err
	}
	r.log.Decision("started", r.cfg.Settings.VM, "dataCentre", r.cfg.Settings.DataCentre, "callers", r.cfg.Callers, "control", r.cfg.Control,
		"fleet", r.plane.FleetAddress(), "disk", r.cfg.Settings.DataFolder != "", "firstStart", r.cfg.Settings.Fleet.FirstStart)
	return nil
}

// recall lets a VM with a disk know the upstreams that it knew before its end.
func (r *Router) recall(ctx context.Context) error {
	if r.cfg.Settings.DataFolder == "" {
		return nil
	}
	disk, err := journal.Folder(r.cfg.Settings.DataFolder)
	if err != nil {
		return err
	}
	k := &rejoin.Keeper{Disk: disk, Catalog: r.catalog, API: r.upstreams, Log: r.log, Introduced: r.plane.Introduced}
	r.task(func() { k.Run(ctx) })
	return nil
}

func (r *Router) listen(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
		ErrorLog: r.log.Logger().Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	if address == r.cfg.Callers {
		r.callers = server
	}
	r.servers = append(r.servers, server)
	r.task(func() { _ = server.Serve(l) }) // Ends with ErrServerClosed.
	return nil
}

// task runs f until Stop waits for it.
func (r *Router) task(f func()) {
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		f()
	}()
}

// Ready returns why the VM should get no new connections, or nil.
func (r *Router) Ready() error {
	if r.draining.Load() {
		return ErrDraining
	}
	return r.known()
}

// known returns why the VM cannot judge requests, or nil.
func (r *Router) known() error {
	if err := r.plane.Ready(); err != nil {
		return err
	}
	if r.plane.Current() == nil {
		return ErrNoTables
	}
	return nil
}

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	err := r.Ready()
	r.mu.Lock()
	changed := r.ready != (err == nil)
	r.ready = err == nil
	r.mu.Unlock()
	if changed {
		text := ""
		if err != nil {
			text = err.Error()
		}
		r.log.Decision("readiness", r.cfg.Settings.VM, "ready", err == nil, "reason", text, "revision", r.plane.Current().GetNumber())
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// Announce takes an upstream's announcement. It fails on a VM that could not pass it
// on.
func (r *Router) Announce(a *upstreampb.Announcement) error {
	if err := r.isolated(); err != nil {
		return err
	}
	r.catalog.Announce(a)
	return nil
}

// End takes an upstream's own word that it ends.
func (r *Router) End(id string) error {
	if err := r.isolated(); err != nil {
		return err
	}
	r.catalog.Deregister(id)
	return nil
}

// Adopt puts tables in force under the operator's own number.
func (r *Router) Adopt(ctx context.Context, number uint64, document []byte) (uint64, error) {
	present, err := r.plane.Adopt(ctx, number, document, "operator")
	outcome := "committed"
	if err != nil {
		outcome = err.Error()
	}
	r.log.Decision("tablesOffered", fmt.Sprint(number), "bytes", len(document), "present", present, "outcome", outcome)
	return present, err
}

// Newest reads the newest committed tables document, or nothing before the first.
func (r *Router) Newest(ctx context.Context) ([]byte, error) {
	rev, err := r.plane.Newest(ctx)
	return rev.GetDocument(), err
}

// isolated reports whether the VM lost most of the others.
func (r *Router) isolated() error {
	live, lost := 0, 0
	for _, m := range r.plane.Members() {
		switch m.State {
		case fleetpb.Member_ALIVE:
			live++
		case fleetpb.Member_SUSPECT, fleetpb.Member_DEAD:
			lost++
		}
	}
	if lost > live {
		return ErrIsolated
	}
	return nil
}

// vms returns how many VMs share the retry limits. Lost ones may still be at work.
func (r *Router) vms() int { return max(1, int(r.vmCount.Load())) }

// countVMs counts the VMs that have not left.
func (r *Router) countVMs() {
	n := int64(0)
	for _, m := range r.plane.Members() {
		if m.State != fleetpb.Member_LEFT {
			n++
		}
	}
	r.vmCount.Store(n)
}

func (r *Router) upstreamsChanged(c catalog.Change) {
	for _, id := range c.Joined {
		u, ok := r.catalog.Upstream(id)
		if ok {
			r.log.Decision("upstreamJoined", id, "service", u.Name, "address", u.Address, "dataCentre", u.DataCentre, "kind", u.Accelerator,
				"layersFrom", u.LayerFrom, "layersTo", u.LayerTo, "home", u.Home, "startedMs", u.StartedMs)
		}
	}
	for _, id := range c.Leaving {
		r.log.Decision("upstreamLeaving", id)
	}
	for _, id := range c.Ended {
		r.log.Decision("upstreamEnded", id)
	}
	for _, id := range c.Dead {
		r.log.Decision("upstreamDead", id)
		select {
		case r.foundDead <- struct{}{}:
		default:
		}
	}
	if len(c.Digests) > 0 {
		r.plane.TellDigests(c.Digests)
	}
}

// occupancyLoop tells other VMs regularly what this one's requests hold, and at once
// when an upstream was found dead, because running requests wait for that.
func (r *Router) occupancyLoop(ctx context.Context) {
	ticker := time.NewTicker(occupancyEvery)
	defer ticker.Stop()
	for sequence := uint64(1); ; sequence++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.foundDead:
		}
		r.countVMs()
		r.shareOccupancy(sequence)
	}
}

// shareOccupancy tells other VMs what this one's requests hold.
func (r *Router) shareOccupancy(sequence uint64) {
	o := r.catalog.Occupancy()
	o.Sequence, o.Boot = sequence, r.started
	r.plane.ShareOccupancy(o)
}

// Foreign counts an announcement that names no upstream to use.
func (r *Router) Foreign(id string, err error) {
	r.tel.Metrics.Counter("foreign_announcements_total").Inc(1)
	r.log.Decision("foreignAnnouncement", id, "error", err.Error())
}

// Reloaded takes settings that were read again. Addresses and the data folder stay;
// new seeds are taken. A file that cannot be read changes nothing.
func (r *Router) Reloaded(next Config, err error) {
	if err != nil {
		r.log.Decision("reloadFailed", r.cfg.Settings.VM, "error", err.Error())
		return
	}
	r.plane.SetSeeds(next.Settings.Fleet.Seeds)
	r.log.Decision("reloaded", r.cfg.Settings.VM, "seeds", next.Settings.Fleet.Seeds)
}
