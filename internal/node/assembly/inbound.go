package assembly

import (
	"github.com/jasminecove/jasminecove/internal/node/resources"
	"github.com/jasminecove/jasminecove/internal/request/inbound"
)

// openBudgets creates the memory budgets for callers, and for upstreams and operators, so that callers never
// keep out an announcement or new tables.
func (n *Node) openBudgets() {
	log := decisionLog{n.tel.Log.Named("inbound")}
	n.resources = resources.Find(n.settings.Limits)
	n.inbound = inbound.NewBudget(
		inbound.Limits{Bytes: n.resources.CallersBytes, MaxBodyBytes: n.settings.Callers.MaxBodyBytes, MaxHeaderBytes: maxHeaderBytes},
		inbound.WithLog("callers", log), inbound.WithMetrics(n.tel.Metrics.Tagged(map[string]string{"budget": "callers"})),
	)
	n.control = inbound.NewBudget(
		inbound.Limits{Bytes: n.resources.ControlBytes, MaxBodyBytes: resources.ControlBodyBytes},
		inbound.WithLog("control", log), inbound.WithMetrics(n.tel.Metrics.Tagged(map[string]string{"budget": "control"})),
	)
}
