// Package forward passes requests on to upstreams as they are: method, path, query,
// headers and body unchanged, and the answer back as it came. A filter chain finds
// the route, the organisation and the body; the last filter sends the request, again
// only where nothing can have run or a repeat is allowed, and keeps a stream whole
// over the failure of an upstream.
package forward

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
)

// Dialect names the headers that callers and upstreams use.
type Dialect struct {
	RequestID    string // Each attempt of a caller has its own.
	Deadline     string // Milliseconds that the caller waits.
	LastEvent    string // Number of the last event that a caller has.
	PromptAnswer string // Prompt tokens and the most answer tokens, with a comma.
	AnswerHint   string // The caller's estimate of answer tokens.
	Key          string // Carries the organisation's key, after KeyScheme and a space.
	KeyScheme    string
	Organisation string // Set for upstreams.
	Upstream     string // Set for upstreams: the one that the request is meant for.
	Path         string // Set for engines: the path that the request takes.
	Urgency      string // Set for engines: 0 is first.
	Integrity    string // Set by upstreams on answers that are theirs.
	NotRun       string // Set by upstreams that did not run a request.
	Culprit      string // Set by engines: address of the one at fault.
	// FormatPath writes a path as engines read it.
	FormatPath func(hops []chain.Hop) string
}

// Own is the project's own dialect.
func Own() Dialect {
	return Dialect{
		RequestID: "Jasminecove-Request-Id", Deadline: "Jasminecove-Deadline-Ms", LastEvent: "Last-Event-Id",
		PromptAnswer: "Jasminecove-Tokens", AnswerHint: "Jasminecove-Answer-Hint", Key: "Authorization", KeyScheme: "Bearer",
		Organisation: "Jasminecove-Organisation", Upstream: "Jasminecove-Upstream", Path: "Jasminecove-Path",
		Urgency: "Jasminecove-Urgency", Integrity: "Jasminecove-Integrity", NotRun: "Jasminecove-Not-Run",
		Culprit: "Jasminecove-Culprit", FormatPath: FormatPath,
	}
}

// FormatPath writes a path as address=from-to parts with commas between.
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

// key returns the key that a request carries.
func (d *Dialect) key(h http.Header) string {
	key, ok := strings.CutPrefix(h.Get(d.Key), d.KeyScheme+" ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}

// milliseconds returns a header's span, or 0 when it has none.
func milliseconds(h http.Header, name string) clock.Duration {
	n, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return clock.Duration(n)
}

// size returns the prompt's tokens and how many the answer is expected to have.
func (d *Dialect) size(h http.Header, usualPrompt, usualAnswer int) (prompt, answer int) {
	prompt, answer = usualPrompt, usualAnswer
	first, second, _ := strings.Cut(h.Get(d.PromptAnswer), ",")
	if n, err := strconv.Atoi(strings.TrimSpace(first)); err == nil && n > 0 {
		prompt = n
	}
	most, err := strconv.Atoi(strings.TrimSpace(second))
	if err != nil || most <= 0 {
		most = 0
	}
	if n, err := strconv.Atoi(h.Get(d.AnswerHint)); err == nil && n > 0 {
		answer = n
	}
	if most > 0 {
		answer = min(answer, most)
	}
	return prompt, answer
}

// channelHeaders concern one connection only and are not passed on.
var channelHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true, "Host": true,
}

// passed reports whether a caller's header reaches the upstream as it is.
func (d *Dialect) passed(name string, named map[string]bool) bool {
	switch name {
	case d.Key, d.Deadline, d.Organisation, d.Upstream, d.Path, d.Urgency, d.LastEvent:
		return false
	}
	return !channelHeaders[name] && !named[name]
}

// connectionNamed returns the headers that a Connection header names as its own.
func connectionNamed(h http.Header) map[string]bool {
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

// send is what one send of a request adds to the caller's headers.
type send struct {
	upstream     string
	organisation string
	path         []chain.Hop
	left         clock.Duration
	lastEvent    string
	urgency      int // Below 0 sets none.
}

// head writes the request line and headers of one send.
func (d *Dialect) head(r *http.Request, bodyLength int, s send) []byte {
	b := make([]byte, 0, 1024)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.RequestURI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	named := connectionNamed(r.Header)
	for name, values := range r.Header {
		if !d.passed(name, named) {
			continue
		}
		for _, v := range values {
			b = field(b, name, v)
		}
	}
	if bodyLength > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b = field(b, "Content-Length", strconv.Itoa(bodyLength))
	}
	b = field(b, d.Deadline, strconv.FormatInt(int64(max(1, s.left)), 10))
	b = field(b, d.Upstream, s.upstream)
	if s.organisation != "" {
		b = field(b, d.Organisation, s.organisation)
	}
	if s.lastEvent != "" {
		b = field(b, d.LastEvent, s.lastEvent)
	}
	if len(s.path) > 0 {
		b = field(b, d.Path, d.FormatPath(s.path))
	}
	if s.urgency >= 0 {
		b = field(b, d.Urgency, strconv.Itoa(s.urgency))
	}
	return append(b, "\r\n"...)
}

func field(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
