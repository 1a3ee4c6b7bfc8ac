package front

import (
	"context"
	"net/http"
	"time"

	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/inbound"
)

// readBodyTimeout bounds the time in which a body must arrive.
const readBodyTimeout = 10 * time.Second

// readBody reads the body within the limits of size, memory and time. release returns what is charged for
// it when the request ends; it is never nil.
func (s *Server) readBody(x *exchange.Exchange) (release func(), err error) {
	account, done := s.budget.ForRequest(x.W, x.R)
	ctx, cancel := context.WithTimeout(x.R.Context(), readBodyTimeout)
	defer cancel()
	control := http.NewResponseController(x.W)
	_ = control.SetReadDeadline(time.Now().Add(readBodyTimeout))
	body, free, err := inbound.ReadBody(ctx, account, http.MaxBytesReader(x.W, x.R.Body, s.maxBody), x.R.ContentLength, s.maxBody)
	_ = control.SetReadDeadline(time.Time{})
	release = func() {
		free()
		account.Protect(false)
		done()
	}
	if err == nil {
		// A body that is complete makes no progress, but may have to wait for an upstream.
		account.Protect(true)
		if account.Evicted() {
			err = inbound.ErrEvicted
		}
	}
	if err != nil {
		// net/http would delay the response until the rest of the body has arrived if it kept the connection.
		x.W.Header().Set("Connection", "close")
		return release, inbound.Refusal(err, s.maxBody)
	}
	x.Body = body
	return release, nil
}
