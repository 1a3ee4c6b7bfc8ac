// Package call sends HTTP/1.1 requests to upstreams and reads the responses, and reports
// how far each request got. A request of which no byte was written has not been executed;
// after that, whether it was executed is unknown unless the upstream reports it. A
// connection on which bytes follow a response is closed, and the bytes never reach a caller.
package call

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/asyncwrite"
	"github.com/jasminecove/jasminecove/internal/base/fault"
)

// Errors of a call.
const (
	// ErrNotSent reports a request of which no byte was sent to the upstream.
	ErrNotSent = fault.Sentinel("call: request not sent")
	// ErrNoResponse reports a request that was sent, at least in part, and got no response.
	ErrNoResponse = fault.Sentinel("call: no response received")
	// ErrMismatch reports responses that belong to other requests.
	ErrMismatch = fault.Sentinel("call: response belongs to another request")
	// ErrUnconfirmed reports a connection that could not be opened, although no other VM has found the upstream at
	// fault. The fault may be this VM's.
	ErrUnconfirmed = fault.Sentinel("call: no other VM confirms that the upstream is at fault")
	// ErrHeadTooLarge reports a response whose header is longer than maxHeadBytes.
	ErrHeadTooLarge = fault.Sentinel("call: response header too large")
	// ErrStatus reports a response whose status is none of HTTP's.
	ErrStatus = fault.Sentinel("call: response status out of range")
	// ErrCutOff reports a response without framing whose connection failed before its end.
	ErrCutOff = fault.Sentinel("call: connection failed within the response")
	// ErrBodyTooLarge reports a response whose body is longer than the reader accepts.
	ErrBodyTooLarge = fault.Sentinel("call: response body too large")
	// ErrMalformedHead reports a response whose head breaks the syntax of HTTP/1.1.
	ErrMalformedHead = fault.Sentinel("call: malformed response head")
)

// Limits of a call.
const (
	// maxInlineBytes is the size up to which a body is written before the response is read.
	// Larger bodies are written concurrently, because an upstream may respond early.
	maxInlineBytes  = 32 << 10
	readBufferBytes = 4 << 10
	// maxResponses bounds the responses read for one request, including interim responses
	// and responses to earlier requests, which are skipped.
	maxResponses = 4
	// maxHeadBytes bounds what is read up to the end of a response's header, with the skipped
	// responses before it: an upstream in trouble may send bytes without end.
	maxHeadBytes = 1 << 20
	maxStatus    = 599
)

// Request is a request to send. Head contains the request line, the headers and the empty
// line after them.
type Request struct {
	Method string
	Head   []byte
	Body   [][]byte // In pieces, which are not changed.
	// IDHeader and ID identify the response: one with another id belongs to an earlier
	// request and is skipped.
	IDHeader, ID string
	// Fresh requires a connection that no other request has used.
	Fresh bool
	// DialTimeout bounds the time to open a connection; 0 means the default.
	DialTimeout time.Duration
}

// bodyBytes returns the size of the body.
func (r Request) bodyBytes() int {
	n := 0
	for _, piece := range r.Body {
		n += len(piece)
	}
	return n
}

// Response is a response whose body is still to be read. The caller must close it.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, or -1 if unknown.
	Length int64
	// Framed reports whether the body has a length or chunked encoding, rather than ending
	// where the connection is closed.
	Framed bool

	resp   *http.Response
	conn   *conn
	pool   *Pool
	upload *asyncwrite.Write // Writes the request; nil if it was written first.
	ended  bool              // The body was read to its end.
	stop   func() bool       // Detaches the connection from the context.
}

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	expires time.Time // Until when it may be reused.
	reused  bool      // It has carried another request.
	heard   *atomic.Int64
	left    int // Bytes that may still be read before the end of a header; negative for no limit.
	head    headValidator
}

func (p *Pool) newConn(nc net.Conn, address string) *conn {
	c := &conn{Conn: nc, address: address, left: -1, heard: p.heardFrom(address)}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// Read implements net.Conn.
func (c *conn) Read(buf []byte) (int, error) {
	if c.left < 0 {
		return c.read(buf)
	}
	if c.left == 0 {
		return 0, ErrHeadTooLarge
	}
	if c.head.err != nil {
		return 0, c.head.err
	}
	n, err := c.read(buf[:min(len(buf), c.left)])
	c.left -= n
	if headErr := c.head.validate(buf[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

func (c *conn) read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	if n > 0 {
		c.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

// beginHead starts the validation of another head, of which some bytes may be buffered already.
func (c *conn) beginHead() error {
	c.head = headValidator{}
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.head.validate(buffered)
}

// Do sends a request to an address and returns its response once the headers are read. The
// connection is closed when ctx ends. An error wraps ErrNotSent or ErrNoResponse.
func (p *Pool) Do(ctx context.Context, address string, r Request) (*Response, error) {
	if ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, context.Cause(ctx))
	}
	c, err := p.take(ctx, address, r)
	if err == nil && ctx.Err() != nil {
		_ = c.Close()
		err = context.Cause(ctx)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	resp, err := p.exchange(c, r)
	if err == nil {
		resp.stop = stop
		return resp, nil
	}
	stop()
	_ = c.Close()
	if ctx.Err() != nil && !errors.Is(err, ErrNotSent) {
		err = fmt.Errorf("%w: %w", ErrNoResponse, context.Cause(ctx))
	}
	return nil, err
}

// exchange writes the request and reads the headers of the response.
func (p *Pool) exchange(c *conn, r Request) (*Response, error) {
	var upload *asyncwrite.Write
	if r.bodyBytes() <= maxInlineBytes {
		buffers := append(net.Buffers{r.Head}, r.Body...)
		n, err := buffers.WriteTo(c.Conn)
		if err != nil && n == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
		}
	} else {
		upload = asyncwrite.Start("request body", c.Conn, func() error {
			buffers := append(net.Buffers{r.Head}, r.Body...)
			_, err := buffers.WriteTo(c.Conn)
			return err
		})
	}
	stop := p.watchSilence(c)
	defer stop()
	resp, err := readHead(c, r) //nolint:bodyclose // Response.Close closes or keeps the connection.
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
		resp:   resp, conn: c, pool: p, upload: upload,
	}, nil
}

// readHead reads responses until the one to this request. A failure without an id is taken for
// it only on a connection that carried no request before, whose failure it could be.
func readHead(c *conn, r Request) (*http.Response, error) {
	c.left = maxHeadBytes
	defer func() { c.left = -1 }()
	for range maxResponses {
		if err := c.beginHead(); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
			resp.Body = newChunkedBody(c.reader)
		}
		if !IsStatus(resp.StatusCode) {
			return nil, ErrStatus
		}
		if resp.StatusCode < http.StatusOK { // An interim response.
			continue
		}
		id := resp.Header.Get(r.IDHeader)
		if id == r.ID || id == "" && resp.StatusCode >= http.StatusBadRequest && !c.reused {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, ErrMismatch
}

// ReadHead reads the head of one response from a connection that then carries another protocol, as strictly as Do. The
// reader returns what follows the head.
func ReadHead(nc net.Conn, req *http.Request) (*http.Response, *bufio.Reader, error) {
	c := &conn{Conn: nc, left: maxHeadBytes, heard: &atomic.Int64{}}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	resp, err := http.ReadResponse(c.reader, req)
	c.left = -1
	return resp, c.reader, err
}

// IsStatus reports whether a status is within the classes that HTTP defines. net/http reads any
// three digits and panics when some of them are written.
func IsStatus(status int) bool {
	return status >= http.StatusContinue && status <= maxStatus
}

// Read reads the body. It returns io.EOF when the body is complete according to its framing,
// or when the connection was closed regularly if the body is not framed.
func (r *Response) Read(buf []byte) (int, error) {
	n, err := r.resp.Body.Read(buf)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if !r.Framed && r.upload != nil {
		if failure := r.upload.Stop(); failure != nil {
			return n, fmt.Errorf("%w: %w", ErrCutOff, failure)
		}
	}
	r.ended = true
	return n, err
}

// ReadAll reads a body to its end, or returns ErrBodyTooLarge if it is longer than limit bytes.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, ErrBodyTooLarge
	}
	return data, err
}

// Buffered returns the number of bytes that can be read without blocking.
func (r *Response) Buffered() int { return r.conn.reader.Buffered() }

// Close releases the response. The connection is kept for another request only if the body
// was read to its end, the request was written completely and no further bytes are buffered.
func (r *Response) Close() {
	open := r.stop == nil || r.stop()
	if open && r.ended && r.Framed && !r.resp.Close && (r.upload == nil || r.upload.IsComplete()) && r.conn.reader.Buffered() == 0 {
		r.pool.put(r.conn, r.Header)
		return
	}
	_ = r.conn.Close()
}
