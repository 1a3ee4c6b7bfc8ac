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
)

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
	w := &Write{conn: conn, done: make(chan struct{}), err: net.ErrClosed}
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

// EndError returns the failure of the connection that the write received, or nil if there is none. It is called once the
// reader has received io.EOF, and ends a write that is still blocked in the connection.
func (w *Write) EndError() error {
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
