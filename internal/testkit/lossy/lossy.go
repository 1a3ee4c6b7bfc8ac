// Package lossy simulates the network for randomised tests: a queue that delays, drops,
// duplicates and reorders messages between a few machines, and can partition them.
package lossy

import (
	"container/heap"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rng"
)

// Faults sets the faults of the network.
type Faults struct {
	DropPercent      int
	DuplicatePercent int
	MinDelay         clock.Duration
	MaxDelay         clock.Duration
}

// item is one message in transit.
type item[M any] struct {
	due     clock.Time
	order   int // Grows with each message sent.
	from    string
	to      string
	message M
}

// Network carries messages of type M. It is not safe for concurrent use.
type Network[M any] struct {
	src    *rng.Source
	faults Faults
	items  itemHeap[M]
	order  int
	cuts   map[[2]string]bool // By sender and receiver.
}

// New returns a network with the given faults.
func New[M any](src *rng.Source, faults Faults) *Network[M] {
	return &Network[M]{src: src, faults: faults, cuts: map[[2]string]bool{}}
}

// SetFaults replaces the faults.
func (n *Network[M]) SetFaults(f Faults) { n.faults = f }

// Cut drops all messages from one machine to another, but not in the opposite direction.
func (n *Network[M]) Cut(from, to string) { n.cuts[[2]string{from, to}] = true }

// Heal removes all cuts.
func (n *Network[M]) Heal() { clear(n.cuts) }

// Send puts a message in transit, unless it is dropped.
func (n *Network[M]) Send(now clock.Time, from, to string, m M) {
	if n.cuts[[2]string{from, to}] || n.src.IntN(100) < n.faults.DropPercent {
		return
	}
	copies := 1
	if n.src.IntN(100) < n.faults.DuplicatePercent {
		copies = 2
	}
	for range copies {
		delay := n.faults.MinDelay + clock.Duration(n.src.Int64N(int64(n.faults.MaxDelay-n.faults.MinDelay+1)))
		n.order++
		heap.Push(&n.items, item[M]{due: now.Add(delay), order: n.order, from: from, to: to, message: m})
	}
}

// Deliver passes every message that is due to receive.
func (n *Network[M]) Deliver(now clock.Time, receive func(from, to string, m M)) {
	for len(n.items) > 0 && n.items[0].due <= now {
		it := heap.Pop(&n.items).(item[M])
		if !n.cuts[[2]string{it.from, it.to}] {
			receive(it.from, it.to, it.message)
		}
	}
}

// itemHeap orders messages by due time, then by sending order.
type itemHeap[M any] []item[M]

// Len implements heap.Interface.
func (h itemHeap[M]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h itemHeap[M]) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return h[i].order < h[j].order
}

// Swap implements heap.Interface.
func (h itemHeap[M]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *itemHeap[M]) Push(x any) { *h = append(*h, x.(item[M])) }

// Pop implements heap.Interface.
func (h *itemHeap[M]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
