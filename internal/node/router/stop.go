package router

import (
	"context"

	"github.com/jasminecove/jasminecove/internal/base/delay"
)

// Drain stops the VM gracefully: it reports not ready and hands over leadership, keeps
// accepting requests until the load balancer has noticed, finishes the requests in flight,
// waits until a successor of its voter has taken its place, and stops. It returns the number
// of requests that were aborted at the drain limit.
func (r *Router) Drain(ctx context.Context) int64 {
	began := r.clock.Now()
	r.draining.Store(true)
	r.plane.SetDraining()
	r.log.Decision("draining", r.cfg.Settings.VM, "inFlight", r.handler.InFlight())
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Settings.Drain.Limit.Std())
	defer cancel()
	handedOver := r.plane.LeaveGroup(ctx)
	_ = delay.Wait(ctx, r.cfg.Settings.Drain.Notice.Std())
	// The load balancer has stopped sending requests by now. Shutdown closes the listener
	// and idle connections, and waits for the requests in flight.
	if r.callers != nil {
		_ = r.callers.Shutdown(ctx)
	}
	<-handedOver
	cut := r.handler.InFlight()
	r.log.Decision("drained", r.cfg.Settings.VM, "cut", cut, "tookMs", int64(r.clock.Now().Sub(began)))
	r.Stop()
	return cut
}

// Stop closes the servers and ends all tasks without waiting for requests in flight.
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
