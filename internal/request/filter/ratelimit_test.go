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
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// TestServiceRateLimitCountsRepeatsAndHedges has two slow services fail and name limits that leave no
// second call for seconds.
func TestServiceRateLimitCountsRepeatsAndHedges(t *testing.T) {
	for _, hedgeAfter := range []clock.Duration{0, clock.Millisecond} {
		c := newCallers(t, tables.Pool{Name: "desk", Service: "desk", HedgeAfter: hedgeAfter, RetryShare: 1}, nil)
		var calls [2]atomic.Int64
		for i := range calls {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls[i].Add(1)
				time.Sleep(5 * time.Millisecond)
				w.Header().Set(filter.RateLimitHeader, "0.3")
				w.Header().Set(refusal.OutcomeHeader, string(refusal.NotRun))
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			t.Cleanup(server.Close)
			c.dir.Announce(&upstreampb.Announcement{Id: fmt.Sprintf("s%d", i), Kind: "service", Name: "desk", Address: server.Listener.Addr().String(), LeaseMs: 60_000, Sequence: 1})
		}
		var last refusal.Kind
		for i := range 5 {
			last = c.serve(t, i, nil, "")
		}
		assert.Equal(t, last, refusal.UpstreamLimit)
		assert.Assert(t, calls[0].Load() <= 1 && calls[1].Load() <= 1, "%d and %d calls", calls[0].Load(), calls[1].Load())
	}
}
