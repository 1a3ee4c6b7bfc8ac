package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/inbound"
	"github.com/jasminecove/jasminecove/internal/request/quarantine"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
)

// Limits of a request when the tables set none.
const (
	DefaultMaxBodyBytes   = 4 << 20
	DefaultMaxHeaderBytes = 16 << 10
)

// bodyFilter reads the body, within its maximum size, the memory budget and the deadline. What it charges
// is returned when the request ends, since a retry needs the body.
type bodyFilter struct{ h *Handler }

// Name implements exchange.Filter.
func (f *bodyFilter) Name() string { return "body" }

// Serve implements exchange.Filter.
func (f *bodyFilter) Serve(ctx context.Context, x *exchange.Exchange, next exchange.Handler) error {
	account, done := f.h.cfg.Inbound.ForRequest(x.W, x.R)
	defer done()
	if x.R.ContentLength != 0 {
		body, release, err := f.read(ctx, x, account)
		defer release()
		if err != nil {
			return err
		}
		x.Forward.Body = body
		for _, piece := range body {
			x.Forward.BodyBytes += len(piece)
		}
	}
	// A body that is complete makes no progress, but may have to wait for an upstream.
	account.Protect(true)
	defer account.Protect(false)
	if account.Evicted() {
		return refuseBody(x, inbound.ErrEvicted, 0)
	}
	x.Fingerprints = quarantine.Request{Organisation: x.Organisation, Method: x.R.Method, Host: x.R.Host, Path: x.R.URL.EscapedPath(), Query: x.R.URL.RawQuery, Parts: x.PromptParts, Body: x.Forward.Body}.Fingerprints()
	return next(ctx, x)
}

// read reads the body. release must be called when the request ends; it is never nil.
func (f *bodyFilter) read(ctx context.Context, x *exchange.Exchange, account *inbound.Account) (body [][]byte, release func(), err error) {
	limit := x.Forward.Tables.Document().Callers.MaxBodyBytes
	if limit == 0 {
		limit = DefaultMaxBodyBytes
	}
	f.h.cfg.Inbound.SetMaxBody(limit)
	ctx, cancel := context.WithDeadline(ctx, x.Deadline)
	defer cancel()
	control := http.NewResponseController(x.W)
	if err := control.SetReadDeadline(x.Deadline); err != nil {
		return nil, func() {}, refusal.New(refusal.Internal, http.StatusServiceUnavailable, "the body cannot be read").WithCause(err)
	}
	body, release, err = inbound.ReadPieces(ctx, account, http.MaxBytesReader(x.W, x.R.Body, limit), x.R.ContentLength, limit)
	if err != nil {
		return nil, release, refuseBody(x, err, limit)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, release, refusal.New(refusal.Internal, http.StatusServiceUnavailable, "the connection cannot be watched").WithCause(err)
	}
	return body, release, nil
}

// refuseBody returns the refusal of a request whose body could not be read. net/http would delay the
// response until the rest of the body has arrived if it kept the connection.
func refuseBody(x *exchange.Exchange, err error, limit int64) error {
	x.W.Header().Set("Connection", "close")
	return inbound.Refusal(err, limit)
}
