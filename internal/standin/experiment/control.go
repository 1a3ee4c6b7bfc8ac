package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/jasminecove/jasminecove/internal/cli/operator"
	"github.com/jasminecove/jasminecove/internal/node/admin"
	"github.com/jasminecove/jasminecove/internal/standin/local"
)

// ControlResult is what the control state costs and takes. Times are in ms.
type ControlResult struct {
	VMs        int     `json:"vms"`
	Voters     int     `json:"voters"`
	CommitP50  float64 `json:"commitP50Ms"` // One change after another, through an operator's call.
	CommitP99  float64 `json:"commitP99Ms"`
	InForceP50 float64 `json:"inForceP50Ms"` // From the answer until the last VM has it.
	InForceP99 float64 `json:"inForceP99Ms"`
	// CommandsASecond are committed commands of 32 operators at once.
	CommandsASecond float64 `json:"commandsPerSecond"`
	LeaderlessKill  float64 `json:"leaderlessAfterKillMs"`
	LeaderlessStop  float64 `json:"leaderlessAfterHandOverMs"`
	RestartMs       float64 `json:"restartToReadyMs"`
	RestartAfter    uint64  `json:"restartAfterChanges"`
}

// controlTables is the document of the control runs.
const controlTables = "routes:\n  - {name: r, match: {pathPrefix: /r}, pool: p}\npools:\n  - {name: p, service: s}\n"

// controlRun is one run under way.
type controlRun struct {
	f        *local.Fleet
	folder   string
	revision uint64
	result   ControlResult
}

// RunControl measures the control state of a fleet on loopback.
func RunControl(ctx context.Context, vms, voters, changes int) (ControlResult, error) {
	folder, err := os.MkdirTemp("", "jasminecove-control-")
	if err != nil {
		return ControlResult{}, fmt.Errorf("make folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	f, err := local.New(local.Config{Folder: folder, VMs: vms, Voters: voters, DataCentres: 3, Tables: []byte(controlTables), Logs: io.Discard, DrainNotice: 20})
	if err != nil {
		return ControlResult{}, err
	}
	if err := f.StartAll(ctx, readyBound); err != nil {
		return ControlResult{}, err
	}
	defer f.Stop()
	r := &controlRun{f: f, folder: folder, revision: 1, result: ControlResult{VMs: vms, Voters: voters}}
	for _, step := range []func(context.Context, int) error{r.oneByOne, r.many, r.restart, r.handOver, r.kill} {
		if err := step(ctx, changes); err != nil {
			return r.result, err
		}
	}
	return r.result, nil
}

func (r *controlRun) operator(vm int) (*operator.Client, error) {
	return operator.ForVM(r.f.Nodes[vm].OperatorsAddress(), r.f.Settings[vm].Fleet.Keys)
}

func (r *controlRun) apply(ctx context.Context, op *operator.Client) error {
	result, err := op.Apply(ctx, admin.Change{
		Base: r.revision, ChangeID: fmt.Sprint("c", r.revision), Author: "bench", Document: fmt.Sprintf("%s# %d\n", controlTables, r.revision),
	})
	if err != nil {
		return err
	}
	r.revision = result.Revision
	return nil
}

// oneByOne measures commit and in-force times.
func (r *controlRun) oneByOne(ctx context.Context, changes int) error {
	op, err := r.operator(len(r.f.Nodes) - 1)
	if err != nil {
		return err
	}
	var commits, inForce []float64
	for range changes {
		began := time.Now()
		if err := r.apply(ctx, op); err != nil {
			return err
		}
		answered := time.Now()
		commits = append(commits, ms(answered.Sub(began)))
		r.awaitInForce()
		inForce = append(inForce, ms(time.Since(answered)))
	}
	r.result.CommitP50, r.result.CommitP99 = quantile(commits, 50), quantile(commits, 99)
	r.result.InForceP50, r.result.InForceP99 = quantile(inForce, 50), quantile(inForce, 99)
	return nil
}

func (r *controlRun) awaitInForce() {
	for {
		behind := false
		for _, n := range r.f.Running() {
			behind = behind || n.Revision() < r.revision
		}
		if !behind {
			return
		}
		time.Sleep(200 * time.Microsecond)
	}
}

// many sends changes from many operators at once, which share syncs. All but one
// of those with one base conflict; each is a committed command all the same.
func (r *controlRun) many(ctx context.Context, _ int) error {
	const operators, each = 32, 40
	var wait sync.WaitGroup
	began := time.Now()
	for o := range operators {
		op, err := r.operator(o % len(r.f.Nodes))
		if err != nil {
			return err
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range each {
				_, _ = op.Apply(ctx, admin.Change{ChangeID: fmt.Sprintf("m%d-%d", o, i), Author: "bench", Document: controlTables})
			}
		}()
	}
	wait.Wait()
	r.result.CommandsASecond = operators * each / time.Since(began).Seconds()
	return nil
}

// restart measures how soon a voter that was away for all changes is ready.
func (r *controlRun) restart(ctx context.Context, _ int) error {
	i := (r.f.Leader() + 1) % r.result.Voters
	r.f.StopVM(i)
	began := time.Now()
	if err := r.f.Start(ctx, i); err != nil {
		return err
	}
	for r.f.Nodes[i].Ready() != nil {
		time.Sleep(time.Millisecond)
	}
	r.result.RestartMs, r.result.RestartAfter = ms(time.Since(began)), r.revision
	return nil
}

// handOver drains the leader's VM and starts it again.
func (r *controlRun) handOver(ctx context.Context, _ int) error {
	old := r.f.Leader()
	drained := make(chan struct{})
	r.result.LeaderlessStop = r.leaderless(func(i int) {
		go func() {
			defer close(drained)
			r.f.Nodes[i].Drain(ctx)
		}()
	})
	<-drained
	r.f.Nodes[old] = nil
	if err := r.f.Start(ctx, old); err != nil {
		return err
	}
	return r.f.AwaitReady(readyBound)
}

// kill ends the leader's VM at once.
func (r *controlRun) kill(context.Context, int) error {
	r.result.LeaderlessKill = r.leaderless(func(i int) {
		n := r.f.Nodes[i]
		r.f.Nodes[i] = nil
		go n.Stop()
	})
	return nil
}

// leaderless returns how long no VM leads after stop was called on the leader.
func (r *controlRun) leaderless(stop func(i int)) float64 {
	old := r.f.Leader()
	stop(old)
	began := time.Now()
	for {
		if l := r.f.Leader(); l >= 0 && l != old {
			return ms(time.Since(began))
		}
		time.Sleep(time.Millisecond)
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func quantile(values []float64, q int) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, len(sorted)*q/100)]
}
