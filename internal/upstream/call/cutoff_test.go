package call_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/upstream/call"
)

// dialSmall opens connections that buffer little of what is written.
func dialSmall(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := call.DialTCP(ctx, network, address)
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
	}
	return c, err
}

// respondAfter returns a server that reads a number of bytes of the request's body, sends a response without framing, and
// ends the connection with end.
func respondAfter(n int64, end func(c *net.TCPConn)) func(c net.Conn) {
	return func(c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
		head := make([]byte, len(request("1").Head))
		_, _ = io.ReadFull(c, head)
		_, _ = io.CopyN(io.Discard, c, n)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nbody")
		end(c.(*net.TCPConn))
	}
}

// TestUnframedResponse guards against parts of responses that are taken for the whole because the write of the request
// received the failure of the connection, and against whole ones that are refused because that write has not ended.
func TestUnframedResponse(t *testing.T) {
	const size, rounds = 1 << 20, 20
	reset := func(delay time.Duration) func(c *net.TCPConn) {
		return func(c *net.TCPConn) {
			time.Sleep(delay)
			_ = c.SetLinger(0)
		}
	}
	halfClose := func(then func(c *net.TCPConn)) func(c *net.TCPConn) {
		return func(c *net.TCPConn) {
			_ = c.CloseWrite()
			then(c)
		}
	}
	drain := func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }
	for name, c := range map[string]struct {
		read  int64
		end   func(c *net.TCPConn)
		whole bool
	}{
		"reset at once":               {0, reset(0), false},
		"reset soon":                  {0, reset(5 * time.Millisecond), false},
		"reset within the upload":     {size / 2, reset(time.Millisecond), false},
		"reset at its end":            {size - 1, reset(time.Millisecond), false},
		"reset after it":              {size, reset(time.Millisecond), false},
		"early, rest read":            {0, halfClose(drain), true},
		"early, rest not read":        {0, halfClose(reset(time.Millisecond)), true},
		"early, reset behind the end": {0, halfClose(reset(0)), true},
		"upload ending":               {size - 1, halfClose(drain), true},
		"upload ending, closed":       {size, func(*net.TCPConn) {}, true},
		"upload ended, half-closed":   {size, halfClose(drain), true},
		"upload ended, closed later":  {size, func(*net.TCPConn) { time.Sleep(5 * time.Millisecond) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			address := upstream(t, respondAfter(c.read, c.end))
			long := request("1")
			long.Body = [][]byte{[]byte(strings.Repeat("x", size))}
			for range rounds {
				resp, err := call.NewPool(call.WithDial(dialSmall)).Do(t.Context(), address, long)
				if err != nil {
					assert.Assert(t, !c.whole, err)
					continue
				}
				body, err := io.ReadAll(resp)
				resp.Close()
				assert.Equal(t, err == nil, c.whole, "%q: %v", body, err)
				assert.Assert(t, !c.whole || string(body) == "body", "%q", body)
			}
		})
	}
}
