package call

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Limits of kept connections.
const (
	// maxIdle bounds the kept connections to one upstream.
	maxIdle = 32
	// idleLife is how long a connection is kept when the upstream tells no span.
	idleLife = 4 * time.Second
	// safetyMargin is the part of the upstream's own idle span that is left unused, so
	// that it does not close a connection as a request is on its way.
	safetyMargin = 0.5
	// defaultDialTimeout bounds opening a connection. An upstream whose queue is full
	// drops the opening packet, which is repeated only after a second.
	defaultDialTimeout = 500 * time.Millisecond
)

// Pool keeps connections to upstreams. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn // The newest last.
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: map[string][]*conn{}, dialer: net.Dialer{KeepAlive: -1}}
}

// take returns a connection to an address: a kept one that is still sound, or a new
// one.
func (p *Pool) take(ctx context.Context, address string, r Request) (*conn, error) {
	if !r.Fresh {
		for c := p.pop(address); c != nil; c = p.pop(address) {
			if time.Now().Before(c.expires) && quiet(c.Conn) {
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
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return &conn{Conn: nc, address: address, reader: bufio.NewReaderSize(nc, readBuffer)}, nil
}

// Probe opens a connection to an address and keeps it for a request.
func (p *Pool) Probe(ctx context.Context, address string) error {
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("connect to %s: %w", address, err)
	}
	p.keep(&conn{Conn: nc, address: address, reader: bufio.NewReaderSize(nc, readBuffer)}, nil)
	return nil
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	return c
}

// keep takes back a connection that can carry another request.
func (p *Pool) keep(c *conn, header http.Header) {
	c.expires = time.Now().Add(keepSpan(header))
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[c.address]
	if len(kept) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(kept, c)
}

// keepSpan returns how long a connection may be kept by the upstream's word.
func keepSpan(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(safetyMargin * float64(seconds) * float64(time.Second))
		}
	}
	return idleLife
}

// Sweep closes the kept connections that are too old.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, kept := range p.idle {
		fresh := kept[:0]
		for _, c := range kept {
			if now.Before(c.expires) {
				fresh = append(fresh, c)
				continue
			}
			_ = c.Close()
		}
		p.idle[address] = fresh
		if len(fresh) == 0 {
			delete(p.idle, address)
		}
	}
}

// Drop closes the kept connections to an address.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// quiet reports whether a kept connection is open and has nothing to read. Bytes that
// came unasked belong to no request.
func quiet(c net.Conn) bool {
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
