package forward_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/request/retryshare"
	"github.com/jasminecove/jasminecove/internal/routing/chain"
)

// TestPanicOfStallCheck guards against a stream that hangs on a blocked engine once a check of it has panicked.
func TestPanicOfStallCheck(t *testing.T) {
	f := newFixture(t)
	f.start(t, "e1", "crew", 0, 8, serveNothing)
	var once sync.Once
	f.stalled = func(context.Context, string, string) {
		once.Do(func() { f.start(t, "e2", "crew", 0, 8, events(5, 0)) })
		panic("check")
	}
	_, body, err := f.do(t, "POST", "/draft/1", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, body, wantEvents(1, 5))
}

// panickingLenders panics at each loan.
type panickingLenders struct{}

func (panickingLenders) Others() []string { return []string{"vm-2"} }

func (panickingLenders) Borrow(context.Context, string, string, int) (int, error) { panic("loan") }

// TestPanicOfLoanRound guards against streams that wait for a round whose leader panicked.
func TestPanicOfLoanRound(t *testing.T) {
	f := newFixture(t)
	f.retries = retryshare.Limits{Allowance: 3, Window: 10 * clock.Second}
	f.lenders = panickingLenders{}
	f.start(t, "e1", "crew", 0, 8, events(30, 11))
	for range 2 {
		began := time.Now()
		_, _, err := f.do(t, "POST", "/draft/1", "prompt")
		assert.Assert(t, err != nil)
		assert.Assert(t, time.Since(began) < time.Second, "%s", time.Since(began))
	}
}

// TestPanicOfRepath guards against a run that waits for a dead engine once the change of its path panicked.
func TestPanicOfRepath(t *testing.T) {
	f := newFixture(t)
	var once sync.Once
	f.start(t, "e1", "crew", 0, 4, func(u *upstream, c net.Conn, r *http.Request) {
		first := false
		once.Do(func() { first = true })
		if !first {
			events(5, 0)(u, c, r)
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nJasminecove-Request-Id: id-1\r\n%sContent-Length: 1000\r\n\r\n%s", integrity, wantEvents(1, 2))
		f.start(t, "e3", "crew", 4, 8, serveNothing)
		f.catalog.MarkDead("e2", true)
	})
	f.start(t, "e2", "crew", 4, 8, serveNothing)
	f.repath = func(context.Context, string, string, string, []chain.Hop) error { panic("repath") }
	began := time.Now()
	_, body, err := f.do(t, "POST", "/draft/1", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, body, wantEvents(1, 5))
	assert.Assert(t, time.Since(began) < time.Second, "%s", time.Since(began))
	assert.Equal(t, f.catalog.Requests("e3"), 0)
}
