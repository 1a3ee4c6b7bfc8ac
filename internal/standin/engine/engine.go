// Package engine is a stand-in for a model engine that holds a range of layers.
// It announces itself, batches continuously at a stated speed, serves stage
// streams, exports and imports caches, takes orders with fencing numbers, and
// can be told to fail in stated ways.
package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/standin/announcer"
	"github.com/jasminecove/jasminecove/internal/standin/model"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// Defaults of an engine.
const (
	defaultSpeed       = 2000.0
	defaultLease       = 1500 * clock.Millisecond
	prefillFactor      = 10.0
	queueFrames        = 1 << 14
	maxSessionsInCache = 1 << 14
)

// Engine is one stand-in engine.
type Engine struct {
	id            string
	name          string
	version       string
	modelLayers   uint32
	layerFrom     uint32
	layerTo       uint32
	speed         float64
	accelerator   string
	dataCentre    string
	linkDelay     clock.Duration
	linkRate      float64
	width         int
	announceTo    []string
	lease         clock.Duration
	ignoreFencing bool

	mu       sync.Mutex
	sessions map[uint64]*entry
	conns    map[*stream]struct{}
	faults   Faults
	fencing  uint64
	orders   map[string]*upstreampb.OrderReply
	tokens   uint64 // Positions run in decode since the start.
	uses     uint64 // Grows with each use of a session.

	work     chan job
	server   *http.Server
	listener net.Listener
	announce *announcer.Announcer
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// New returns an engine with the id. Start makes it serve.
func New(id string, opts ...Option) *Engine {
	e := &Engine{
		id:          id,
		speed:       defaultSpeed,
		accelerator: "standin",
		width:       model.HiddenBytes,
		lease:       defaultLease,
		sessions:    map[uint64]*entry{},
		conns:       map[*stream]struct{}{},
		orders:      map[string]*upstreampb.OrderReply{},
		work:        make(chan job, queueFrames),
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// ID returns the engine's id.
func (e *Engine) ID() string { return e.id }

// Address returns the host and port that the engine serves on.
func (e *Engine) Address() string { return e.listener.Addr().String() }

// Tokens returns the positions run in decode so far.
func (e *Engine) Tokens() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens
}

// Sessions returns the sessions whose cache the engine holds.
func (e *Engine) Sessions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions)
}

// Start listens on address and announces the engine until ctx ends.
func (e *Engine) Start(ctx context.Context, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.listener = listener
	ctx, e.cancel = context.WithCancel(ctx)
	e.server = &http.Server{Handler: e.handler(ctx), ReadHeaderTimeout: time.Second}
	e.announce = announcer.New(e.announceTo, e.announcement)
	e.done.Add(3)
	go func() { defer e.done.Done(); _ = e.server.Serve(listener) }()
	go func() { defer e.done.Done(); e.runBatches(ctx) }()
	go func() { defer e.done.Done(); e.announce.Run(ctx) }()
	return nil
}

// Kill ends the engine at once, as a crash would.
func (e *Engine) Kill() {
	e.cancel()
	_ = e.server.Close()
	e.mu.Lock()
	for c := range e.conns {
		c.close()
	}
	e.mu.Unlock()
	e.done.Wait()
}

// Leave announces that the engine is leaving. It goes on serving.
func (e *Engine) Leave() {
	e.mu.Lock()
	e.faults.Leaving = true
	e.mu.Unlock()
	e.announce.AnnounceNow()
}

func (e *Engine) announcement() *upstreampb.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.NoAnnounce {
		return nil
	}
	var used uint64
	for _, s := range e.sessions {
		if s.cache != nil {
			used += uint64(s.cache.Positions)
		}
	}
	return &upstreampb.Announcement{
		Id: e.id, Kind: "engine", Name: e.name, Version: e.version,
		LayerFrom: e.layerFrom, LayerTo: e.layerTo,
		Accelerator: e.accelerator, TokensPerSecond: e.speed,
		Address: e.listener.Addr().String(), Leaving: e.faults.Leaving,
		LeaseMs: uint32(e.lease), DataCentre: e.dataCentre,
		LinkBytesPerSecond: e.linkRate, PositionBytes: uint32(e.width), Fencing: e.fencing,
		Load: &upstreampb.LoadReport{Running: uint32(len(e.sessions)), Queued: uint32(len(e.work)), CacheUsed: used},
	}
}
