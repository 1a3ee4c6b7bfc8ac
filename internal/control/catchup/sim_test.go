package catchup_test

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/control/catchup"
	"github.com/jasminecove/jasminecove/internal/fleet/gossip"
	"github.com/jasminecove/jasminecove/internal/testkit/lossy"
	"github.com/jasminecove/jasminecove/internal/testkit/seeded"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Bounds of the users, and the voters of the simulated fleets.
const (
	applyTimeout = 2 * clock.Second
	// contactTime is how long a VM must be undisturbed to count.
	contactTime  = 3 * clock.Second
	voters       = 3
	tickInterval = 100
)

// packet is a message between two VMs: gossip, a call for the tables, or the answer to one.
type packet struct {
	gossip   *fleetpb.GossipMessage
	call     bool
	revision uint64 // Of an answer.
}

// vm is a simulated VM with real gossip and a real Core.
type vm struct {
	name        string
	gossip      *gossip.Core
	catchup     *catchup.Core
	nextAt      clock.Time // When the Core is due.
	revision    uint64
	deadlines   map[string]clock.Time // Of calls, by the VM that was asked.
	silent      bool                  // Frozen, or stopped.
	delay       clock.Duration        // Of all that it does, when it runs slowly.
	disturbedAt clock.Time            // When it was last disturbed.
}

// event is something that happens later.
type event struct {
	at  clock.Time
	run func()
}

// fleet is a simulated fleet.
type fleet struct {
	t       *testing.T
	seed    uint64
	now     clock.Time
	src     *rng.Source
	net     *lossy.Network[packet]
	vms     map[string]*vm
	names   []string
	boots   uint64
	events  []event
	newest  uint64       // Committed.
	acked   []clock.Time // By revision - 1.
	worst   clock.Duration
	checked int
	stops   int // At the moment at which a VM was asked for the tables.
}

func newFleet(t *testing.T, seed uint64, n int) *fleet {
	src := rng.New(seed)
	f := &fleet{t: t, seed: seed, now: 10_000, src: src, net: lossy.New[packet](src, lossy.Faults{MinDelay: 1, MaxDelay: 4}), vms: map[string]*vm{}}
	for i := range n {
		name := fmt.Sprintf("vm%02d", i)
		f.names = append(f.names, name)
		f.vms[name] = &vm{name: name}
		f.start(name)
	}
	return f
}

// start starts the process of a VM without tables. It reads the current number from the quorum.
func (f *fleet) start(name string) {
	f.boots++
	i := slices.Index(f.names, name)
	m := &fleetpb.Member{Vm: name, Address: name, DataCentre: fmt.Sprint("dc", i%3), Incarnation: uint64(f.now) + f.boots, Boot: f.boots}
	v := f.vms[name]
	v.gossip, v.catchup, v.revision, v.silent, v.deadlines = gossip.New(m, f.src, []string{"vm00", "vm01"}), catchup.New(f.src), 0, false, map[string]clock.Time{}
	f.after(10+clock.Duration(f.src.IntN(40)), func() { f.want(v, f.newest, "") })
}

func (f *fleet) after(d clock.Duration, run func()) {
	f.events = append(f.events, event{f.now.Add(d), run})
}

// install puts a revision in force.
func (f *fleet) install(v *vm, revision uint64) {
	if revision <= v.revision || v.silent {
		return
	}
	v.revision = revision
	v.catchup.InForce(f.now, revision)
	f.apply(v, v.gossip.Update(f.now, gossip.RevisionMsg{Revision: revision}))
}

func (f *fleet) want(v *vm, revision uint64, from string) {
	v.catchup.Want(f.now, revision, from)
	v.nextAt = f.now
}

// apply carries out the effects of gossip.
func (f *fleet) apply(v *vm, e gossip.Effects) {
	for _, o := range e.Send {
		f.net.Send(f.now, v.name, o.Address, packet{gossip: proto.CloneOf(o.Message)})
	}
	if e.Revision > 0 {
		f.want(v, e.Revision, e.From)
	}
}

// ask has a VM's Core ask others for the tables.
func (f *fleet) ask(v *vm) {
	for v.nextAt != 0 && v.nextAt <= f.now {
		var sources []catchup.Source
		for _, m := range v.gossip.Live() {
			if m.Vm != v.name && (m.Revision >= v.catchup.Status(f.now).Wanted || v.gossip.IsTarget(m.Vm)) {
				sources = append(sources, catchup.Source{VM: m.Vm, Revision: m.Revision})
			}
		}
		name, wait := v.catchup.Next(f.now, sources)
		if name == "" {
			v.nextAt = 0
			if wait > 0 {
				v.nextAt = f.now.Add(wait)
			}
			return
		}
		v.deadlines[name] = f.now.Add(catchup.AttemptTimeout)
		f.net.Send(f.now, v.name, name, packet{call: true})
	}
}

func (f *fleet) answered(v *vm, from string, ok bool) {
	delete(v.deadlines, from)
	v.catchup.Answered(f.now, from, ok)
	v.nextAt = f.now
}

// deliver passes a message to a VM, later if it runs slowly.
func (f *fleet) deliver(from, to string, m packet) {
	v := f.vms[to]
	if v.delay == 0 {
		f.process(v, from, m)
		return
	}
	f.after(v.delay, func() { f.process(v, from, m) })
}

func (f *fleet) process(v *vm, from string, m packet) {
	switch {
	case v.silent:
	case m.gossip != nil:
		f.apply(v, v.gossip.Update(f.now, gossip.PeerMsg{Message: m.gossip}))
		if m.gossip.Kind == fleetpb.GossipMessage_HEARTBEAT { // Its connection answers probes.
			f.vms[from].gossip.Update(f.now, gossip.ActivityMsg{VM: v.name})
		}
	case m.call:
		if f.src.IntN(5) == 0 && f.mayDisturb(v) {
			f.stops++
			f.stop(v)
			return
		}
		f.net.Send(f.now, v.name, from, packet{revision: v.revision})
	default:
		wanted := v.catchup.Status(f.now).Wanted
		f.install(v, m.revision)
		f.answered(v, from, m.revision >= wanted)
	}
}

// mayDisturb reports whether a VM may be disturbed: at most one voter, and fewer than half of all VMs, at once.
func (f *fleet) mayDisturb(v *vm) bool {
	all, disturbedVoters := 0, 0
	for i, name := range f.names {
		if f.isDisturbed(f.vms[name]) {
			all++
			if i < voters {
				disturbedVoters++
			}
		}
	}
	isVoter := slices.Index(f.names, v.name) < voters
	return !f.isDisturbed(v) && 2*(all+1) < len(f.names) && (!isVoter || disturbedVoters == 0)
}

func (f *fleet) isDisturbed(v *vm) bool { return v.disturbedAt > f.now }

// stop ends a VM's process, and starts it again later.
func (f *fleet) stop(v *vm) {
	d := clock.Duration(500 + f.src.IntN(3000))
	v.silent, v.disturbedAt = true, f.now.Add(d)
	f.after(d, func() { f.start(v.name) })
}

// disturb disturbs a VM for some time.
func (f *fleet) disturb(v *vm) {
	d := clock.Duration(300 + f.src.IntN(5000))
	v.disturbedAt = f.now.Add(d)
	switch f.src.IntN(5) {
	case 0:
		f.stop(v)
	case 1:
		v.silent = true
		f.after(d, func() { v.silent = false })
	case 2, 3:
		v.delay = clock.Duration(100 + f.src.IntN(3000))
		f.after(d, func() { v.delay = 0 })
	default:
		in, out := f.src.IntN(3), f.src.IntN(3)
		for _, other := range f.names {
			if in > 0 {
				f.net.Cut(other, v.name)
			}
			if out > 0 || in == 0 {
				f.net.Cut(v.name, other)
			}
		}
		f.after(d, func() {
			f.net.Heal() // Ends other cuts early, and no disturbance is counted shorter for that.
		})
	}
}

// change commits a revision at a voter. Another VM acknowledges it.
func (f *fleet) change() {
	var sound []*vm
	for _, name := range f.names[:voters] {
		if !f.isDisturbed(f.vms[name]) {
			sound = append(sound, f.vms[name])
		}
	}
	by := f.vms[f.names[f.src.IntN(len(f.names))]]
	if f.isDisturbed(by) || len(sound) < 2 {
		return
	}
	f.newest++
	revision, leader := f.newest, sound[f.src.IntN(len(sound))]
	f.install(leader, revision)
	for _, v := range sound {
		f.after(clock.Duration(1+f.src.IntN(60)), func() { f.install(v, revision) })
	}
	f.want(by, revision, leader.name)
	f.acked = append(f.acked, f.now.Add(5))
}

// check asserts that each VM that has been undisturbed for long has the tables that were acknowledged before the
// bound.
func (f *fleet) check() {
	for _, name := range f.names {
		v := f.vms[name]
		if f.now.Sub(v.disturbedAt) < contactTime {
			continue
		}
		for revision := v.revision + 1; revision <= f.newest; revision++ {
			age := f.now.Sub(f.acked[revision-1])
			f.worst = max(f.worst, age)
			assert.Assert(f.t, age <= applyTimeout, "seed %d at %d: %s has revision %d, and %d was acknowledged %s ago", f.seed, f.now, name, v.revision, revision, age)
		}
		f.checked++
	}
}

func (f *fleet) run(d clock.Duration) {
	settled, changeAt, disturbAt := f.now.Add(8*clock.Second), f.now.Add(4*clock.Second), f.now.Add(9*clock.Second)
	for end := f.now.Add(d); f.now < end; f.now++ {
		due := slices.Clone(f.events)
		f.events = f.events[:0]
		for _, e := range due {
			if e.at <= f.now {
				e.run()
			} else {
				f.events = append(f.events, e)
			}
		}
		f.net.Deliver(f.now, f.deliver)
		for i, name := range f.names {
			v := f.vms[name]
			if v.silent {
				continue
			}
			if (int64(f.now)+int64(i*17))%tickInterval == 0 {
				f.apply(v, v.gossip.Update(f.now, gossip.TickMsg{}))
			}
			for from, at := range v.deadlines {
				if at <= f.now {
					f.answered(v, from, false)
				}
			}
			f.ask(v)
		}
		if f.now >= changeAt {
			changeAt = f.now.Add(clock.Duration(100 + f.src.IntN(600)))
			f.change()
		}
		if f.now >= disturbAt {
			disturbAt = f.now.Add(clock.Duration(f.src.IntN(900)))
			if v := f.vms[f.names[f.src.IntN(len(f.names))]]; f.mayDisturb(v) {
				f.disturb(v)
			}
		}
		if f.now > settled {
			f.check()
		}
	}
}

// TestAcknowledgedTablesAreInForceInTime guards against an undisturbed VM that handles requests by older tables
// after the bound, while others stop, freeze, are slow, are cut off or start again.
func TestAcknowledgedTablesAreInForceInTime(t *testing.T) {
	for _, seed := range seeded.Seeds(t, 40) {
		n := []int{9, 9, 9, 24}[seed%4]
		f := newFleet(t, seed, n)
		f.run(60 * clock.Second)
		assert.Assert(t, f.newest > 50 && f.checked > 10_000, "seed %d: %d changes, %d checks", seed, f.newest, f.checked)
		t.Logf("seed %d: %d VMs, %d changes, %d stops when asked, worst %s", seed, n, f.newest, f.stops, f.worst)
	}
}
