package plan

import "math"

// epsilon is the residual capacity in tokens per second at or below which an edge is
// considered saturated.
const epsilon = 1e-9

// edge is a directed edge of the residual network.
type edge struct {
	to       int
	capacity float64 // Residual capacity.
	reverse  int     // Index of the reverse edge.
	initial  float64 // Capacity before any flow.
}

// network is a flow network over layer boundaries, solved by Dinic's algorithm.
type network struct {
	adjacent [][]int
	edges    []edge
	level    []int
	nextEdge []int
}

func newNetwork(layers uint32) *network {
	n := int(layers) + 1
	return &network{adjacent: make([][]int, n), level: make([]int, n), nextEdge: make([]int, n)}
}

// addEdge adds an edge between two boundaries.
func (n *network) addEdge(from, to uint32, capacity float64) {
	i := len(n.edges)
	n.edges = append(n.edges,
		edge{to: int(to), capacity: capacity, reverse: i + 1, initial: capacity},
		edge{to: int(from), reverse: i})
	n.adjacent[from] = append(n.adjacent[from], i)
	n.adjacent[to] = append(n.adjacent[to], i+1)
}

// flowOf returns the flow on the i-th added edge.
func (n *network) flowOf(i int) float64 {
	e := n.edges[2*i]
	return e.initial - e.capacity
}

// maxFlow computes the maximum flow from one boundary to another.
func (n *network) maxFlow(from, to uint32) float64 {
	total := 0.0
	for n.buildLevels(int(from), int(to)) {
		clear(n.nextEdge)
		for {
			sent := n.augment(int(from), int(to), math.Inf(1))
			if sent <= epsilon {
				break
			}
			total += sent
		}
	}
	return total
}

// buildLevels computes the level graph by breadth-first search and reports whether to is
// reachable.
func (n *network) buildLevels(from, to int) bool {
	for i := range n.level {
		n.level[i] = -1
	}
	n.level[from] = 0
	queue := []int{from}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		for _, i := range n.adjacent[at] {
			e := n.edges[i]
			if e.capacity > epsilon && n.level[e.to] < 0 {
				n.level[e.to] = n.level[at] + 1
				queue = append(queue, e.to)
			}
		}
	}
	return n.level[to] >= 0
}

// augment augments the flow by up to limit along one path of the level graph and returns
// the amount.
func (n *network) augment(at, to int, limit float64) float64 {
	if at == to {
		return limit
	}
	for ; n.nextEdge[at] < len(n.adjacent[at]); n.nextEdge[at]++ {
		i := n.adjacent[at][n.nextEdge[at]]
		e := &n.edges[i]
		if e.capacity <= epsilon || n.level[e.to] != n.level[at]+1 {
			continue
		}
		sent := n.augment(e.to, to, min(limit, e.capacity))
		if sent > epsilon {
			e.capacity -= sent
			n.edges[e.reverse].capacity += sent
			return sent
		}
	}
	return 0
}
