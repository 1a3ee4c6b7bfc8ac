// Package stand holds what the review's scripts share: a fleet of the project's own processes on
// loopback addresses, and stand-ins for replicas, callers and the operator.
package stand

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the settings, as in the smallest deployments of the pages.
const (
	HeartbeatMs     = 1200
	Grace           = 8 * time.Second
	DrainTime       = 2 * time.Second
	ContactTime     = 3 * time.Second
	ConfigApplyTime = 2 * time.Second
)

// Program is the program of the deploy file, relative to the repository.
const Program = "target/jasminecove-platform"

// VM is one process of the program with its own loopback address.
type VM struct {
	Name string
	IP   string

	fleet   *Fleet
	hasDisk bool
	folder  string

	mu         sync.Mutex
	process    *exec.Cmd
	exited     chan struct{}
	firstStart bool
	seeds      []*VM
}

// Fleet is the set of the VMs.
type Fleet struct {
	VMs []*VM

	closed                                atomic.Bool // No process is started any more.
	root                                  string
	callers, readiness, control, internal int
}

// NewFleet prepares VMs, the first disks of which have a disk. Close ends them.
func NewFleet(vms, disks int) (*Fleet, error) {
	root, err := os.MkdirTemp("", "jasminecove-review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{root: root}
	pid := os.Getpid()
	for i := range vms {
		v := &VM{
			Name: fmt.Sprintf("edge-%d", i), IP: fmt.Sprintf("127.%d.%d.%d", 20+pid/250%200, pid%250, i+1),
			fleet: f, hasDisk: i < disks, firstStart: true,
		}
		v.folder = filepath.Join(root, v.Name)
		f.VMs = append(f.VMs, v)
	}
	for _, v := range f.VMs {
		v.seeds = f.VMs[:min(3, len(f.VMs))]
	}
	for _, port := range []*int{&f.callers, &f.readiness, &f.control, &f.internal} {
		if *port, err = freePort(f.VMs[0].IP); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// freePort returns a port below the range from which the kernel takes the ports of outgoing
// connections, that is free for TCP and UDP at an address.
func freePort(ip string) (int, error) {
	for port := 12000 + os.Getpid()%5000; port < 32000; port += 7 {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port))
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		if takenPorts[port] {
			continue
		}
		takenPorts[port] = true
		return port, nil
	}
	return 0, fmt.Errorf("no free port at %s", ip)
}

var takenPorts = map[int]bool{}

// StartAll starts all VMs.
func (f *Fleet) StartAll() error {
	for _, v := range f.VMs {
		if err := v.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close kills all VMs and removes their files.
func (f *Fleet) Close() {
	f.closed.Store(true)
	for _, v := range f.VMs {
		v.Signal(syscall.SIGKILL)
		v.Wait(10 * time.Second)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.root)
	} else {
		fmt.Println("kept", f.root)
	}
}

// Callers returns the address for callers.
func (v *VM) Callers() string { return fmt.Sprintf("%s:%d", v.IP, v.fleet.callers) }

// Control returns the address for replicas and the operator.
func (v *VM) Control() string { return fmt.Sprintf("%s:%d", v.IP, v.fleet.control) }

// Start starts the process with the command of the deploy file.
func (v *VM) Start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		return nil
	}
	if v.fleet.closed.Load() {
		return os.ErrClosed
	}
	file, err := v.writeSettings()
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(v.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p := exec.Command(Program, "router")
	p.Env = append(os.Environ(), "JASMINECOVE_CONFIG="+file)
	p.Stdout, p.Stderr = out, out
	if err := p.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.process, v.exited, v.firstStart = p, exited, false
	go func() {
		_ = p.Wait() // A killed process reports an error.
		_ = out.Close()
		v.mu.Lock()
		if v.process == p {
			v.process = nil
		}
		v.mu.Unlock()
		close(exited)
	}()
	return nil
}

// Joins makes the next start of the VM the start of a machine that is added to a running
// installation: bootstrap is false.
func (v *VM) Joins() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.firstStart = false
}

// LoseDisk empties the data folder of a VM whose process does not run.
func (v *VM) LoseDisk() error { return os.RemoveAll(filepath.Join(v.folder, "data")) }

// writeSettings writes the settings file and returns its path.
func (v *VM) writeSettings() (string, error) {
	dataDir := ""
	folder := v.folder
	if v.hasDisk {
		dataDir = filepath.Join(v.folder, "data")
		folder = dataDir
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return "", err
	}
	var seeds []string
	for _, s := range v.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", s.Control()))
	}
	settings := fmt.Sprintf(`nodeName: %q
role: "router"
machineClass: "edge"
serves: ["edge", "control"]
ip: %q
zone: "zone-a"
region: "region-a"
zones: {zone-a: "region-a"}
listen: {frontendAddress: %q, readinessAddress: "%s:%d", controlPlane: %q}
internalPortRange: [%d, %d]
seedNodes: [%s]
bootstrap: %t
faultCounted: %t
dataDir: %q
discovery: "registration"
entry: "vip"
heartbeatMs: %d
faultTolerance: {machineFaults: 1, zones: 0, regionFaults: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: %v, lossSlackMs: 200, configApplyMs: 2000, revertSlackMs: 250, stretchMaxMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, retryAllowance: 202, recoveryS: 12, passMs: 120, stall_ms: 2000}
configMode: "highest"
`, v.Name, v.IP, v.Callers(), v.IP, v.fleet.readiness, v.Control(), v.fleet.internal, v.fleet.internal, strings.Join(seeds, ", "), v.firstStart, v.hasDisk, dataDir, HeartbeatMs, Grace.Seconds())
	file := filepath.Join(v.folder, "node.yaml")
	return file, os.WriteFile(file, []byte(settings), 0o600)
}

// Signal sends a signal to the process, if it runs.
func (v *VM) Signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		_ = v.process.Process.Signal(s) // It may have ended meanwhile.
	}
}

// Running reports whether the process runs.
func (v *VM) Running() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process != nil
}

// Wait waits until the process has ended, and reports whether it did in time.
func (v *VM) Wait(timeout time.Duration) bool {
	v.mu.Lock()
	exited, running := v.exited, v.process != nil
	v.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Log returns what the process wrote.
func (v *VM) Log() string {
	data, err := os.ReadFile(filepath.Join(v.folder, "log"))
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// Ready reports whether the VM says that it is ready.
func (v *VM) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", v.IP, v.fleet.readiness))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// controlClient sends calls to the control interface, each on a connection of its own.
var controlClient = http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Call makes a call to the control interface. Status 0 means that no response came.
func (v *VM) Call(method, path, body string) (status int, text string) {
	r, err := http.NewRequest(method, "http://"+v.Control()+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := controlClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// PutConfig sends a manifest until a VM acknowledges it.
func (f *Fleet) PutConfig(manifest string, timeout time.Duration) error {
	last := ""
	for end, n := time.Now().Add(timeout), 0; time.Now().Before(end); n++ {
		status, text := f.VMs[n%len(f.VMs)].Call(http.MethodPut, "/v1/config", manifest)
		if status == http.StatusOK {
			return nil
		}
		last = fmt.Sprint(status, " ", text)
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the manifest was not acknowledged: %s", last)
}

// Eventually polls a condition.
func Eventually(timeout time.Duration, ok func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}
