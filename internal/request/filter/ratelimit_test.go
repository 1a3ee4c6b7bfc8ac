package filter_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/request/filter"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
	"github.com/jasminecove/jasminecove/internal/routing/ratecap"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// TestServiceRateLimitCountsRepeatsAndHedges has two slow services refuse calls and name limits, for a
// second.
func TestServiceRateLimitCountsRepeatsAndHedges(t *testing.T) {
	for _, hedgeAfter := range []clock.Duration{0, clock.Millisecond} {
		c := newCallers(t, tables.Pool{Name: "desk", Service: "desk", HedgeAfter: hedgeAfter, RetryShare: 1}, nil)
		var calls [2]atomic.Int64
		for i := range calls {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls[i].Add(1)
				time.Sleep(5 * time.Millisecond)
				w.Header().Set(filter.RateLimitHeader, "6")
				w.Header().Set(refusal.OutcomeHeader, string(refusal.NotRun))
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			t.Cleanup(server.Close)
			c.dir.Announce(&upstreampb.Announcement{Id: fmt.Sprintf("s%d", i), Kind: "service", Name: "desk", Address: server.Listener.Addr().String(), LeaseMs: 60_000, Sequence: 1})
		}
		refused := 0
		began := time.Now()
		for i := 0; time.Since(began) < time.Second; i++ {
			if c.serve(t, i, nil, "") == refusal.UpstreamLimit {
				refused++
			}
			time.Sleep(2 * time.Millisecond)
		}
		const most = 6 + 3 + 1 // In a second, with what a full bucket holds and the first call.
		assert.Assert(t, refused > 0, "no call was refused for the limit")
		for i := range calls {
			assert.Assert(t, calls[i].Load() <= most, "%d calls reached a service", calls[i].Load())
		}
	}
}

// TestServiceThatWantsNoMoreCalls has one of two services say in its responses that it leaves, or turn
// calls away with a time for which it wants none.
func TestServiceThatWantsNoMoreCalls(t *testing.T) {
	answers := map[string]func(w http.ResponseWriter){
		"leaves, slowly": func(w http.ResponseWriter) {
			time.Sleep(20 * time.Millisecond)
			w.Header().Set(filter.LeavingHeader, filter.LeavingValue)
		},
		"leaves": func(w http.ResponseWriter) { w.Header().Set(filter.LeavingHeader, filter.LeavingValue) },
		"asks for time": func(w http.ResponseWriter) {
			w.Header().Set("Retry-After", "30")
			w.Header().Set(refusal.OutcomeHeader, string(refusal.NotRun))
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	}
	for name, answer := range answers {
		for _, hedgeAfter := range []clock.Duration{0, clock.Millisecond} {
			c := newCallers(t, tables.Pool{Name: "desk", Service: "desk", HedgeAfter: hedgeAfter, RetryShare: 1}, nil)
			var unwilling, other atomic.Int64
			for i, calls := range []*atomic.Int64{&unwilling, &other} {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					calls.Add(1)
					if i == 0 {
						answer(w)
					}
				}))
				t.Cleanup(server.Close)
				c.dir.Announce(&upstreampb.Announcement{Id: fmt.Sprintf("s%d", i), Kind: "service", Name: "desk", Address: server.Listener.Addr().String(), LeaseMs: 60_000, Sequence: 1})
			}
			for i := range 40 {
				c.serve(t, i, nil, "")
				for end := time.Now().Add(5 * time.Second); c.hasCallsInFlight() || unwilling.Load() > 0 && c.mayCall("s1"); time.Sleep(time.Millisecond) {
					assert.Assert(t, time.Now().Before(end), "%s: its answer was not read", name)
				}
			}
			assert.Equal(t, unwilling.Load(), int64(1), name)
			assert.Assert(t, other.Load() >= 39, name)
		}
	}
}

// TestPanicOfHedgedCall guards against a caller without an answer, and a service whose slot stays taken.
func TestPanicOfHedgedCall(t *testing.T) {
	c := newCallers(t, tables.Pool{Name: "desk", Service: "desk", HedgeAfter: clock.Minute, RetryShare: 1}, nil)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(filter.RateLimitHeader, "500") }))
	t.Cleanup(server.Close)
	c.dir.Announce(&upstreampb.Announcement{Id: "s", Kind: "service", Name: "desk", Address: server.Listener.Addr().String(), LeaseMs: 60_000, Sequence: 1})
	c.services.OnRateLimit = func(string, string, ratecap.Change) { panic("limit") }
	began := time.Now()
	assert.Assert(t, c.serve(t, 0, nil, "") != "" && time.Since(began) < 3*time.Second)
	c.services.OnRateLimit = nil
	time.Sleep(500 * time.Millisecond) // The limit that the service named allows calls again.
	assert.Equal(t, c.serve(t, 1, nil, ""), refusal.Kind(""))
}
