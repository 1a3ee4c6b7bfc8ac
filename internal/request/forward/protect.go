package forward

import (
	"context"

	"github.com/jasminecove/jasminecove/internal/node/listen"
)

// protect keeps the caller's connection from being closed for lack of memory, since an upstream may run the request
// from now on. The connection's listener ends the protection after the response.
func protect(ctx context.Context) {
	if a := listen.AccountFrom(ctx); a != nil {
		a.Protect(true)
	}
}
