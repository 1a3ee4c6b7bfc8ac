package assembly

import (
	"context"

	"github.com/jasminecove/jasminecove/internal/base/delay"
)

// Stop closes the servers and ends all tasks without waiting for requests in flight.
func (n *Node) Stop() {
	for _, s := range n.servers {
		_ = s.Close()
	}
	n.plane.Stop()
	n.cancel()
	n.links.Close()
	n.tasks.Wait()
	n.tel.Close()
}

// Drain stops the VM gracefully: it reports not ready and hands over leadership, keeps
// accepting requests until the load balancer has noticed, finishes the requests in flight,
// waits until a successor of its voter has taken its place, and stops. It returns the number
// of requests that were aborted at the drain limit.
func (n *Node) Drain(ctx context.Context) int64 {
	n.draining.Store(true)
	n.plane.SetDraining()
	n.log.Info("draining", "inFlight", n.front.InFlight())
	ctx, cancel := context.WithTimeout(ctx, n.settings.Drain.Limit.Std())
	defer cancel()
	handedOver := n.plane.LeaveGroup(ctx)
	_ = delay.Wait(ctx, n.settings.Drain.Notice.Std())
	for n.front.InFlight() > 0 && ctx.Err() == nil {
		_ = delay.Wait(ctx, tickInterval)
	}
	if ctx.Err() == nil {
		// Shutdown closes idle connections and waits for requests that arrived in the meantime.
		_ = n.servers[0].Shutdown(ctx)
	}
	<-handedOver
	cut := n.front.InFlight()
	n.log.Info("drained", "cut", cut)
	n.Stop()
	return cut
}
