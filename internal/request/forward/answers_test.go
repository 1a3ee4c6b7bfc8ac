package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// TestNotRunOfOtherStatus guards against calls that run twice because an upstream that may have run them says
// that it did not, with a status that cannot mean that.
func TestNotRunOfOtherStatus(t *testing.T) {
	for status, runs := range map[int]int{200: 1, 302: 1, 404: 1, 500: 1, 502: 1, 504: 1, 421: 2, 429: 2, 503: 2} {
		f := newFixture(t)
		var second *upstream
		first := f.start(t, "u1", "desk", 0, 0, func(_ *upstream, c net.Conn, r *http.Request) {
			if second == nil {
				second = f.start(t, "u2", "desk", 0, 0, serveOK)
			}
			respond(c, r, status, integrity+"Jasminecove-Not-Run: 1\r\n", "")
		})
		_, _, err := f.do(t, "POST", "/book/1", "x")
		assert.NilError(t, err)
		assert.Equal(t, first.runs()+second.runs(), runs, "status %d", status)
	}
}

// TestFaultNamedOffThePath guards against an engine that has others checked and avoided in its place: it names
// an upstream that its request does not depend on.
func TestFaultNamedOffThePath(t *testing.T) {
	f := newFixture(t)
	f.suspected = func(address, reason, _ string) { t.Errorf("%s is suspected: %s", address, reason) }
	other := f.start(t, "u1", "desk", 0, 0, serveOK)
	e1 := f.start(t, "e1", "crew", 0, 8, func(_ *upstream, c net.Conn, r *http.Request) {
		f.start(t, "e2", "crew", 0, 8, events(3, 0))
		respond(c, r, 503, "Jasminecove-Not-Run: 1\r\nJasminecove-Culprit: "+other.address+"\r\n", "")
	})
	_, body, err := f.do(t, "POST", "/draft/1", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, body, wantEvents(1, 3))
	assert.Equal(t, e1.runs(), 1)
}

// TestContradictingHeaders guards against a limit, a pause or a departure that is read off the first of several
// headers that contradict each other, or off a value that is none.
func TestContradictingHeaders(t *testing.T) {
	for _, header := range []string{
		"Jasminecove-Rate-Limit: 0.1\r\nJasminecove-Rate-Limit: 900\r\n", "Jasminecove-Rate-Limit: 0.1, 900\r\n", "Jasminecove-Rate-Limit: -1\r\n", "Jasminecove-Rate-Limit: NaN\r\n",
		"Retry-After: 60\r\nRetry-After: 0\r\n", "Retry-After: Fri, 31 Dec 2027 23:59:59 GMT\r\n", "Retry-After: -5\r\n", "Retry-After: NaN\r\n", "Retry-After: 60s\r\n",
		"Jasminecove-Leaving: 1\r\nJasminecove-Leaving: 0\r\n", "Jasminecove-Leaving: true\r\n",
	} {
		f := newFixture(t)
		runs := 0
		f.start(t, "u1", "desk", 0, 0, func(u *upstream, c net.Conn, r *http.Request) {
			if runs++; runs == 1 {
				respond(c, r, 503, integrity+header, "")
				return
			}
			serveOK(u, c, r)
		})
		var statuses []int
		for range 2 {
			resp, _, err := f.do(t, "POST", "/book/1", "x")
			assert.NilError(t, err)
			statuses = append(statuses, resp.StatusCode)
		}
		assert.Assert(t, slices.Equal(statuses, []int{503, 200}), fmt.Sprint(header, statuses))
	}
}
