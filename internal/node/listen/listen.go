// Package listen serves HTTP to untrusted clients. Each listener bounds its connections, the header sections
// that are being read, and the memory of each, before net/http sees them.
package listen

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/jasminecove/jasminecove/internal/request/inbound"
)

const (
	// maxParsedBytes is the limit of net/http for a header section, which the limits of the listener stay below.
	maxParsedBytes = 8 << 20
	// maxBacklog bounds the connections that the kernel holds until they are accepted.
	maxBacklog = 512
	// sendBufferBytes bounds what the kernel holds for a client that does not read. Without it that grew to 2.5 MB.
	sendBufferBytes = 64 << 10
	// sectionsPart is the part of the connections that may be in the middle of a header section.
	sectionsPart = 2
	// refusal is the response to a connection for which there is no room.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1\r\nConnection: close\r\n\r\n"
)

// Server serves HTTP on one address. Its methods may be called concurrently.
type Server struct {
	name     string
	http     *http.Server
	listener *net.TCPListener

	maxConnections int
	receiveBuffer  int
	current        func() Limits
	open           Accounts
	secure         *tls.Config
	log            hclog.Logger
	metrics        tally.Scope

	counters map[limit]tally.Counter
	opened   tally.Gauge
	sections atomic.Int64 // Connections in the middle of a header section.
	mu       sync.Mutex
	conns    map[*conn]struct{}
	noted    map[limit]notice
}

// notice is what was logged of a limit.
type notice struct {
	at    time.Time
	count int // Since then.
}

// limit is a limit that was reached.
type limit string

// Limits of a listener, as they are logged and counted.
const (
	refusedConnections limit = "refusedConnections" // No connection could be closed for another one.
	closedConnections  limit = "closedConnections"  // Closed for another one.
	closedSections     limit = "closedSections"     // Too many header sections were being read.
	closedHeaderSize   limit = "headerBytes"
	closedHeaderTime   limit = "headerTime"
	closedEmptyLines   limit = "emptyLines"
	closedNoMemory     limit = "headerMemory"  // The header section could not be charged.
	closedForMemory    limit = "memoryEvicted" // Evicted by the budget.
)

var allLimits = []limit{refusedConnections, closedConnections, closedSections, closedHeaderSize, closedHeaderTime, closedEmptyLines, closedNoMemory, closedForMemory}

// Open opens a listener. The name is that of its clients in logs and metrics. Serve serves them.
func Open(address, name string, handler http.Handler, opts ...Option) (*Server, error) {
	s := &Server{
		name: name, maxConnections: Divide(Descriptors(0), 0).Callers, receiveBuffer: maxReceiveBufferBytes, log: hclog.NewNullLogger(), metrics: tally.NoopScope,
		current: func() Limits { return Limits{} }, conns: map[*conn]struct{}{}, noted: map[limit]notice{}, counters: map[limit]tally.Counter{},
	}
	s.http = &http.Server{
		Handler: s.handler(handler), MaxHeaderBytes: maxParsedBytes, ConnContext: connContext,
		ConnState: func(c net.Conn, state http.ConnState) { c.(*conn).setState(state) },
		// conn.SetReadDeadline replaces both by the current limits.
		ReadHeaderTimeout: time.Hour, IdleTimeout: time.Hour,
	}
	for _, opt := range opts {
		opt(s)
	}
	for _, l := range allLimits {
		s.counters[l] = s.metrics.Tagged(map[string]string{"listener": name, "limit": string(l)}).Counter("connection_limits_total")
	}
	s.opened = s.metrics.Tagged(map[string]string{"listener": name}).Gauge("open_connections")
	config := net.ListenConfig{Control: s.setBuffers}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	s.listener = l.(*net.TCPListener)
	if err := s.setBacklog(); err != nil {
		_ = l.Close()
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	s.log.Info("listening", "listener", name, "address", l.Addr().String(), "maxConnections", s.maxConnections, "receiveBufferBytes", s.receiveBuffer)
	return s, nil
}

// setBuffers bounds the buffers of the listener, which accepted connections inherit.
func (s *Server) setBuffers(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = errors.Join(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, s.receiveBuffer),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBufferBytes))
	})
	if err != nil {
		return err
	}
	return failed
}

// setBacklog bounds the connections that were not accepted yet, whose bytes count as received.
func (s *Server) setBacklog() error {
	raw, err := s.listener.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), min(maxBacklog, s.maxConnections)) }); err != nil {
		return err
	}
	return failed
}

// Addr returns the address of the listener.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve serves connections until Shutdown or Close is called.
func (s *Server) Serve() error { return s.http.Serve(listener{s}) }

// Shutdown closes the listener and idle connections and waits for requests in progress.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes the listener and all connections.
func (s *Server) Close() error {
	_ = s.listener.Close() // Serve may not have been called.
	return s.http.Close()
}

// listener is a Server's listener as net/http sees it.
type listener struct{ s *Server }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.s.listener.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if !l.s.makeRoom() {
			l.s.note(refusedConnections)
			if l.s.secure == nil {
				_, _ = tcp.Write([]byte(refusal)) // The send buffer is empty, so this does not block.
			}
			_ = tcp.Close()
			continue
		}
		return l.s.add(tcp), nil
	}
}

// Close implements net.Listener.
func (l listener) Close() error { return l.s.listener.Close() }

// Addr implements net.Listener.
func (l listener) Addr() net.Addr { return l.s.listener.Addr() }

// makeRoom closes connections until there is room for another one, and reports whether there is.
func (s *Server) makeRoom() bool {
	for {
		s.mu.Lock()
		full := len(s.conns) >= s.maxConnections
		s.mu.Unlock()
		if !full {
			return true
		}
		if !s.closeLongestWaiting(closedConnections, func(*conn) bool { return true }) {
			return false
		}
	}
}

// closeLongestWaiting closes the connection among some whose client has made no progress for the longest time. It
// reports whether there was one.
func (s *Server) closeLongestWaiting(reason limit, among func(c *conn) bool) bool {
	now := time.Now()
	var longest *conn
	var since time.Time
	s.mu.Lock()
	for c := range s.conns {
		if at, ok := c.waitingSince(now); ok && (longest == nil || at.Before(since)) && among(c) {
			longest, since = c, at
		}
	}
	s.mu.Unlock()
	if longest == nil {
		return false
	}
	if longest.closeIfWaiting(now) {
		s.note(reason)
	}
	return true
}

// sectionBegan counts a header section that did not arrive at once, and closes the connection that has waited longest
// for the end of its own if there are too many.
func (s *Server) sectionBegan() {
	if s.sections.Add(1) > int64(max(1, s.maxConnections/sectionsPart)) {
		s.closeLongestWaiting(closedSections, (*conn).readsSection)
	}
}

// add returns the connection of a client.
func (s *Server) add(tcp *net.TCPConn) *conn {
	c := &conn{Conn: tcp, server: s, tcp: tcp, lastMoved: time.Now()}
	if s.secure != nil {
		c.Conn = tls.Server(tcp, s.secure)
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if s.open != nil {
		client, _, _ := net.SplitHostPort(tcp.RemoteAddr().String())
		c.account = s.open(client, c.evict)
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.opened.Update(float64(len(s.conns)))
	s.mu.Unlock()
	return c
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.opened.Update(float64(len(s.conns)))
}

// limits returns the current limits.
func (s *Server) limits() Limits { return s.current().withDefaults() }

// noticeInterval is the shortest time between two log lines about one limit.
const noticeInterval = time.Second

// note counts a limit that was reached, and logs it at most once a second.
func (s *Server) note(l limit) {
	s.counters[l].Inc(1)
	now := time.Now()
	s.mu.Lock()
	n := s.noted[l]
	n.count++
	due := now.Sub(n.at) >= noticeInterval
	if due {
		s.noted[l] = notice{at: now}
	} else {
		s.noted[l] = n
	}
	open := len(s.conns)
	s.mu.Unlock()
	if due {
		s.log.Warn("connection limit reached", "listener", s.name, "limit", string(l), "times", n.count, "connections", open)
	}
}

// connContext adds the connection to the contexts of its requests.
func connContext(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*conn); ok {
		if a, ok := c.account.(*inbound.Account); ok {
			ctx = inbound.NewContext(ctx, a)
		}
	}
	return context.WithValue(ctx, contextKey{}, c)
}

// handler tells each connection of its requests and of reads of their bodies.
func (s *Server) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(contextKey{}).(*conn)
		if ok {
			c.bodyBytes = r.ContentLength
			ctx, cancel := context.WithCancel(r.Context())
			defer cancel()
			c.setCancel(cancel)
			defer c.setCancel(nil)
			// net/http examines the body of its own request after the handler has returned.
			r = r.WithContext(ctx)
			if r.Body != http.NoBody {
				r.Body = &body{ReadCloser: r.Body, c: c}
			}
		}
		next.ServeHTTP(w, r)
	})
}
