package assembly

import (
	"strings"

	"github.com/jasminecove/jasminecove/internal/node/admin"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Status returns this VM's view of the fleet.
func (n *Node) Status() admin.Status {
	s := admin.Status{
		VM: n.settings.VM, DataCentre: n.settings.DataCentre, Ready: "yes",
		Revision: n.plane.Current().GetNumber(), ViewAge: n.plane.ViewAge(),
		Pools: n.dir.View(), Admission: n.admission.Loads(), InFlight: n.front.InFlight(),
		Links: n.plane.LinkStats(), Stages: n.links.Stats(), Violations: n.Violations(), Recovery: n.recoveries.Summary(),
	}
	if err := n.Ready(); err != nil {
		s.Ready = err.Error()
	}
	leader := ""
	if r, ok := n.plane.ReplicaStatus(); ok {
		s.Replica = &r
		leader = r.Leader
	}
	for _, m := range n.plane.Members() {
		s.VMs = append(s.VMs, vmView(m, leader))
	}
	return s
}

func vmView(m *fleetpb.Member, leader string) admin.VM {
	return admin.VM{
		Name: m.Vm, DataCentre: m.DataCentre, State: strings.ToLower(m.State.String()), Revision: m.Revision,
		Draining: m.Draining, Replica: m.Replica != "", Leader: m.Vm == leader, Callers: m.CallersAddress,
	}
}

// Revision returns the number of the tables revision in force on this VM.
func (n *Node) Revision() uint64 { return n.plane.Current().GetNumber() }
