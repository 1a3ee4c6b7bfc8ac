package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/standin/engine"
	"github.com/jasminecove/jasminecove/internal/standin/load"
	"github.com/jasminecove/jasminecove/internal/standin/local"
	"github.com/jasminecove/jasminecove/internal/standin/service"
)

// Sizes and time limits of the demo.
const (
	demoVMs          = 3
	demoLayers       = 12 // Layers of the model.
	demoWarmup       = 2 * time.Second
	demoLoadShare    = 0.6 // Offered load as a share of the throughput bound.
	demoTokens       = 60  // Mean tokens of an answer.
	demoStartTimeout = 30 * time.Second
)

const demoTables = `routes:
  - name: chat
    match: {model: crew}
    pool: crew
  - name: bookings
    match: {pathPrefix: /bookings, methods: [POST]}
    pool: dispatch
    calls: nonIdempotent
    deadline: 10s
pools:
  - name: crew
    model: crew
    layers: 12
  - name: dispatch
    service: dispatch
`

// demoEngine is one stand-in engine of the demo.
type demoEngine struct {
	id          string
	from, to    uint32  // Layers from (inclusive) to (exclusive).
	speed       float64 // Positions computed per second.
	linkDelayMs int64   // One-way.
}

// demoEngines differ in speed and link delay. Each range of layers has at least two engines, so that
// answers survive the loss of one.
var demoEngines = []demoEngine{
	{"fast-a", 0, 4, 1600, 0}, {"slow-a", 0, 4, 400, 5},
	{"fast-b", 4, 8, 1200, 0}, {"mid-b", 4, 8, 800, 2}, {"slow-b", 4, 8, 300, 10},
	{"fast-c", 8, 12, 1500, 0}, {"slow-c", 8, 12, 500, 1},
}

// demoKilledEngine is the engine that the demo stops while it works on answers.
const demoKilledEngine = "mid-b"

func demoCommand(streams Streams) *ffcli.Command {
	fs := flag.NewFlagSet("demo", flag.ContinueOnError)
	keep := fs.Bool("keep", false, "keep the fleet running after the load")
	duration := fs.Duration("span", 8*time.Second, "duration of the load")
	seed := fs.Uint64("seed", 1, "seed of the load")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "jasminecove demo [-keep]",
		ShortHelp:  "run a small fleet in one process and stop an engine while it works on answers",
		LongHelp: `Exits with 0 only if no answer was wrong or incomplete, no booking was lost or ran
twice, and no invariant was violated.

Example:
  go run ./cmd/jasminecove demo -keep`,
		FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			d := &demo{out: streams.Out, duration: *duration, seed: *seed, ledger: service.NewLedger()}
			defer d.stop()
			return d.run(ctx, *keep)
		},
	}
}

// demo is one run of the demo.
type demo struct {
	out      io.Writer
	duration time.Duration // Of the load.
	seed     uint64
	folder   string
	fleet    *local.Fleet
	engines  map[string]*engine.Engine
	service  *service.Service
	ledger   *service.Ledger
}

func (d *demo) run(ctx context.Context, keep bool) error {
	if err := d.start(ctx); err != nil {
		return err
	}
	bound := d.fleet.Nodes[0].Status().Pools[0].Bound
	d.logf("3 VMs in 3 data centres are ready, %d engines hold %d layers, bound %.0f tokens/s", len(demoEngines), demoLayers, bound)
	bookings := make(chan bookingCounts, 1)
	go func() { bookings <- d.sendBookings(ctx) }()
	report := make(chan load.Report, 1)
	go func() { report <- d.sendCompletions(ctx, bound) }()
	_ = delay.Wait(ctx, d.duration/2)
	d.logf("stopping engine %s in the middle of answers", demoKilledEngine)
	d.engines[demoKilledEngine].Kill()
	ok := d.summarize(<-report, <-bookings, bound)
	if keep {
		d.keepRunning(ctx)
	}
	if !ok {
		return withExitCode(ExitFailed, fmt.Errorf("checks of answers, bookings or invariants failed; see the summary above"))
	}
	return nil
}

// start starts the fleet, the engines and the service, and waits until every VM has registered them.
func (d *demo) start(ctx context.Context) error {
	var err error
	if d.folder, err = os.MkdirTemp("", "jasminecove-demo-"); err != nil {
		return fmt.Errorf("create demo folder: %w", err)
	}
	d.fleet, err = local.New(local.Config{
		Folder: d.folder, VMs: demoVMs, Voters: demoVMs, DataCentres: demoVMs, Tables: []byte(demoTables), Logs: io.Discard,
	})
	if err != nil {
		return err
	}
	if err := d.fleet.StartAll(ctx, demoStartTimeout); err != nil {
		return err
	}
	d.engines = map[string]*engine.Engine{}
	for i, spec := range demoEngines {
		e := engine.New(spec.id, engine.WithModel("crew", "1", demoLayers), engine.WithLayers(spec.from, spec.to),
			engine.WithSpeed(spec.speed), engine.WithLink(linkDelay(spec.linkDelayMs), 0), engine.WithAnnounceTo(d.fleet.AnnounceURLs(i)...))
		if err := e.Start(ctx, "127.0.0.1:0"); err != nil {
			return err
		}
		d.engines[spec.id] = e
	}
	d.service = service.New("desk", "dispatch", d.ledger)
	if err := d.service.Start(ctx, "127.0.0.1:0", d.fleet.AnnounceURLs(0)); err != nil {
		return err
	}
	return d.awaitUpstreams(ctx)
}

// awaitUpstreams waits until every VM has registered every upstream.
func (d *demo) awaitUpstreams(ctx context.Context) error {
	for deadline := time.Now().Add(demoStartTimeout); time.Now().Before(deadline) && ctx.Err() == nil; {
		complete := true
		for _, n := range d.fleet.Running() {
			pools := n.Status().Pools
			complete = complete && len(pools[0].Upstreams) == len(demoEngines) && len(pools[1].Upstreams) == 1
		}
		if complete {
			return nil
		}
		_ = delay.Wait(ctx, 10*time.Millisecond)
	}
	return withExitCode(ExitUnavailable, fmt.Errorf("not every VM registered all upstreams within %s", demoStartTimeout))
}

// sendCompletions sends completion requests to all VMs.
func (d *demo) sendCompletions(ctx context.Context, bound float64) load.Report {
	return load.Run(ctx, load.Config{
		Targets: d.targets(), Model: "crew", Layers: demoLayers, RequestsPerSecond: bound * demoLoadShare / demoTokens, Arrivals: "poisson",
		Duration: d.duration, Warmup: demoWarmup, PromptWords: 20, OutputTokens: demoTokens, Seed: d.seed,
	})
}

// targets returns the base addresses at which the VMs serve callers.
func (d *demo) targets() []string {
	var out []string
	for _, n := range d.fleet.Running() {
		out = append(out, "http://"+n.CallersAddress())
	}
	return out
}

// keepRunning prints commands to try and waits for a signal.
func (d *demo) keepRunning(ctx context.Context) {
	base := d.targets()[0]
	n := d.fleet.Running()[0]
	fmt.Fprintf(d.out, `
The fleet runs on until Ctrl-C. Try
  curl -N %s/v1/chat/completions -d '{"model":"crew","stream":true,"messages":[{"role":"user","content":"hello"}]}'
  curl -i %s/bookings -H 'Idempotency-Key: 1' -d 'pump out site 7'
  go run ./cmd/jasminecove status -server https://%s -authority %s/keys/authority.pem
`, base, base, n.OperatorsAddress(), d.folder)
	<-ctx.Done()
}

func (d *demo) stop() {
	if d.service != nil {
		d.service.Kill()
	}
	for id, e := range d.engines {
		if id != demoKilledEngine {
			e.Kill()
		}
	}
	if d.fleet != nil {
		d.fleet.Stop()
	}
	if d.folder != "" {
		_ = os.RemoveAll(d.folder)
	}
}

func (d *demo) logf(format string, args ...any) {
	fmt.Fprintf(d.out, "%s  %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// separator is printed above and below the summary.
var separator = strings.Repeat("-", 64)
