package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/inbound"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
)

// heldBody is a body that was read before the tables were known, and what was not read of it. It frees each chunk
// once it has been read from it.
type heldBody struct {
	start   *starting
	account *inbound.Account
	close   func() // Closes the account; may be nil.
	taken   int    // Bytes that are counted for the body.
	charged int    // Bytes that are charged to the account.
	chunks  [][]byte
	offset  int // In the first chunk.
	rest    io.ReadCloser
}

// readEarly reads a body up to the default maximum size and replaces the body of the request by one that reads
// from memory. Its caller is patient for the deadline that it names; a slow one must not keep its place for longer
// than the window.
func (h *Handler) readEarly(ctx context.Context, x *exchange.Exchange, b *heldBody) error {
	if x.R.ContentLength == 0 {
		return nil
	}
	limit := h.cfg.StartWindow
	if d := headerMillis(x.R.Header, h.cfg.Dialect.Deadline); d > 0 {
		limit = min(limit, d)
	}
	control := http.NewResponseController(x.W)
	if err := control.SetReadDeadline(x.Received.Add(limit.Std())); err != nil {
		return refusal.New(refusal.Internal, http.StatusServiceUnavailable, "the body cannot be read").WithCause(err)
	}
	if err := b.fill(ctx, x.R.Body, x.R.ContentLength); errors.Is(err, errStartFull) {
		return err
	} else if err != nil {
		return refusal.New(refusal.BadRequest, http.StatusRequestTimeout, "the body did not arrive in time").WithCause(err)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return refusal.New(refusal.Internal, http.StatusServiceUnavailable, "the connection cannot be watched").WithCause(err)
	}
	x.R.Body = b
	return nil
}

// fill reads a body of a declared length, or -1, until its end or the default maximum size. A declared length is
// counted at once, so that bodies that do not fit together are not all cut off half-way. The memory budget of callers
// is charged as bytes arrive.
func (b *heldBody) fill(ctx context.Context, body io.ReadCloser, declared int64) error {
	if declared > 0 && !b.take(int(declared)) {
		return errStartFull
	}
	size := int64(firstChunkBytes)
	for read := int64(0); read < DefaultMaxBodyBytes; size = heldChunkBytes {
		if declared > 0 {
			size = min(size, declared-read)
		} else if !b.take(int(size)) {
			return errStartFull
		}
		if b.account.Take(ctx, int(size)) != nil {
			return errStartFull
		}
		b.charged += int(size)
		chunk, err := make([]byte, 0, size), error(nil)
		b.chunks = append(b.chunks, chunk)
		for err == nil && len(chunk) < cap(chunk) {
			var n int
			n, err = body.Read(chunk[len(chunk):cap(chunk)])
			chunk = chunk[:len(chunk)+n]
		}
		b.account.Progress()
		b.chunks[len(b.chunks)-1] = chunk
		read += int64(len(chunk))
		// A truncated body ends with io.ErrUnexpectedEOF.
		if errors.Is(err, io.EOF) || err == nil && read == declared {
			return nil
		}
		if err != nil {
			return err
		}
	}
	b.rest = body
	return nil
}

func (b *heldBody) take(n int) bool {
	ok := b.start.take(b.taken, n)
	if ok {
		b.taken += n
	}
	return ok
}

func (b *heldBody) give(n int) {
	b.start.give(n)
	b.taken -= n
}

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	for len(b.chunks) > 0 {
		n := copy(p, b.chunks[0][b.offset:])
		b.offset += n
		if b.offset == len(b.chunks[0]) {
			b.drop()
		}
		if n > 0 || len(p) == 0 {
			return n, nil
		}
	}
	if b.rest == nil {
		return 0, io.EOF
	}
	return b.rest.Read(p)
}

// Close implements io.Closer.
func (b *heldBody) Close() error {
	b.release()
	return nil
}

// release frees what has not been read.
func (b *heldBody) release() {
	for len(b.chunks) > 0 {
		b.drop()
	}
	b.give(b.taken)
	b.account.Return(b.charged)
	b.charged = 0
	if b.close != nil {
		b.close()
		b.close = nil
	}
}

// drop frees the first chunk.
func (b *heldBody) drop() {
	b.give(cap(b.chunks[0]))
	b.account.Return(cap(b.chunks[0]))
	b.charged -= cap(b.chunks[0])
	b.chunks[0] = nil
	b.chunks, b.offset = b.chunks[1:], 0
}
