package listen

import (
	"context"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/crash"
)

// hangUpInterval is the interval at which a connection is checked for its end while nothing reads from it.
const hangUpInterval = 100 * time.Millisecond

// CheckClient returns an error if the client of a request has left, and cancels the request's context then. It also
// finds what net/http has not noticed yet, so that requests that waited to be read are not forwarded in vain.
func CheckClient(ctx context.Context) error {
	if c, ok := ctx.Value(contextKey{}).(*conn); ok && ctx.Err() == nil && hasHungUp(c.tcp) {
		c.leave()
	}
	return context.Cause(ctx)
}

// setCancel sets the function that cancels the request in progress, or nil if there is none.
func (c *conn) setCancel(cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelRequest = cancel
}

// leave cancels the request in progress because its client has left.
func (c *conn) leave() {
	c.mu.Lock()
	cancel := c.cancelRequest
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// watchHangUp checks for the end of the connection until the request in progress ends. net/http does not read on
// after the first byte that follows a request, and so misses an end behind it.
func (c *conn) watchHangUp() {
	c.mu.Lock()
	watched := c.watched
	c.watched = true
	c.mu.Unlock()
	if !watched {
		time.AfterFunc(hangUpInterval, c.checkHangUp)
	}
}

func (c *conn) checkHangUp() {
	defer crash.Recover("check of a client")
	c.mu.Lock()
	if !c.inRequest || c.closed {
		c.watched = false
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	if hasHungUp(c.tcp) {
		c.leave()
	}
	time.AfterFunc(hangUpInterval, c.checkHangUp)
}
