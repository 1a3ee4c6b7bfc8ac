package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as the users' example of a settings file has them.
const (
	heartbeat    = 1200 * time.Millisecond
	contact      = 3 * time.Second
	drainTime    = 2 * time.Second
	configApply  = 2 * time.Second
	memoryMb     = 284
	bytesPerMb   = 1000 * 1000
	kbytes       = 1024
	zones        = 3
	pollInterval = 5 * time.Millisecond
)

// program is the command of the role in deploy/system.toml.
var program = []string{"target/jasminecove-platform", "router"}

// vm is one VM: a process of the real program on its own loopback address.
type vm struct {
	fleet   *fleet
	name    string
	ip      string
	zone    string
	hasDisk bool

	mu         sync.Mutex
	process    *exec.Cmd
	exited     chan struct{}
	firstStart bool
	killed     bool
	ended      bool // The process is not started again.
}

// fleet is the set of all VMs of a case.
type fleet struct {
	ctx    context.Context
	folder string
	ports  [5]int // By the constants below.
	vms    []*vm
}

// Indexes of fleet.ports.
const (
	portCallers = iota
	portReadiness
	portControl
	portFirstInternal
	portLastInternal
)

// newFleet returns a fleet of VMs that have not been started. The first ones have a disk. stop ends their processes.
func newFleet(ctx context.Context, vms, disks int) (f *fleet, stop func(), err error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, nil, err
	}
	f = &fleet{ctx: ctx, folder: folder}
	for i := range f.ports {
		if f.ports[i], err = freePort(); err != nil {
			return nil, nil, err
		}
	}
	network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	for i := range vms {
		zone := fmt.Sprintf("zone-%d", i%zones+1)
		v := &vm{fleet: f, name: fmt.Sprintf("edge-%s-%d", zone, i/zones+1), ip: fmt.Sprintf("%s.%d", network, i+1), zone: zone, hasDisk: i < disks, firstStart: true}
		f.vms = append(f.vms, v)
	}
	running.mu.Lock()
	defer running.mu.Unlock()
	running.fleets = append(running.fleets, f)
	return f, f.stop, nil
}

// running are the fleets whose processes are ended if the case is interrupted.
var running struct {
	mu     sync.Mutex
	fleets []*fleet
}

// stop ends all processes of the fleet for good.
func (f *fleet) stop() {
	for _, v := range f.vms {
		v.mu.Lock()
		v.ended = true
		v.mu.Unlock()
		v.signal(syscall.SIGCONT)
		v.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// stopAll ends the processes of all fleets.
func stopAll() {
	running.mu.Lock()
	defer running.mu.Unlock()
	for _, f := range running.fleets {
		f.stop()
	}
}

// freePort returns a TCP port that no process listens on.
func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func (v *vm) address(port int) string {
	return net.JoinHostPort(v.ip, strconv.Itoa(v.fleet.ports[port]))
}

// writeSettings writes the settings file of a VM and returns its path.
func (v *vm) writeSettings() (string, error) {
	var seeds strings.Builder
	for _, s := range v.fleet.vms[:min(zones, len(v.fleet.vms))] {
		fmt.Fprintf(&seeds, "  - %q\n", s.address(portControl))
	}
	dataDir := ""
	if v.hasDisk {
		dataDir = filepath.Join(v.fleet.folder, v.name, "data")
		if err := os.MkdirAll(dataDir, 0o700); err != nil {
			return "", err
		}
	}
	text := fmt.Sprintf(`nodeName: %q
role: "router"
machineClass: "edge"
serves:
  - "edge"
  - "control"
ip: %q
zone: %q
region: "region"
listen:
  frontendAddress: %q
  readinessAddress: %q
  controlPlane: %q
internalPortRange:
  - %d
  - %d
seedNodes:
%sbootstrap: %t
faultCounted: %t
limits: {cpuShare: 0.72, cpuCores: 1, memoryMb: %d, maxFds: 4100, linkMbps: 1000.0, diskMb: 64}
dataDir: %q
discovery: "registration"
entry: "vip"
heartbeatMs: %d
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "layers"]
faultTolerance: {machineFaults: 1, zones: 0, regionFaults: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: %d, ackMs: 4000, catchUpS: 4, drainMs: %d, graceS: 8, lossSlackMs: 200, configApplyMs: %d, revertSlackMs: 250, stretchMaxMs: 5000, strictRevocation: false, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, retryAllowance: 202, recoveryS: 12, passMs: 120, retryAfterS: 0, stall_ms: 2000, fencingEnforced: false}
configMode: "highest"
`, v.name, v.ip, v.zone, v.address(portCallers), v.address(portReadiness), v.address(portControl), v.fleet.ports[portFirstInternal], v.fleet.ports[portFirstInternal],
		seeds.String(), v.firstStart, v.hasDisk, memoryMb, dataDir, heartbeat.Milliseconds(), contact.Milliseconds(), drainTime.Milliseconds(), configApply.Milliseconds())
	file := filepath.Join(v.fleet.folder, v.name, "node.yaml")
	if err := os.MkdirAll(filepath.Dir(file), 0o700); err != nil {
		return "", err
	}
	return file, os.WriteFile(file, []byte(text), 0o600)
}

// errInterrupted reports a start of a process after the case was interrupted.
var errInterrupted = errors.New("the case was interrupted")

// start starts the process of a VM.
func (v *vm) start() error {
	file, err := v.writeSettings()
	if err != nil {
		return err
	}
	out, err := os.OpenFile(v.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p := exec.Command(program[0], program[1:]...)
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JASMINECOVE_CONFIG=" + file}
	p.Stdout, p.Stderr = out, out
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ended {
		return errInterrupted
	}
	if err := p.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.process, v.exited, v.firstStart, v.killed = p, exited, false, false
	go func() {
		_ = p.Wait() // Its exit code does not matter.
		_ = out.Close()
		close(exited)
	}()
	return nil
}

func (v *vm) logFile() string { return filepath.Join(v.fleet.folder, v.name, "log") }

// signal sends a signal to the process if it runs.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil || v.hasExited() {
		return
	}
	v.killed = v.killed || s == syscall.SIGKILL
	_ = v.process.Process.Signal(s) // It may just have exited.
}

// hasExited reports whether the started process has exited. The caller holds v.mu.
func (v *vm) hasExited() bool {
	select {
	case <-v.exited:
		return true
	default:
		return false
	}
}

// endedByItself reports whether the process has exited without a signal of this program.
func (v *vm) endedByItself() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process != nil && v.hasExited() && !v.killed
}

// kill ends the process and waits until it has exited.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// residentBytes returns the memory of the process that is resident, or 0 if it does not run.
func (v *vm) residentBytes() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil || v.hasExited() {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return n * kbytes
		}
	}
	return 0
}

// awaitListening waits until a port of a VM takes connections.
func (v *vm) awaitListening(port int, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		c, err := net.DialTimeout("tcp", v.address(port), time.Second)
		if err == nil {
			_ = c.Close()
			return true
		}
	}
	return false
}

// awaitReady waits until all VMs say that they are ready.
func (f *fleet) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * pollInterval) {
		ready := 0
		for _, v := range f.vms {
			if r := send(f.ctx, request{method: "GET", address: v.address(portReadiness), path: "/v1/readyz", timeout: time.Second}); r.status == 200 {
				ready++
			}
		}
		if ready == len(f.vms) {
			return true
		}
	}
	return false
}
