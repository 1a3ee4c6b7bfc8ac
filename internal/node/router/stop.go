package router

import (
	"context"

	"github.com/jasminecove/jasminecove/internal/base/delay"
)

// Drain stops gracefully: the VM turns unready and hands its lead over, keeps accepting
// until the balancer has noticed, finishes what is in flight, and stops. It returns
// the number of requests that were cut at the limit.
func (r *Router) Drain(ctx context.Context) int64 {
	began := r.clock.Now()
	r.draining.Store(true)
	r.plane.SetDraining()
	r.log.Decision("draining", r.cfg.Settings.VM, "inFlight", r.handler.InFlight())
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Settings.Drain.Limit.Std())
	defer cancel()
	_ = delay.Wait(ctx, r.cfg.Settings.Drain.Notice.Std())
	// New requests go elsewhere by now. This closes the listener and idle connections,
	// and waits for requests in flight.
	_ = r.callers.Shutdown(ctx)
	cut := r.handler.InFlight()
	r.log.Decision("drained", r.cfg.Settings.VM, "cut", cut, "tookMs", int64(r.clock.Now().Sub(began)))
	r.Stop()
	return cut
}

// Stop ends the process at once.
func (r *Router) Stop() {
	for _, s := range r.servers {
		_ = s.Close()
	}
	r.cancel()
	r.plane.Stop()
	r.tasks.Wait()
	r.tel.Close()
	r.log.Close()
}
