package quarantine_test

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/request/quarantine"
	"github.com/jasminecove/jasminecove/internal/testkit/seeded"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Shape of the simulated fleet and its traffic.
const (
	fleetVMs      = 30
	stepTime      = 100 * clock.Millisecond
	steps         = 200
	soundPerStep  = 10
	harmfulChance = 0.3 // Of a request with the harmful part in a step.
	ownChance     = 0.5 // Of a harmful request to have a part of its own after the harmful one.
	lossChance    = 0.1 // Of a message between VMs.
	topics        = 40
	bound         = 3 * clock.Second // From the fifth crash until no VM sends harmful requests.
)

// repeated is a harmful request that comes again and again in place of different ones.
var repeated = quarantine.Keys([]string{"system", "topic-1"}, quarantine.Request{Path: "/harmful"}.Fingerprints())

// fleet is a fleet of trackers that exchange records with loss. Requests to it have a part that
// all share, one of many topics, some of them a part on which upstreams crash, and all but those of one
// session a part of their own.
type fleet struct {
	src       *rng.Source
	now       clock.Time
	trackers  []*quarantine.Tracker
	names     []string
	cut       int // Index of a VM that exchanges nothing, or -1.
	processes int // Upstream processes that have ended.
	crashes   int
	fifth     clock.Time // Time of the fifth crash, 0 before it.
	late      int        // Harmful requests that were sent too late.
	refused   int        // Sound requests that were refused.
	repeats   bool       // All harmful requests are repeated.
	limit     int        // Crashes after which the VMs know what is harmful.
}

func newFleet(seed uint64) *fleet {
	f := &fleet{src: rng.New(seed), now: start, cut: -1, limit: 5}
	for vm := range fleetVMs {
		f.names = append(f.names, fmt.Sprint(vm))
		f.trackers = append(f.trackers, quarantine.New())
	}
	for vm, q := range f.trackers {
		q.SetVMs(f.names[vm], f.names)
	}
	return f
}

// admits reports whether a VM sends a request.
func (f *fleet) admits(vm int, parts []string) bool {
	b, _, _ := f.trackers[vm].Admit(f.now, "", parts)
	return b.Left == 0
}

func (f *fleet) soundParts() []string {
	return []string{"system", fmt.Sprintf("topic-%d", f.src.IntN(topics)), fmt.Sprintf("own-%d", f.src.Uint64())}
}

// soundKeys returns the keys of a request that is unlike all others.
func (f *fleet) soundKeys() []string {
	return quarantine.Keys(f.soundParts(), quarantine.Request{Path: fmt.Sprint(f.src.Uint64())}.Fingerprints())
}

func (f *fleet) anyVM() int { return f.src.IntN(len(f.trackers)) }

// sound sends one sound request that survives.
func (f *fleet) sound() {
	vm, keys := f.anyVM(), f.soundKeys()
	if !f.admits(vm, keys) {
		f.refused++
		return
	}
	f.trackers[vm].RunSurvived(f.now, keys)
}

// harmful sends one request that crashes its upstream.
func (f *fleet) harmful() {
	from, parts := f.anyVM(), f.soundParts()
	if parts[2] = "bad"; f.src.Float64() < ownChance {
		parts = append(parts, fmt.Sprintf("own-%d", f.src.Uint64()))
	}
	if f.repeats {
		parts = repeated
	}
	if !f.admits(from, parts) {
		return
	}
	f.crashes++
	if f.crashes == f.limit {
		f.fifth = f.now
	}
	if f.fifth != 0 && f.now.Sub(f.fifth) > bound && from != f.cut {
		f.late++
	}
	upstream := f.endUpstream(6)
	f.trackers[from].RunBroke(f.now, quarantine.Run{RequestID: fmt.Sprintf("bad-%d", f.crashes), Upstream: upstream, StartedMs: 1, Keys: parts})
}

// endUpstream ends an upstream under a number of sound runs.
func (f *fleet) endUpstream(runs int) string {
	f.processes++
	upstream := fmt.Sprintf("u-%d", f.processes)
	for range runs {
		f.trackers[f.anyVM()].RunBroke(f.now, quarantine.Run{RequestID: fmt.Sprint(f.src.Uint64()), Upstream: upstream, StartedMs: 1, Keys: f.soundKeys()})
	}
	for _, q := range f.trackers {
		q.UpstreamEnded(f.now, upstream)
	}
	return upstream
}

// exchange has each VM send its changes to some others, and exchange records with one.
func (f *fleet) exchange() {
	for i, q := range f.trackers {
		records, byVM := q.TakeUnsent(f.now, 4)
		for k := range 4 {
			f.send(i, (i+1+k*k)%len(f.trackers), records)
		}
		f.sendHome(i, byVM)
		if f.src.IntN(int(clock.Second/stepTime)) != 0 {
			continue
		}
		to, next := f.anyVM(), q.Next(f.now)
		f.send(i, to, next)
		f.send(to, i, f.trackers[to].Differing(f.now, next))
	}
}

// sendHome sends accusations, and the matches that answer them.
func (f *fleet) sendHome(from int, byVM map[string]*fleetpb.PartRecords) {
	for to, name := range f.names {
		if m := byVM[name]; m != nil && f.arrives(from, to) {
			matches, _ := f.trackers[to].HearAccusations(f.now, m.Accusations)
			if f.arrives(to, from) {
				f.trackers[from].HearMatches(f.now, matches)
			}
		}
	}
}

func (f *fleet) send(from, to int, records []*fleetpb.PartRecord) {
	if f.arrives(from, to) {
		f.trackers[to].Merge(f.now, fmt.Sprint(from), records)
	}
}

// arrives reports whether a message between two VMs is not lost.
func (f *fleet) arrives(from, to int) bool {
	return from != f.cut && to != f.cut && f.src.Float64() >= lossChance
}

// restart replaces a VM by one that knows what another one knows.
func (f *fleet) restart() {
	at := f.anyVM()
	peer := f.trackers[(at+1)%len(f.trackers)]
	f.trackers[at] = quarantine.New()
	f.trackers[at].SetVMs(f.names[at], f.names)
	f.trackers[at].Merge(f.now, "peer", peer.All(f.now))
}

// TestFleetQuarantinesOnlyTheHarmfulPart also ends upstreams for other reasons, cuts a VM off and
// restarts one.
func TestFleetQuarantinesOnlyTheHarmfulPart(t *testing.T) {
	for _, seed := range seeded.Seeds(t, 50) {
		f := newFleet(seed)
		f.play(t, seed)
		for vm, q := range f.trackers {
			assert.Assert(t, isBlocked(q, f.now, "bad"), "seed %d: VM %d", seed, vm)
			assert.Assert(t, !isBlocked(q, f.now, "system"), "seed %d: VM %d", seed, vm)
		}
	}
}

// TestFleetQuarantinesOnlyTheRepeatedRequest is the same with one request that comes again.
func TestFleetQuarantinesOnlyTheRepeatedRequest(t *testing.T) {
	for _, seed := range seeded.Seeds(t, 20) {
		f := newFleet(seed)
		f.repeats, f.limit = true, 3
		f.play(t, seed)
		for vm, q := range f.trackers {
			assert.Assert(t, isBlocked(q, f.now, repeated...), "seed %d: VM %d", seed, vm)
			assert.Assert(t, !isBlocked(q, f.now, repeated[:2]...), "seed %d: VM %d", seed, vm)
		}
	}
}

// play plays the traffic and the faults, and checks what was sent and refused.
func (f *fleet) play(t *testing.T, seed uint64) {
	t.Helper()
	for i := range steps {
		f.now = f.now.Add(stepTime)
		switch i {
		case 60:
			f.cut = f.anyVM()
		case 120:
			f.cut = -1
		case 160:
			f.restart()
		}
		for range soundPerStep {
			f.sound()
		}
		if i > 30 && f.src.Float64() < harmfulChance {
			f.harmful()
		}
		if i%50 == 20 { // A rack is lost.
			for range 10 {
				f.endUpstream(4)
			}
		}
		f.exchange()
	}
	assert.Assert(t, f.late <= 3, "seed %d: %d harmful requests were sent too late; %d crashes", seed, f.late, f.crashes)
	assert.Assert(t, f.refused <= steps*soundPerStep/100, "seed %d: %d sound requests were refused", seed, f.refused)
}

// TestRepeatedRequestIsLearnedAmongManyCrashes has many engines end under many early runs each, before a
// request comes again and again at any VM.
func TestRepeatedRequestIsLearnedAmongManyCrashes(t *testing.T) {
	const (
		vms         = 9
		stormSteps  = 160 // An engine ends in every tenth.
		earlyRuns   = 60  // On an engine that ends.
		repeatSteps = 200 // A request comes in every fourth.
	)
	for _, seed := range seeded.Seeds(t, 8) {
		f := newFleet(seed)
		f.trackers, f.names = f.trackers[:vms], f.names[:vms]
		for vm, q := range f.trackers {
			q.SetVMs(f.names[vm], f.names)
		}
		f.repeats, f.limit = true, 3
		for i := range stormSteps + repeatSteps {
			f.now = f.now.Add(stepTime)
			for range soundPerStep {
				f.sound()
			}
			if i < stormSteps && i%10 == 0 {
				f.endUpstream(earlyRuns)
			}
			if i >= stormSteps && i%4 == 0 {
				f.harmful()
			}
			f.exchangeWithAll()
		}
		assert.Assert(t, f.late <= 3, "seed %d: %d requests were sent too late; %d crashes", seed, f.late, f.crashes)
	}
}

// exchangeWithAll has each VM send its changes to all others.
func (f *fleet) exchangeWithAll() {
	for i, q := range f.trackers {
		records, byVM := q.TakeUnsent(f.now, len(f.trackers)-1)
		for to := range f.trackers {
			if to != i {
				f.send(i, to, records)
			}
		}
		f.sendHome(i, byVM)
	}
}

// TestBytesAtFullSize has an upstream end under many early runs, and then a request crash three upstreams, in
// a fleet of 420 VMs.
func TestBytesAtFullSize(t *testing.T) {
	const (
		vms       = 420
		targets   = 6
		earlyRuns = 60
	)
	f := &fleet{src: rng.New(1), now: start, cut: -1}
	for vm := range vms {
		f.names = append(f.names, fmt.Sprintf("vm-%03d", vm))
		f.trackers = append(f.trackers, quarantine.New())
	}
	for vm, q := range f.trackers {
		q.SetVMs(f.names[vm], f.names)
	}
	index := map[string]int{}
	for vm, name := range f.names {
		index[name] = vm
	}
	sent := make([]int, vms)
	round := func() {
		f.now = f.now.Add(stepTime)
		for i, q := range f.trackers {
			all, byVM := q.TakeUnsent(f.now, targets)
			for range targets {
				f.count(sent, i, f.anyVM(), all)
			}
			for name, m := range byVM {
				sent[i] += proto.Size(m)
				matches, _ := f.trackers[index[name]].HearAccusations(f.now, m.Accusations)
				sent[index[name]] += proto.Size(&fleetpb.PartRecords{Matches: matches})
				q.HearMatches(f.now, matches)
			}
			if f.src.IntN(int(clock.Second/stepTime)) == 0 {
				to, next := f.anyVM(), q.Next(f.now)
				f.count(sent, i, to, next)
				f.count(sent, to, i, f.trackers[to].Differing(f.now, next))
			}
		}
	}
	f.endUpstream(earlyRuns)
	for range 10 {
		round()
	}
	total := 0
	for _, n := range sent {
		total += n
	}
	t.Logf("%d bytes in the fleet after a crash under %d runs", total, earlyRuns)
	assert.Assert(t, total < 20_000, "%d bytes", total)

	harmful := quarantine.Keys(nil, quarantine.Request{Path: "/harmful"}.Fingerprints())
	for i := range 3 {
		crash(f.trackers[f.anyVM()], f.now, fmt.Sprint("harmful-", i), fmt.Sprint("harmful-", i), harmful...)
		round()
	}
	rounds := 3
	for slices.ContainsFunc(f.trackers, func(q *quarantine.Tracker) bool { return !isBlocked(q, f.now, harmful...) }) {
		round()
		rounds++
		assert.Assert(t, rounds < int(bound/stepTime), "some VMs do not know of the quarantine")
	}
	t.Logf("all VMs know of the quarantine after %d rounds; at most %d bytes sent by a VM", rounds, slices.Max(sent))
	assert.Assert(t, slices.Max(sent) < 3_000, "%d bytes sent by a VM", slices.Max(sent))
}

// count sends records and counts their bytes.
func (f *fleet) count(sent []int, from, to int, records []*fleetpb.PartRecord) {
	for _, r := range records {
		sent[from] += proto.Size(r)
	}
	f.send(from, to, records)
}
