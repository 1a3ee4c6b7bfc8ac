// Package stagelink keeps one long-lived stage stream to each engine. Many sessions share a
// stream, and queued frames are written in batches. Application-level probes detect streams
// that no longer carry data, which are replaced while their sessions continue.
package stagelink

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// Errors of a link.
const (
	ErrProbeTimeout = fault.Sentinel("stagelink: no reply to probes within the probe timeout")
	ErrClosed       = fault.Sentinel("stagelink: link closed")
	errPanicked     = fault.Sentinel("stagelink: the reader panicked")
	ErrNotUpgraded  = fault.Sentinel("stagelink: engine did not switch to the stage protocol")
)

// Defaults and limits of a link.
const (
	defaultProbeInterval = 150 * clock.Millisecond
	defaultProbeTimeout  = 600 * clock.Millisecond
	defaultRedialTimeout = 300 * clock.Millisecond
	// maxQueued bounds the frames that wait to be written.
	maxQueued = 8192
	// retryDelay is the delay before an unreachable engine is dialled again.
	retryDelay = 100 * time.Millisecond
)

// EventKind is the type of an event of a session's replica.
type EventKind int

// Kinds of events.
const (
	FrameEvent   EventKind = iota // A frame arrived.
	ResumedEvent                  // The stream was replaced; frames may have been lost.
	LostEvent                     // The engine is unreachable.
	LeavingEvent                  // The engine is leaving but still processes frames.
)

// Event is an event of a replica that is delivered to a session.
type Event struct {
	Kind    EventKind
	Replica string
	Frame   *upstreampb.StageFrame
}

// Mailbox is the queue of a session's events. It is unbounded, so that a slow session does
// not block the others on its stream.
type Mailbox struct {
	mu     sync.Mutex
	events []Event
	wake   chan struct{} // Has capacity 1.
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

// Wake returns a channel that receives a value when events may be queued.
func (m *Mailbox) Wake() <-chan struct{} { return m.wake }

// Take moves all queued events into buf, replacing its contents, and returns it.
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
	replica       string
	address       string
	probeInterval clock.Duration
	probeTimeout  clock.Duration
	redialTimeout clock.Duration
	notify        func(replica string, down bool)

	out    chan *upstreampb.StageFrame
	up     atomic.Bool
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex
	sessions map[uint64]*Mailbox

	probeTimeouts atomic.Int64
	redials       atomic.Int64
	unmatched     atomic.Int64
}

// Open starts a link to the engine at address. The caller must close it.
func Open(ctx context.Context, replica, address string, opts ...Option) *Link {
	l := &Link{
		replica:       replica,
		address:       address,
		probeInterval: defaultProbeInterval,
		probeTimeout:  defaultProbeTimeout,
		redialTimeout: defaultRedialTimeout,
		out:           make(chan *upstreampb.StageFrame, maxQueued),
		done:          make(chan struct{}),
		sessions:      map[uint64]*Mailbox{},
	}
	for _, opt := range opts {
		opt(l)
	}
	l.up.Store(true)
	l.ctx, l.cancel = context.WithCancel(ctx)
	crash.Go("stage link", func() { l.run(l.ctx) })
	return l
}

// Close closes the link and waits for its goroutines.
func (l *Link) Close() {
	l.cancel()
	<-l.done
}

// Address returns the engine's host and port.
func (l *Link) Address() string { return l.address }

// Up reports whether the engine is considered reachable.
func (l *Link) Up() bool { return l.up.Load() }

// Stats holds the counters of a link. Its field names are part of the status output.
type Stats struct {
	Silences int64 // Streams that failed the probe.
	Redials  int64 // Streams replaced.
	Stray    int64 // Frames for sessions that are not on the link.
}

// Stats returns the link's counters.
func (l *Link) Stats() Stats {
	return Stats{Silences: l.probeTimeouts.Load(), Redials: l.redials.Load(), Stray: l.unmatched.Load()}
}

// Subscribe delivers the events of a session to m.
func (l *Link) Subscribe(session uint64, m *Mailbox) {
	l.mu.Lock()
	l.sessions[session] = m
	l.mu.Unlock()
	if !l.up.Load() {
		m.Put(Event{Kind: LostEvent, Replica: l.replica})
	}
}

// Unsubscribe ends the delivery of a session's events.
func (l *Link) Unsubscribe(session uint64) {
	l.mu.Lock()
	delete(l.sessions, session)
	l.mu.Unlock()
}

// Send queues a frame. If the frame is lost with its stream, its session receives a
// ResumedEvent or LostEvent.
func (l *Link) Send(f *upstreampb.StageFrame) {
	select {
	case l.out <- f:
	case <-l.done:
	}
}

// NotifyLeaving notifies every session on the link that the engine is leaving.
func (l *Link) NotifyLeaving() { l.notifyAll(LeavingEvent) }

// notifyAll sends an event to every session on the link.
func (l *Link) notifyAll(kind EventKind) {
	l.mu.Lock()
	mailboxes := make([]*Mailbox, 0, len(l.sessions))
	for _, m := range l.sessions {
		mailboxes = append(mailboxes, m)
	}
	l.mu.Unlock()
	for _, m := range mailboxes {
		m.Put(Event{Kind: kind, Replica: l.replica})
	}
}

// deliver passes a frame to its session.
func (l *Link) deliver(f *upstreampb.StageFrame) {
	l.mu.Lock()
	m := l.sessions[f.Session]
	l.mu.Unlock()
	if m == nil {
		l.unmatched.Add(1)
		return
	}
	m.Put(Event{Kind: FrameEvent, Replica: l.replica, Frame: f})
}

// run keeps a stream open until ctx is cancelled.
func (l *Link) run(ctx context.Context) {
	defer close(l.done)
	first := true
	for ctx.Err() == nil {
		s, err := l.connect(ctx)
		if err != nil {
			if ctx.Err() == nil {
				l.markLost(ctx)
			}
			continue
		}
		l.setUp(true)
		if !first {
			l.redials.Add(1)
			l.notifyAll(ResumedEvent)
		}
		first = false
		crash.Contain("stage link stream", func() { err = s.serve(ctx) })
		if err == ErrProbeTimeout {
			l.probeTimeouts.Add(1)
		}
	}
	// The link was closed, which says nothing about the engine's present address, so notify
	// is not called.
	l.up.Store(false)
	l.notifyAll(LostEvent)
}

// setUp records whether the engine is reachable and reports changes to notify.
func (l *Link) setUp(up bool) {
	if l.up.Swap(up) != up && l.notify != nil && l.ctx.Err() == nil {
		l.notify(l.replica, !up)
	}
}

// connect dials the engine until it succeeds or the redial timeout has passed.
func (l *Link) connect(ctx context.Context) (*stream, error) {
	ctx, cancel := context.WithTimeout(ctx, l.redialTimeout.Std())
	defer cancel()
	const delay = 20 * time.Millisecond
	for {
		s, err := dial(ctx, l)
		if err == nil {
			return s, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("dial %s: %w", l.address, err)
		case <-time.After(delay):
		}
	}
}

// markLost notifies the sessions that the engine is unreachable and discards the queued
// frames for retryDelay.
func (l *Link) markLost(ctx context.Context) {
	l.setUp(false)
	l.notifyAll(LostEvent)
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
