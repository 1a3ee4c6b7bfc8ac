package filter_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/node/decision"
	"github.com/jasminecove/jasminecove/internal/pipeline/driver"
	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/filter"
	"github.com/jasminecove/jasminecove/internal/request/quarantine"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
	"github.com/jasminecove/jasminecove/internal/routing/directory"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// callers serves requests by the filters under test.
type callers struct {
	guard    *quarantine.Guard
	dir      *directory.Directory
	services *filter.Services
	forward  *filter.Forward
	pool     tables.Pool
}

func newCallers(t *testing.T, pool tables.Pool, pipelines filter.PipelineRunner) *callers {
	t.Helper()
	clk := clock.NewSystem()
	c := &callers{
		guard: quarantine.NewGuard(clk, (*decision.Log)(nil), tally.NoopScope),
		dir:   directory.New("vm", clk, rng.New(1), func(directory.Change) {}), pool: pool,
	}
	c.dir.SetTables(&tables.Document{Routes: []tables.Route{{Name: "r", Pool: pool.Name}}, Pools: []tables.Pool{pool}})
	c.services = filter.NewServices(c.dir, clk, c.guard, call.NewPool())
	c.forward = filter.NewForward(pipelines, c.services, nil, c.guard)
	return c
}

// mayCall reports whether a call may be sent to an upstream that is none of the others.
func (c *callers) mayCall(others ...string) bool {
	u, err := c.dir.PickService(c.pool.Name, others)
	if err == nil {
		c.dir.ReleaseService(u.Id)
	}
	return err == nil
}

// hasCallsInFlight reports whether a call to a service has not ended. A hedged one may not even have arrived.
func (c *callers) hasCallsInFlight() bool {
	for _, pool := range c.dir.View() {
		for _, u := range pool.Upstreams {
			if u.InFlight > 0 {
				return true
			}
		}
	}
	return false
}

// startServices starts services that end on harmful requests, and returns the number of those that have.
func (c *callers) startServices(t *testing.T, n int, harmful func(*http.Request) bool) *atomic.Int64 {
	t.Helper()
	crashes := new(atomic.Int64)
	for i := range n {
		var server *httptest.Server
		var listener net.Listener
		server = httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if !harmful(r) {
				return
			}
			crashes.Add(1)
			_ = listener.Close()
			time.Sleep(5 * time.Millisecond)
			server.CloseClientConnections()
		}))
		listener = server.Listener
		server.Start()
		t.Cleanup(server.Close)
		c.dir.Announce(&upstreampb.Announcement{Id: fmt.Sprintf("s%d", i), Kind: "service", Name: "desk", Address: listener.Addr().String(), LeaseMs: 60_000, Sequence: 1})
	}
	return crashes
}

// serve runs one request through the filters and returns the kind of its refusal, or "".
func (c *callers) serve(t *testing.T, id int, model *exchange.ModelCall, parts string) refusal.Kind {
	t.Helper()
	r := httptest.NewRequest(http.MethodGet, fmt.Sprint("/lookups/", id), nil)
	r.Header.Set(filter.PartsHeader, parts)
	x := &exchange.Exchange{
		ID: fmt.Sprint(id), R: r, W: httptest.NewRecorder(), Model: model, Received: time.Now(), Deadline: time.Now().Add(5 * time.Second),
		Outcome: refusal.NotRun, Pool: c.pool, Route: tables.Route{Calls: tables.Idempotent},
	}
	next := func(ctx context.Context, x *exchange.Exchange) error { return c.forward.Serve(ctx, x, nil) }
	err := filter.NewQuarantine(c.guard).Serve(t.Context(), x, next)
	if err == nil {
		return ""
	}
	return err.(*refusal.Refusal).Kind
}

// crashingPipelines are engines that end on one of the parts of a call.
type crashingPipelines struct {
	c       *callers
	crashes int
}

// Run implements filter.PipelineRunner.
func (p *crashingPipelines) Run(_ context.Context, req driver.Request, _ func(driver.Token) error) (driver.Report, error) {
	for strings.Contains(req.Prompt, "bad") {
		p.crashes++
		engine := fmt.Sprintf("e%d", p.crashes)
		req.OnPath([]string{engine})
		p.c.guard.UpstreamEnded(engine)
		if err := req.OnLost(engine); err != nil {
			return driver.Report{Session: 1, PromptTokens: 1}, err
		}
	}
	return driver.Report{}, nil
}

func TestModelCallWithCrashingMessageIsQuarantined(t *testing.T) {
	for name, parts := range map[string][]string{"bb before the last message": {"aa", "bb", "own-%d"}, "bb last": {"aa-%d", "bb"}} {
		t.Run(name, func(t *testing.T) { testCrashingMessage(t, parts) })
	}
}

func testCrashingMessage(t *testing.T, format []string) {
	p := &crashingPipelines{}
	p.c = newCallers(t, tables.Pool{Name: "crew", Model: "crew"}, p)
	sound := &exchange.ModelCall{Model: "crew", Prompt: "system", Parts: []string{"aa", "cc"}}
	assert.Equal(t, p.c.serve(t, 0, sound, ""), refusal.Kind(""))
	var kinds []refusal.Kind
	for i := range 4 {
		var parts []string
		for _, f := range format {
			parts = append(parts, strings.ReplaceAll(f, "%d", fmt.Sprint(i)))
		}
		kinds = append(kinds, p.c.serve(t, 1+i, &exchange.ModelCall{Model: "crew", Prompt: "system bad", Parts: parts}, ""))
	}
	assert.DeepEqual(t, kinds, []refusal.Kind{refusal.UpstreamFailed, refusal.UpstreamFailed, refusal.Quarantined, refusal.Quarantined})
	assert.Equal(t, p.crashes, 3)
	assert.Equal(t, p.c.serve(t, 9, sound, ""), refusal.Kind(""))
}

// TestRepeatedModelCallIsQuarantined has one call of an engine's end come again.
func TestRepeatedModelCallIsQuarantined(t *testing.T) {
	p := &crashingPipelines{}
	p.c = newCallers(t, tables.Pool{Name: "crew", Model: "crew"}, p)
	var kinds []refusal.Kind
	for range 4 {
		kinds = append(kinds, p.c.serve(t, 1, &exchange.ModelCall{Model: "crew", Prompt: "bad"}, ""))
	}
	assert.DeepEqual(t, kinds, []refusal.Kind{refusal.UpstreamFailed, refusal.UpstreamFailed, refusal.Quarantined, refusal.Quarantined})
	assert.Equal(t, p.crashes, 3)
	assert.Equal(t, p.c.serve(t, 2, &exchange.ModelCall{Model: "crew", Prompt: "good"}, ""), refusal.Kind(""))
}

// TestRepeatedServiceCallIsQuarantined has one call come again, with hedges and without.
func TestRepeatedServiceCallIsQuarantined(t *testing.T) {
	for _, hedgeAfter := range []clock.Duration{0, clock.Millisecond} {
		c := newCallers(t, tables.Pool{Name: "desk", Service: "desk", HedgeAfter: hedgeAfter, RetryShare: 1}, nil)
		crashes := c.startServices(t, 12, func(r *http.Request) bool { return r.URL.Path == "/lookups/1" })
		var last refusal.Kind
		for range 8 {
			last = c.serve(t, 1, nil, "")
		}
		assert.Equal(t, last, refusal.Quarantined)
		assert.Assert(t, crashes.Load() <= 5, "%d services ended", crashes.Load())
		assert.Assert(t, c.serve(t, 2, nil, "") != refusal.Quarantined)
	}
}

// TestQuarantineIsLiftedByTrial covers model calls, service calls and hedged service calls.
func TestQuarantineIsLiftedByTrial(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(server.Close)
	pools := []tables.Pool{{Name: "crew", Model: "crew"}, {Name: "desk", Service: "desk"}, {Name: "desk", Service: "desk", HedgeAfter: clock.Millisecond, RetryShare: 1}}
	var all []*callers
	request := func(c *callers) refusal.Kind {
		if c.pool.Model != "" {
			return c.serve(t, 0, &exchange.ModelCall{Model: "crew", Prompt: "system", Parts: []string{"aa", "own"}}, "")
		}
		return c.serve(t, 0, nil, "aa,own")
	}
	for _, pool := range pools {
		p := &crashingPipelines{}
		p.c = newCallers(t, pool, p)
		p.c.dir.Announce(&upstreampb.Announcement{Id: "s", Kind: "service", Name: "desk", Address: server.Listener.Addr().String(), LeaseMs: 60_000, Sequence: 1})
		for _, id := range []string{"1", "2", "3"} {
			p.c.guard.RunBroke(quarantine.Run{RequestID: id, Upstream: id, StartedMs: 1, Keys: []string{"aa"}})
			p.c.guard.UpstreamEnded(id)
		}
		assert.Equal(t, request(p.c), refusal.Quarantined)
		all = append(all, p.c)
	}
	time.Sleep(2100 * time.Millisecond)
	for _, c := range all {
		assert.Equal(t, request(c), refusal.Kind(""), "trial")
		assert.Equal(t, request(c), refusal.Kind(""))
	}
}

// TestHedgedCallWithCrashingPartIsQuarantined has services end on a part, with hedges and without.
func TestHedgedCallWithCrashingPartIsQuarantined(t *testing.T) {
	for parts, hedgeAfter := range map[string]clock.Duration{"aa,bad,x%d": 0, "aa,bad,h%d": clock.Millisecond, "x%d,bad": 0, "h%d,bad": clock.Millisecond} {
		c := newCallers(t, tables.Pool{Name: "desk", Service: "desk", HedgeAfter: hedgeAfter, RetryShare: 1}, nil)
		crashes := c.startServices(t, 12, func(r *http.Request) bool { return strings.Contains(r.Header.Get(filter.PartsHeader), "bad") })
		assert.Equal(t, c.serve(t, 0, nil, "aa,xx"), refusal.Kind(""))
		refused := 0
		for i := range 8 {
			if c.serve(t, 1+i, nil, fmt.Sprintf(parts, i)) == refusal.Quarantined {
				refused++
			}
		}
		assert.Assert(t, refused >= 4, "%d requests were refused", refused)
		assert.Assert(t, crashes.Load() <= 6, "%d services ended", crashes.Load())
		// It may meet services that have ended, but it is not kept from them.
		assert.Assert(t, c.serve(t, 9, nil, "aa,xx") != refusal.Quarantined)
	}
}
