// Package engine is a stand-in for a model engine that holds a range of layers.
// It announces itself, batches continuously at a configured speed, serves stage
// streams, exports and imports caches, accepts orders with fencing numbers, and
// has faults that can be switched on at run time.
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

// Defaults and limits of an engine.
const (
	defaultTokensPerSecond = 2000.0
	defaultLease           = 1500 * clock.Millisecond
	prefillSpeedup         = 10.0 // Speed of prefill as a multiple of the speed of decode.
	maxQueuedFrames        = 1 << 14
	maxSessionsInCache     = 1 << 14
)

// Engine is one stand-in engine.
type Engine struct {
	id                 string
	name               string
	version            string
	modelLayers        uint32
	layerFrom          uint32
	layerTo            uint32
	tokensPerSecond    float64 // In decode.
	accelerator        string
	dataCentre         string
	linkDelay          clock.Duration
	linkBytesPerSecond float64 // 0 means no limit.
	positionBytes      int     // Size of one position between stages.
	announceTo         []string
	lease              clock.Duration
	ignoreFencing      bool

	mu       sync.Mutex
	sessions map[uint64]*sessionState
	streams  map[*stream]struct{}
	faults   Faults
	fencing  uint64
	orders   map[string]*upstreampb.OrderReply
	tokens   uint64 // Positions processed in decode since the start.
	useCount uint64 // Number of uses of all sessions; orders them for eviction.

	jobs      chan job
	server    *http.Server
	listener  net.Listener
	announcer *announcer.Announcer
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

// New returns an engine with the given id. Call Start to serve.
func New(id string, opts ...Option) *Engine {
	e := &Engine{
		id:              id,
		tokensPerSecond: defaultTokensPerSecond,
		accelerator:     "standin",
		positionBytes:   model.HiddenBytes,
		lease:           defaultLease,
		sessions:        map[uint64]*sessionState{},
		streams:         map[*stream]struct{}{},
		orders:          map[string]*upstreampb.OrderReply{},
		jobs:            make(chan job, maxQueuedFrames),
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

// Tokens returns the number of positions processed in decode since the start.
func (e *Engine) Tokens() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens
}

// Sessions returns the number of sessions in the engine's cache.
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
	e.announcer = announcer.New(e.announceTo, e.announcement)
	e.done.Add(3)
	go func() { defer e.done.Done(); _ = e.server.Serve(listener) }()
	go func() { defer e.done.Done(); e.runBatches(ctx) }()
	go func() { defer e.done.Done(); e.announcer.Run(ctx) }()
	return nil
}

// Kill stops the engine at once and closes its connections, as a crash would.
func (e *Engine) Kill() {
	e.cancel()
	_ = e.server.Close()
	e.mu.Lock()
	for s := range e.streams {
		s.close()
	}
	e.mu.Unlock()
	e.done.Wait()
}

// Leave announces that the engine is leaving. The engine continues to serve.
func (e *Engine) Leave() {
	e.mu.Lock()
	e.faults.Leaving = true
	e.mu.Unlock()
	e.announcer.AnnounceNow()
}

// announcement returns the present announcement, or nil while announcements are
// switched off.
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
		Accelerator: e.accelerator, TokensPerSecond: e.tokensPerSecond,
		Address: e.listener.Addr().String(), Leaving: e.faults.Leaving,
		LeaseMs: uint32(e.lease), DataCentre: e.dataCentre,
		LinkBytesPerSecond: e.linkBytesPerSecond, PositionBytes: uint32(e.positionBytes), Fencing: e.fencing,
		Load: &upstreampb.LoadReport{Running: uint32(len(e.sessions)), Queued: uint32(len(e.jobs)), CacheUsed: used},
	}
}
