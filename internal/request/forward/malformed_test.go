package forward_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestMalformedResponseHead guards against responses that reach callers although their status is none, or the name of a
// field holds a blank or a control character. Where such a field frames the body, its chunks reached callers as the body.
func TestMalformedResponseHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nJasminecove-Request-Id: id\r\n" + integrity + "X-Own: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, change := range [][2]string{
		{"200 OK", "000 OK"},
		{"X-Own", "X Own"}, {"X-Own", "X-Own "}, {"X-Own", " X-Own"}, {"X-Own", "X\tOwn"}, {"X-Own", "X\x00Own"}, {"X-Own", "\x1fX-Own"}, {"X-Own", "\nX-Own"},
		{"Transfer-Encoding", "Transfer Encoding"}, {"Transfer-Encoding", "Transfer-Encoding "}, {"Transfer-Encoding", "\tTransfer-Encoding"},
		{"Transfer-Encoding", "\nTransfer-Encoding"}, {"Transfer-Encoding", "Transfer-Encoding\x7f"},
	} {
		malformed := strings.Replace(head, change[0], change[1], 1)
		t.Run(strconv.Quote(change[1]), func(t *testing.T) { testMalformedResponseHead(t, malformed) })
	}
}

func testMalformedResponseHead(t *testing.T, malformed string) {
	t.Helper()
	send := func(body string) func(*upstream, net.Conn, *http.Request) {
		return func(_ *upstream, c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, strings.Replace(malformed, ": id", ": "+r.Header.Get("Jasminecove-Request-Id"), 1)+body)
			_ = c.Close()
		}
	}
	f := newFixture(t)
	broken := f.start(t, "u1", "desk", 0, 0, send("2\r\nok\r\n0\r\n\r\n"))
	resp, body, err := f.do(t, "POST", "/book/1", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway, "%q", body)
	assert.Assert(t, strings.Contains(body, "unknown"), body)

	f.start(t, "u2", "desk", 0, 0, serveOK)
	for range 4 {
		resp, body, err = f.do(t, "GET", "/look/1", "")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK, "%q", body)
		assert.Equal(t, body, "body of /look/1")
	}
	assert.Assert(t, broken.runs() > 1, "no repeatable call met the malformed response")

	engine := f.start(t, "e1", "crew", 0, 8, send("11\r\nid: 1\ndata: odd\n\n\r\n0\r\n\r\n"))
	f.start(t, "e2", "crew", 0, 8, events(3, 0))
	for range 3 {
		resp, body, err = f.do(t, "POST", "/draft/1", "prompt")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK, "%q", body)
		assert.Equal(t, body, wantEvents(1, 3))
	}
	assert.Assert(t, engine.runs() > 0, "no stream met the malformed response")
}
