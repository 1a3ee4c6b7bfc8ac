// Package call sends HTTP/1.1 requests to upstreams and reads their answers, so that
// the sender always knows how far a request got. A request whose first byte was never
// written has not run; anything after that is unknown unless the upstream says more.
// Bytes that follow an answer end the connection and never reach a caller.
package call

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/fault"
)

// Failures of a call.
const (
	// ErrNotSent reports a request of which the upstream got nothing.
	ErrNotSent = fault.Sentinel("call: the request was not sent")
	// ErrNoAnswer reports a request that was sent and whose answer did not come.
	ErrNoAnswer = fault.Sentinel("call: no answer came")
	// ErrForeign reports an answer to another request.
	ErrForeign = fault.Sentinel("call: the answer belongs to another request")
)

// Limits of a call.
const (
	// inlineBody is the size up to which a body is written before the answer is read.
	// Larger ones are written beside it, because an upstream may answer early.
	inlineBody = 32 << 10
	readBuffer = 4 << 10
	// maxForeign is how many answers to other requests are skipped.
	maxForeign = 4
)

// Request is one request. Head is the request line and all headers with their empty
// line.
type Request struct {
	Method string
	Head   []byte
	Body   []byte
	// IDHeader and ID match the answer: one with another id belongs to an earlier
	// request and is skipped.
	IDHeader, ID string
	// Fresh asks for a connection that no other request has used.
	Fresh bool
	// DialTimeout bounds opening a connection.
	DialTimeout time.Duration
}

// Answer is the beginning of an answer. Close must follow.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, or -1 when it is not told.
	Length int64
	// Framed says that the body's end shows in its framing, and not only by the end
	// of the connection.
	Framed bool

	resp  *http.Response
	conn  *conn
	pool  *Pool
	wrote chan error // Nil when the body was written before.
	ended bool       // The body was read to its end.
	stop  func() bool
}

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	expires time.Time // When the upstream may close it.
}

// Do sends a request to an address and returns the beginning of its answer. The
// connection ends with ctx. The error wraps ErrNotSent or ErrNoAnswer.
func (p *Pool) Do(ctx context.Context, address string, r Request) (*Answer, error) {
	c, err := p.take(ctx, address, r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	a, err := p.exchange(c, r)
	if err == nil {
		a.stop = stop
		return a, nil
	}
	stop()
	_ = c.Close()
	if ctx.Err() != nil && !errors.Is(err, ErrNotSent) {
		err = fmt.Errorf("%w: %w", ErrNoAnswer, context.Cause(ctx))
	}
	return nil, err
}

// exchange writes the request and reads the answer's head.
func (p *Pool) exchange(c *conn, r Request) (*Answer, error) {
	var wrote chan error
	if len(r.Body) <= inlineBody {
		buffers := net.Buffers{r.Head, r.Body}
		n, err := buffers.WriteTo(c.Conn)
		if err != nil && n == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
		}
	} else {
		wrote = make(chan error, 1)
		go func() {
			buffers := net.Buffers{r.Head, r.Body}
			_, err := buffers.WriteTo(c.Conn)
			wrote <- err
		}()
	}
	resp, err := readHead(c, r) //nolint:bodyclose // Answer.Close ends or keeps the connection.
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
		resp:   resp, conn: c, pool: p, wrote: wrote,
	}, nil
}

// readHead reads answers until the one to this request.
func readHead(c *conn, r Request) (*http.Response, error) {
	for range maxForeign {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusContinue || resp.StatusCode == http.StatusProcessing {
			continue
		}
		id := resp.Header.Get(r.IDHeader)
		if id == r.ID || id == "" && resp.StatusCode >= http.StatusBadRequest {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, ErrForeign
}

// Read reads the body. io.EOF means that it is whole, as far as its framing tells.
func (a *Answer) Read(buf []byte) (int, error) {
	n, err := a.resp.Body.Read(buf)
	if errors.Is(err, io.EOF) {
		a.ended = true
	}
	return n, err
}

// Buffered returns how many bytes can be read without waiting.
func (a *Answer) Buffered() int { return a.conn.reader.Buffered() }

// Close ends the use of the answer. The connection is kept for another request only
// when nothing of this one is left on it.
func (a *Answer) Close() {
	live := a.stop == nil || a.stop()
	if live && a.ended && a.Framed && !a.resp.Close && a.bodyWritten() && a.conn.reader.Buffered() == 0 {
		a.pool.keep(a.conn, a.Header)
		return
	}
	_ = a.conn.Close()
}

// bodyWritten reports whether the request's body was written whole.
func (a *Answer) bodyWritten() bool {
	if a.wrote == nil {
		return true
	}
	select {
	case err := <-a.wrote:
		return err == nil
	default:
		return false
	}
}
