package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/testkit/rawserver"
)

// longUpload is a body that the kernel does not buffer as a whole, so that it is still being written when an upstream
// responds early.
var longUpload = strings.Repeat("x", 4<<20)

// startEarly runs and announces an upstream that responds without framing before it has read the body of a request, and
// then ends the connection with end.
func (f *fixture) startEarly(t *testing.T, id, service string, to uint32, body string, end func(c *net.TCPConn)) {
	t.Helper()
	address := rawserver.Start(t, func(c *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nJasminecove-Request-Id: %s\r\n%s\r\n%s", r.Header.Get("Jasminecove-Request-Id"), integrity, body)
		end(c)
	})
	f.announce(&upstream{id: id, address: address}, service, 0, to)
}

func resetSoon(c *net.TCPConn) {
	time.Sleep(5 * time.Millisecond)
	_ = c.SetLinger(0)
}

// TestUnframedResponseReset guards against a part of a response that reaches callers as the whole: the upstream resets
// the connection while the request is written to it, and the response has no length.
func TestUnframedResponseReset(t *testing.T) {
	const rounds = 8
	for range rounds {
		for _, part := range []string{"", "part"} {
			f := newFixture(t)
			var runs atomic.Int64
			for _, id := range []string{"u1", "u2"} {
				f.startEarly(t, id, "desk", 0, part, func(c *net.TCPConn) { runs.Add(1); resetSoon(c) })
			}
			resp, body, err := f.do(t, "POST", "/bulk/1", longUpload)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusBadGateway, "%q", body)
			assert.Assert(t, strings.Contains(body, "unknown"), body)
			assert.Equal(t, runs.Load(), int64(1))
		}

		f := newFixture(t)
		f.startEarly(t, "e1", "crew", 8, wantEvents(1, 2), resetSoon)
		resp, body, err := f.do(t, "POST", "/once/1", longUpload)
		assert.Assert(t, err != nil || resp.StatusCode >= http.StatusInternalServerError, "%d %q", resp.StatusCode, body)

		f.start(t, "e2", "crew", 0, 8, events(5, 0))
		resp, body, err = f.do(t, "POST", "/draft/1", longUpload)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK, "%q", body)
		assert.Equal(t, body, wantEvents(1, 5))
	}
}

// TestEarlyUnframedResponse checks that a response without framing that ends regularly is served, whether or not the
// upstream reads the rest of the request.
func TestEarlyUnframedResponse(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"rest read":     func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) },
		"rest not read": func(c *net.TCPConn) { _ = c.CloseWrite(); resetSoon(c) },
	} {
		for range 8 {
			f := newFixture(t)
			f.startEarly(t, "u1", "desk", 0, "whole", end)
			f.startEarly(t, "e1", "crew", 8, wantEvents(1, 2), end)
			resp, body, err := f.do(t, "POST", "/bulk/1", longUpload)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK, "%s: %q", name, body)
			assert.Equal(t, body, "whole")
			resp, body, err = f.do(t, "POST", "/once/1", longUpload)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK, "%s: %q", name, body)
			assert.Equal(t, body, wantEvents(1, 2))
		}
	}
}
