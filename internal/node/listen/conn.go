package listen

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/fault"
)

// errRefused reports a header section that was refused.
const errRefused = fault.Sentinel("listen: header section refused")

// Costs and limits of a header section.
const (
	// lineBytes is the memory of a header line apart from its text: a map entry, a slice and a string.
	lineBytes = 160
	// textFactor is how often the text of a line is held: in the buffer of the section and in its strings.
	textFactor    = 2
	maxEmptyLines = 64
	// headerSlackBytes is what a section may exceed the limit by. It covers the request line, which
	// callers may not count, and is the same as in net/http.
	headerSlackBytes = 4 << 10
)

const (
	// minProgressBytes is how much of a body must arrive to count as progress. A client that sends single
	// bytes makes none.
	minProgressBytes = 1 << 10
	// minStall is how long a client must have made no progress before its connection may be closed in the
	// middle of a request.
	minStall = 500 * time.Millisecond
	// writeTimeout bounds each write of a response. It exceeds the time for which a link is usually cut.
	writeTimeout = 30 * time.Second
	// answerTimeout bounds the write of a refusal, and lingerTimeout and maxLingerBytes the time and bytes for
	// which a refused client is read from, so that a reset does not overtake the refusal.
	answerTimeout  = 100 * time.Millisecond
	lingerTimeout  = 300 * time.Millisecond
	maxLingerBytes = 256 << 10
	// refusalRetryAfterS is the Retry-After of a refusal for lack of room.
	refusalRetryAfterS = 1
)

// conn is a connection of a client. It counts what arrives before net/http sees it.
type conn struct {
	net.Conn // TCP or TLS.
	server   *Server
	tcp      *net.TCPConn
	account  Account // Nil without a budget.
	ctx      context.Context
	cancel   context.CancelFunc

	closeAccount sync.Once

	// Fields of the goroutine that reads, of which net/http runs one at a time.
	section   section
	charged   int // For the header section.
	after     tail
	bodyBytes int64 // Length of the body of the current request, or negative.
	uncounted int   // Bytes of the body since the last progress.

	mu         sync.Mutex
	inRequest  bool // net/http has parsed the header section, and the response has not ended.
	readsBody  bool // The handler waits for bytes of the body.
	hasSection bool // A header section has begun and not ended.
	protected  bool // The request is being forwarded.
	// cancelRequest cancels the context of the request in progress; nil if there is none.
	cancelRequest context.CancelFunc
	watched       bool // checkHangUp is due.
	evicted       bool
	closed        bool
	lastMoved     time.Time // Last progress of the client.
	sectionFrom   time.Time
	pausedAt      time.Time // End of the last read of the body.
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	inRequest, readsBody := c.inRequest, c.readsBody
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if inRequest {
		c.countBody(p[:n])
		if n > 0 && !readsBody {
			c.watchHangUp()
		}
		return n, err
	}
	if err != nil && n == 0 {
		c.endSection(err, p)
		return 0, err
	}
	if status := c.countSection(p[:n]); status != 0 {
		c.refuse(status, p)
		// net/http closes the connection on this error without a response of its own.
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errRefused}
	}
	return n, err
}

// countSection counts bytes of a header section. It returns the status with which the section is refused, or 0.
func (c *conn) countSection(data []byte) int {
	first := c.section.bytes == 0
	was := c.section
	n, ended := c.section.add(data)
	limits := c.server.limits()
	switch {
	case c.section.emptyLines > maxEmptyLines:
		c.server.note(closedEmptyLines)
		return http.StatusBadRequest
	case c.section.bytes > limits.MaxHeaderBytes+headerSlackBytes:
		c.server.note(closedHeaderSize)
		return http.StatusRequestHeaderFieldsTooLarge
	}
	if !c.charge((c.section.lines-was.lines)*lineBytes + textFactor*(c.section.bytes-was.bytes)) {
		return http.StatusServiceUnavailable
	}
	c.after = tail{}
	if ended {
		c.after.add(data[n:])
		if c.account != nil {
			c.account.Progress() // What reads the body reports its progress.
		}
		return 0
	}
	c.after.add(data) // net/http may see the end of the section where its start was not seen here.
	if first {
		c.beginSection(limits)
	}
	return 0
}

// beginSection bounds the time for the rest of a header section that did not arrive at once.
func (c *conn) beginSection(limits Limits) {
	now := time.Now()
	c.mu.Lock()
	c.hasSection, c.sectionFrom, c.lastMoved = true, now, now
	c.mu.Unlock()
	_ = c.Conn.SetReadDeadline(now.Add(limits.HeaderTimeout)) // A closed connection fails the next read.
	c.server.sectionBegan()
}

// charge charges memory for the header section. It reports false if there is no room.
func (c *conn) charge(n int) bool {
	if c.account == nil || n == 0 {
		return true
	}
	if err := c.account.Take(c.ctx, n); err != nil {
		c.server.note(closedNoMemory)
		return false
	}
	c.charged += n
	return true
}

// countBody counts bytes that were read during a request.
func (c *conn) countBody(data []byte) {
	if len(data) == 0 {
		return
	}
	c.after.add(data)
	c.uncounted += len(data)
	if c.uncounted < minProgressBytes {
		return
	}
	c.uncounted = 0
	c.mu.Lock()
	c.lastMoved = time.Now()
	c.mu.Unlock()
}

// refuse answers a header section and ends the connection.
func (c *conn) refuse(status int, buffer []byte) {
	_ = c.SetWriteDeadline(time.Now().Add(answerTimeout))
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %d\r\n", refusalRetryAfterS)
	}
	if _, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 0\r\n%sConnection: close\r\n\r\n", status, http.StatusText(status), retry); err != nil {
		return
	}
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	for read := 0; read < maxLingerBytes; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		read += n
	}
}

// endSection answers a client whose header section was given up.
func (c *conn) endSection(err error, buffer []byte) {
	c.mu.Lock()
	began, evicted := c.hasSection, c.evicted
	c.mu.Unlock()
	if !began || !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	if !evicted {
		c.server.note(closedHeaderTime)
	}
	c.refuse(http.StatusRequestTimeout, buffer)
}

// setState follows the state of the connection in net/http.
func (c *conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive, http.StateHijacked:
		c.mu.Lock()
		c.inRequest, c.lastMoved, c.pausedAt = true, time.Now(), time.Time{}
		c.endSectionLocked()
		c.mu.Unlock()
		c.uncounted = 0
		c.bodyBytes = -1 // Unknown unless a handler runs: net/http answers some requests itself.
	case http.StateIdle:
		if c.charged > 0 {
			c.account.Return(c.charged)
			c.charged = 0
		}
		c.section = c.after.next(c.bodyBytes)
		c.after = tail{bytes: int64(c.section.bytes), recent: c.section.bytes, recentLines: c.section.lines, last: c.after.last}
		if !c.charge(c.section.lines*lineBytes + textFactor*c.section.bytes) {
			_ = c.Close()
		}
		c.section.bytes, c.section.lines = 0, 0 // The limit applies to what arrives from here on.
		c.mu.Lock()
		protected := c.protected
		c.inRequest, c.protected, c.lastMoved = false, false, time.Now()
		evicted := c.evicted
		c.mu.Unlock()
		if protected && c.account != nil {
			c.account.Protect(false)
		}
		if evicted {
			_ = c.Close()
		}
	}
}

// Write implements net.Conn. A client that does not read its responses is disconnected.
func (c *conn) Write(data []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // A closed connection fails the write.
	return c.Conn.Write(data)
}

// endSectionLocked records the end of a header section. The caller holds c.mu.
func (c *conn) endSectionLocked() {
	if c.hasSection {
		c.hasSection = false
		c.server.sections.Add(-1)
	}
}

// SetReadDeadline implements net.Conn. Before a request, the limits of the listener replace the times that net/http
// sets: the idle time until its first byte, and the time for the header section from then on.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	inRequest, began, from, evicted := c.inRequest, c.hasSection, c.sectionFrom, c.evicted
	c.mu.Unlock()
	now := time.Now()
	switch {
	case evicted:
		return nil // The time of the connection has passed.
	case inRequest || !t.After(now):
	case began:
		t = from.Add(c.server.limits().HeaderTimeout)
	default:
		t = now.Add(c.server.limits().IdleTimeout)
	}
	err := c.Conn.SetReadDeadline(t)
	if c.isEvicted() { // In the meantime, so that its deadline was replaced.
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// waitingSince returns since when the client has been waited for, and whether it is so that its connection may be
// closed.
func (c *conn) waitingSince(now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastMoved, c.isEvictable(now)
}

// isEvictable reports whether the connection may be closed in favour of others. The caller holds c.mu.
func (c *conn) isEvictable(now time.Time) bool {
	switch {
	case c.closed || c.protected || c.inRequest && !c.readsBody:
		return false
	case c.inRequest || c.hasSection:
		return now.Sub(c.lastMoved) >= minStall
	}
	return true
}

// closeIfWaiting closes the connection if its client is still waited for.
func (c *conn) closeIfWaiting(now time.Time) bool {
	c.mu.Lock()
	ok := c.isEvictable(now)
	if ok {
		c.evicted = true
		c.markClosed()
	}
	c.mu.Unlock()
	if ok {
		c.server.remove(c)
		c.cancel()
		_ = c.tcp.Close() // The goroutine of net/http closes the account.
	}
	return ok
}

// evict makes the read of the current request fail, so that it is answered with 408 where that is possible. A
// protected connection is closed after its response, since its account takes no more charges.
func (c *conn) evict() {
	c.mu.Lock()
	ok := !c.closed && !c.evicted
	protected := c.protected
	if ok {
		c.evicted = true
	}
	c.mu.Unlock()
	if !ok || protected {
		return
	}
	c.server.note(closedForMemory)
	c.cancel()
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // In the past.
}

// markClosed records that the connection is closed, and reports whether it was open. The caller holds c.mu.
func (c *conn) markClosed() bool {
	if c.closed {
		return false
	}
	c.closed = true
	c.endSectionLocked()
	return true
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	opened := c.markClosed()
	c.mu.Unlock()
	if opened {
		c.server.remove(c)
	}
	c.cancel()
	err := c.Conn.Close()
	if c.account != nil {
		c.closeAccount.Do(c.account.Close)
	}
	return err
}

// CloseWrite shuts down the writing side, so that the client reads the last response to its end.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// body is the body of a request. While it is read, the client is waited for.
type body struct {
	io.ReadCloser
	c *conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.c.beginBodyRead()
	defer b.c.endBodyRead()
	return b.ReadCloser.Read(p)
}

// beginBodyRead records that the client is waited for. The time since the last read does not count against it.
func (c *conn) beginBodyRead() {
	now := time.Now()
	c.mu.Lock()
	c.readsBody = true
	if !c.pausedAt.IsZero() {
		c.lastMoved = c.lastMoved.Add(now.Sub(c.pausedAt))
	}
	c.mu.Unlock()
}

func (c *conn) endBodyRead() {
	now := time.Now()
	c.mu.Lock()
	c.readsBody, c.pausedAt = false, now
	c.mu.Unlock()
}

func (c *conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// readsSection reports whether the connection is in the middle of a header section.
func (c *conn) readsSection() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasSection
}
