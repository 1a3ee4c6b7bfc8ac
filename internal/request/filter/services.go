package filter

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/request/budget"
	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/quarantine"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
	"github.com/jasminecove/jasminecove/internal/routing/directory"
	"github.com/jasminecove/jasminecove/internal/routing/ratecap"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
)

// Parameters of calls to services.
const (
	dialTimeout      = 500 * time.Millisecond
	maxAttempts      = 3
	maxResponseBytes = 16 << 20
	// minAttemptTimeout is the minimum time limit of one attempt of a repeatable call, after
	// which another upstream is tried.
	minAttemptTimeout = 1500 * time.Millisecond
)

// Headers in which services say something of themselves.
const (
	// RateLimitHeader is set by services in need: the calls a second that they take from all VMs together.
	RateLimitHeader = "Jasminecove-Rate-Limit"
	// LeavingHeader is set to LeavingValue by services that are leaving.
	LeavingHeader = "Jasminecove-Leaving"
	LeavingValue  = "1"
)

// hopByHopHeaders are the headers that are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization"}

// Services sends calls to plain services.
type Services struct {
	dir   *directory.Directory
	clock clock.Clock
	pool  *call.Pool
	guard *quarantine.Guard
	// OnRateLimit is called when a response changes the rate limit of an upstream. It may be nil.
	OnRateLimit func(upstream, requestID string, change ratecap.Change)

	mu      sync.Mutex
	budgets map[string]*budget.Budget
}

// NewServices returns the sender of calls to services. It takes their connections from the pool.
func NewServices(dir *directory.Directory, clk clock.Clock, guard *quarantine.Guard, pool *call.Pool) *Services {
	return &Services{dir: dir, clock: clk, guard: guard, pool: pool, budgets: map[string]*budget.Budget{}}
}

// attempt is the result of one attempt.
type attempt struct {
	upstream string
	status   int
	header   http.Header
	body     []byte
	notRun   bool // No byte was sent, or the service stated that it did not run the call.
	err      error
}

// Serve sends a call and retries it if that is safe and the retry budget allows it.
func (s *Services) Serve(ctx context.Context, x *exchange.Exchange) error {
	s.budget(x, func(b *budget.Budget) { b.RecordRequest(s.clock.Now()) })
	repeatable := x.Route.Repeatable(x.R.Method)
	watch := s.guard.Watch(x.ID, suspects(x), s.starts)
	var tried []string
	var last attempt
	for attemptIndex := 0; ; attemptIndex++ {
		u, err := s.dir.PickService(x.Pool.Name, tried)
		var usedUp *ratecap.UsedUpError
		if errors.As(err, &usedUp) && attemptIndex == 0 {
			return refusal.NewUpstreamLimit(max(retryDelay, usedUp.Wait)).WithCause(err)
		}
		if err != nil && attemptIndex == 0 {
			return refusal.New(refusal.NoUpstream, http.StatusServiceUnavailable, "no upstream of the pool can take the call").WithRetryAfter(retryDelay).WithCause(err)
		}
		if err != nil {
			return s.refuse(x, attempt{notRun: x.Outcome == refusal.NotRun, err: err})
		}
		if err := quarantineError(watch.Admit()); err != nil {
			s.dir.ReleaseService(u.Id)
			if attemptIndex == 0 {
				return err
			}
			return s.refuse(x, last)
		}
		var a attempt
		if repeatable && x.Pool.HedgeAfter > 0 {
			a, tried = s.hedge(ctx, x, watch, u, tried)
		} else {
			a, tried = s.attempt(ctx, x, watch, u, repeatable), append(tried, u.Id)
			s.record(x, a)
		}
		if a.err == nil && !a.notRun {
			return s.writeResponse(x, a)
		}
		x.Outcome, last = attemptOutcome(a), a
		retryable := (a.notRun || repeatable) && attemptIndex+1 < maxAttempts && ctx.Err() == nil && !expired(x.Deadline)
		if !retryable || !mayRepeat(watch) || !s.allowRetry(x) {
			return s.refuse(x, a)
		}
	}
}

// attempt makes one attempt and reports its result to the directory. A canceled attempt is
// not reported because it says nothing about the upstream.
func (s *Services) attempt(ctx context.Context, x *exchange.Exchange, watch *quarantine.Watch, u *registry.Upstream, repeatable bool) attempt {
	defer s.dir.ReleaseService(u.Id)
	watched := watch.Begin([]string{u.Id})
	sentAt := s.clock.Now()
	startedMs := s.dir.CountSend(u.Id)
	a := s.send(ctx, x, u, repeatable)
	s.recordRateLimit(u.Id, x.ID, sentAt, a)
	if allValues(a.header, LeavingHeader) == LeavingValue {
		s.dir.RecordLeaving(u.Id, startedMs)
	}
	if d, ok := ratecap.ParsePause(allValues(a.header, "Retry-After")); ok && a.status == http.StatusServiceUnavailable {
		s.dir.RecordPause(u.Id, startedMs, d)
	}
	s.judge(watched, u, a)
	if !errors.Is(a.err, context.Canceled) {
		s.dir.RecordOutcome(x.Pool.Name, u.Id, a.err == nil && !a.notRun)
	}
	return a
}

// allValues returns the values of a header, separated by commas. Several values are thus none of those that
// a service may send.
func allValues(h http.Header, name string) string { return strings.Join(h.Values(name), ",") }

// recordRateLimit records the rate limit that a response to a call sent at a given time names, or that
// it names none. Only a success says that a limit has ended.
func (s *Services) recordRateLimit(upstream, requestID string, sentAt clock.Time, a attempt) {
	text := allValues(a.header, RateLimitHeader)
	rate, named := ratecap.ParseRate(text)
	var change ratecap.Change
	switch {
	case named:
		change = s.dir.RecordRateLimit(upstream, rate)
	case a.err == nil && text == "" && a.status < http.StatusMultipleChoices:
		change = s.dir.RecordNoRateLimit(upstream, sentAt)
	}
	if change.Changed && s.OnRateLimit != nil {
		s.OnRateLimit(upstream, requestID, change)
	}
}

// judge records what the result of an attempt says of the request and its prompt's parts. If the upstream broke the
// attempt off, judge checks whether it has ended.
func (s *Services) judge(watched *quarantine.WatchedRun, u *registry.Upstream, a attempt) {
	switch {
	case a.notRun && a.err != nil:
		watched.NotSent()
	case a.notRun:
		watched.Refused()
	case a.err == nil && a.status < http.StatusInternalServerError:
		watched.Complete(true)
	case errors.Is(a.err, context.Canceled) || errors.Is(a.err, context.DeadlineExceeded):
		watched.Abandoned()
	case a.err != nil:
		if hasEnded(u.Address) {
			s.guard.UpstreamEnded(u.Id)
		}
		watched.Broke()
	}
}

// hasEnded reports whether no process listens at an address.
func hasEnded(address string) bool {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// starts returns numbers that identify the present processes of upstreams.
func (s *Services) starts(upstreams []string) []uint64 {
	out := make([]uint64, len(upstreams))
	for i, id := range upstreams {
		if u, ok := s.dir.Upstream(id); ok {
			h := fnv.New64a()
			_, _ = h.Write([]byte(u.Address))
			out[i] = h.Sum64()
		}
	}
	return out
}

// mayRepeat reports whether nothing known of the request forbids another attempt.
func mayRepeat(watch *quarantine.Watch) bool {
	_, quarantined := watch.Check()
	return !quarantined && !watch.Repeated()
}

// record adds an attempt to the account of the request.
func (s *Services) record(x *exchange.Exchange, a attempt) {
	x.Account.Attempts = append(x.Account.Attempts, exchange.Attempt{Upstream: a.upstream, Result: describe(a)})
}

func attemptOutcome(a attempt) refusal.Outcome {
	if a.notRun {
		return refusal.NotRun
	}
	return refusal.Unknown
}

// send makes one attempt at one upstream. A call that must not be repeated gets a connection of its own, so that it is
// not lost on an idle one that no longer responds.
func (s *Services) send(ctx context.Context, x *exchange.Exchange, u *registry.Upstream, repeatable bool) attempt {
	if repeatable {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, max(minAttemptTimeout, time.Until(x.Deadline)/maxAttempts))
		defer cancel()
	}
	req, err := outbound(ctx, x, u.Address)
	if err != nil {
		return attempt{upstream: u.Id, notRun: true, err: err}
	}
	out := call.NewRequest(req, x.Body)
	out.Fresh = !repeatable
	a := s.roundTrip(ctx, u.Address, out)
	a.upstream = u.Id
	return a
}

func outbound(ctx context.Context, x *exchange.Exchange, address string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, x.R.Method, "http://"+address+x.R.URL.RequestURI(), http.NoBody)
	if err != nil {
		return nil, err
	}
	req.Header = x.R.Header.Clone()
	for _, h := range hopByHopHeaders {
		req.Header.Del(h)
	}
	req.Header.Set("X-Request-Id", x.ID)
	req.Header.Set("Jasminecove-Organisation", x.Organisation)
	return req, nil
}

func (s *Services) roundTrip(ctx context.Context, address string, out call.Request) attempt {
	resp, err := s.pool.Do(ctx, address, out)
	if err != nil {
		return attempt{err: err, notRun: errors.Is(err, call.ErrNotSent)}
	}
	defer resp.Close()
	body, err := call.ReadAll(resp, maxResponseBytes)
	if err != nil {
		return attempt{err: cmp.Or(context.Cause(ctx), err)}
	}
	a := attempt{status: resp.Status, header: resp.Header, body: body}
	a.notRun = resp.Status == http.StatusServiceUnavailable && resp.Header.Get(refusal.OutcomeHeader) == string(refusal.NotRun)
	return a
}

// writeResponse writes a service's response to the caller.
func (s *Services) writeResponse(x *exchange.Exchange, a attempt) error {
	x.Outcome = refusal.Complete
	for k, v := range a.header {
		x.W.Header()[k] = v
	}
	for _, h := range hopByHopHeaders {
		x.W.Header().Del(h)
	}
	x.W.Header().Set(refusal.OutcomeHeader, string(refusal.Complete))
	x.W.WriteHeader(a.status)
	_, err := x.W.Write(a.body)
	return err
}

// refuse converts the last attempt to a refusal.
func (s *Services) refuse(x *exchange.Exchange, a attempt) error {
	r := refusal.New(refusal.UpstreamFailed, http.StatusBadGateway, "the service did not answer").WithCause(a.err)
	if errors.Is(a.err, context.DeadlineExceeded) {
		r = refusal.New(refusal.DeadlinePassed, http.StatusGatewayTimeout, "the service did not answer in time").WithCause(a.err)
	}
	if a.notRun {
		return r.WithRetryAfter(retryDelay)
	}
	x.Outcome = refusal.Unknown
	return r.WithOutcome(refusal.Unknown)
}

func (s *Services) allowRetry(x *exchange.Exchange) (ok bool) {
	s.budget(x, func(b *budget.Budget) { ok = b.AllowRetry(s.clock.Now()) })
	return ok
}

func (s *Services) budget(x *exchange.Exchange, use func(*budget.Budget)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[x.Pool.Name]
	if b == nil {
		b = budget.New(x.Pool.RetryShare)
		s.budgets[x.Pool.Name] = b
	}
	use(b)
}

func describe(a attempt) string {
	switch {
	case a.err != nil && a.notRun:
		return "not sent: " + a.err.Error()
	case a.err != nil:
		return "failed: " + a.err.Error()
	case a.notRun:
		return "refused, not run"
	}
	return http.StatusText(a.status)
}
