package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/node/settings"
	"github.com/jasminecove/jasminecove/internal/standin/engine"
	"github.com/jasminecove/jasminecove/internal/standin/load"
	"github.com/jasminecove/jasminecove/internal/standin/local"
)

// ErrUpstreams reports that a VM did not list all engines before the timeout.
const ErrUpstreams = fault.Sentinel("experiment: engines were not listed by every VM before the timeout")

// Timeouts and sizes of an experiment.
const (
	readyTimeout = 30 * time.Second
	outputTokens = 100
	// rampUpDelay is the time for the slow start of new engines, before the measurement.
	rampUpDelay = 5 * time.Second
)

// Config describes one experiment.
type Config struct {
	Mix           Mix
	Policy        string
	VMs           int
	OfferedShare  float64 // Offered load as a fraction of the bound.
	Duration      time.Duration
	Warmup        time.Duration
	Seed          uint64
	Organisations []load.Organisation
	EditSettings  func(*settings.Settings)
	Concurrency   int // 0 means adaptive.
}

// Result is the result of one experiment.
type Result struct {
	Mix          string      `json:"mix"`
	Policy       string      `json:"policy"`
	OfferedShare float64     `json:"offeredShare"`
	Bound        float64     `json:"boundTokensPerSecond"`
	BoundShare   float64     `json:"ofBound"`
	Load         load.Report `json:"load"`
	Violations   int64       `json:"invariantViolations"`
}

// Testbed is a running fleet with the engines of a mix.
type Testbed struct {
	Fleet  *local.Fleet
	folder string
	mix    Mix

	mu        sync.Mutex // Guards the fields below, and Fleet.Nodes.
	Engines   map[string]*engine.Engine
	stageDown map[uint32]bool // Whether an engine of the stage is stopped, by the first layer of the stage.
	deaths    int
}

// Open starts the fleet and the engines of an experiment.
func Open(ctx context.Context, cfg Config) (*Testbed, error) {
	folder, err := os.MkdirTemp("", "jasminecove-experiment-")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	b := &Testbed{Engines: map[string]*engine.Engine{}, stageDown: map[uint32]bool{}, folder: folder, mix: cfg.Mix}
	b.Fleet, err = local.New(local.Config{
		Folder: folder, VMs: cfg.VMs, Voters: min(cfg.VMs, 3), DataCentres: 3, Logs: io.Discard,
		Tables: []byte(tables(cfg)), EditSettings: cfg.EditSettings,
	})
	if err != nil {
		return nil, err
	}
	if err := b.Fleet.StartAll(ctx, readyTimeout); err != nil {
		return nil, err
	}
	for i, spec := range cfg.Mix.Engines {
		if err := b.StartEngine(ctx, spec, i); err != nil {
			return nil, err
		}
	}
	return b, b.awaitEngines(ctx)
}

// tables returns the tables document of an experiment.
func tables(cfg Config) string {
	return fmt.Sprintf(`routes:
  - {name: chat, match: {model: crew}, pool: crew}
  - {name: bookings, match: {pathPrefix: /bookings, methods: [POST]}, pool: desk, deadline: 10s}
pools:
  - {name: crew, model: crew, layers: %d, pick: %s, concurrency: %d}
  - {name: desk, service: desk}
`, Layers, cfg.Policy, cfg.Concurrency)
}

// StartEngine starts one engine, which tries the i-th VM first for its announcements.
func (b *Testbed) StartEngine(ctx context.Context, spec EngineSpec, i int) error {
	e := engine.New(spec.ID, spec.options(b.Fleet.AnnounceURLs(i))...)
	if err := e.Start(ctx, "127.0.0.1:0"); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Engines[spec.ID] = e
	return nil
}

// announceURLs is Fleet.AnnounceURLs for concurrent use with stopVM and startVM.
func (b *Testbed) announceURLs(i int) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Fleet.AnnounceURLs(i)
}

// targets is Targets for concurrent use with stopVM and startVM.
func (b *Testbed) targets() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Targets()
}

// stopVM stops a VM at once, without a drain.
func (b *Testbed) stopVM(i int) {
	b.mu.Lock()
	n := b.Fleet.Nodes[i]
	b.Fleet.Nodes[i] = nil
	b.mu.Unlock()
	if n != nil {
		n.Stop()
	}
}

// startVM restarts a VM on its former addresses.
func (b *Testbed) startVM(i int) error {
	n, err := b.Fleet.Launch(context.Background(), i)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Fleet.Nodes[i] = n
	return nil
}

// awaitEngines waits until every VM lists all engines.
func (b *Testbed) awaitEngines(ctx context.Context) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); {
		listed := true
		for _, n := range b.Fleet.Running() {
			listed = listed && len(n.Status().Pools[0].Upstreams) == len(b.mix.Engines)
		}
		if listed {
			return nil
		}
		if err := delay.Wait(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
	return ErrUpstreams
}

// Bound returns the highest throughput, in tokens per second, that the planner
// computes for the engines.
func (b *Testbed) Bound() float64 { return b.Fleet.Running()[0].Status().Pools[0].Bound }

// Targets returns the base URLs of the running VMs' listeners for callers.
func (b *Testbed) Targets() []string {
	var out []string
	for _, n := range b.Fleet.Running() {
		out = append(out, "http://"+n.CallersAddress())
	}
	return out
}

// Violations returns the number of invariant violations on all VMs.
func (b *Testbed) Violations() int64 {
	sum := int64(0)
	for _, n := range b.Fleet.Running() {
		sum += n.Violations()
	}
	return sum
}

// Close stops the engines and the fleet and removes their files.
func (b *Testbed) Close() {
	for _, e := range b.Engines {
		e.Kill()
	}
	if b.Fleet != nil {
		b.Fleet.Stop()
	}
	_ = os.RemoveAll(b.folder)
}

// LoadConfig returns a load of cfg.OfferedShare of the bound.
func (b *Testbed) LoadConfig(cfg Config) load.Config {
	return load.Config{
		Targets: b.Targets(), Model: "crew", Layers: Layers, RequestsPerSecond: cfg.OfferedShare * b.Bound() / outputTokens, Arrivals: "poisson",
		Duration: cfg.Duration, Warmup: cfg.Warmup, PromptWords: cfg.Mix.PromptWords, OutputTokens: outputTokens,
		Prefixes: cfg.Mix.Prefixes, Seed: cfg.Seed, Organisations: cfg.Organisations,
	}
}

// Run runs one experiment from start to end.
func Run(ctx context.Context, cfg Config) (Result, error) {
	b, err := Open(ctx, cfg)
	if b != nil {
		defer b.Close()
	}
	if err != nil {
		return Result{}, err
	}
	if err := delay.Wait(ctx, rampUpDelay); err != nil {
		return Result{}, err
	}
	bound := b.Bound()
	report := load.Run(ctx, b.LoadConfig(cfg))
	return Result{
		Mix: cfg.Mix.Name, Policy: cfg.Policy, OfferedShare: cfg.OfferedShare, Bound: bound,
		BoundShare: report.TokensPerSecond / bound, Load: report, Violations: b.Violations(),
	}, nil
}
