package operator_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/cli/operator"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
)

// TestStatusOutOfRange guards against a call that counts as done although the status of its response is none of HTTP's.
func TestStatusOutOfRange(t *testing.T) {
	for _, status := range []string{"000", "099", "600"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if assert.Check(t, err) {
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 2\r\n\r\n{}")
				_ = c.Close()
			}
		}))
		client, err := operator.New(operator.Config{Server: server.URL})
		assert.NilError(t, err)
		assert.Assert(t, client.Drain(t.Context(), "vm") != nil, status)
		_, err = client.Status(t.Context())
		assert.Assert(t, err != nil, status)
		server.Close()
	}
}

// TestTooLargeResponse guards against a result of which only the beginning was read.
func TestTooLargeResponse(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "{}"+strings.Repeat(" ", 64<<20)+"?")
	}))
	defer server.Close()
	client, err := operator.New(operator.Config{Server: server.URL})
	assert.NilError(t, err)
	_, err = client.Status(t.Context())
	assert.ErrorIs(t, err, call.ErrBodyTooLarge)
}
