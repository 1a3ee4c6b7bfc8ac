package engineapi_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/upstream/call"
	"github.com/jasminecove/jasminecove/internal/upstream/engineapi"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// TestMalformedOrderReply guards against a reply to an order that is taken although its status is none, or the name of a
// field holds a blank or a control character.
func TestMalformedOrderReply(t *testing.T) {
	const body = `{"accepted":true,"fencing":"42"}`
	for head, sound := range map[string]bool{
		"200 OK\r\nContent-Length: 32": true, "000 OK\r\nContent-Length: 32": false, "200 OK\r\nContent-Length : 32": false, "200 OK\r\nX-Own: 1\r\n Content-Length: 32": false,
		"200 OK\r\nX\x01Own: 1\r\nContent-Length: 32": false, "200 OK\r\nX Own: 1\r\nContent-Length: 32": false,
	} {
		t.Run(strconv.Quote(head), func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if assert.Check(t, err) {
					_, _ = io.WriteString(c, "HTTP/1.1 "+head+"\r\n\r\n"+body)
					_ = c.Close()
				}
			}))
			defer server.Close()
			reply, err := engineapi.New(call.NewPool()).Order(t.Context(), server.Listener.Addr().String(), &upstreampb.Order{Id: "o", Fencing: 42})
			assert.Equal(t, err == nil, sound, "%v", err)
			assert.Equal(t, reply.GetAccepted(), sound)
		})
	}
}
