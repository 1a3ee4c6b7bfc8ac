package filter_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/filter"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// TestMalformedServiceResponse guards against responses that reach callers, or stay without an answer, although their
// status is none that net/http can write, or the name of a field holds a blank or a control character.
func TestMalformedServiceResponse(t *testing.T) {
	for _, head := range []string{
		"042 Odd\r\nContent-Length: 0", "000 OK\r\nContent-Length: 0", "200 OK\r\nX Own: 1\r\nContent-Length: 0", "200 OK\r\nX-Own\t: 1\r\nContent-Length: 0",
		"200 OK\r\nX-Own: 1\r\nContent-Length : 0", "200 OK\r\nX-Own: 1\r\n Content-Length: 0", "200 OK\r\nX-Own: 1\r\n\nContent-Length: 0",
	} {
		t.Run(strconv.Quote(head), func(t *testing.T) {
			c := newCallers(t, tables.Pool{Name: "desk", Service: "desk"}, nil)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if assert.Check(t, err) {
					_, _ = fmt.Fprint(conn, "HTTP/1.1 "+head+"\r\n\r\n")
					_ = conn.Close()
				}
			}))
			t.Cleanup(server.Close)
			c.dir.Announce(&upstreampb.Announcement{Id: "s0", Kind: "service", Name: "desk", Address: server.Listener.Addr().String(), LeaseMs: 60_000, Sequence: 1})
			assert.Equal(t, c.serve(t, 0, nil, ""), refusal.UpstreamFailed)
		})
	}
}

// TestUnframedServiceResponse guards against a part of a response without framing that callers get as the whole, because
// the service reset the connection within the upload.
func TestUnframedServiceResponse(t *testing.T) {
	const rounds = 10
	for _, reset := range []bool{true, false} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if !assert.Check(t, err) {
				return
			}
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			if reset {
				time.Sleep(5 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			} else {
				_ = conn.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, conn)
			}
			_ = conn.Close()
		}))
		t.Cleanup(server.Close)
		for range rounds {
			c := newCallers(t, tables.Pool{Name: "desk", Service: "desk"}, nil)
			c.dir.Announce(&upstreampb.Announcement{Id: "s0", Kind: "service", Name: "desk", Address: server.Listener.Addr().String(), LeaseMs: 60_000, Sequence: 1})
			got := httptest.NewRecorder()
			err := c.forward.Serve(t.Context(), &exchange.Exchange{
				ID: "1", R: httptest.NewRequest(http.MethodPost, "/orders", nil), W: got, Body: make([]byte, 4<<20), Received: time.Now(),
				Deadline: time.Now().Add(5 * time.Second), Pool: c.pool, Route: tables.Route{Calls: tables.NonIdempotent},
			}, nil)
			assert.Equal(t, err != nil, reset, "%v", err)
			assert.Equal(t, got.Body.String() == "part", !reset)
		}
	}
}

// TestContradictingHeadersOfService guards against a limit, a pause or a departure that is read off the first of
// several headers that contradict each other.
func TestContradictingHeadersOfService(t *testing.T) {
	for name, values := range map[string][]string{filter.RateLimitHeader: {"0.1", "900"}, filter.LeavingHeader: {filter.LeavingValue, "0"}, "Retry-After": {"60", "0"}} {
		c := newCallers(t, tables.Pool{Name: "desk", Service: "desk"}, nil)
		var calls atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if calls.Add(1) == 1 {
				w.Header()[name] = values
				w.Header().Set(refusal.OutcomeHeader, string(refusal.NotRun))
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		t.Cleanup(server.Close)
		c.dir.Announce(&upstreampb.Announcement{Id: "s0", Kind: "service", Name: "desk", Address: server.Listener.Addr().String(), LeaseMs: 60_000, Sequence: 1})
		for i := range 2 {
			c.serve(t, i, nil, "")
		}
		assert.Equal(t, calls.Load(), int64(2), name)
	}
}
