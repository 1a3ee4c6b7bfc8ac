// Package local runs a small fleet in one process on the loopback interface, for
// the demo, tests and measurements.
package local

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/fleet/keys"
	"github.com/jasminecove/jasminecove/internal/node/assembly"
	"github.com/jasminecove/jasminecove/internal/node/settings"
)

// ErrNotReady reports that a VM of the fleet was not ready before the timeout.
const ErrNotReady = fault.Sentinel("local: fleet was not ready before the timeout")

// Config describes a fleet.
type Config struct {
	Folder      string // For keys and data folders.
	VMs         int
	Voters      int // Number of voters; these are the first VMs, which have a data folder.
	DataCentres int
	Tables      []byte
	Logs        io.Writer
	LogLevel    string
	DrainNotice clock.Duration // Time that the load balancer may take to notice a drain.
	// EditSettings, if set, edits the settings of each VM before its start.
	EditSettings func(*settings.Settings)
}

// Fleet is a fleet of VMs in this process.
type Fleet struct {
	cfg      Config
	Settings []settings.Settings
	Nodes    []*assembly.Node // One for each VM, nil while it is stopped.
}

// New creates the keys and settings of a fleet. It starts no VM.
func New(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, Nodes: make([]*assembly.Node, cfg.VMs)}
	keyFolder := filepath.Join(cfg.Folder, "keys")
	if err := keys.CreateAuthority(keyFolder); err != nil {
		return nil, err
	}
	var seeds, voters []string
	for i := range cfg.VMs {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		seeds = append(seeds, address)
		if i < cfg.Voters {
			voters = append(voters, vmName(i))
		}
	}
	for i := range cfg.VMs {
		s, err := f.vmSettings(i, keyFolder, seeds, voters)
		if err != nil {
			return nil, err
		}
		f.Settings = append(f.Settings, s)
	}
	return f, nil
}

func vmName(i int) string { return fmt.Sprintf("vm-%02d", i+1) }

// vmSettings issues a key for the i-th VM and returns its settings.
func (f *Fleet) vmSettings(i int, keyFolder string, seeds, voters []string) (settings.Settings, error) {
	vm := vmName(i)
	vmKeys := filepath.Join(keyFolder, vm)
	if err := keys.Issue(keyFolder, vm, vmKeys); err != nil {
		return settings.Settings{}, err
	}
	data := fmt.Sprintf(`vm: %[1]s
dataCentre: dc-%[2]d
listen: {callers: "%[3]s:0", upstreams: "%[3]s:0", operators: "%[3]s:0", fleet: %[4]q}
fleet: {keys: %[5]q}
callers: {anonymous: true}
telemetry: {logLevel: %[6]s}
`, vm, i%max(f.cfg.DataCentres, 1)+1, host(), seeds[i], vmKeys, logLevel(f.cfg.LogLevel))
	s, err := settings.Parse(vm, []byte(data))
	if err != nil {
		return s, err
	}
	s.Fleet.Seeds, s.Fleet.Voters = seeds, voters
	s.Drain.Notice = f.cfg.DrainNotice
	if i < f.cfg.Voters {
		s.DataFolder = filepath.Join(f.cfg.Folder, "data", vm)
	}
	if f.cfg.EditSettings != nil {
		f.cfg.EditSettings(&s)
	}
	return s, nil
}

// logLevel returns the given log level, or "error" if it is empty.
func logLevel(level string) string {
	if level == "" {
		return "error"
	}
	return level
}

// Start starts or restarts the i-th VM.
func (f *Fleet) Start(ctx context.Context, i int) error {
	n, err := f.Launch(ctx, i)
	if err != nil {
		return err
	}
	f.Nodes[i] = n
	return nil
}

// Launch starts the i-th VM without storing it in Nodes. A VM that is restarted
// keeps its addresses.
func (f *Fleet) Launch(ctx context.Context, i int) (*assembly.Node, error) {
	n, err := assembly.New(f.Settings[i], f.cfg.Logs, assembly.WithInitialTables(f.cfg.Tables))
	if err != nil {
		return nil, err
	}
	if err := n.Start(ctx); err != nil {
		return nil, err
	}
	f.Settings[i].Listen.Callers = n.CallersAddress()
	f.Settings[i].Listen.Upstreams = n.UpstreamsAddress()
	f.Settings[i].Listen.Operators = n.OperatorsAddress()
	return n, nil
}

// StartAll starts every VM and waits until all are ready.
func (f *Fleet) StartAll(ctx context.Context, timeout time.Duration) error {
	for i := range f.Nodes {
		if err := f.Start(ctx, i); err != nil {
			return err
		}
	}
	return f.AwaitReady(timeout)
}

// AwaitReady waits until every running VM is ready.
func (f *Fleet) AwaitReady(timeout time.Duration) error {
	var notReady error
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		notReady = nil
		for _, n := range f.Nodes {
			if n != nil && notReady == nil {
				notReady = n.Ready()
			}
		}
		if notReady == nil {
			return nil
		}
	}
	return fmt.Errorf("%w: %w", ErrNotReady, notReady)
}

// StopVM stops the i-th VM at once, without a drain.
func (f *Fleet) StopVM(i int) {
	if n := f.Nodes[i]; n != nil {
		f.Nodes[i] = nil
		n.Stop()
	}
}

// Stop stops every VM.
func (f *Fleet) Stop() {
	for i := range f.Nodes {
		f.StopVM(i)
	}
}

// Running returns the VMs that are running.
func (f *Fleet) Running() []*assembly.Node {
	var out []*assembly.Node
	for _, n := range f.Nodes {
		if n != nil {
			out = append(out, n)
		}
	}
	return out
}

// Leader returns the index of the leader that holds a lease, or -1.
func (f *Fleet) Leader() int {
	for i, n := range f.Nodes {
		if n == nil {
			continue
		}
		if r := n.Status().Replica; r != nil && r.Role == "leader" && r.LeaseLeft > 0 {
			return i
		}
	}
	return -1
}

// AnnounceURLs returns the base URLs of the running VMs' listeners for upstreams,
// in rotation, starting with the one at index first.
func (f *Fleet) AnnounceURLs(first int) []string {
	running := f.Running()
	var out []string
	for i := range running {
		out = append(out, "http://"+running[(i+first)%len(running)].UpstreamsAddress())
	}
	return out
}

// host returns a loopback address derived from the process id. Outgoing connections
// use 127.0.0.1 and other processes listen on other addresses, so that the port of
// a stopped VM stays free until the VM is restarted.
func host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}

// freeAddress returns an address of this host whose UDP port is free at the time of the call.
func freeAddress() (string, error) {
	l, err := net.ListenPacket("udp", host()+":0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer func() { _ = l.Close() }()
	return l.LocalAddr().String(), nil
}
