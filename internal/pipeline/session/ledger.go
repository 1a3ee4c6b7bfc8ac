package session

import (
	"github.com/jasminecove/jasminecove/internal/base/invariant"
)

// Pass records that a replica ran a range of layers for the positions in flight.
type Pass struct {
	Replica   string
	Lineage   uint32
	LayerFrom uint32
	LayerTo   uint32
}

// ledger checks that every accepted token passed each layer exactly once, in
// order. When a stage is replaced, the passes made before are moved to the new
// lineage, because the new lineage continues from their outputs.
type ledger struct {
	layers uint32
	passes []Pass
	sink   invariant.Sink
}

// begin clears the passes before the next step.
func (l *ledger) begin() { l.passes = l.passes[:0] }

// add records a pass and checks that it continues at the layer where the previous one
// ended.
func (l *ledger) add(p Pass) {
	next := uint32(0)
	lineage := uint32(0)
	if n := len(l.passes); n > 0 {
		next = l.passes[n-1].LayerTo
		lineage = l.passes[n-1].Lineage
	}
	invariant.Check(l.sink, p.LayerFrom == next, "layerOrder", "layers %d to %d ran after layer %d", p.LayerFrom, p.LayerTo, next)
	invariant.Check(l.sink, p.Lineage >= lineage, "lineageOrder", "lineage %d ran after lineage %d", p.Lineage, lineage)
	l.passes = append(l.passes, p)
}

// adopt moves the recorded passes to a newer lineage.
func (l *ledger) adopt(lineage uint32) {
	for i := range l.passes {
		l.passes[i].Lineage = lineage
	}
}

// accept checks that a token passed every layer in one lineage.
func (l *ledger) accept(lineage uint32) {
	covered := uint32(0)
	for _, p := range l.passes {
		covered += p.LayerTo - p.LayerFrom
		invariant.Check(l.sink, p.Lineage == lineage, "oneLineage", "a pass has lineage %d instead of %d", p.Lineage, lineage)
	}
	invariant.Check(l.sink, covered == l.layers, "layerCoverage", "an answer ran %d of %d layers", covered, l.layers)
}
