package slopes

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/jasminecove/jasminecove/internal/standin/local"
)

// Durations and sizes of the runs of idle fleets.
const (
	idleSettleDelay  = 4 * time.Second
	idleDuration     = 5 * time.Second
	idleReadyTimeout = 30 * time.Second
	idleVoters       = 3
)

// idleTables is the tables document of the idle fleets.
const idleTables = "routes:\n  - {name: r, match: {pathPrefix: /r}, pool: p}\npools:\n  - {name: p, service: s}\n"

// idleSlopes measure VMs in this process that serve no requests: the cost of links,
// timers, gossip and consensus.
func idleSlopes() []Slope {
	var cpu, sent, memory []Point
	for _, n := range []int{3, 6, 12, 18, 30} {
		c, b, h, err := idleFleet(n)
		if err != nil {
			return nil
		}
		cpu = append(cpu, Point{float64(n), c})
		sent = append(sent, Point{float64(n), b})
		memory = append(memory, Point{float64(n), h})
	}
	return []Slope{
		fit("idle VM, processor", "us/s a VM against VMs", cpu),
		fit("idle VM, sent on links without packet headers", "bytes/s a VM against VMs", sent),
		fit("idle VM, heap", "bytes a VM against VMs", memory),
	}
}

// idleFleet runs a fleet of n idle VMs and returns, for one VM, the processor time in
// us per second, the bytes sent per second and the heap bytes.
func idleFleet(n int) (cpuMicros, sent, memory float64, err error) {
	folder, err := os.MkdirTemp("", "jasminecove-idle-")
	if err != nil {
		return 0, 0, 0, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	before := heapBytes()
	f, err := local.New(local.Config{Folder: folder, VMs: n, Voters: idleVoters, DataCentres: 3, Tables: []byte(idleTables), Logs: io.Discard})
	if err != nil {
		return 0, 0, 0, err
	}
	if err := f.StartAll(context.Background(), idleReadyTimeout); err != nil {
		return 0, 0, 0, err
	}
	defer f.Stop()
	time.Sleep(idleSettleDelay)
	bytes := sentBytes(f)
	began := cpuTime()
	time.Sleep(idleDuration)
	vmSeconds := float64(n) * idleDuration.Seconds()
	cpuMicros = float64(cpuTime()-began) / float64(time.Microsecond) / vmSeconds
	sent = float64(sentBytes(f)-bytes) / vmSeconds
	return cpuMicros, sent, (heapBytes() - before) / float64(n), nil
}

// sentBytes returns the bytes that all running VMs have sent on their links.
func sentBytes(f *local.Fleet) (sum int64) {
	for _, n := range f.Running() {
		sum += n.Status().Links.SentBytes
	}
	return sum
}
