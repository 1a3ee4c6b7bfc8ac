package filter

import (
	"context"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/quarantine"
)

// loserTimeout is how long an attempt goes on after the other one has succeeded. Its response may say that
// the upstream leaves, or wants no calls, which would else never be read from one that is slow.
const loserTimeout = time.Second

// withDeadlineOnly returns a context that ends at the deadline of another one, but not with it.
func withDeadlineOnly(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(detached, deadline)
	}
	return context.WithCancel(detached)
}

// hedge sends an idempotent call, and sends it to a second upstream as well if the first
// has not responded within the pool's HedgeAfter and the retry budget allows it. It returns
// the first success and cancels the other attempt loserTimeout later, or when the caller leaves.
func (s *Services) hedge(ctx context.Context, x *exchange.Exchange, watch *quarantine.Watch, u *registry.Upstream, tried []string) (attempt, []string) {
	caller := ctx
	ctx, cancel := withDeadlineOnly(caller)
	stop := context.AfterFunc(caller, func() {
		if caller.Err() == context.Canceled {
			cancel()
		}
	})
	answers := make(chan attempt, 2)
	send := func(u *registry.Upstream) {
		tried = append(tried, u.Id)
		crash.Go("hedged call", func() {
			a := attempt{upstream: u.Id, err: errPanicked}
			defer func() { answers <- a }()
			a = s.attempt(ctx, x, watch, u, true)
		})
	}
	send(u)
	pending := 1
	timer := time.NewTimer(x.Pool.HedgeAfter.Std())
	defer timer.Stop()
	var last attempt
	defer func() {
		if stop(); pending > 0 && caller.Err() == nil {
			time.AfterFunc(loserTimeout, cancel)
			return
		}
		cancel()
	}()
	for pending > 0 {
		select {
		case last = <-answers:
			pending--
			s.record(x, last)
			if last.err == nil && !last.notRun {
				return last, tried
			}
		case <-timer.C:
			second, err := s.dir.PickService(x.Pool.Name, tried)
			if err != nil {
				continue
			}
			if !mayRepeat(watch) || !s.allowRetry(x) {
				s.dir.ReleaseService(second.Id)
				continue
			}
			send(second)
			pending++
		}
	}
	return last, tried
}
