package router

import (
	"github.com/jasminecove/jasminecove/internal/node/resources"
	"github.com/jasminecove/jasminecove/internal/request/forward"
	"github.com/jasminecove/jasminecove/internal/request/inbound"
)

// openBudgets creates the memory budgets for callers and for the control interface, so that callers never
// keep out a status report or new tables.
func (r *Router) openBudgets() {
	r.resources = resources.Find(r.cfg.Settings.Limits)
	r.inbound = inbound.NewBudget(
		inbound.Limits{Bytes: r.resources.CallersBytes, MaxBodyBytes: forward.DefaultMaxBodyBytes, MaxHeaderBytes: forward.DefaultMaxHeaderBytes, Pieces: true},
		inbound.WithLog("callers", r.log), inbound.WithMetrics(r.tel.Metrics.Tagged(map[string]string{"budget": "callers"})),
	)
	r.control = inbound.NewBudget(
		inbound.Limits{Bytes: r.resources.ControlBytes, MaxBodyBytes: resources.ControlBodyBytes},
		inbound.WithLog("control", r.log), inbound.WithMetrics(r.tel.Metrics.Tagged(map[string]string{"budget": "control"})),
	)
}

// ControlBudget returns the memory budget for calls to the control interface, or nil if it is not limited.
func (r *Router) ControlBudget() *inbound.Budget { return r.control }
