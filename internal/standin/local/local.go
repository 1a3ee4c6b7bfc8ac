// Package local runs a whole small fleet in one process, on loopback, for the
// demo, tests and measurements.
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

// ErrNotReady reports a fleet that did not become ready in time.
const ErrNotReady = fault.Sentinel("local: the fleet did not become ready in time")

// Config describes a fleet.
type Config struct {
	Folder      string // For keys and data folders.
	VMs         int
	Voters      int // The first so many VMs have a data folder.
	DataCentres int
	Tables      []byte
	Logs        io.Writer
	LogLevel    string
	DrainNotice clock.Duration // Time for the balancer to notice a drain.
	// EditSettings changes the settings of each VM, if set.
	EditSettings func(*settings.Settings)
}

// Fleet is a number of VMs in this process.
type Fleet struct {
	cfg      Config
	Settings []settings.Settings
	Nodes    []*assembly.Node // Nil where a VM is stopped.
}

// New prepares keys and settings. Start follows for each VM.
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
		s, err := f.settingsOf(i, keyFolder, seeds, voters)
		if err != nil {
			return nil, err
		}
		f.Settings = append(f.Settings, s)
	}
	return f, nil
}

func vmName(i int) string { return fmt.Sprintf("vm-%02d", i+1) }

func (f *Fleet) settingsOf(i int, keyFolder string, seeds, voters []string) (settings.Settings, error) {
	vm := vmName(i)
	own := filepath.Join(keyFolder, vm)
	if err := keys.Issue(keyFolder, vm, own); err != nil {
		return settings.Settings{}, err
	}
	data := fmt.Sprintf(`vm: %[1]s
dataCentre: dc-%[2]d
listen: {callers: "%[3]s:0", upstreams: "%[3]s:0", operators: "%[3]s:0", fleet: %[4]q}
fleet: {keys: %[5]q}
callers: {anonymous: true}
telemetry: {logLevel: %[6]s}
`, vm, i%max(f.cfg.DataCentres, 1)+1, host(), seeds[i], own, level(f.cfg.LogLevel))
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

func level(l string) string {
	if l == "" {
		return "error"
	}
	return l
}

// Start starts or restarts one VM.
func (f *Fleet) Start(ctx context.Context, i int) error {
	n, err := f.Launch(ctx, i)
	if err != nil {
		return err
	}
	f.Nodes[i] = n
	return nil
}

// Launch starts one VM without counting it among Nodes. A VM that starts again
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
func (f *Fleet) StartAll(ctx context.Context, bound time.Duration) error {
	for i := range f.Nodes {
		if err := f.Start(ctx, i); err != nil {
			return err
		}
	}
	return f.AwaitReady(bound)
}

// AwaitReady waits until every running VM is ready.
func (f *Fleet) AwaitReady(bound time.Duration) error {
	var last error
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		last = nil
		for _, n := range f.Nodes {
			if n != nil && last == nil {
				last = n.Ready()
			}
		}
		if last == nil {
			return nil
		}
	}
	return fmt.Errorf("%w: %w", ErrNotReady, last)
}

// StopVM ends one VM at once.
func (f *Fleet) StopVM(i int) {
	if n := f.Nodes[i]; n != nil {
		f.Nodes[i] = nil
		n.Stop()
	}
}

// Stop ends every VM.
func (f *Fleet) Stop() {
	for i := range f.Nodes {
		f.StopVM(i)
	}
}

// Running returns the VMs that run.
func (f *Fleet) Running() []*assembly.Node {
	var out []*assembly.Node
	for _, n := range f.Nodes {
		if n != nil {
			out = append(out, n)
		}
	}
	return out
}

// Leader returns the index of the VM that leads, or -1.
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

// AnnounceURLs returns where upstreams announce themselves, the i-th VM first.
func (f *Fleet) AnnounceURLs(first int) []string {
	running := f.Running()
	var out []string
	for i := range running {
		out = append(out, "http://"+running[(i+first)%len(running)].UpstreamsAddress())
	}
	return out
}

// host returns this process's loopback address. Connections are made from 127.0.0.1, so
// that no process takes the port of a stopped VM before it starts again.
func host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}

// freeAddress returns a loopback address whose port is free at present.
func freeAddress() (string, error) {
	l, err := net.ListenPacket("udp", host()+":0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer func() { _ = l.Close() }()
	return l.LocalAddr().String(), nil
}
