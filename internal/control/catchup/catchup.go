package catchup

import (
	"maps"
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rng"
)

// Timing of the attempts. Any one VM delays the tables by no more than HedgeDelay.
const (
	// HedgeDelay is how long a VM is given to answer before another one is asked too.
	HedgeDelay = 100 * clock.Millisecond
	// startHedgeDelay is the same for a VM that has no tables yet. It needs the whole document, of which copies
	// are costly where many VMs start at once, and refuses nothing by tables that it does not have.
	startHedgeDelay = 500 * clock.Millisecond
	// AttemptTimeout bounds one attempt. The VM may be asked again after it.
	AttemptTimeout = 1 * clock.Second
	// retryDelay is the delay before a VM that has just failed is asked again, if there is no other one.
	retryDelay = 50 * clock.Millisecond
	// lateRetention is how long a VM that was late is asked after those that were not.
	lateRetention = 1 * clock.Minute
)

// Source is a VM that can be asked for the tables.
type Source struct {
	VM       string
	Revision uint64 // Newest revision that is known to be in force there.
}

// missing is a revision that is not in force, and when it became known.
type missing struct {
	revision uint64
	at       clock.Time
}

// maxMissing bounds the missing revisions whose times are kept.
const maxMissing = 64

// Core decides which VMs are asked for the tables. A VM that does not answer soon is not waited for: another
// one is asked beside it. VMs that were late are asked after the others.
//
// A Core is deterministic and does no I/O. It is not safe for concurrent use.
type Core struct {
	src      *rng.Source
	inForce  uint64
	since    clock.Time // When inForce came into force.
	wanted   uint64
	missing  []missing             // Newer revisions than inForce, in order; the last one is wanted.
	reporter string                // VM that reported wanted, if it has not been asked.
	pending  map[string]clock.Time // VMs that have not answered, by when they were asked.
	late     map[string]clock.Time // VMs that failed or were late, by when they were asked.
	askedAt  clock.Time
}

// New returns the Core of a VM that has no tables.
func New(src *rng.Source) *Core {
	return &Core{src: src, pending: map[string]clock.Time{}, late: map[string]clock.Time{}}
}

// Want records that a revision is committed. vm is a VM that has it in force, or "" if none is known. The
// highest revision stays wanted until it is in force.
func (c *Core) Want(now clock.Time, revision uint64, vm string) {
	if revision <= max(c.wanted, c.inForce) {
		return
	}
	if len(c.missing) >= maxMissing {
		c.missing = c.missing[:maxMissing-1] // The time of the oldest one matters.
	}
	c.missing = append(c.missing, missing{revision, now})
	c.wanted, c.reporter = revision, vm
}

// InForce records that a revision is in force, or that it can never be.
func (c *Core) InForce(now clock.Time, revision uint64) {
	if revision <= c.inForce {
		return
	}
	c.inForce, c.since = revision, now
	c.missing = slices.DeleteFunc(c.missing, func(m missing) bool { return m.revision <= revision })
	if !c.behind() {
		clear(c.pending)
	}
}

// Answered records the end of an attempt. It must follow the InForce that the answer led to.
func (c *Core) Answered(now clock.Time, vm string, ok bool) {
	askedAt, pending := c.pending[vm]
	delete(c.pending, vm)
	switch {
	case ok && (!pending || now.Sub(askedAt) < HedgeDelay):
		delete(c.late, vm)
	case pending:
		c.late[vm] = askedAt
	}
}

// Next returns the VM to ask now, or "" and the time until the next call is due; 0 stands for the next call
// of Want.
func (c *Core) Next(now clock.Time, sources []Source) (vm string, wait clock.Duration) {
	if !c.behind() {
		return "", 0
	}
	wait = c.expire(now)
	if wait > 0 {
		return "", wait
	}
	if c.reporter != "" && !slices.ContainsFunc(sources, func(s Source) bool { return s.VM == c.reporter }) {
		sources = append(sources, Source{VM: c.reporter, Revision: c.wanted})
	}
	vm = c.choose(sources)
	if vm == "" {
		return "", retryDelay
	}
	if at, late := c.late[vm]; late && now.Sub(at) < retryDelay {
		return "", retryDelay - now.Sub(at)
	}
	if vm == c.reporter {
		c.reporter = ""
	}
	c.pending[vm], c.askedAt = now, now
	return vm, 0
}

// expire records which attempts are late. It returns how long the latest one may still take before another VM
// is asked.
func (c *Core) expire(now clock.Time) clock.Duration {
	maps.DeleteFunc(c.late, func(_ string, at clock.Time) bool { return now.Sub(at) >= lateRetention })
	for vm, at := range c.pending {
		if now.Sub(at) >= c.hedgeDelay() {
			c.late[vm] = at
		}
		if now.Sub(at) >= AttemptTimeout {
			delete(c.pending, vm)
		}
	}
	if len(c.pending) == 0 {
		return 0
	}
	return max(0, c.hedgeDelay()-now.Sub(c.askedAt))
}

func (c *Core) hedgeDelay() clock.Duration {
	if c.inForce == 0 {
		return startHedgeDelay
	}
	return HedgeDelay
}

// Ranks of sources. The lowest is asked first.
const (
	rankReporter   = iota
	rankHolder     // Has the wanted revision.
	rankUnknown    // May have it.
	rankLateHolder // Has it, and was late.
	rankLate
)

// choose returns the source to ask: the reporter first, then VMs that have the wanted revision, then VMs of
// which that is not known. Those that were late come last, the longest ago first.
func (c *Core) choose(sources []Source) string {
	var best []string
	bestRank, bestAt := 0, clock.Time(0)
	for _, s := range sources {
		if _, asked := c.pending[s.VM]; asked {
			continue
		}
		rank, at := c.rank(s)
		switch {
		case len(best) > 0 && (rank > bestRank || rank == bestRank && at > bestAt):
			continue
		case len(best) == 0 || rank < bestRank || at < bestAt:
			best, bestRank, bestAt = best[:0], rank, at
		}
		best = append(best, s.VM)
	}
	if len(best) == 0 {
		return ""
	}
	return best[c.src.IntN(len(best))]
}

// rank returns the place of a source in the order in which sources are asked, and when it was last late.
func (c *Core) rank(s Source) (rank int, at clock.Time) {
	at, late := c.late[s.VM]
	switch {
	case late && s.Revision >= c.wanted:
		return rankLateHolder, at
	case late:
		return rankLate, at
	case s.VM == c.reporter:
		return rankReporter, 0
	case s.Revision >= c.wanted:
		return rankHolder, 0
	}
	return rankUnknown, 0
}

// Status says how current the tables are.
func (c *Core) Status(now clock.Time) Status {
	st := Status{Revision: c.inForce, Wanted: max(c.wanted, c.inForce)}
	if c.inForce > 0 {
		st.Age = now.Sub(c.since)
	}
	if c.behind() {
		st.Behind = now.Sub(c.missing[0].at)
	}
	return st
}

func (c *Core) behind() bool { return c.wanted > c.inForce }
