package registry

import (
	"math"

	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// order is the place of an announcement among those of one upstream: a later start of its process
// comes first, then the process's own count.
type order struct {
	startedMs uint64
	sequence  uint64
}

func orderOf(a *upstreampb.Announcement) order { return order{a.StartedMs, a.Sequence} }

// isOlder reports whether the entry is older than a change of the upstream, which is to replace it. live
// is whether the change is an announcement rather than an end. A lease may expire with the
// order of an announcement that is still on its way; the announcement wins then, on every VM.
func (u *Upstream) isOlder(o order, live bool) bool {
	known := orderOf(u.Announcement)
	if known == o {
		return u.ended && live
	}
	if known.startedMs != o.startedMs {
		return known.startedMs < o.startedMs
	}
	return known.sequence < o.sequence
}

// later returns the sequence n after another one, or the last one.
func later(sequence, n uint64) uint64 { return sequence + min(n, math.MaxUint64-sequence) }
