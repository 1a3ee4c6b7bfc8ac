// Package forward is a reverse proxy: it sends a request's method, path, query, headers
// and body to an upstream unchanged and returns the response as received. A filter chain
// resolves the route and the organisation and reads the body. The last filter sends the
// request. It sends it again only if the earlier attempt cannot have run or the route
// allows a retry, and it resumes an event stream on another upstream after a failure.
package forward

import (
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
)

// Dialect holds the names of the headers that callers and upstreams use.
type Dialect struct {
	RequestID   string // Unique for each attempt of a caller.
	Deadline    string // Time that the caller waits, in ms.
	LastEventID string // ID of the last event that the caller received.
	TokenCounts string // Prompt tokens and maximum answer tokens, separated by a comma.
	AnswerHint  string // The caller's estimate of answer tokens.
	// PromptParts lists the parts of the prompt in order, as ID:TOKENS entries separated by
	// commas. Requests share parts; the last part is the request's own.
	PromptParts  string
	Key          string // Holds KeyScheme, a space and the organisation's key.
	KeyScheme    string
	Organisation string // Sent to upstreams.
	Upstream     string // Sent to upstreams: ID of the upstream that the request is addressed to.
	Path         string // Sent to engines: the path of the request.
	Urgency      string // Sent to engines: urgency of the request, 0 is served first.
	Integrity    string // Set by upstreams on every genuine response.
	NotRun       string // Set by upstreams that rejected a request without running it.
	FaultyEngine string // Set by engines: address of the engine at fault.
	RateLimit    string // Set by upstreams in need: requests a second that they take from all VMs together.
	Leaving      string // Set to LeavingValue by upstreams that are leaving.
	// FormatPath encodes a path for the Path header.
	FormatPath func(hops []chain.Hop) string
}

// LeavingValue is the value of the Leaving header of an upstream that is leaving.
const LeavingValue = "1"

// DefaultDialect returns the default header names, which start with Jasminecove.
func DefaultDialect() Dialect {
	return Dialect{
		RequestID: "Jasminecove-Request-Id", Deadline: "Jasminecove-Deadline-Ms", LastEventID: "Last-Event-Id",
		TokenCounts: "Jasminecove-Tokens", AnswerHint: "Jasminecove-Answer-Hint", PromptParts: "Jasminecove-Prompt-Parts", Key: "Authorization", KeyScheme: "Bearer",
		Organisation: "Jasminecove-Organisation", Upstream: "Jasminecove-Upstream", Path: "Jasminecove-Path",
		Urgency: "Jasminecove-Urgency", Integrity: "Jasminecove-Integrity", NotRun: "Jasminecove-Not-Run",
		FaultyEngine: "Jasminecove-Culprit", RateLimit: "Jasminecove-Rate-Limit", Leaving: "Jasminecove-Leaving", FormatPath: FormatPath,
	}
}

// FormatPath encodes a path as a comma-separated list of address=from-to entries: from
// is the first layer that the engine runs, and to is one past the last.
func FormatPath(hops []chain.Hop) string {
	var b strings.Builder
	for i, h := range hops {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(h.Address)
		b.WriteByte('=')
		b.WriteString(strconv.Itoa(h.From))
		b.WriteByte('-')
		b.WriteString(strconv.Itoa(h.To))
	}
	return b.String()
}

// key returns the API key of a request, or "" if there is none.
func (d *Dialect) key(h http.Header) string {
	key, ok := strings.CutPrefix(h.Get(d.Key), d.KeyScheme+" ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}

// headerMillis parses a header as a duration in ms. It returns 0 if the header is missing or invalid.
func headerMillis(h http.Header, name string) clock.Duration {
	n, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return clock.Duration(n)
}

// Limits of the numbers in callers' headers.
const (
	maxTokens  = 1 << 30
	maxEventID = 1 << 53
)

// checkNumbers returns a refusal if a number in a header is out of range. Headers that hold no number
// count as missing.
func (d *Dialect) checkNumbers(h http.Header) error {
	prompt, answer, _ := strings.Cut(h.Get(d.TokenCounts), ",")
	for _, n := range []struct {
		header, text string
		limit        int64
	}{
		{d.TokenCounts, prompt, maxTokens}, {d.TokenCounts, answer, maxTokens}, {d.AnswerHint, h.Get(d.AnswerHint), maxTokens},
		{d.LastEventID, h.Get(d.LastEventID), maxEventID},
	} {
		if !isInRange(n.text, n.limit) {
			return refusal.New(refusal.BadRequest, http.StatusBadRequest, "%s must be between 0 and %d", n.header, n.limit)
		}
	}
	return nil
}

// isInRange reports whether a text is no integer, or one between 0 and limit.
func isInRange(text string, limit int64) bool {
	n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	return errors.Is(err, strconv.ErrSyntax) || err == nil && n >= 0 && n <= limit
}

// tokenCounts returns the number of prompt tokens and the expected number of answer tokens.
func (d *Dialect) tokenCounts(h http.Header, usualPrompt, usualAnswer int) (prompt, answer int) {
	prompt, answer = usualPrompt, usualAnswer
	first, second, _ := strings.Cut(h.Get(d.TokenCounts), ",")
	if n, err := strconv.Atoi(strings.TrimSpace(first)); err == nil && n > 0 {
		prompt = n
	}
	maxAnswer, err := strconv.Atoi(strings.TrimSpace(second))
	if err != nil || maxAnswer <= 0 {
		maxAnswer = 0
	}
	if n, err := strconv.Atoi(h.Get(d.AnswerHint)); err == nil && n > 0 {
		answer = n
	}
	if maxAnswer > 0 {
		answer = min(answer, maxAnswer)
	}
	return prompt, answer
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true, "Host": true,
}

// isForwarded reports whether a caller's header is forwarded to the upstream unchanged.
func (d *Dialect) isForwarded(name string, named map[string]bool) bool {
	switch name {
	case d.Key, d.Deadline, d.Organisation, d.Upstream, d.Path, d.Urgency, d.LastEventID:
		return false
	}
	return !hopByHopHeaders[name] && !named[name]
}

// connectionHeaders returns the hop-by-hop headers that the Connection header lists.
func connectionHeaders(h http.Header) map[string]bool {
	var named map[string]bool
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); name != "" {
				if named == nil {
					named = map[string]bool{}
				}
				named[name] = true
			}
		}
	}
	return named
}

// attemptHeaders holds the values that one attempt adds to the caller's headers.
type attemptHeaders struct {
	upstream     string
	organisation string
	path         []chain.Hop
	remaining    clock.Duration
	lastEvent    string
	urgency      int // A negative value omits the header.
}

// requestHead encodes the request line and the headers of one attempt.
func (d *Dialect) requestHead(r *http.Request, bodyLength int, s attemptHeaders) []byte {
	b := make([]byte, 0, 1024)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.RequestURI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	named := connectionHeaders(r.Header)
	for name, values := range r.Header {
		if !d.isForwarded(name, named) {
			continue
		}
		for _, v := range values {
			b = appendHeader(b, name, v)
		}
	}
	if bodyLength > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b = appendHeader(b, "Content-Length", strconv.Itoa(bodyLength))
	}
	b = appendHeader(b, d.Deadline, strconv.FormatInt(int64(max(1, s.remaining)), 10))
	b = appendHeader(b, d.Upstream, s.upstream)
	if s.organisation != "" {
		b = appendHeader(b, d.Organisation, s.organisation)
	}
	if s.lastEvent != "" {
		b = appendHeader(b, d.LastEventID, s.lastEvent)
	}
	if len(s.path) > 0 {
		b = appendHeader(b, d.Path, d.FormatPath(s.path))
	}
	if s.urgency >= 0 {
		b = appendHeader(b, d.Urgency, strconv.Itoa(s.urgency))
	}
	return append(b, "\r\n"...)
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
