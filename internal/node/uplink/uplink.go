// Package uplink opens connections to upstreams, directly or through another VM that reaches them, and opens
// connections for other VMs.
package uplink

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/node/decision"
	"github.com/jasminecove/jasminecove/internal/routing/detour"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Timing and limits of connections.
const (
	// directHeadStart is how long a direct connection is waited for before another VM is asked for one beside it, and
	// peerHeadStart is the same for that VM and the next one.
	directHeadStart = 200 * time.Millisecond
	peerHeadStart   = 120 * time.Millisecond
	// maxPeers bounds the VMs that are asked for one connection. Those without links decline at once.
	maxPeers = 8
	// maxConfirmations is how many VMs with healthy links must have failed to reach an upstream before no further one is
	// asked.
	maxConfirmations = 2
	// openTimeout bounds a connection that is opened for another VM. After it and directHeadStart that VM's answer must
	// come before the connection is given up. controlHeadStart is how long the connection is waited for before the VM
	// checks its own links beside it.
	openTimeout      = 200 * time.Millisecond
	controlHeadStart = 60 * time.Millisecond
	// checkTimeout bounds a connection that checks the links, and checkInterval is the shortest time between two
	// checks because of silent upstreams.
	checkTimeout  = 250 * time.Millisecond
	checkInterval = 200 * clock.Millisecond
	// shareTime is how long after the beginning of a check others take its result over. Many upstreams may fail at a time.
	shareTime = 50 * clock.Millisecond
	// checkedLifetime is how long a direct connection proves that the links are healthy.
	checkedLifetime = 300 * clock.Millisecond
	// controls is how many other upstreams are connected to when one does not accept a connection. One that accepts
	// shows that the links are healthy.
	controls = 6
	// listLifetime is how old a list of the upstreams may be. There may be thousands.
	listLifetime = 50 * clock.Millisecond
	// probeTick is the interval at which lost links are probed if due.
	probeTick = 50 * time.Millisecond
)

// Config holds the settings and dependencies of an Uplink.
type Config struct {
	Clock  clock.Clock
	Source *rng.Source
	VM     string
	// Dial opens a direct connection; nil stands for TCP.
	Dial call.Dial
	// Fleet asks other VMs for connections.
	Fleet Fleet
	// Upstreams returns the addresses of the live upstreams.
	Upstreams func() []string
	// Admits reports whether connections to an upstream may be opened for other VMs.
	Admits func(address string) bool
	// MaxTunnels bounds the connections that are open for other VMs.
	MaxTunnels int
	// Take charges the memory of a connection for or through another VM and returns the function that returns the charge.
	Take func(ctx context.Context, vm string) (free func(), err error)
	// OnLost is called when the links were found lost. It must not block.
	OnLost  func()
	Log     *decision.Log
	Metrics tally.Scope
}

// Fleet is the other VMs.
type Fleet interface {
	// Tunnel asks a VM for a connection to an upstream. The connection is nil unless the reply says OPEN.
	Tunnel(ctx context.Context, vm string, t *fleetpb.Tunnel) (net.Conn, *fleetpb.TunnelReply, error)
	// TunnelPeers returns the VMs that may be asked.
	TunnelPeers() []detour.Peer
}

// Uplink opens connections to upstreams. It is safe for concurrent use.
type Uplink struct {
	cfg      Config
	detoured tally.Counter // Connections through another VM.
	opened   tally.Counter // Connections for another VM.
	lost     tally.Gauge

	known list

	mu        sync.Mutex
	core      *detour.Core
	checkedAt clock.Time // When a direct connection was last opened.
	suspectAt clock.Time // When the links were last checked because an upstream was silent.
	latest    *linkCheck // Nil before the first one.
	// rounds holds the connections for which other VMs are being asked, by upstream. Each is closed at the end.
	rounds  map[string]chan struct{}
	tunnels int
}

// New returns the Uplink of a VM.
func New(cfg Config) *Uplink {
	if cfg.Dial == nil {
		cfg.Dial = call.DialTCP
	}
	return &Uplink{
		cfg: cfg, core: detour.New(cfg.Source), rounds: map[string]chan struct{}{}, detoured: cfg.Metrics.Counter("detoured_connections_total"),
		opened: cfg.Metrics.Counter("tunnels_total"), lost: cfg.Metrics.Gauge("links_lost"),
	}
}

// list holds the live upstreams as of a time.
type list struct {
	mu        sync.Mutex
	at        clock.Time
	addresses []string
}

// upstreams returns the addresses of the live upstreams. The slice must not be changed.
func (u *Uplink) upstreams() []string {
	now := u.cfg.Clock.Now()
	u.known.mu.Lock()
	defer u.known.mu.Unlock()
	if u.known.at == 0 || now.Sub(u.known.at) >= listLifetime {
		u.known.at, u.known.addresses = now, u.cfg.Upstreams()
	}
	return u.known.addresses
}

// Lost reports whether this VM's own links to upstreams are considered lost.
func (u *Uplink) Lost() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.core.Lost()
}

func (u *Uplink) recordConnected(address string) {
	upstreams := len(u.upstreams())
	u.mu.Lock()
	defer u.mu.Unlock()
	was := u.core.Lost()
	u.core.Connected(address, upstreams)
	u.checkedAt = u.cfg.Clock.Now()
	if was && !u.core.Lost() {
		u.cfg.Log.Decision("linksRecovered", u.cfg.VM, "address", address)
		u.lost.Update(0)
	}
}

func (u *Uplink) recordFailed(address string) {
	upstreams := len(u.upstreams())
	u.mu.Lock()
	found := u.core.Failed(u.cfg.Clock.Now(), address, upstreams)
	u.mu.Unlock()
	u.suspect(found, address)
}

// recordDetoured records that another VM reached an upstream that this one did not.
func (u *Uplink) recordDetoured(vm, address string) {
	upstreams := len(u.upstreams())
	u.mu.Lock()
	u.core.PeerAnswered(vm)
	found := u.core.Detoured(u.cfg.Clock.Now(), address, upstreams)
	u.mu.Unlock()
	u.detoured.Inc(1)
	u.suspect(found, address)
}

// suspect acts on a suspicion of the links that arose at an upstream.
func (u *Uplink) suspect(found detour.Suspicion, address string) {
	switch found {
	case detour.Proven:
		u.lose(address)
	case detour.Unproven:
		go func() {
			defer crash.Recover("check of links")
			u.verify(address)
		}()
	case detour.None:
	}
}

// verify checks the links because of an upstream, and has them considered lost if they are not healthy.
func (u *Uplink) verify(address string) {
	if u.isHealthy(address) {
		return
	}
	upstreams := len(u.upstreams())
	u.mu.Lock()
	lost := u.core.Lose(u.cfg.Clock.Now(), upstreams)
	u.mu.Unlock()
	if lost {
		u.lose(address)
	}
}

// lose reports that the links are considered lost.
func (u *Uplink) lose(address string) {
	u.cfg.Log.Decision("linksLost", u.cfg.VM, "address", address)
	u.lost.Update(1)
	u.cfg.OnLost()
}

// Run probes lost links until ctx ends.
func (u *Uplink) Run(ctx context.Context) {
	delay.Every(ctx, probeTick, func() {
		if !u.Lost() {
			return
		}
		all := u.upstreams()
		u.mu.Lock()
		address := u.core.Probe(u.cfg.Clock.Now(), all)
		u.mu.Unlock()
		if address != "" {
			u.check(address)
		}
	})
}
