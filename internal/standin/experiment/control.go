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

// ControlResult is the measured performance of the control state. Times are in ms.
// It is printed with its field names.
type ControlResult struct {
	VMs        int     `json:"vms"`
	Voters     int     `json:"voters"`
	CommitP50  float64 `json:"commitP50Ms"` // Of sequential changes, from the operator's request to its reply.
	CommitP99  float64 `json:"commitP99Ms"`
	InForceP50 float64 `json:"inForceP50Ms"` // From the reply until the change is in force on every VM.
	InForceP99 float64 `json:"inForceP99Ms"`
	// CommandsASecond is the rate of committed commands from 32 concurrent operators.
	CommandsASecond float64 `json:"commandsPerSecond"`
	LeaderlessKill  float64 `json:"leaderlessAfterKillMs"`
	LeaderlessStop  float64 `json:"leaderlessAfterHandOverMs"`
	RestartMs       float64 `json:"restartToReadyMs"`
	RestartAfter    uint64  `json:"restartAfterChanges"`
}

// controlTables is the tables document of the control runs.
const controlTables = "routes:\n  - {name: r, match: {pathPrefix: /r}, pool: p}\npools:\n  - {name: p, service: s}\n"

// controlRun is the state of one run.
type controlRun struct {
	fleet    *local.Fleet
	folder   string
	revision uint64
	result   ControlResult
}

// RunControl measures the control state of a fleet on the loopback interface.
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
	if err := f.StartAll(ctx, readyTimeout); err != nil {
		return ControlResult{}, err
	}
	defer f.Stop()
	r := &controlRun{fleet: f, folder: folder, revision: 1, result: ControlResult{VMs: vms, Voters: voters}}
	for _, step := range []func(context.Context, int) error{r.measureCommits, r.measureConcurrentCommands, r.measureRestart, r.measureHandover, r.measureLeaderKill} {
		if err := step(ctx, changes); err != nil {
			return r.result, err
		}
	}
	return r.result, nil
}

// operator returns a client of the i-th VM's operators' API.
func (r *controlRun) operator(vm int) (*operator.Client, error) {
	return operator.ForVM(r.fleet.Nodes[vm].OperatorsAddress(), r.fleet.Settings[vm].Fleet.Keys)
}

// apply commits one change of the tables.
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

// measureCommits measures, for sequential changes, the time to commit and the time
// until they are in force on every VM.
func (r *controlRun) measureCommits(ctx context.Context, changes int) error {
	op, err := r.operator(len(r.fleet.Nodes) - 1)
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

// awaitInForce waits until the newest revision is in force on every running VM.
func (r *controlRun) awaitInForce() {
	for {
		behind := false
		for _, n := range r.fleet.Running() {
			behind = behind || n.Revision() < r.revision
		}
		if !behind {
			return
		}
		time.Sleep(200 * time.Microsecond)
	}
}

// measureConcurrentCommands sends changes from concurrent operators, whose commands
// share the syncs to disk. Of the changes with the same base all but one conflict;
// each of them is a committed command nevertheless.
func (r *controlRun) measureConcurrentCommands(ctx context.Context, _ int) error {
	const operators, each = 32, 40
	var wait sync.WaitGroup
	began := time.Now()
	for o := range operators {
		op, err := r.operator(o % len(r.fleet.Nodes))
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

// measureRestart measures the time from the restart of a stopped voter until it is
// ready, with the log of all changes so far.
func (r *controlRun) measureRestart(ctx context.Context, _ int) error {
	i := (r.fleet.Leader() + 1) % r.result.Voters
	r.fleet.StopVM(i)
	began := time.Now()
	if err := r.fleet.Start(ctx, i); err != nil {
		return err
	}
	for r.fleet.Nodes[i].Ready() != nil {
		time.Sleep(time.Millisecond)
	}
	r.result.RestartMs, r.result.RestartAfter = ms(time.Since(began)), r.revision
	return nil
}

// measureHandover drains the VM of the leader, measures the time without a leader,
// and restarts the VM.
func (r *controlRun) measureHandover(ctx context.Context, _ int) error {
	old := r.fleet.Leader()
	drained := make(chan struct{})
	r.result.LeaderlessStop = r.leaderlessMs(func(i int) {
		go func() {
			defer close(drained)
			r.fleet.Nodes[i].Drain(ctx)
		}()
	})
	<-drained
	r.fleet.Nodes[old] = nil
	if err := r.fleet.Start(ctx, old); err != nil {
		return err
	}
	return r.fleet.AwaitReady(readyTimeout)
}

// measureLeaderKill stops the VM of the leader at once and measures the time
// without a leader.
func (r *controlRun) measureLeaderKill(context.Context, int) error {
	r.result.LeaderlessKill = r.leaderlessMs(func(i int) {
		n := r.fleet.Nodes[i]
		r.fleet.Nodes[i] = nil
		go n.Stop()
	})
	return nil
}

// leaderlessMs calls stop with the index of the leader and returns the time until
// another VM is the leader.
func (r *controlRun) leaderlessMs(stop func(i int)) float64 {
	old := r.fleet.Leader()
	stop(old)
	began := time.Now()
	for {
		if l := r.fleet.Leader(); l >= 0 && l != old {
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
