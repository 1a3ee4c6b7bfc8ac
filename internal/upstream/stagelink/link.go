// Package stagelink keeps one long-lived stage stream to each engine. Many
// sessions share a stream; frames that wait together are written together. A
// probe at the application's level finds streams that went silent, which are
// replaced while the sessions on them go on.
package stagelink

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// Failures of a link.
const (
	ErrSilent  = fault.Sentinel("stagelink: the stream went silent")
	ErrClosed  = fault.Sentinel("stagelink: the link is closed")
	ErrRefused = fault.Sentinel("stagelink: the engine did not upgrade the stream")
)

// Defaults of a link.
const (
	defaultProbeEvery = 150 * clock.Millisecond
	defaultSilence    = 600 * clock.Millisecond
	defaultRedial     = 300 * clock.Millisecond
	// outQueue bounds the frames that wait to be written.
	outQueue = 8192
	// retryDelay is the span between dials of an unreachable engine.
	retryDelay = 100 * time.Millisecond
)

// EventKind says what happened to a session's replica.
type EventKind int

// Kinds of events.
const (
	FrameEvent   EventKind = iota // A frame arrived.
	ResumedEvent                  // The stream was replaced; frames may be lost.
	LostEvent                     // The engine cannot be reached.
	LeavingEvent                  // The engine is leaving; it still works.
)

// Event is one thing that a session must know of a replica.
type Event struct {
	Kind    EventKind
	Replica string
	Frame   *upstreampb.StageFrame
}

// Mailbox receives a session's events. It is unbounded, so that one slow
// session cannot hold up the others on its stream.
type Mailbox struct {
	mu     sync.Mutex
	events []Event
	wake   chan struct{}
}

// NewMailbox returns an empty Mailbox.
func NewMailbox() *Mailbox { return &Mailbox{wake: make(chan struct{}, 1)} }

// Put adds an event.
func (m *Mailbox) Put(e Event) {
	m.mu.Lock()
	m.events = append(m.events, e)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Wake carries a value when events may be waiting.
func (m *Mailbox) Wake() <-chan struct{} { return m.wake }

// Take moves all waiting events into buf and returns it.
func (m *Mailbox) Take(buf []Event) []Event {
	m.mu.Lock()
	buf = append(buf[:0], m.events...)
	clear(m.events)
	m.events = m.events[:0]
	m.mu.Unlock()
	return buf
}

// Link is the stream to one engine.
type Link struct {
	replica    string
	address    string
	probeEvery clock.Duration
	silence    clock.Duration
	redial     clock.Duration
	notify     func(replica string, down bool)

	out    chan *upstreampb.StageFrame
	up     atomic.Bool
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex
	sessions map[uint64]*Mailbox

	silences atomic.Int64
	redials  atomic.Int64
	stray    atomic.Int64
}

// Open starts a link to the engine at address. Close ends it.
func Open(ctx context.Context, replica, address string, opts ...Option) *Link {
	l := &Link{
		replica:    replica,
		address:    address,
		probeEvery: defaultProbeEvery,
		silence:    defaultSilence,
		redial:     defaultRedial,
		out:        make(chan *upstreampb.StageFrame, outQueue),
		done:       make(chan struct{}),
		sessions:   map[uint64]*Mailbox{},
	}
	for _, opt := range opts {
		opt(l)
	}
	l.up.Store(true)
	l.ctx, l.cancel = context.WithCancel(ctx)
	go l.run(l.ctx)
	return l
}

// Close ends the link and waits for its goroutines.
func (l *Link) Close() {
	l.cancel()
	<-l.done
}

// Address returns the engine's host and port.
func (l *Link) Address() string { return l.address }

// Up reports whether the engine is thought to be reachable.
func (l *Link) Up() bool { return l.up.Load() }

// Stats are counts of a link's life.
type Stats struct {
	Silences int64 // Streams found silent.
	Redials  int64 // Streams replaced.
	Stray    int64 // Frames for no session here.
}

// Stats returns the link's counts.
func (l *Link) Stats() Stats {
	return Stats{Silences: l.silences.Load(), Redials: l.redials.Load(), Stray: l.stray.Load()}
}

// Join delivers the frames of a session to m.
func (l *Link) Join(session uint64, m *Mailbox) {
	l.mu.Lock()
	l.sessions[session] = m
	l.mu.Unlock()
	if !l.up.Load() {
		m.Put(Event{Kind: LostEvent, Replica: l.replica})
	}
}

// Part ends the delivery of a session's frames.
func (l *Link) Part(session uint64) {
	l.mu.Lock()
	delete(l.sessions, session)
	l.mu.Unlock()
}

// Send queues a frame. A frame that is lost with its stream is answered by a
// ResumedEvent or LostEvent to its session.
func (l *Link) Send(f *upstreampb.StageFrame) {
	select {
	case l.out <- f:
	case <-l.done:
	}
}

// Leaving tells every session on the link that the engine is leaving.
func (l *Link) Leaving() { l.tellAll(LeavingEvent) }

func (l *Link) tellAll(kind EventKind) {
	l.mu.Lock()
	boxes := make([]*Mailbox, 0, len(l.sessions))
	for _, m := range l.sessions {
		boxes = append(boxes, m)
	}
	l.mu.Unlock()
	for _, m := range boxes {
		m.Put(Event{Kind: kind, Replica: l.replica})
	}
}

// deliver hands a frame to its session.
func (l *Link) deliver(f *upstreampb.StageFrame) {
	l.mu.Lock()
	m := l.sessions[f.Session]
	l.mu.Unlock()
	if m == nil {
		l.stray.Add(1)
		return
	}
	m.Put(Event{Kind: FrameEvent, Replica: l.replica, Frame: f})
}

// run keeps a stream open until ctx ends.
func (l *Link) run(ctx context.Context) {
	defer close(l.done)
	first := true
	for ctx.Err() == nil {
		s, err := l.connect(ctx)
		if err != nil {
			if ctx.Err() == nil {
				l.lost(ctx)
			}
			continue
		}
		l.setUp(true)
		if !first {
			l.redials.Add(1)
			l.tellAll(ResumedEvent)
		}
		first = false
		if err := s.serve(ctx); err == ErrSilent {
			l.silences.Add(1)
		}
	}
	// The link was dropped, which says nothing of the engine's present address.
	l.up.Store(false)
	l.tellAll(LostEvent)
}

func (l *Link) setUp(up bool) {
	if l.up.Swap(up) != up && l.notify != nil && l.ctx.Err() == nil {
		l.notify(l.replica, !up)
	}
}

// connect dials until it succeeds or the redial bound has passed.
func (l *Link) connect(ctx context.Context) (*stream, error) {
	ctx, cancel := context.WithTimeout(ctx, l.redial.Std())
	defer cancel()
	const pause = 20 * time.Millisecond
	for {
		s, err := dial(ctx, l)
		if err == nil {
			return s, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("dial %s: %w", l.address, err)
		case <-time.After(pause):
		}
	}
}

// lost tells the sessions and drops what waits to be written.
func (l *Link) lost(ctx context.Context) {
	l.setUp(false)
	l.tellAll(LostEvent)
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	for {
		select {
		case <-l.out:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
