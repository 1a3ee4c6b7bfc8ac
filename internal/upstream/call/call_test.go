package call_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/testkit/rawserver"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
)

// upstream starts a server that passes each connection to serve, and returns its address.
func upstream(t *testing.T, serve func(c net.Conn)) string {
	t.Helper()
	return rawserver.Start(t, func(c *net.TCPConn) { serve(c) })
}

// readHead reads the beginning of a request.
func readHead(c net.Conn) {
	buf := make([]byte, 4096)
	_, _ = c.Read(buf)
}

func request(id string) call.Request {
	return call.Request{Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), IDHeader: "Request-Id", ID: id}
}

// response returns a complete response with a request id.
func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// TestResponseToEarlierRequest checks that a response with the id of another request is
// skipped.
func TestResponseToEarlierRequest(t *testing.T) {
	address := upstream(t, func(c net.Conn) {
		readHead(c)
		_, _ = io.WriteString(c, response("old", "other")+response("new", "mine"))
		time.Sleep(time.Second)
	})
	resp, err := call.NewPool().Do(t.Context(), address, request("new"))
	assert.NilError(t, err)
	defer resp.Close()
	body, err := io.ReadAll(resp)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "mine")
}

// TestDataAfterResponse sends a second response to one request. The connection must not be
// reused, or the next request would get that response.
func TestDataAfterResponse(t *testing.T) {
	connections := make(chan struct{}, 10)
	address := upstream(t, func(c net.Conn) {
		connections <- struct{}{}
		readHead(c)
		_, _ = io.WriteString(c, response("1", "one"))
		time.Sleep(30 * time.Millisecond)
		_, _ = io.WriteString(c, response("1", "two"))
		time.Sleep(time.Second)
	})
	pool := call.NewPool()
	for range 2 {
		resp, err := pool.Do(t.Context(), address, request("1"))
		assert.NilError(t, err)
		body, err := io.ReadAll(resp)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "one")
		resp.Close()
		time.Sleep(60 * time.Millisecond)
	}
	assert.Equal(t, len(connections), 2)
}

// TestConnectionReset checks that a connection reset within the body is an error, also for
// a body that ends with the connection.
func TestConnectionReset(t *testing.T) {
	for _, head := range []string{"Content-Length: 50\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		address := upstream(t, func(c net.Conn) {
			readHead(c)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"+head+"\r\n3\r\nabc\r\n")
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		resp, err := call.NewPool().Do(t.Context(), address, request("1"))
		assert.NilError(t, err)
		_, err = io.ReadAll(resp)
		assert.Assert(t, err != nil, "head %q", head)
		resp.Close()
	}
}

func TestConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = call.NewPool().Do(t.Context(), address, request("1"))
	assert.Assert(t, errors.Is(err, call.ErrNotSent), "%v", err)
}

// TestTimeoutAfterRequest checks that a request that was sent and got no response is not
// reported as not sent.
func TestTimeoutAfterRequest(t *testing.T) {
	address := upstream(t, func(c net.Conn) {
		readHead(c)
		time.Sleep(time.Second)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := call.NewPool().Do(ctx, address, request("1"))
	assert.Assert(t, errors.Is(err, call.ErrNoResponse), "%v", err)
}

// TestEarlyResponse responds before a long request body has been read. The connection must
// not be reused, or the upstream would read the next request as the rest of that body.
func TestEarlyResponse(t *testing.T) {
	connections := make(chan struct{}, 10)
	address := upstream(t, func(c net.Conn) {
		connections <- struct{}{}
		readHead(c)
		_, _ = io.WriteString(c, response("1", "no"))
		time.Sleep(200 * time.Millisecond)
	})
	pool := call.NewPool()
	long := request("1")
	long.Body = [][]byte{[]byte(strings.Repeat("x", 16<<20))}
	for range 2 {
		resp, err := pool.Do(t.Context(), address, long)
		assert.NilError(t, err)
		_, err = io.ReadAll(resp)
		assert.NilError(t, err)
		resp.Close()
	}
	assert.Equal(t, len(connections), 2)
}

// TestConnectionReuse checks that requests share a connection unless one requires a fresh
// one.
func TestConnectionReuse(t *testing.T) {
	connections := make(chan struct{}, 10)
	address := upstream(t, func(c net.Conn) {
		connections <- struct{}{}
		for range 3 {
			readHead(c)
			_, _ = io.WriteString(c, response("1", "one"))
		}
	})
	pool := call.NewPool()
	for range 3 {
		resp, err := pool.Do(t.Context(), address, request("1"))
		assert.NilError(t, err)
		_, err = io.ReadAll(resp)
		assert.NilError(t, err)
		resp.Close()
	}
	assert.Equal(t, len(connections), 1)
	fresh := request("1")
	fresh.Fresh = true
	resp, err := pool.Do(t.Context(), address, fresh)
	assert.NilError(t, err)
	resp.Close()
	assert.Equal(t, len(connections), 2)
}

// TestFailureWithoutIDOnReusedConnection sends a second answer to one request, a failure without
// an id, once the connection carries the next request. It must not be taken for the answer to
// that.
func TestFailureWithoutIDOnReusedConnection(t *testing.T) {
	address := upstream(t, func(c net.Conn) {
		readHead(c)
		_, _ = io.WriteString(c, response("1", "one"))
		readHead(c)
		_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"+response("2", "two"))
		time.Sleep(time.Second)
	})
	pool := call.NewPool()
	for _, id := range []string{"1", "2"} {
		resp, err := pool.Do(t.Context(), address, request(id))
		assert.NilError(t, err)
		assert.Equal(t, resp.Status, 200)
		_, err = io.ReadAll(resp)
		assert.NilError(t, err)
		resp.Close()
	}
}

// writeParts sends a text in several segments.
func writeParts(c net.Conn, parts ...string) {
	for _, part := range parts {
		_, _ = io.WriteString(c, part)
		time.Sleep(time.Millisecond)
	}
}

// TestMalformedHead guards against a response with a blank or another character that is not allowed in a field name, at
// any place in the name, and against waiting for more of such a response.
func TestMalformedHead(t *testing.T) {
	const before, name, after = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n", "Content-Length", ": 2\r\n\r\nok"
	for _, b := range []byte("\x00\t\n\v\f\r\x1b \x7f\x80\"(),/;<=>?@[\\]{}") {
		for _, at := range []int{0, 7, len(name)} {
			field := name[:at] + string([]byte{b}) + name[at:] + after
			for _, parts := range [][]string{{before + field}, {response("0", "zero") + before + field}, {before, field}, strings.Split(before+field, "")} {
				done := make(chan struct{})
				address := upstream(t, func(c net.Conn) {
					readHead(c)
					writeParts(c, parts...)
					<-done
				})
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				_, err := call.NewPool().Do(ctx, address, request("1"))
				assert.Assert(t, errors.Is(err, call.ErrNoResponse) && !errors.Is(err, context.DeadlineExceeded), "%q: %v", parts, err)
				cancel()
				close(done)
			}
		}
	}
}

// TestMalformedInterimHead guards against responses behind an interim response whose head is malformed.
func TestMalformedInterimHead(t *testing.T) {
	for _, field := range []string{"Li nk: 1", "Link : 1", " Link: 1", "\tLink: 1", "Li\x00nk: 1", "Link\x7f: 1", "\nLink: 1", "X: 1\r\n Link: 1", "X: 1\nLink: 1"} {
		for _, status := range []string{"100 Continue", "102 Processing", "103 Early Hints"} {
			interim, final := "HTTP/1.1 "+status+"\r\nRequest-Id: 1\r\n"+field+"\r\n\r\n", response("1", "one")
			for _, parts := range [][]string{{interim + final}, {interim, final}, strings.Split(interim+final, "")} {
				address := upstream(t, func(c net.Conn) {
					readHead(c)
					writeParts(c, parts...)
				})
				_, err := call.NewPool().Do(t.Context(), address, request("1"))
				assert.Assert(t, errors.Is(err, call.ErrNoResponse), "%q: %v", parts, err)
			}
		}
	}
}

// TestMalformedTrailer guards against chunked responses that count as complete although their trailer is malformed,
// breaks off or has no end.
func TestMalformedTrailer(t *testing.T) {
	const head, body, end = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTrailer: X-Own\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n", "0\r\n"
	for cut := range head + body + end + "X-Own: 1\r\n\r" {
		address := upstream(t, func(c net.Conn) {
			readHead(c)
			_, _ = io.WriteString(c, (head + body + end + "X-Own: 1\r\n\r\n")[:cut])
		})
		resp, err := call.NewPool().Do(t.Context(), address, request("1"))
		if err == nil {
			_, err = io.ReadAll(resp)
			resp.Close()
		}
		assert.Assert(t, err != nil, "cut at %d", cut)
	}
	for trailer, sound := range map[string]bool{
		"\r\n": true, "X-Own: 1\r\n\r\n": true, "X-Own: 1\r\nX-Other:\r\n\r\n": true,
		"X Own: 1\r\n\r\n": false, "X-Own : 1\r\n\r\n": false, " X-Own: 1\r\n\r\n": false, "X-A: 1\r\n X-Own: 1\r\n\r\n": false, "X-Own\x01: 1\r\n\r\n": false,
		"X-Own: 1\nX-Other: 2\r\n\r\n": false, "X-Own: 1\r\n": false, "": false, "X-Own: " + strings.Repeat("x", 2<<20): false,
	} {
		name := trailer[:min(len(trailer), 40)]
		whole := head + body + end + trailer
		for _, skipped := range []string{"", strings.Replace(whole, "Id: 1", "Id: 0", 1)} {
			for _, split := range []int{0, len(skipped) + len(head+body+end), len(skipped) + len(whole) - 1} {
				address := upstream(t, func(c net.Conn) {
					readHead(c)
					all := skipped + whole
					writeParts(c, all[:split], all[split:])
				})
				resp, err := call.NewPool().Do(t.Context(), address, request("1"))
				if err != nil {
					assert.Assert(t, !sound && skipped != "", "%q: %v", name, err)
					continue
				}
				got, err := io.ReadAll(resp)
				resp.Close()
				assert.Equal(t, err == nil, sound, "%q: %v", name, err)
				assert.Equal(t, string(got), "ok")
			}
		}
	}
}

// TestUnusualHead sends a head with all characters that field names may have, and empty values, byte by byte.
func TestUnusualHead(t *testing.T) {
	const name = "!#$%&'*+-.^_`|~09azAZ"
	head := "HTTP/1.1 103 Hints\r\nLink:\r\n\r\nHTTP/1.1 200\r\nRequest-Id: 1\r\n" + name + ": \t a:b \x80\t\r\nEmpty:\r\nContent-Length:2\r\n\r\n"
	address := upstream(t, func(c net.Conn) {
		readHead(c)
		writeParts(c, strings.Split(head+"\n ", "")...)
	})
	resp, err := call.NewPool().Do(t.Context(), address, request("1"))
	assert.NilError(t, err)
	defer resp.Close()
	assert.Equal(t, resp.Header.Get(name), "a:b \x80")
	body, err := io.ReadAll(resp)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "\n ")
}

// TestCanceledRequestIsNotSent guards against requests that are sent although they were given up while they waited for a
// connection.
func TestCanceledRequestIsNotSent(t *testing.T) {
	var received atomic.Int64
	address := upstream(t, func(c net.Conn) {
		buf := make([]byte, 4096)
		for {
			if _, err := c.Read(buf); err != nil {
				return
			}
			received.Add(1)
			_, _ = io.WriteString(c, response("new", "ok"))
		}
	})
	p := call.NewPool()
	do := func(ctx context.Context) error {
		resp, err := p.Do(ctx, address, request("new"))
		if err == nil {
			_, err = io.Copy(io.Discard, resp)
			resp.Close()
		}
		return err
	}
	assert.NilError(t, do(t.Context()))
	for range 20 {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assert.ErrorIs(t, do(ctx), call.ErrNotSent)
	}
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, received.Load(), int64(1))
}
