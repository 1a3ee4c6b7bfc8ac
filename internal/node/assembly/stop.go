package assembly

import (
	"context"

	"github.com/jasminecove/jasminecove/internal/base/delay"
)

// Stop ends the VM's process at once.
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

// Drain stops gracefully: the VM turns unready and hands its lead over, keeps
// accepting until the balancer has noticed, finishes what is in flight, and
// stops. It returns the number of requests that were cut at the limit.
func (n *Node) Drain(ctx context.Context) int64 {
	n.draining.Store(true)
	n.plane.SetDraining()
	n.log.Info("draining", "inFlight", n.front.InFlight())
	ctx, cancel := context.WithTimeout(ctx, n.settings.Drain.Limit.Std())
	defer cancel()
	_ = delay.Wait(ctx, n.settings.Drain.Notice.Std())
	for n.front.InFlight() > 0 && ctx.Err() == nil {
		_ = delay.Wait(ctx, tickEvery)
	}
	if ctx.Err() == nil {
		// Closes idle connections and waits for requests that came meanwhile.
		_ = n.servers[0].Shutdown(ctx)
	}
	cut := n.front.InFlight()
	n.log.Info("drained", "cut", cut)
	n.Stop()
	return cut
}
