package call_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/upstream/call"
)

// TestNewRequest checks that a server gets a request as it was given, also one with a body that is written while the
// response is read, and that headers that frame another body are left out.
func TestNewRequest(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprint(w, r.Method, " ", r.Host, " ", r.RequestURI, " ", r.ContentLength, " ", r.Header, " ", len(body))
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	pool := call.NewPool()
	for _, size := range []int{0, 3, 1 << 20} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			req, err := http.NewRequest(method, "http://"+address+"/a%2Fb?c=%0d", http.NoBody)
			assert.NilError(t, err)
			req.Header = http.Header{"X-Own": {"1", "2\r\nX-Other: 3"}, "Content-Length": {"7"}, "Transfer-Encoding": {"chunked"}, "Bad Name": {"4"}}
			resp, err := pool.Do(t.Context(), address, call.NewRequest(req, []byte(strings.Repeat("x", size))))
			assert.NilError(t, err)
			got, err := io.ReadAll(resp)
			assert.NilError(t, err)
			resp.Close()
			header := fmt.Sprintf("map[Content-Length:[%d] X-Own:[1 2  X-Other: 3]]", size)
			if method == http.MethodGet && size == 0 {
				header = "map[X-Own:[1 2  X-Other: 3]]"
			}
			assert.Equal(t, string(got), fmt.Sprint(method, " ", address, " /a%2Fb?c=%0d ", size, " ", header, " ", size))
		}
	}
}
