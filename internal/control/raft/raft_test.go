package raft_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/control/raft"
	"github.com/jasminecove/jasminecove/internal/testkit/lossy"
	"github.com/jasminecove/jasminecove/internal/testkit/seeded"
)

var calm = lossy.Faults{MinDelay: 1, MaxDelay: 2}

func awaitLeader(t *testing.T, w *world, bound clock.Duration) *machine {
	t.Helper()
	for end := w.now.Add(bound); w.now < end; {
		w.advance(10)
		if l := w.leader(); l != nil && l.holdsLease() {
			return l
		}
	}
	t.Fatalf("no leader within %s", bound)
	return nil
}

func TestElectsAndCommits(t *testing.T) {
	w := newWorld(1, 3, calm)
	l := awaitLeader(t, w, 3*clock.Second)
	w.propose(l, "a", "1", nil)
	w.advance(200)
	for _, m := range w.machines {
		assert.Equal(t, m.state["a"], "1")
	}
}

func TestPlannedHandOverIsFast(t *testing.T) {
	w := newWorld(2, 3, calm)
	l := awaitLeader(t, w, 3*clock.Second)
	before := w.now
	l.inbox = append(l.inbox, raft.TransferMsg{})
	w.advance(1)
	for w.leader() == nil || w.leader() == l || !w.leader().holdsLease() {
		w.advance(1)
	}
	assert.Assert(t, w.now.Sub(before) < 100, "hand-over took %d ms", w.now.Sub(before))
}

func TestMinorityLeaderLosesLeaseBeforeAnotherStarts(t *testing.T) {
	w := newWorld(3, 3, calm)
	l := awaitLeader(t, w, 3*clock.Second)
	for _, m := range w.machines {
		if m != l {
			w.net.Cut(l.id, m.id)
			w.net.Cut(m.id, l.id)
		}
	}
	// advance panics when two machines hold a lease at once.
	w.advance(3 * clock.Second)
	assert.Assert(t, w.leader() != l)
	assert.Assert(t, !l.holdsLease())
	var got error
	l.reads[7] = func(_ uint64, err error) { got = err }
	l.inbox = append(l.inbox, raft.ReadMsg{Tag: 7})
	w.advance(1)
	assert.Assert(t, got != nil || l.reads[7] != nil, "a minority leader answered a read")
}

// TestCutOffFollowerDoesNotUnseatALeader cuts the leader and one follower from
// each other, while the third hears both. The third has promised itself to the
// leader, whose lease rests on that: advance panics when two machines hold one.
func TestCutOffFollowerDoesNotUnseatALeader(t *testing.T) {
	w := newWorld(6, 3, calm)
	l := awaitLeader(t, w, 3*clock.Second)
	term := l.core.Term()
	for _, m := range w.machines {
		if m != l {
			w.net.Cut(l.id, m.id)
			w.net.Cut(m.id, l.id)
			break
		}
	}
	w.advance(5 * clock.Second)
	assert.Assert(t, l.holdsLease())
	assert.Equal(t, l.core.Term(), term)
}

func TestReplacedDiskLearnsBeforeItVotes(t *testing.T) {
	w := newWorld(4, 3, calm)
	l := awaitLeader(t, w, 3*clock.Second)
	for i := range 50 {
		w.propose(l, "k", fmt.Sprint(i), nil)
	}
	w.advance(300)
	var victim *machine
	for _, m := range w.machines {
		if m != l {
			victim = m
		}
	}
	victim.crash()
	victim.replaceDisk()
	w.advance(2 * clock.Second)
	assert.Equal(t, victim.state["k"], "49")
	assert.Equal(t, len(w.leader().core.Members().Voters), 3)
	// A second machine is lost for good right after the repair.
	for _, m := range w.machines {
		if m != l && m != victim {
			m.crash()
		}
	}
	w.propose(w.leader(), "k", "after", nil)
	w.advance(clock.Second)
	assert.Equal(t, victim.state["k"], "after")
}

// TestLeaderLostAsTheRepairCommits loses the leader for good at the very time at
// which another replica learns that the replaced one votes. What is left must
// still be a majority, so the old identity may not count any more.
func TestLeaderLostAsTheRepairCommits(t *testing.T) {
	w := newWorld(5, 3, calm)
	l := awaitLeader(t, w, 3*clock.Second)
	var victim, other *machine
	for _, m := range w.machines {
		switch {
		case m == l:
		case victim == nil:
			victim = m
		default:
			other = m
		}
	}
	victim.crash()
	victim.replaceDisk()
	promoted := func() bool {
		voters := other.core.Members().Voters
		return other.core.MembersCommitted() && voters[len(voters)-1].Id == victim.id
	}
	for end := w.now.Add(5 * clock.Second); !promoted() && w.now < end; {
		w.advance(1)
	}
	assert.Assert(t, promoted() || len(other.core.Members().Voters) == 3)
	l.crash()
	w.advance(3 * clock.Second)
	assert.Assert(t, w.leader() != nil, "the two that are left have no majority")
}

// TestRandomRuns checks one leader a term, one lease at a time, equal logs, and
// that nothing committed is lost, on runs with every fault at once.
func TestRandomRuns(t *testing.T) {
	for _, seed := range seeded.Seeds(t, 60) {
		commits := randomRun(t, seed)
		assert.Assert(t, commits > 0, "seed %d committed nothing", seed)
	}
}

func randomRun(t *testing.T, seed uint64) int {
	t.Helper()
	defer func() {
		if r := recover(); r != nil {
			t.Fatalf("seed %d: %v", seed, r)
		}
	}()
	n := 3 + 2*int(seed%2)
	w := newWorld(seed, n, lossy.Faults{DropPercent: int(seed % 10), DuplicatePercent: 5, MinDelay: 0, MaxDelay: clock.Duration(2 + seed%40)})
	down := 0
	for step := range 150 {
		w.advance(clock.Duration(20 + w.src.IntN(150)))
		m := w.machines[w.src.IntN(n)]
		switch w.src.IntN(12) {
		case 0:
			if m.up && down < n/2 {
				m.crash()
				down++
			}
		case 1, 2:
			if !m.up {
				m.start()
				down--
			}
		case 3:
			w.net.Cut(m.id, w.machines[w.src.IntN(n)].id)
		case 4, 5:
			w.net.Heal()
		case 6:
			// A disk is replaced only while all others are up and well, as an
			// operator would.
			if down == 0 && w.settled() {
				m.crash()
				m.replaceDisk()
			}
		case 7:
			if l := w.leader(); l != nil {
				l.inbox = append(l.inbox, raft.TransferMsg{})
			}
		default:
			if l := w.leader(); l != nil {
				w.propose(l, fmt.Sprint("k", w.src.IntN(5)), fmt.Sprint(step), nil)
			}
		}
	}
	w.net.Heal()
	w.net.SetFaults(calm)
	for _, m := range w.machines {
		if !m.up {
			m.start()
		}
	}
	w.advance(5 * clock.Second)
	l := w.leader()
	assert.Assert(t, l != nil, "seed %d: no leader after the faults", seed)
	w.propose(l, "end", "1", nil)
	w.advance(2 * clock.Second)
	for _, m := range w.machines {
		assert.Equal(t, m.state["end"], "1", "seed %d: %s did not catch up", seed, m.id)
	}
	return w.commits
}

// settled reports whether every machine is a voter that has caught up, and the
// change that made it one is committed. Before that an earlier repair is not
// over: seed 15364 lost the leader's disk between the promotion of a replaced
// replica and the removal of its old identity, which is two lost disks of three.
func (w *world) settled() bool {
	l := w.leader()
	if l == nil || !l.holdsLease() || !l.core.MembersCommitted() || len(l.core.Members().Voters) != len(w.machines) || len(l.core.Members().Learners) > 0 {
		return false
	}
	for _, m := range w.machines {
		if l.core.Match(m.id) < l.core.Commit() {
			return false
		}
	}
	return true
}

// register is one operation on a single register: a write, or a read.
type register struct {
	write bool
	value string
}

var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		op := input.(register)
		if op.write {
			return true, op.value
		}
		return output.(string) == state.(string), state
	},
}

// TestReadsAreLinearizable records writes and lease or read-index reads through
// whatever machine thinks that it leads, under cuts and hand-overs.
func TestReadsAreLinearizable(t *testing.T) {
	seeds := seeded.Seeds(t, 40)
	operations := 0
	for _, seed := range seeds {
		history := readWriteRun(seed)
		operations += len(history)
		assert.Assert(t, porcupine.CheckOperations(registerModel, history), "seed %d is not linearizable", seed)
	}
	// A single run may have no leader for most of its time, all together not.
	assert.Assert(t, operations > 20*len(seeds), "%d operations in %d runs", operations, len(seeds))
}

func readWriteRun(seed uint64) []porcupine.Operation {
	w := newWorld(seed, 3, lossy.Faults{DropPercent: int(seed % 5), DuplicatePercent: 3, MaxDelay: clock.Duration(1 + seed%20)})
	var history []porcupine.Operation
	open := map[int]porcupine.Operation{} // Writes whose fate is not known yet.
	for step := range 200 {
		w.advance(clock.Duration(5 + w.src.IntN(60)))
		m := w.machines[w.src.IntN(3)]
		switch w.src.IntN(8) {
		case 0:
			w.net.Cut(m.id, w.machines[w.src.IntN(3)].id)
		case 1:
			w.net.Heal()
		case 2:
			m.inbox = append(m.inbox, raft.TransferMsg{})
		case 3, 4:
			if m.core.Role() == raft.Leader {
				op := porcupine.Operation{ClientId: step, Input: register{write: true, value: fmt.Sprint(step)}, Call: int64(w.now) * 1000, Return: math.MaxInt64}
				open[step] = op
				w.propose(m, "x", fmt.Sprint(step), nil)
			}
		default:
			if m.core.Role() == raft.Leader {
				w.readRegister(m, step, &history)
			}
		}
		w.settleWrites(open, &history)
	}
	for _, op := range open {
		history = append(history, op)
	}
	return history
}

// settleWrites gives a write its return time once some machine has applied it.
func (w *world) settleWrites(open map[int]porcupine.Operation, history *[]porcupine.Operation) {
	for _, e := range w.committed {
		_, v, _ := cut(string(e.Command))
		var step int
		if _, err := fmt.Sscan(v, &step); err != nil {
			continue
		}
		if op, ok := open[step]; ok {
			op.Return = int64(w.now)*1000 + 999
			*history = append(*history, op)
			delete(open, step)
		}
	}
}

func (w *world) readRegister(m *machine, step int, history *[]porcupine.Operation) {
	op := porcupine.Operation{ClientId: step, Input: register{}, Call: int64(w.now)*1000 + 1}
	w.nextTag++
	m.reads[w.nextTag] = func(index uint64, err error) {
		if err != nil || m.applied < index {
			return
		}
		op.Output, op.Return = m.state["x"], int64(w.now)*1000+500
		*history = append(*history, op)
	}
	m.inbox = append(m.inbox, raft.ReadMsg{Tag: w.nextTag})
}
