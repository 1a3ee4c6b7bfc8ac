package engineapi_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/upstream/call"
	"github.com/jasminecove/jasminecove/internal/upstream/engineapi"
	"github.com/jasminecove/jasminecove/internal/wire/framing"
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

// TestTooLargeResponse guards against the beginning of a response that is taken for the whole: a cache that another engine
// imports, or a reply to an order.
func TestTooLargeResponse(t *testing.T) {
	imported := false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/cache/export":
			_, _ = w.Write(make([]byte, framing.MaxMessageBytes+1))
		case "/v1/cache/import":
			imported = true
		default:
			_, _ = io.WriteString(w, `{"accepted":true}`+strings.Repeat(" ", framing.MaxMessageBytes)+"?")
		}
	}))
	defer server.Close()
	api, address := engineapi.New(call.NewPool()), server.Listener.Addr().String()
	assert.ErrorIs(t, api.CopyCache(t.Context(), address, address, 1), call.ErrBodyTooLarge)
	assert.Assert(t, !imported)
	_, err := api.Order(t.Context(), address, &upstreampb.Order{Id: "o", Fencing: 42})
	assert.ErrorIs(t, err, call.ErrBodyTooLarge)
}
