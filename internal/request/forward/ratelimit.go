package forward

import (
	"github.com/jasminecove/jasminecove/internal/routing/ratecap"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
)

// recordRateLimit records the limit that an upstream names in a response.
func (h *Handler) recordRateLimit(upstream, requestID string, a *call.Response) {
	text := a.Header.Get(h.cfg.Dialect.RateLimit)
	rate, named := ratecap.ParseRate(text)
	if text != "" {
		h.cfg.Log.Decision("upstreamRateLimit", upstream, "rate", rate, "valid", named, "text", text, "request", requestID, "status", a.Status)
	}
}
