package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// writeForever writes a text again and again until the connection is closed, and counts the
// bytes.
func writeForever(c net.Conn, text string, written *atomic.Int64) {
	block := []byte(strings.Repeat(text, max(1, 4096/len(text))))
	for {
		n, err := c.Write(block)
		written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// TestEndlessHeader answers with a header that never ends. The connection must be closed after a
// bounded number of bytes, and the request goes elsewhere if it may be repeated. The caller of
// one that may not is told at once that its outcome is unknown.
func TestEndlessHeader(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\n%sX-Long: ", "HTTP/1.1 200 OK\r\n%sX-A: b\r\n", "x"} {
		f := newFixture(t)
		var written atomic.Int64
		f.start(t, "u1", "desk", 0, 0, func(_ *upstream, c net.Conn, r *http.Request) {
			id := "Jasminecove-Request-Id: " + r.Header.Get("Jasminecove-Request-Id") + "\r\n"
			start, rest, _ := strings.Cut(head, "%s")
			_, _ = io.WriteString(c, start+id)
			writeForever(c, rest+"x", &written)
		})
		began := time.Now()
		resp, body, err := f.do(t, "POST", "/book/1", "")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusBadGateway, body)
		assert.Assert(t, strings.Contains(body, "unknown"), body)
		assert.Assert(t, time.Since(began) < 700*time.Millisecond, "the caller waited for the deadline")
		assert.Assert(t, written.Load() < 32<<20, "%d bytes were read", written.Load())

		u2 := f.start(t, "u2", "desk", 0, 0, serveOK)
		for range 4 {
			resp, body, err = f.do(t, "GET", "/look/1", "")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK, body)
		}
		assert.Assert(t, u2.runs() >= 4)
	}
}

// TestEndlessBodies answers many calls at once with bodies that never end. Their memory must
// stay bounded for all of them together.
func TestEndlessBodies(t *testing.T) {
	f := newFixture(t)
	var written atomic.Int64
	f.start(t, "u1", "desk", 0, 0, func(_ *upstream, c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nJasminecove-Request-Id: %s\r\n%s\r\n", r.Header.Get("Jasminecove-Request-Id"), integrity)
		writeForever(c, "x", &written)
	})
	const callers = 30
	var done sync.WaitGroup
	for range callers {
		done.Go(func() {
			resp, body, err := f.do(t, "POST", "/bulk/1", "")
			assert.Check(t, err)
			assert.Check(t, resp.StatusCode == http.StatusBadGateway, body)
		})
	}
	done.Wait()
	// Socket buffers hold some MB for each connection that are written and never read.
	assert.Assert(t, written.Load() < 64<<20+callers*(8<<20), "%d MB were read", written.Load()>>20)
}

// TestStreamWithoutEvents answers a stream with bytes that are no events: comments now and then,
// or without end, or a line that never ends. The stream must go on with another engine.
func TestStreamWithoutEvents(t *testing.T) {
	for _, junk := range []string{": still here\n\n", "x"} {
		for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
			f := newFixture(t)
			f.start(t, "e1", "crew", 0, 8, func(_ *upstream, c net.Conn, r *http.Request) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nJasminecove-Request-Id: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Jasminecove-Request-Id"), integrity)
				for {
					if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(junk), junk); err != nil {
						return
					}
					time.Sleep(pause)
				}
			})
			f.start(t, "e2", "crew", 0, 8, events(5, 0))
			for range 2 {
				began := time.Now()
				resp, body, err := f.do(t, "POST", "/draft/1", "prompt", "Jasminecove-Tokens", "10,5")
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, 200)
				assert.Equal(t, body, wantEvents(1, 5))
				assert.Assert(t, time.Since(began) < 3*time.Second, "junk %q each %s", junk, pause)
			}
		}
	}
}

// TestGarbageInStreamIsNotRelayed guards against random bytes within a stream that is resumed and ends as
// complete: the caller must get the events alone.
func TestGarbageInStreamIsNotRelayed(t *testing.T) {
	for _, block := range []string{"\x9e\x01\n\n\xff", "data: no id\n\n", "x\n\n", "id: 3\ndata: \xfe\xff\n\n"} {
		f := newFixture(t)
		var written atomic.Int64
		f.start(t, "e1", "crew", 0, 8, func(_ *upstream, c net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nJasminecove-Request-Id: %s\r\n%s\r\n%s", r.Header.Get("Jasminecove-Request-Id"), integrity, wantEvents(1, 2))
			writeForever(c, block, &written)
		})
		var resumedAfter atomic.Value
		f.start(t, "e2", "crew", 0, 8, func(u *upstream, c net.Conn, r *http.Request) {
			resumedAfter.Store(r.Header.Get("Last-Event-Id"))
			events(5, 0)(u, c, r)
		})
		for range 4 {
			began := time.Now()
			resp, body, err := f.do(t, "POST", "/draft/1", "prompt", "Jasminecove-Tokens", "10,5")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, 200)
			assert.Equal(t, body, wantEvents(1, 5), "block %q", block)
			assert.Assert(t, time.Since(began) < time.Second, "the run with garbage ended after %s", time.Since(began))
		}
		assert.Assert(t, written.Load() > 0, "no run met the garbage")
		assert.Assert(t, resumedAfter.Load() != nil)
	}
}

// TestStatusOutOfRange guards against calls without an answer: a status that net/http reads and can't write
// ended the caller's connection.
func TestStatusOutOfRange(t *testing.T) {
	for _, status := range []string{"000", "042", "099", "600", "999"} {
		f := newFixture(t)
		f.start(t, "u1", "desk", 0, 0, func(_ *upstream, c net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Odd\r\nJasminecove-Request-Id: %s\r\n%sContent-Length: 0\r\n\r\n", status, r.Header.Get("Jasminecove-Request-Id"), integrity)
		})
		resp, body, err := f.do(t, "POST", "/book/1", "")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusBadGateway, "status %s: %s", status, body)
	}
}

// TestInterimResponsesAreSkipped answers with interim responses before the response.
func TestInterimResponsesAreSkipped(t *testing.T) {
	f := newFixture(t)
	f.start(t, "u1", "desk", 0, 0, func(u *upstream, c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 103 Early Hints\r\nJasminecove-Request-Id: %s\r\n%sX-Hint: 1\r\n\r\n", r.Header.Get("Jasminecove-Request-Id"), integrity)
		serveOK(u, c, r)
	})
	resp, body, err := f.do(t, "POST", "/book/1", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK, body)
}

// TestNumbersOutOfRange guards against numbers of callers that wrap: the memory that a request is counted
// with, or the event after which it resumes.
func TestNumbersOutOfRange(t *testing.T) {
	f := newFixture(t)
	f.start(t, "e1", "crew", 0, 8, events(5, 0))
	const last = "9223372036854775807"
	for _, header := range [][]string{
		{"Jasminecove-Tokens", last + "," + last}, {"Jasminecove-Tokens", "10," + last}, {"Jasminecove-Tokens", last + "0,5"}, {"Jasminecove-Tokens", "-1,5"},
		{"Jasminecove-Answer-Hint", last}, {"Last-Event-Id", last}, {"Last-Event-Id", "-5"},
	} {
		resp, body, err := f.do(t, "POST", "/draft/1", "prompt", header...)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusBadRequest, "%s: %s", header, body)
		assert.Equal(t, f.catalog.Requests("e1"), 0)
	}
	for _, header := range [][]string{{"Jasminecove-Tokens", "many,few"}, {"Jasminecove-Tokens", ""}, {"Last-Event-Id", "x"}, {"Jasminecove-Tokens", "10,5"},
		{"Jasminecove-Deadline-Ms", "-5"}, {"Jasminecove-Deadline-Ms", "soon"}, {"Jasminecove-Deadline-Ms", last + "0"}, {"Jasminecove-Prompt-Parts", ",:,a1:-1,a1:x,:5,b2"}} {
		resp, body, err := f.do(t, "POST", "/draft/1", "prompt", header...)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK, "%s: %s", header, body)
		assert.Equal(t, body, wantEvents(1, 5))
	}
}

// TestSlowStreamKept checks that a slow stream is not cut while no other path could continue it,
// and that it is run once.
func TestSlowStreamKept(t *testing.T) {
	f := newFixture(t)
	e := f.start(t, "e1", "crew", 0, 8, func(_ *upstream, c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nJasminecove-Request-Id: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Jasminecove-Request-Id"), integrity)
		for i := 1; i <= 2; i++ {
			time.Sleep(2100 * time.Millisecond)
			event := fmt.Sprintf("id: %d\ndata: t%d\n\n", i, i)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	})
	resp, body, err := f.do(t, "POST", "/draft/1", "prompt", "Jasminecove-Tokens", "10,2")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, body, wantEvents(1, 2))
	assert.Equal(t, e.runs(), 1)
}

// TestKnownGapRefusedAtOnce checks that a request waits a while for a path when layers are
// missing, that later ones are refused at once while the gap lasts, with a time to return, and
// that the first path after it is used.
func TestKnownGapRefusedAtOnce(t *testing.T) {
	f := newFixture(t)
	f.start(t, "e1", "crew", 0, 4, events(5, 0))
	ask := func() (status int, took time.Duration, retryAfter string) {
		began := time.Now()
		resp, _, err := f.do(t, "POST", "/draft/1", "prompt", "Jasminecove-Tokens", "10,5")
		assert.NilError(t, err)
		return resp.StatusCode, time.Since(began), resp.Header.Get("Retry-After")
	}
	status, took, _ := ask()
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, took > 300*time.Millisecond && took < 500*time.Millisecond, "%s", took)
	for range 5 {
		status, took, retryAfter := ask()
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, took < 100*time.Millisecond, "%s", took)
		seconds, err := strconv.ParseFloat(retryAfter, 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds >= 1 && seconds <= 5.0/3, "%s s", retryAfter) // A third of the deadline.
	}
	f.start(t, "e2", "crew", 4, 8, events(5, 0))
	status, _, _ = ask()
	assert.Equal(t, status, http.StatusOK)
}

// TestRefusedByEngines has engines refuse all requests, as full ones do after a start of all VMs,
// whose repeats are used up. The caller is told that the request has not run, for want of
// capacity, and to return as after other shortages of capacity, which are shorter than gaps.
func TestRefusedByEngines(t *testing.T) {
	f := newFixture(t)
	f.retries.Allowance = 1
	for _, id := range []string{"e1", "e2", "e3"} {
		f.start(t, id, "crew", 0, 8, serveNotRun)
	}
	resp, body, err := f.do(t, "POST", "/draft/1", "prompt", "Jasminecove-Tokens", "10,5")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, ":overloaded\"") && strings.Contains(body, `"outcome":"notRun"`), body)
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds <= 2, "%v s", seconds)
}
