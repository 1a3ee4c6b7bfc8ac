package assembly

import "github.com/jasminecove/jasminecove/internal/node/controlplane"

// Plane returns the VM's part in the fleet.
func (n *Node) Plane() *controlplane.Plane { return n.plane }
