package call

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/crash"
)

// Limits of idle connections.
const (
	// maxIdlePerAddress bounds the idle connections to one upstream.
	maxIdlePerAddress = 32
	// defaultIdleTimeout is how long a connection is kept if the upstream sends no
	// Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// keepAliveShare is the share of the upstream's Keep-Alive timeout for which a
	// connection is kept, so that the upstream does not close it while a request is in
	// transit.
	keepAliveShare = 0.5
	// defaultDialTimeout bounds the time to open a connection. An upstream whose accept
	// queue is full drops the SYN, which is retransmitted only after a second.
	defaultDialTimeout = 500 * time.Millisecond
)

// silenceTimeout is how long an upstream may send nothing while a request waits for its response, before it is
// reported as silent.
const silenceTimeout = 300 * time.Millisecond

// heardLifetime is how long the time is kept at which an upstream last sent something.
const heardLifetime = 1 * time.Minute

// Dial opens a connection to an upstream, like net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// DialTCP opens a TCP connection. Neither keep-alive probes nor a user timeout end it while it is silent.
func DialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	return d.DialContext(ctx, network, address)
}

// Pool holds idle connections to upstreams for reuse. It is safe for concurrent use.
type Pool struct {
	dial     Dial
	mayReuse func() bool
	onSilent func(address string) // May be nil.

	mu    sync.Mutex
	idle  map[string][]*conn       // By address, the newest last.
	heard map[string]*atomic.Int64 // By address: when an upstream last sent something, as a Unix time in ns.
}

// Option configures a Pool.
type Option func(*Pool)

// WithDial sets how connections are opened; nil stands for direct TCP connections.
func WithDial(dial Dial) Option {
	return func(p *Pool) {
		if dial != nil {
			p.dial = dial
		}
	}
}

// WithReuse sets the function that reports whether idle connections may be used at present.
func WithReuse(mayReuse func() bool) Option { return func(p *Pool) { p.mayReuse = mayReuse } }

// WithSilence sets the function that is called with the address of an upstream that sends nothing on any connection
// while a request waits for the beginning of its response.
func WithSilence(onSilent func(address string)) Option {
	return func(p *Pool) { p.onSilent = onSilent }
}

// NewPool returns an empty pool.
func NewPool(opts ...Option) *Pool {
	p := &Pool{dial: DialTCP, mayReuse: func() bool { return true }, idle: map[string][]*conn{}, heard: map[string]*atomic.Int64{}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// take returns a connection to an address: an idle one that is still usable, or a new one.
func (p *Pool) take(ctx context.Context, address string, r Request) (*conn, error) {
	if !r.Fresh {
		for c := p.pop(address); c != nil; c = p.pop(address) {
			if time.Now().Before(c.expires) && p.mayReuse() && reusable(c.Conn) {
				return c, nil
			}
			_ = c.Close()
		}
	}
	timeout := r.DialTimeout
	if timeout == 0 {
		timeout = defaultDialTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	nc, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return p.newConn(nc, address), nil
}

// watchSilence reports the upstream of a request as silent unless it sends something in time. The caller must call stop
// when the response begins.
func (p *Pool) watchSilence(c *conn) (stop func() bool) {
	if p.onSilent == nil {
		return func() bool { return true }
	}
	sent := time.Now().UnixNano()
	return time.AfterFunc(silenceTimeout, func() {
		defer crash.Recover("report of a silent upstream")
		if c.heard.Load() < sent {
			p.onSilent(c.address)
		}
	}).Stop
}

// heardFrom returns when an upstream last sent something.
func (p *Pool) heardFrom(address string) *atomic.Int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.heard[address]
	if at == nil {
		at = &atomic.Int64{}
		p.heard[address] = at
	}
	return at
}

// Probe opens a connection to an address and adds it to the idle connections.
func (p *Pool) Probe(ctx context.Context, address string) error {
	nc, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("connect to %s: %w", address, err)
	}
	p.put(p.newConn(nc, address), nil)
	return nil
}

// pop removes and returns the newest idle connection to an address, or nil.
func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return c
}

// put adds a connection that can carry another request to the idle connections. header is
// that of the last response, if any.
func (p *Pool) put(c *conn, header http.Header) {
	c.reused = c.reused || header != nil
	c.expires = time.Now().Add(idleTimeout(header))
	_, checkable := c.Conn.(syscall.Conn)
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[c.address]
	if len(idle) >= maxIdlePerAddress || !checkable {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(idle, c)
}

// idleTimeout returns how long a connection may be kept according to the Keep-Alive header.
func idleTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(keepAliveShare * float64(seconds) * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}

// Sweep closes the idle connections that have expired.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, at := range p.heard {
		if now.UnixNano()-at.Load() > int64(heardLifetime) {
			delete(p.heard, address)
		}
	}
	for address, idle := range p.idle {
		unexpired := idle[:0]
		for _, c := range idle {
			if now.Before(c.expires) {
				unexpired = append(unexpired, c)
				continue
			}
			_ = c.Close()
		}
		p.idle[address] = unexpired
		if len(unexpired) == 0 {
			delete(p.idle, address)
		}
	}
}

// DropAll closes all idle connections.
func (p *Pool) DropAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, idle := range p.idle {
		for _, c := range idle {
			_ = c.Close()
		}
	}
	clear(p.idle)
}

// Drop closes the idle connections to an address.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// reusable reports whether an idle connection is open and has no data to read. Data on an
// idle connection belongs to no request.
func reusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && open
}
