package forward

import (
	"errors"
	"net/http"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
	"github.com/jasminecove/jasminecove/internal/routing/ratecap"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
)

// recordRateLimit records the rate limit that an upstream names in the response to a request, or that it
// names none. Only a success says that a limit has ended.
func (h *Handler) recordRateLimit(s send, requestID string, a *call.Response) {
	text := allValues(a.Header, h.cfg.Dialect.RateLimit)
	rate, named := ratecap.ParseRate(text)
	var change ratecap.Change
	switch {
	case named:
		change = h.cfg.Catalog.RecordRateLimit(s.upstream, rate)
	case text == "" && a.Status < http.StatusMultipleChoices && a.Header.Get(h.cfg.Dialect.Integrity) != "":
		change = h.cfg.Catalog.RecordNoRateLimit(s.upstream, s.at)
	}
	if change.Changed || text != "" && !named {
		h.cfg.Log.Decision("upstreamRateLimit", s.upstream, "rate", change.Rate, "was", change.Was, "text", text, "request", requestID, "status", a.Status)
	}
	if change.Changed {
		h.cfg.Metrics.Gauge("limited_upstreams").Update(float64(h.cfg.Catalog.LimitedUpstreams()))
	}
}

// isLimited reports whether a request found no upstream because of their rate limits.
func isLimited(err error) bool {
	var limited *ratecap.UsedUpError
	return errors.As(err, &limited)
}

// refuseLimited returns the refusal of such a request, whose caller should not return before the
// limits allow another request, and after a given time if that is later.
func (h *Handler) refuseLimited(cause error, after clock.Duration) error {
	var limited *ratecap.UsedUpError
	if errors.As(cause, &limited) && !limited.OthersTake {
		after = max(after, limited.Wait)
	}
	return refusal.NewUpstreamLimit(after).WithCause(cause)
}
