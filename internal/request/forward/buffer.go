package forward

import (
	"errors"
	"io"
	"sync"
)

// Limits of the responses that are buffered until they are complete.
const (
	// maxResponseBytes bounds one response, and maxBufferedBytes all of them at a time: upstreams
	// in trouble may send bytes without end.
	maxResponseBytes = 16 << 20
	maxBufferedBytes = 32 << 20
	// responseChunkBytes is the size in which buffers grow.
	responseChunkBytes = 32 << 10
)

// buffers counts the bytes of the responses that are being buffered.
type buffers struct {
	mu   sync.Mutex
	used int
}

func (b *buffers) take(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > maxBufferedBytes {
		return false
	}
	b.used += n
	return true
}

func (b *buffers) give(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// readAll reads a response's body. It fails if the body is too large, alone or with the other
// responses that are being buffered. release must be called once the body is no longer needed.
func (b *buffers) readAll(r io.Reader) (body []byte, release func(), err error) {
	taken := 0
	release = func() { b.give(taken) }
	for {
		if cap(body) == len(body) {
			// A slice that grows is copied, so that both copies count.
			grow := max(responseChunkBytes, len(body))
			if len(body)+grow > maxResponseBytes+responseChunkBytes || !b.take(grow) {
				return nil, release, errResponseTooLarge
			}
			taken += grow
			body = append(make([]byte, 0, len(body)+grow), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, release, nil
		}
		if err != nil {
			return body, release, err
		}
	}
}
