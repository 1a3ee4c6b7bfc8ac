package inbound

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/fault"
)

// ErrTooLarge reports a body that exceeds its limit.
const ErrTooLarge = fault.Sentinel("inbound: the body is larger than allowed")

// Sizes of bodies' buffers.
const (
	// firstChunkBytes is the first step of a buffer. A body within it is charged to the reserve alone.
	firstChunkBytes = 16 << 10
	// chunkBytes is the size of further steps.
	chunkBytes = 64 << 10
	// minProgressBytes is the number of bytes that count as progress, so that a client that sends
	// single bytes is evicted like one that sends none.
	minProgressBytes = 4 << 10
	// headerLineBytes is the charge for one line of a header section beside twice its length: a map
	// entry, a slice and a string. A line has minLineBytes at least.
	headerLineBytes = 160
	minLineBytes    = 4
)

// requestBytes returns the largest charge of a request. While a body is joined, its pieces are held too.
func requestBytes(maxBody, maxHeader int64, joined bool) int {
	body := maxBody + chunkBytes
	if joined {
		body += maxBody
	}
	header := maxHeader/minLineBytes*headerLineBytes + 2*maxHeader
	return int(body + header)
}

// minBodyRate is the rate, in bytes per second, at which a body of a control call must arrive at least.
const minBodyRate = 64 << 10

// LimitTime bounds the time for the body of a request to a base plus what its length, or the limit if that is
// unknown, takes at a low rate. Slow clients otherwise keep their connections. The returned function removes
// the bound.
func LimitTime(w http.ResponseWriter, r *http.Request, base time.Duration, limit int64) (unlimited func()) {
	size := limit
	if r.ContentLength >= 0 {
		size = min(limit, r.ContentLength)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(base + time.Duration(size)*time.Second/minBodyRate)) // A broken connection fails the read.
	return func() { _ = control.SetReadDeadline(time.Time{}) }
}

// ReadPieces reads a body of contentLength bytes, or of unknown length if that is negative, and of at most
// limit bytes. Memory is charged to the account before it is allocated, in steps, which are the pieces that it
// returns. release returns the charge and must be called once the body is no longer needed; it is never nil.
// After an error nothing is charged. The error is ErrTooLarge, ErrExhausted, ErrEvicted, or that of the
// context or of r.
func ReadPieces(ctx context.Context, a *Account, r io.Reader, contentLength, limit int64) (pieces [][]byte, release func(), err error) {
	b := newBodyReader(a, r, contentLength, limit)
	if err := b.readAll(ctx, contentLength, limit); err != nil {
		return nil, func() {}, b.fail(err)
	}
	return b.chunks, b.returnAll, nil
}

// ReadBody is like ReadPieces, and returns the body in one piece. While the pieces are joined, they and the
// result are charged.
func ReadBody(ctx context.Context, a *Account, r io.Reader, contentLength, limit int64) (body []byte, release func(), err error) {
	b := newBodyReader(a, r, contentLength, limit)
	err = b.readAll(ctx, contentLength, limit)
	if err == nil {
		body, err = b.join(ctx)
	}
	if err != nil {
		return nil, func() {}, b.fail(err)
	}
	return body, b.returnAll, nil
}

// bodyReader holds the steps of a body that is being read.
type bodyReader struct {
	account  *Account
	r        io.Reader
	expected int64 // Size at which no further byte is read.
	chunks   [][]byte
	size     int64
	charged  int
	fresh    int // Bytes since the last progress was reported.
	waited   time.Duration
}

func newBodyReader(a *Account, r io.Reader, contentLength, limit int64) *bodyReader {
	b := &bodyReader{account: a, r: r, expected: limit + 1}
	if contentLength >= 0 {
		b.expected = contentLength
	}
	return b
}

// fail returns the charge, and the reason why the body could not be read.
func (b *bodyReader) fail(err error) error {
	b.returnAll()
	var large *http.MaxBytesError
	switch {
	case b.account.Evicted():
		return ErrEvicted
	case errors.As(err, &large):
		return ErrTooLarge
	default:
		return err
	}
}

// readAll reads until the end or the expected size.
func (b *bodyReader) readAll(ctx context.Context, contentLength, limit int64) error {
	if contentLength > limit {
		return ErrTooLarge
	}
	for b.size < b.expected {
		last := len(b.chunks) - 1
		if last < 0 || len(b.chunks[last]) == cap(b.chunks[last]) {
			if err := b.grow(ctx); err != nil {
				return err
			}
			last++
		}
		chunk := b.chunks[last]
		n, err := b.r.Read(chunk[len(chunk):cap(chunk)])
		b.chunks[last] = chunk[:len(chunk)+n]
		b.size += int64(n)
		b.reportProgress(n)
		switch {
		case b.size > limit:
			return ErrTooLarge
		case errors.Is(err, io.EOF) && contentLength > 0 && b.size < contentLength:
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return nil
		case err != nil && b.size < b.expected:
			return err
		}
	}
	return nil
}

// grow charges and allocates the next step.
func (b *bodyReader) grow(ctx context.Context) error {
	step := chunkBytes
	if len(b.chunks) == 0 {
		step = firstChunkBytes
	}
	step = int(min(int64(step), b.expected-b.size))
	if err := b.take(ctx, step); err != nil {
		return err
	}
	b.chunks = append(b.chunks, make([]byte, 0, step))
	return nil
}

// join returns the body in one piece. A body of a single step is not copied.
func (b *bodyReader) join(ctx context.Context) ([]byte, error) {
	if len(b.chunks) <= 1 {
		if len(b.chunks) == 0 {
			return nil, nil
		}
		return b.chunks[0], nil
	}
	steps := b.charged
	if err := b.take(ctx, int(b.size)); err != nil {
		return nil, err
	}
	body := make([]byte, 0, b.size)
	for _, chunk := range b.chunks {
		body = append(body, chunk...)
	}
	b.chunks = nil
	b.charged -= steps
	b.account.Return(steps)
	return body, nil
}

// take charges n bytes. All waits of a body together are bounded like a single one.
func (b *bodyReader) take(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, maxWait.Std()-b.waited)
	defer cancel()
	start := time.Now()
	err := b.account.Take(ctx, n)
	b.waited += time.Since(start)
	if err != nil {
		return err
	}
	b.charged += n
	return nil
}

func (b *bodyReader) reportProgress(n int) {
	b.fresh += n
	if b.fresh >= minProgressBytes || b.size == b.expected {
		b.fresh = 0
		b.account.Progress()
	}
}

// returnAll returns the charge. Further calls have no effect.
func (b *bodyReader) returnAll() {
	b.chunks = nil
	b.account.Return(b.charged)
	b.charged = 0
}
