package router

import (
	"context"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/delay"
)

// tunnelPollInterval is the interval at which a draining VM checks for open connections for other VMs.
const tunnelPollInterval = 20 * time.Millisecond

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
	// Connections for other VMs carry requests of their callers. A draining VM opens no new ones.
	for r.uplink.Tunnels() > 0 && delay.Wait(ctx, tunnelPollInterval) == nil {
	}
	cut := r.handler.InFlight() + int64(r.uplink.Tunnels())
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
