package forward

import (
	"net/http"
	"strings"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/routing/ratecap"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
)

const (
	retryAfter      = "Retry-After"
	notLeavingValue = "0"
)

// send is one request that is sent to an upstream.
type send struct {
	upstream  string
	startedMs uint64 // Of the process that the request is meant for.
	at        clock.Time
}

// beginSend counts a request to an upstream.
func (h *Handler) beginSend(upstream string) send {
	at := h.cfg.Clock.Now()
	return send{upstream: upstream, startedMs: h.cfg.Catalog.CountSend(upstream), at: at}
}

// recordResponse records what an upstream says of itself in the headers of a response.
func (h *Handler) recordResponse(s send, requestID string, a *call.Response) {
	if a.Status == http.StatusMisdirectedRequest {
		return // Another process may have responded.
	}
	h.recordRateLimit(s, requestID, a)
	if text := allValues(a.Header, h.cfg.Dialect.Leaving); text != "" {
		h.recordLeaving(s, requestID, text)
	}
	if text := allValues(a.Header, retryAfter); text != "" && a.Status == http.StatusServiceUnavailable {
		h.recordPause(s, requestID, text)
	}
}

// allValues returns the values of a header, separated by commas. Several values are thus none of those that
// an upstream may send.
func allValues(h http.Header, name string) string { return strings.Join(h.Values(name), ",") }

// recordLeaving records that an upstream says that it leaves, or that it does not.
func (h *Handler) recordLeaving(s send, requestID, text string) {
	if u, live := h.cfg.Catalog.Upstream(s.upstream); live && u.Leaving || text == notLeavingValue {
		return
	}
	h.cfg.Log.Decision("upstreamSaidLeaving", s.upstream, "text", text, "request", requestID)
	if text == LeavingValue {
		h.cfg.Catalog.RecordLeaving(s.upstream, s.startedMs)
	}
}

// recordPause records that an upstream that turned a request away asks for time.
func (h *Handler) recordPause(s send, requestID, text string) {
	d, ok := ratecap.ParsePause(text)
	if !ok || h.cfg.Catalog.RecordPause(s.upstream, s.startedMs, d) {
		h.cfg.Log.Decision("upstreamPaused", s.upstream, "forMs", d, "text", text, "request", requestID)
	}
}
