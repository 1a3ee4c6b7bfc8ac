package slopes

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/jasminecove/jasminecove/internal/standin/local"
)

// Sizes of the idle fleets.
const (
	idleSettle = 4 * time.Second
	idleSpan   = 5 * time.Second
	idleReady  = 30 * time.Second
	idleVoters = 3
)

// idleTables are the tables of the idle fleets.
const idleTables = "routes:\n  - {name: r, match: {pathPrefix: /r}, pool: p}\npools:\n  - {name: p, service: s}\n"

// idleSlopes measure whole VMs of this process that serve nothing: their links,
// timers, gossip and agreement.
func idleSlopes() []Slope {
	var share, sent, memory []Point
	for _, n := range []int{3, 6, 12, 18, 30} {
		c, b, h, err := idleFleet(n)
		if err != nil {
			return nil
		}
		share = append(share, Point{float64(n), c})
		sent = append(sent, Point{float64(n), b})
		memory = append(memory, Point{float64(n), h})
	}
	return []Slope{
		fit("idle VM, processor", "us/s a VM against VMs", share),
		fit("idle VM, sent on links without packet headers", "bytes/s a VM against VMs", sent),
		fit("idle VM, heap", "bytes a VM against VMs", memory),
	}
}

// idleFleet returns the processor time in us, the bytes sent and the heap bytes of
// one VM of n.
func idleFleet(n int) (share, sent, memory float64, err error) {
	folder, err := os.MkdirTemp("", "jasminecove-idle-")
	if err != nil {
		return 0, 0, 0, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	before := heap()
	f, err := local.New(local.Config{Folder: folder, VMs: n, Voters: idleVoters, DataCentres: 3, Tables: []byte(idleTables), Logs: io.Discard})
	if err != nil {
		return 0, 0, 0, err
	}
	if err := f.StartAll(context.Background(), idleReady); err != nil {
		return 0, 0, 0, err
	}
	defer f.Stop()
	time.Sleep(idleSettle)
	bytes := sentBytes(f)
	began := cpu()
	time.Sleep(idleSpan)
	per := float64(n) * idleSpan.Seconds()
	share = float64(cpu()-began) / float64(time.Microsecond) / per
	sent = float64(sentBytes(f)-bytes) / per
	return share, sent, (heap() - before) / float64(n), nil
}

func sentBytes(f *local.Fleet) (sum int64) {
	for _, n := range f.Running() {
		sum += n.Status().Links.SentBytes
	}
	return sum
}
