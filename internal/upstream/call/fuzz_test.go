package call_test

import (
	"io"
	"net"
	"testing"

	"golang.org/x/net/http/httpguts"
	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/upstream/call"
)

// FuzzResponse checks that whatever bytes an upstream sends, a response is read with a status and field names that can
// be written and of its own request, or none is.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(response("new", "mine")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest-Id: new\r\nContent-Length : 1\r\n\r\nx"))
	f.Add([]byte("HTTP/1.1 099 Odd\r\nRequest-Id: new\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: new\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest-Id: new\r\nContent-Length: 9223372036854775807\r\nKeep-Alive: timeout=9223372036854775807\r\n\r\nx"))
	f.Fuzz(func(t *testing.T, data []byte) {
		address := upstream(t, func(c net.Conn) {
			readHead(c)
			_, _ = c.Write(data)
		})
		pool := call.NewPool()
		defer pool.Drop(address)
		r, err := pool.Do(t.Context(), address, request("new"))
		if err != nil {
			return
		}
		defer r.Close()
		assert.Assert(t, r.Status >= 200 && r.Status <= 599)
		assert.Assert(t, r.Header.Get("Request-Id") == "new" || r.Status >= 400)
		for name := range r.Header {
			assert.Assert(t, httpguts.ValidHeaderFieldName(name), "%q", name)
		}
		_, _ = io.Copy(io.Discard, r) // The response may be truncated.
	})
}
