// Package detour decides which connections to upstreams a VM opens directly and which through another VM, and whether
// the VM's own links to upstreams are lost. A connection that fails says nothing of the upstream by itself: the link
// between the two may be at fault.
package detour

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rng"
)

// Thresholds and lifetimes of what a VM knows of its links.
const (
	// minFailed is how many upstreams must have refused or not answered connections, and none accepted one since the
	// first of these, before the links may be lost. Fewer are enough where there are not so many.
	minFailed = 3
	// failureLifetime is how long a failed connection counts towards that.
	failureLifetime = 2 * clock.Second
	// detourLifetime is how long connections to one upstream lead through another VM after that has reached it while
	// a direct connection failed.
	detourLifetime = 1 * clock.Second
	// minRecovered is how many of the upstreams that did not must have accepted direct connections before lost links are
	// considered healthy again, if there are as many.
	minRecovered = 2
	// lossMemory is how long only these count. They may have ended without being found at fault.
	lossMemory = 5 * clock.Second
	// probeInterval is the interval between direct connections that check whether lost links are healthy again.
	probeInterval = 250 * clock.Millisecond
	// roundInterval is the shortest time between two rounds in which other VMs are asked for one upstream, as long as that
	// is not known to be the way to it. Connections to an upstream that accepts none must not multiply.
	roundInterval = 300 * clock.Millisecond
	// peerPenalty is how long a VM that could not open a connection is asked after all others.
	peerPenalty = 1 * clock.Second
	// maxAddresses bounds the addresses of which something is kept.
	maxAddresses = 16 << 10
)

// Peer is a VM that may open connections for this one.
type Peer struct {
	VM string
	// Near is set for VMs to which traffic costs less.
	Near bool
}

// Core holds what one VM knows of its links to upstreams. It is deterministic, does no I/O, and is not safe for
// concurrent use.
type Core struct {
	src *rng.Source
	// failed holds the upstreams that refused or did not answer a direct connection since the last success, and that no other
	// VM found at fault. While the links are lost they are kept for lossMemory.
	failed      map[string]clock.Time
	detoured    map[string]clock.Time // Upstreams that only another VM reached.
	rounds      map[string]round      // Last rounds, by upstream.
	failedPeers map[string]clock.Time // VMs that could not open a connection lately.
	lost        bool
	recovered   map[string]bool // Upstreams that were reached directly while the links counted as lost.
	probedAt    clock.Time
}

// round is a round in which other VMs were asked for an upstream.
type round struct {
	at        clock.Time
	confirmed bool // A VM with healthy links did not reach the upstream either.
}

// New returns the Core of a VM whose links are healthy.
func New(src *rng.Source) *Core {
	return &Core{src: src, failed: map[string]clock.Time{}, detoured: map[string]clock.Time{}, rounds: map[string]round{}, failedPeers: map[string]clock.Time{}, recovered: map[string]bool{}}
}

// Lost reports whether the VM's own links to upstreams are considered lost.
func (c *Core) Lost() bool { return c.lost }

// IsDirect reports whether a connection to an upstream is to be opened directly at first.
func (c *Core) IsDirect(now clock.Time, address string) bool {
	at, detoured := c.detoured[address]
	return !c.lost && (!detoured || now.Sub(at) >= detourLifetime)
}

// Connected records that a direct connection to an upstream was opened. upstreams is as for Failed.
func (c *Core) Connected(address string, upstreams int) {
	delete(c.detoured, address)
	if !c.lost {
		clear(c.failed)
		return
	}
	threshold := min(minRecovered, max(1, upstreams))
	if _, failed := c.failed[address]; !failed && len(c.failed) >= threshold {
		return // The links may be lost to a part of the upstreams alone.
	}
	c.recovered[address] = true
	if len(c.recovered) >= threshold {
		c.lost = false
		clear(c.recovered)
		clear(c.failed)
		clear(c.detoured)
	}
}

// Suspicion is what failed connections say of the VM's own links.
type Suspicion int

// Suspicions.
const (
	// None stands for links that are not suspected, or already considered lost.
	None Suspicion = iota
	// Unproven stands for links that are lost unless upstreams have ended: connections to Controls tell.
	Unproven
	// Proven stands for links that are considered lost from now on.
	Proven
)

// Failed records that a direct connection to an upstream was refused or not answered. upstreams is the number of
// upstreams that the VM knows.
func (c *Core) Failed(now clock.Time, address string, upstreams int) Suspicion {
	if c.lost {
		clear(c.recovered)
		return None
	}
	c.failed[address] = now
	return c.suspect(now, upstreams)
}

// suspect judges the links. That another VM reached the upstreams proves that it is not they that are at fault.
func (c *Core) suspect(now clock.Time, upstreams int) Suspicion {
	if c.lost {
		return None
	}
	expire(c.failed, now, failureLifetime)
	threshold := min(minFailed, max(1, upstreams))
	if len(c.failed) < threshold {
		return None
	}
	reached := 0
	for address := range c.failed {
		if at, ok := c.detoured[address]; ok && now.Sub(at) < failureLifetime {
			reached++
		}
	}
	if reached < threshold {
		return Unproven
	}
	c.lose(now)
	return Proven
}

// Lose records that none of the Controls accepted a connection. It reports whether the links are newly considered lost,
// which they are unless an upstream accepted a connection meanwhile.
func (c *Core) Lose(now clock.Time, upstreams int) bool {
	if c.suspect(now, upstreams) != Unproven {
		return false
	}
	c.lose(now)
	return true
}

func (c *Core) lose(now clock.Time) {
	c.lost, c.probedAt = true, now
	clear(c.recovered)
}

// BeginRound reports whether other VMs are to be asked now for an upstream that does not accept a direct connection. Otherwise
// confirmed is what the last round has shown.
func (c *Core) BeginRound(now clock.Time, address string) (ask, confirmed bool) {
	last, known := c.rounds[address]
	if known && now.Sub(last.at) < roundInterval && c.IsDirect(now, address) {
		return false, last.confirmed
	}
	if len(c.rounds) >= maxAddresses {
		clear(c.rounds)
	}
	c.rounds[address] = round{at: now}
	return true, false
}

// Confirmed records that a VM with healthy links did not reach an upstream, so that its failures say nothing of this VM's
// links.
func (c *Core) Confirmed(address string) {
	delete(c.failed, address)
	r := c.rounds[address]
	r.confirmed = true
	c.rounds[address] = r
}

// Detoured records that another VM reached an upstream that this one did not. upstreams is as for Failed.
func (c *Core) Detoured(now clock.Time, address string, upstreams int) Suspicion {
	if len(c.detoured) >= maxAddresses {
		clear(c.detoured)
	}
	c.detoured[address] = now
	return c.suspect(now, upstreams)
}

// PeerFailed records that a VM could not open a connection, because its own links are lost or it did not answer.
func (c *Core) PeerFailed(now clock.Time, vm string) { c.failedPeers[vm] = now }

// PeerAnswered records that a VM answered whether it reaches an upstream.
func (c *Core) PeerAnswered(vm string) { delete(c.failedPeers, vm) }

// Peers returns at most n VMs to ask for a connection, in order: near ones first, each in random order, and those that
// failed lately last.
func (c *Core) Peers(now clock.Time, all []Peer, n int) []string {
	expire(c.failedPeers, now, peerPenalty)
	type candidate struct {
		vm   string
		rank float64
	}
	candidates := make([]candidate, 0, len(all))
	for _, p := range all {
		rank := c.src.Float64()
		if !p.Near {
			rank++
		}
		if _, avoided := c.failedPeers[p.VM]; avoided {
			rank += 2
		}
		candidates = append(candidates, candidate{p.VM, rank})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	out := make([]string, 0, n)
	for _, k := range candidates[:min(n, len(candidates))] {
		out = append(out, k.vm)
	}
	return out
}

// Probe returns the address to connect to directly now, to check whether lost links are healthy again, or "" if none is
// due.
func (c *Core) Probe(now clock.Time, addresses []string) string {
	if !c.lost || now.Sub(c.probedAt) < probeInterval {
		return ""
	}
	c.probedAt = now
	known := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		known[a] = true
	}
	maps.DeleteFunc(c.failed, func(a string, at clock.Time) bool { return !known[a] || now.Sub(at) >= lossMemory })
	failed := slices.Sorted(maps.Keys(c.failed))
	if out := c.unrecovered(failed); out != "" {
		return out
	}
	return c.unrecovered(addresses)
}

// unrecovered returns a random address that was not reached since the links were lost, or "" if there is none.
func (c *Core) unrecovered(addresses []string) string {
	offset := 0
	if len(addresses) > 0 {
		offset = c.src.IntN(len(addresses))
	}
	for i := range addresses {
		if a := addresses[(offset+i)%len(addresses)]; !c.recovered[a] {
			return a
		}
	}
	return ""
}

// Controls returns at most n random addresses other than one, those that failed last. They are connected to in order to
// tell a fault of that one from a fault of the VM's own links.
func (c *Core) Controls(addresses []string, other string, n int) []string {
	out := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == other })
	c.src.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(c.failed[a], c.failed[b]) })
	return out[:min(n, len(out))]
}

func expire(at map[string]clock.Time, now clock.Time, lifetime clock.Duration) {
	for key, t := range at {
		if now.Sub(t) >= lifetime {
			delete(at, key)
		}
	}
}
