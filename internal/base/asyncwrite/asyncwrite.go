// Package asyncwrite writes to a connection beside the reader of the connection, and tells that reader of a failure that
// only the write received.
//
// The kernel reports the failure of a TCP connection once, to the call that comes first. If that is a write, the next read
// returns io.EOF, as it does after a regular end.
package asyncwrite

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/base/fault"
)

// errPanicked is the result of a write that panicked.
const errPanicked = fault.Sentinel("asyncwrite: the write panicked")

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// Write is a write to a connection that runs in its own goroutine.
type Write struct {
	conn net.Conn
	done chan struct{}
	err  error // Valid once done is closed.
}

// Start runs write, which writes to conn. The name says in logs what the goroutine does.
func Start(name string, conn net.Conn, write func() error) *Write {
	w := &Write{conn: conn, done: make(chan struct{}), err: errPanicked}
	crash.Go(name, func() {
		defer close(w.done)
		w.err = write()
	})
	return w
}

// IsComplete reports whether the write has returned without an error.
func (w *Write) IsComplete() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// Stop ends the write if it is still blocked, and returns the failure of the connection that it received, or nil if there
// is none. A reader that got io.EOF calls it to tell a regular end from a failure.
func (w *Write) Stop() error {
	// A write that received the failure has returned from the kernel before the reader received io.EOF, so that the
	// deadline does not hide the failure.
	_ = w.conn.SetWriteDeadline(expired)
	<-w.done
	var errno syscall.Errno
	// EPIPE means that the peer had ended its side regularly before the failure.
	if errors.As(w.err, &errno) && errno != syscall.EPIPE {
		return w.err
	}
	return nil
}
