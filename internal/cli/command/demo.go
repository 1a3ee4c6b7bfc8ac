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

// Sizes of the demo.
const (
	demoVMs       = 3
	demoLayers    = 12
	demoWarmup    = 2 * time.Second
	demoLoadShare = 0.6
	demoTokens    = 60
	demoBound     = 30 * time.Second
)

// demoTables are the tables of the demo.
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
	id       string
	from, to uint32
	speed    float64
	link     int64 // One-way delay in ms.
}

// demoEngines are mixed accelerators on unequal links, with a spare for each
// range.
var demoEngines = []demoEngine{
	{"fast-a", 0, 4, 1600, 0}, {"slow-a", 0, 4, 400, 5},
	{"fast-b", 4, 8, 1200, 0}, {"mid-b", 4, 8, 800, 2}, {"slow-b", 4, 8, 300, 10},
	{"fast-c", 8, 12, 1500, 0}, {"slow-c", 8, 12, 500, 1},
}

// demoVictim is the engine that the demo stops in the middle of answers.
const demoVictim = "mid-b"

func demoCommand(streams Streams) *ffcli.Command {
	fs := flag.NewFlagSet("demo", flag.ContinueOnError)
	keep := fs.Bool("keep", false, "leave the fleet running afterwards")
	span := fs.Duration("span", 8*time.Second, "length of the load")
	seed := fs.Uint64("seed", 1, "seed of the load")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "jasminecove demo [-keep]",
		ShortHelp:  "run a whole small fleet in one process and stop a stage in the middle of answers",
		LongHelp: `Exits 0 only when every answer was whole and every booking ran once.

Example:
  go run ./cmd/jasminecove demo -keep`,
		FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			d := &demo{out: streams.Out, span: *span, seed: *seed, ledger: service.NewLedger()}
			defer d.stop()
			return d.run(ctx, *keep)
		},
	}
}

// demo is one run.
type demo struct {
	out     io.Writer
	span    time.Duration
	seed    uint64
	folder  string
	fleet   *local.Fleet
	engines map[string]*engine.Engine
	service *service.Service
	ledger  *service.Ledger
}

func (d *demo) run(ctx context.Context, keep bool) error {
	if err := d.start(ctx); err != nil {
		return err
	}
	bound := d.fleet.Nodes[0].Status().Pools[0].Bound
	d.say("3 VMs in 3 data centres are ready, %d engines hold %d layers, bound %.0f tokens/s", len(demoEngines), demoLayers, bound)
	books := make(chan bookings, 1)
	go func() { books <- d.book(ctx) }()
	report := make(chan load.Report, 1)
	go func() { report <- d.load(ctx, bound) }()
	_ = delay.Wait(ctx, d.span/2)
	d.say("stopping engine %s in the middle of answers", demoVictim)
	d.engines[demoVictim].Kill()
	ok := d.summarize(<-report, <-books, bound)
	if keep {
		d.keep(ctx)
	}
	if !ok {
		return exit(ExitFailed, fmt.Errorf("a promise did not hold, see above"))
	}
	return nil
}

// start runs the fleet, the engines and the service.
func (d *demo) start(ctx context.Context) error {
	var err error
	if d.folder, err = os.MkdirTemp("", "jasminecove-demo-"); err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	d.fleet, err = local.New(local.Config{
		Folder: d.folder, VMs: demoVMs, Voters: demoVMs, DataCentres: demoVMs, Tables: []byte(demoTables), Logs: io.Discard,
	})
	if err != nil {
		return err
	}
	if err := d.fleet.StartAll(ctx, demoBound); err != nil {
		return err
	}
	d.engines = map[string]*engine.Engine{}
	for i, spec := range demoEngines {
		e := engine.New(spec.id, engine.WithModel("crew", "1", demoLayers), engine.WithLayers(spec.from, spec.to),
			engine.WithSpeed(spec.speed), engine.WithLink(linkDelay(spec.link), 0), engine.WithAnnounceTo(d.fleet.AnnounceURLs(i)...))
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

// awaitUpstreams waits until every VM knows every upstream.
func (d *demo) awaitUpstreams(ctx context.Context) error {
	for end := time.Now().Add(demoBound); time.Now().Before(end) && ctx.Err() == nil; {
		known := true
		for _, n := range d.fleet.Running() {
			pools := n.Status().Pools
			known = known && len(pools[0].Upstreams) == len(demoEngines) && len(pools[1].Upstreams) == 1
		}
		if known {
			return nil
		}
		_ = delay.Wait(ctx, 10*time.Millisecond)
	}
	return exit(ExitUnavailable, fmt.Errorf("the upstreams were not known everywhere within %s", demoBound))
}

// load offers completions through all VMs.
func (d *demo) load(ctx context.Context, bound float64) load.Report {
	return load.Run(ctx, load.Config{
		Targets: d.targets(), Model: "crew", Layers: demoLayers, RequestsPerSecond: bound * demoLoadShare / demoTokens, Arrivals: "poisson",
		Duration: d.span, Warmup: demoWarmup, PromptWords: 20, OutputTokens: demoTokens, Seed: d.seed,
	})
}

func (d *demo) targets() []string {
	var out []string
	for _, n := range d.fleet.Running() {
		out = append(out, "http://"+n.CallersAddress())
	}
	return out
}

// keep prints commands to try and waits for a signal.
func (d *demo) keep(ctx context.Context) {
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
		if id != demoVictim {
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

func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.out, "%s  %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// line separates the parts of the summary.
var line = strings.Repeat("-", 64)
