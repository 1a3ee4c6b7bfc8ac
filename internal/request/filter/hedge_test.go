package filter_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// TestDeadlineOfHedgedCall guards against a hedged call past its deadline that is refused as a failure of the service.
func TestDeadlineOfHedgedCall(t *testing.T) {
	for _, hedgeAfter := range []clock.Duration{0, clock.Minute, clock.Millisecond} {
		t.Run(fmt.Sprint(hedgeAfter), func(t *testing.T) {
			c := newCallers(t, tables.Pool{Name: "desk", Service: "desk", HedgeAfter: hedgeAfter, RetryShare: 1}, nil)
			release := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
			t.Cleanup(server.Close)
			t.Cleanup(func() { close(release) })
			c.dir.Announce(&upstreampb.Announcement{Id: "s", Kind: "service", Name: "desk", Address: server.Listener.Addr().String(), LeaseMs: 60_000, Sequence: 1})
			x := &exchange.Exchange{
				ID: "x", R: httptest.NewRequest(http.MethodGet, "/lookups/1", nil), W: httptest.NewRecorder(), Received: time.Now(), Deadline: time.Now().Add(200 * time.Millisecond),
				Outcome: refusal.NotRun, Pool: c.pool, Route: tables.Route{Calls: tables.Idempotent},
			}
			ctx, cancel := context.WithDeadline(t.Context(), x.Deadline)
			defer cancel()
			err := c.forward.Serve(ctx, x, nil)
			assert.Equal(t, err.(*refusal.Refusal).Kind, refusal.DeadlinePassed)
		})
	}
}
