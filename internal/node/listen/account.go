package listen

import "context"

// Account is the account of one connection at the memory budget for what clients send.
type Account interface {
	// Take charges n bytes. It waits a bounded time for room and then returns an error.
	Take(ctx context.Context, n int) error
	// Return returns a charge of n bytes.
	Return(n int)
	// Progress says that bytes have arrived.
	Progress()
	// Protect says whether the connection's request is being forwarded to an upstream. It is not
	// evicted then.
	Protect(on bool)
	// Close returns all charges and ends the account.
	Close()
}

// Accounts opens the account of a connection. The client is its IP address, and evict closes the
// connection, or makes the read of its request fail.
type Accounts func(client string, evict func()) Account

// contextKey is the key of a connection in the contexts of its requests.
type contextKey struct{}

// AccountFrom returns the account of the connection on which a request arrived, or nil if the
// request did not arrive at a Server of this package. The connection reports its progress and closes
// the account itself, so that Progress and Close of the result do nothing.
func AccountFrom(ctx context.Context) Account {
	if c, ok := ctx.Value(contextKey{}).(*conn); ok {
		return connAccount{c}
	}
	return nil
}

// connAccount is the account of a connection as its requests see it. Without a budget it charges nothing.
type connAccount struct{ c *conn }

// Take implements Account.
func (a connAccount) Take(ctx context.Context, n int) error {
	if a.c.account == nil {
		return nil
	}
	return a.c.account.Take(ctx, n)
}

// Return implements Account.
func (a connAccount) Return(n int) {
	if a.c.account != nil {
		a.c.account.Return(n)
	}
}

// Progress implements Account.
func (a connAccount) Progress() {}

// Protect implements Account.
func (a connAccount) Protect(on bool) {
	a.c.mu.Lock()
	a.c.protected = on
	a.c.mu.Unlock()
	if a.c.account != nil {
		a.c.account.Protect(on)
	}
}

// Close implements Account.
func (a connAccount) Close() {}
