// Package assembly creates the parts of a VM's process and runs them.
package assembly

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
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
	"github.com/jasminecove/jasminecove/internal/fleet/keys"
	"github.com/jasminecove/jasminecove/internal/node/accounts"
	"github.com/jasminecove/jasminecove/internal/node/admin"
	"github.com/jasminecove/jasminecove/internal/node/controlplane"
	"github.com/jasminecove/jasminecove/internal/node/front"
	"github.com/jasminecove/jasminecove/internal/node/listen"
	"github.com/jasminecove/jasminecove/internal/node/orders"
	"github.com/jasminecove/jasminecove/internal/node/recovery"
	"github.com/jasminecove/jasminecove/internal/node/resources"
	"github.com/jasminecove/jasminecove/internal/node/settings"
	"github.com/jasminecove/jasminecove/internal/node/telemetry"
	"github.com/jasminecove/jasminecove/internal/pipeline/driver"
	"github.com/jasminecove/jasminecove/internal/request/filter"
	"github.com/jasminecove/jasminecove/internal/request/inbound"
	"github.com/jasminecove/jasminecove/internal/request/quarantine"
	"github.com/jasminecove/jasminecove/internal/routing/directory"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
	"github.com/jasminecove/jasminecove/internal/upstream/engineapi"
	"github.com/jasminecove/jasminecove/internal/upstream/stagelink"
)

// Reasons for a VM not to be ready.
const (
	ErrDraining = fault.Sentinel("assembly: the VM is draining")
	ErrNoTables = fault.Sentinel("assembly: no tables are in force yet")
)

// Intervals, timeouts and limits of the VM's servers and tasks.
const (
	tickInterval   = 50 * time.Millisecond
	sweepInterval  = 1 * time.Second
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 32 << 10
	idleTimeout    = 2 * time.Minute
)

// Node is the process of one VM.
type Node struct {
	settings   settings.Settings
	clock      clock.Clock
	tel        *telemetry.Telemetry
	log        hclog.Logger
	violations *invariant.Counter
	initial    []byte

	dir        *directory.Directory
	links      *stagelink.Set
	calls      *call.Pool
	limits     *filter.Limits
	admission  *filter.Admission
	plane      *controlplane.Plane
	accounts   *accounts.Store
	front      *front.Server
	recoveries *recovery.Recorder
	quarantine *quarantine.Guard
	resources  resources.Resources
	inbound    *inbound.Budget // Memory for callers' requests; nil if it is not limited.
	control    *inbound.Budget // Memory for calls of upstreams and operators; nil if it is not limited.

	servers  []*listen.Server
	draining atomic.Bool
	drain    chan struct{} // Closed when a drain is requested.
	tasks    sync.WaitGroup
	ctx      context.Context // Of the tasks.
	cancel   context.CancelFunc
}

// Option configures a Node.
type Option func(*Node)

// WithInitialTables sets the first tables of a new fleet, as a YAML document.
func WithInitialTables(document []byte) Option {
	return func(n *Node) { n.initial = document }
}

// New creates a Node that writes logs to out. Start runs it.
func New(s settings.Settings, out io.Writer, opts ...Option) (*Node, error) {
	tel, err := telemetry.New(s, out)
	if err != nil {
		return nil, err
	}
	crash.SetOutput(s.VM, out)
	n := &Node{
		settings: s, clock: clock.NewSystem(), tel: tel, log: tel.Log.Named("node"),
		accounts: accounts.New(), recoveries: recovery.New(), calls: call.NewPool(), drain: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(n)
	}
	n.violations = invariant.NewCounter(func(v *invariant.Violation) {
		n.log.Error("invariant violated", "rule", v.Rule, "detail", v.Detail)
		tel.Metrics.Counter("invariant_violations").Inc(1)
	})
	n.openBudgets()
	src := rng.New(uint64(time.Now().UnixNano()))
	n.dir = directory.New(s.VM, n.clock, rng.New(src.Uint64()), n.onChange)
	n.limits = filter.NewLimits(n.clock, s.FilterOrganisations())
	n.quarantine = quarantine.NewGuard(n.clock, decisionLog{tel.Log.Named("quarantine")}, tel.Metrics)
	n.plane, err = controlplane.New(controlplane.Config{
		Settings: s, Clock: n.clock, Sink: n.violations, Log: tel.Log, Directory: n.dir, Limits: n.limits, Parts: n.quarantine, OnOccupancy: n.mergeSelfReports,
		Source: src, Initial: n.initial, Drain: func() { close(n.drain) }, Explain: n.explain,
	})
	return n, err
}

// Start opens the listeners and starts the background tasks. Stop or Drain ends them.
func (n *Node) Start(ctx context.Context) error {
	n.ctx, n.cancel = context.WithCancel(ctx)
	ctx = n.ctx
	n.links = stagelink.NewSet(ctx, n.setLinkDown)
	if err := n.plane.Start(ctx); err != nil {
		return err
	}
	n.buildFront()
	if err := n.listenAll(); err != nil {
		n.Stop()
		return err
	}
	n.task("admission", func() { n.admission.Run(ctx) })
	n.task("lease timer", func() { n.tick(ctx) })
	n.task("connection sweep", func() { delay.Every(ctx, sweepInterval, n.calls.Sweep) })
	n.task("limits", func() { delay.Every(ctx, selfReportInterval, n.shareSelfReports) })
	n.task("orders", func() { n.ordersController().Run(ctx) })
	n.log.Info("resources", append(n.resources.LogFields(), "goMemoryLimit", n.resources.Apply(), "inboundBytes", n.inbound.Bytes())...)
	n.log.Info("serving", "callers", n.CallersAddress(), "upstreams", n.UpstreamsAddress(), "operators", n.OperatorsAddress(), "fleet", n.plane.FleetAddress())
	return nil
}

// buildFront creates the filter chain and the server of the callers' interface.
func (n *Node) buildFront() {
	orgs := n.settings.FilterOrganisations()
	n.admission = filter.NewAdmission(n.clock, filter.LatencyTargets{
		BetweenTokens: n.settings.Callers.BetweenTokens, ServiceCall: n.settings.Callers.ServiceCall,
	})
	services := filter.NewServices(n.dir, n.clock, n.quarantine, n.calls)
	services.OnRateLimit = n.logRateLimit
	pipelines := driver.New(n.dir, n.links, engineapi.New(n.calls), n.violations, n.driverHooks())
	n.front = front.New(n.tel, n.dir, n.accounts, n.settings.Callers.MaxBodyBytes, n.inbound, n.Ready,
		filter.NewIdentity(orgs, n.settings.AnonymousOrganisation(), n.settings.Callers.Deadline),
		filter.NewRoute(n.dir, n.plane.TablesStatus),
		filter.NewQuarantine(n.quarantine),
		n.limits,
		n.admission,
		filter.NewClaim(n.plane.Client(), n.clock),
		filter.NewForward(pipelines, services, n.admission, n.quarantine),
	)
}

func (n *Node) listenAll() error {
	operators, err := n.operatorsServer()
	if err != nil {
		return err
	}
	secure, err := n.operatorsTLS()
	if err != nil {
		return err
	}
	shares := listen.Divide(int(n.resources.Descriptors), n.resources.MemoryBytes)
	if err := n.listen("callers", n.settings.Listen.Callers, n.front.Handler(), shares, shares.Callers, listen.WithBudget(n.inbound)); err != nil {
		return err
	}
	if err := n.listen("upstreams", n.settings.Listen.Upstreams, n.upstreamsHandler(), shares, shares.Control, listen.WithBudget(n.control)); err != nil {
		return err
	}
	return n.listen("operators", n.settings.Listen.Operators, operators.Handler(), shares, shares.Operators, listen.WithTLS(secure), listen.WithBudget(n.control))
}

// operatorsServer creates the operators' interface with the token from the settings.
func (n *Node) operatorsServer() (*admin.Server, error) {
	s := &admin.Server{Plane: n.plane, Accounts: n.accounts, Status: n.Status, Ready: n.Ready, Metrics: n.tel.Handler, Budget: n.control, Profiles: telemetry.Profiles(n.settings.Telemetry)}
	if file := n.settings.Operators.TokenFile; file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("read operators' token: %w", err)
		}
		s.Token = strings.TrimSpace(string(data))
	}
	return s, nil
}

// operatorsTLS returns the TLS configuration of the operators' interface, or nil on a lone
// VM without keys.
func (n *Node) operatorsTLS() (*tls.Config, error) {
	if n.settings.Fleet.Keys == "" {
		return nil, nil
	}
	ring, err := keys.Load(n.settings.Fleet.Keys)
	if err != nil {
		return nil, err
	}
	return ring.OperatorServer(), nil
}

func (n *Node) listen(name, address string, handler http.Handler, shares listen.Shares, connections int, opts ...listen.Option) error {
	limits := func() listen.Limits {
		return listen.Limits{MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	}
	log := n.tel.Log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
	opts = append(opts, listen.WithMaxConnections(connections), listen.WithReceiveBuffer(shares.ReceiveBufferBytes), listen.WithLimits(limits),
		listen.WithLog(n.tel.Log.Named("listen")), listen.WithErrorLog(log), listen.WithMetrics(n.tel.Metrics))
	server, err := listen.Open(address, name, crash.Handler("listener of "+address, handler), opts...)
	if err != nil {
		return err
	}
	n.servers = append(n.servers, server)
	n.task("listener of "+address, func() { _ = server.Serve() })
	return nil
}

// task runs f in a goroutine that Stop waits for, and again if it panics.
func (n *Node) task(name string, f func()) {
	n.tasks.Add(1)
	go func() {
		defer crash.Report(name)
		defer n.tasks.Done()
		crash.Restart(n.ctx, name, f)
	}()
}

// tick drives the timers of the upstream directory.
func (n *Node) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.dir.Tick()
		}
	}
}

// ordersController returns the controller that sends orders to engines while this VM's replica
// leads.
func (n *Node) ordersController() *orders.Controller {
	return &orders.Controller{
		VM: n.settings.VM, Clock: n.clock, Lease: n.plane, Control: n.plane.Client(), Upstreams: n.dir,
		API: engineapi.New(n.calls), Sink: n.violations, Log: n.tel.Log.Named("orders"),
	}
}

// onChange handles changes of the upstreams.
func (n *Node) onChange(c directory.Change) {
	for _, id := range c.Leaving {
		n.log.Info("upstream is leaving", "upstream", id)
		n.links.NotifyLeaving(id)
	}
	for _, id := range c.Moved {
		n.log.Info("upstream restarted at another address", "upstream", id)
		n.links.Drop(id)
	}
	for _, id := range c.Ended {
		n.log.Info("upstream lease expired", "upstream", id)
		n.links.Drop(id)
	}
	n.plane.UpstreamsChanged(c)
}

// setLinkDown records whether the link to an engine is down.
func (n *Node) setLinkDown(engine string, down bool) {
	n.dir.SetLinkDown(engine, down)
	if down {
		n.quarantine.UpstreamEnded(engine)
	}
}

// decisionLog writes decisions to a logger.
type decisionLog struct{ log hclog.Logger }

// Decision implements quarantine.Log.
func (l decisionLog) Decision(kind, id string, inputs ...any) {
	l.log.Info(kind, append([]any{"id", id}, inputs...)...)
}

// explain returns the record of a request in JSON, or nil if there is none.
func (n *Node) explain(id string) []byte {
	a, ok := n.accounts.Get(id)
	if !ok {
		return nil
	}
	data, err := json.Marshal(a)
	if err != nil {
		return nil
	}
	return data
}

// Ready returns nil if the VM accepts requests, or the reason why not.
func (n *Node) Ready() error {
	if n.draining.Load() {
		return ErrDraining
	}
	if err := n.plane.Ready(); err != nil {
		return err
	}
	if len(n.dir.Tables().Routes) == 0 {
		return ErrNoTables
	}
	return nil
}

// CallersAddress returns the address that serves callers.
func (n *Node) CallersAddress() string { return n.servers[0].Addr().String() }

// UpstreamsAddress returns the address that upstreams announce to.
func (n *Node) UpstreamsAddress() string { return n.servers[1].Addr().String() }

// OperatorsAddress returns the address that serves operators.
func (n *Node) OperatorsAddress() string { return n.servers[2].Addr().String() }

// Violations returns the number of invariant violations.
func (n *Node) Violations() int64 { return n.violations.Count() }

// DrainRequested returns a channel that is closed when an operator asked for a drain through
// another VM.
func (n *Node) DrainRequested() <-chan struct{} { return n.drain }

// Failed returns a channel that delivers the error of a disk that can no longer be trusted.
func (n *Node) Failed() <-chan error { return n.plane.Failed() }
