// Package assembly puts the parts of a VM's process together and runs them.
package assembly

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
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/node/accounts"
	"github.com/jasminecove/jasminecove/internal/node/front"
	"github.com/jasminecove/jasminecove/internal/node/settings"
	"github.com/jasminecove/jasminecove/internal/node/telemetry"
	"github.com/jasminecove/jasminecove/internal/pipeline/driver"
	"github.com/jasminecove/jasminecove/internal/request/filter"
	"github.com/jasminecove/jasminecove/internal/routing/directory"
	"github.com/jasminecove/jasminecove/internal/upstream/engineapi"
	"github.com/jasminecove/jasminecove/internal/upstream/stagelink"
)

// Reasons for a VM not to be ready.
const (
	ErrDraining = fault.Sentinel("assembly: the VM is draining")
	ErrNoTables = fault.Sentinel("assembly: no tables are in force yet")
)

// Spans of the VM's own tasks.
const (
	tickEvery         = 50 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 32 << 10
	idleTimeout       = 2 * time.Minute
)

// Node is the process of one VM.
type Node struct {
	settings   settings.Settings
	clock      clock.Clock
	tel        *telemetry.Telemetry
	log        hclog.Logger
	violations *invariant.Counter

	dir       *directory.Directory
	links     *stagelink.Set
	limits    *filter.Limits
	admission *filter.Admission
	accounts  *accounts.Store
	front     *front.Front

	servers   []*http.Server
	listeners []net.Listener
	draining  atomic.Bool
	tasks     sync.WaitGroup
	cancel    context.CancelFunc
}

// New prepares a VM's process. Logs go to out.
func New(s settings.Settings, out io.Writer) (*Node, error) {
	tel, err := telemetry.New(s, out)
	if err != nil {
		return nil, err
	}
	n := &Node{settings: s, clock: clock.NewSystem(), tel: tel, log: tel.Log.Named("node"), accounts: accounts.New()}
	n.violations = invariant.NewCounter(func(v *invariant.Violation) {
		n.log.Error("invariant violated", "rule", v.Rule, "detail", v.Detail)
		tel.Metrics.Counter("invariant_violations").Inc(1)
	})
	n.dir = directory.New(s.VM, n.clock, rng.New(uint64(time.Now().UnixNano())), n.onChange)
	return n, nil
}

// SetTables puts a document in force on this VM.
func (n *Node) SetTables(doc *tables.Document) { n.dir.SetTables(doc) }

// Start listens and serves. Stop or Drain ends it.
func (n *Node) Start(ctx context.Context) error {
	ctx, n.cancel = context.WithCancel(ctx)
	n.links = stagelink.NewSet(ctx, n.dir.SetDown)
	n.buildFront()
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{n.settings.Listen.Callers, n.front.Handler()},
		{n.settings.Listen.Upstreams, n.upstreamsHandler()},
	} {
		if err := n.listen(l.address, l.handler); err != nil {
			n.Stop()
			return err
		}
	}
	n.task(func() { n.admission.Run(ctx) })
	n.task(func() { n.tick(ctx) })
	n.log.Info("serving", "callers", n.CallersAddress(), "upstreams", n.UpstreamsAddress())
	return nil
}

// buildFront assembles the filter chain.
func (n *Node) buildFront() {
	orgs := n.settings.FilterOrganisations()
	n.limits = filter.NewLimits(n.clock, orgs)
	n.admission = filter.NewAdmission(n.clock, filter.Targets{
		BetweenTokens: n.settings.Callers.BetweenTokens, ServiceCall: n.settings.Callers.ServiceCall,
	})
	pipelines := driver.New(n.dir, n.links, engineapi.New(), n.violations, n.driverHooks())
	n.front = front.New(n.tel, n.dir, n.accounts, n.settings.Callers.MaxBodyBytes, n.Ready,
		filter.NewIdentity(orgs, n.settings.AnonymousOrganisation(), n.settings.Callers.Deadline),
		filter.NewRoute(n.dir),
		n.limits,
		n.admission,
		filter.NewForward(pipelines, filter.NewServices(n.dir, n.clock)),
	)
}

func (n *Node) listen(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
		ErrorLog: n.tel.Log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	n.servers = append(n.servers, server)
	n.listeners = append(n.listeners, l)
	n.task(func() { _ = server.Serve(l) })
	return nil
}

// task runs f until Stop waits for it.
func (n *Node) task(f func()) {
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		f()
	}()
}

// tick runs the VM's timed work.
func (n *Node) tick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
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

// onChange acts on changes among upstreams.
func (n *Node) onChange(c directory.Change) {
	for _, id := range c.Leaving {
		n.log.Info("upstream is leaving", "upstream", id)
		n.links.Leaving(id)
	}
	for _, id := range c.Ended {
		n.log.Info("upstream lease ended", "upstream", id)
		n.links.Drop(id)
	}
}

// Ready returns why the VM takes no requests, or nil.
func (n *Node) Ready() error {
	if n.draining.Load() {
		return ErrDraining
	}
	if len(n.dir.Tables().Routes) == 0 {
		return ErrNoTables
	}
	return nil
}

// CallersAddress returns the address that callers reach.
func (n *Node) CallersAddress() string { return n.listeners[0].Addr().String() }

// UpstreamsAddress returns the address that upstreams announce to.
func (n *Node) UpstreamsAddress() string { return n.listeners[1].Addr().String() }

// Violations returns the number of broken invariants.
func (n *Node) Violations() int64 { return n.violations.Count() }

// Stop ends the VM's process at once.
func (n *Node) Stop() {
	n.cancel()
	for _, s := range n.servers {
		_ = s.Close()
	}
	n.links.Close()
	n.tasks.Wait()
	n.tel.Close()
}

// Drain stops gracefully: the VM turns unready, keeps accepting until the
// balancer has noticed, finishes what is in flight, and stops. It returns the
// number of requests that were cut at the limit.
func (n *Node) Drain(ctx context.Context) int64 {
	n.draining.Store(true)
	n.log.Info("draining", "inFlight", n.front.InFlight())
	ctx, cancel := context.WithTimeout(ctx, n.settings.Drain.Limit.Std())
	defer cancel()
	wait(ctx, n.settings.Drain.Notice.Std())
	for n.front.InFlight() > 0 && ctx.Err() == nil {
		wait(ctx, tickEvery)
	}
	if ctx.Err() == nil {
		_ = n.servers[0].Shutdown(ctx)
	}
	cut := n.front.InFlight()
	n.log.Info("drained", "cut", cut)
	n.Stop()
	return cut
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
