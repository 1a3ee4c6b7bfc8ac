package experiment

import (
	"context"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/node/recovery"
	"github.com/jasminecove/jasminecove/internal/standin/engine"
	"github.com/jasminecove/jasminecove/internal/standin/load"
)

// EngineFailureConfig describes a run in which engines fail under load.
type EngineFailureConfig struct {
	Config
	Deaths       int
	KillInterval time.Duration
	RestartDelay time.Duration // Time until a stopped engine is restarted.
	Silent       bool          // Engines stop announcing, sending and running batches instead of being killed.
}

// EngineFailureResult is the result of a run in which engines fail.
type EngineFailureResult struct {
	Deaths     int                `json:"deaths"`
	Silent     bool               `json:"silent"`
	Recovery   []recovery.Summary `json:"recoveryByVM"`
	Load       load.Report        `json:"load"`
	Violations int64              `json:"invariantViolations"`
}

// RunDeaths kills one engine after another under load. Each engine is restarted
// under the same id, with an empty cache.
func RunDeaths(ctx context.Context, cfg EngineFailureConfig) (EngineFailureResult, error) {
	b, err := Open(ctx, cfg.Config)
	if b != nil {
		defer b.Close()
	}
	if err != nil {
		return EngineFailureResult{}, err
	}
	cfg.Duration = time.Duration(cfg.Deaths)*cfg.KillInterval + 2*cfg.RestartDelay
	report := make(chan load.Report, 1)
	go func() { report <- load.Run(ctx, b.LoadConfig(cfg.Config)) }()
	src := rng.New(cfg.Seed)
	for range cfg.Deaths {
		if err := delay.Wait(ctx, cfg.KillInterval); err != nil {
			return EngineFailureResult{}, err
		}
		b.killEngine(ctx, cfg, src)
	}
	result := EngineFailureResult{Deaths: cfg.Deaths, Silent: cfg.Silent, Load: <-report, Violations: b.Violations()}
	for _, n := range b.Fleet.Running() {
		result.Recovery = append(result.Recovery, n.Status().Recovery)
	}
	return result, nil
}

// killEngine stops a random engine and restarts it after cfg.RestartDelay. It does
// nothing if an engine of the same stage is stopped already.
func (b *Testbed) killEngine(ctx context.Context, cfg EngineFailureConfig, src *rng.Source) {
	i := src.IntN(len(b.mix.Engines))
	spec := b.mix.Engines[i]
	b.mu.Lock()
	e, stageDown := b.Engines[spec.ID], b.stageDown[spec.LayerFrom]
	if e == nil || stageDown {
		b.mu.Unlock()
		return
	}
	b.stageDown[spec.LayerFrom] = true
	delete(b.Engines, spec.ID)
	b.deaths++
	b.mu.Unlock()
	if cfg.Silent {
		e.SetFaults(engine.Faults{NoAnnounce: true, Stall: true, MuteAllStreams: true})
	} else {
		e.Kill()
	}
	time.AfterFunc(cfg.RestartDelay, func() {
		if cfg.Silent {
			e.Kill()
		}
		b.mu.Lock()
		b.stageDown[spec.LayerFrom] = false
		b.mu.Unlock()
		if ctx.Err() == nil {
			_ = b.StartEngine(ctx, spec, i)
		}
	})
}
