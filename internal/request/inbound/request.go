package inbound

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// contextKey is the key of an account in a context.
type contextKey struct{}

// NewContext returns a context that holds the account of a connection.
func NewContext(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, contextKey{}, a)
}

// FromContext returns the account of a connection, or nil if the context holds none.
func FromContext(ctx context.Context) *Account {
	a, _ := ctx.Value(contextKey{}).(*Account)
	return a
}

// ForRequest returns the account that a request is charged to: that of its connection, or one of its own.
// done must be called when the request has ended.
func (b *Budget) ForRequest(w http.ResponseWriter, r *http.Request) (a *Account, done func()) {
	if a := FromContext(r.Context()); a != nil || b == nil {
		return a, func() {}
	}
	client, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		client = r.RemoteAddr
	}
	e := &evictor{control: http.NewResponseController(w)}
	a = b.Open(client, e.evict)
	return a, func() {
		a.Close()
		e.end()
	}
}

// evictor ends the reading of a request's body.
type evictor struct {
	control *http.ResponseController

	mu    sync.Mutex
	ended bool // The connection may serve another request.
}

func (e *evictor) evict() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ended {
		_ = e.control.SetReadDeadline(time.Now()) // A connection without deadlines is closed by its server's timeouts.
	}
}

func (e *evictor) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
}
