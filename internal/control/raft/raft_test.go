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

var reliable = lossy.Faults{MinDelay: 1, MaxDelay: 2}

func awaitLeader(t *testing.T, sim *simulation, bound clock.Duration) *machine {
	t.Helper()
	for end := sim.now.Add(bound); sim.now < end; {
		sim.advance(10)
		if l := sim.leader(); l != nil && l.holdsLease() {
			return l
		}
	}
	t.Fatalf("no leader within %s", bound)
	return nil
}

func TestElectionAndCommit(t *testing.T) {
	sim := newSimulation(1, 3, reliable)
	l := awaitLeader(t, sim, 3*clock.Second)
	sim.propose(l, "a", "1", nil)
	sim.advance(200)
	for _, m := range sim.machines {
		assert.Equal(t, m.state["a"], "1")
	}
}

func TestLeadershipTransferDuration(t *testing.T) {
	sim := newSimulation(2, 3, reliable)
	l := awaitLeader(t, sim, 3*clock.Second)
	before := sim.now
	l.inbox = append(l.inbox, raft.TransferMsg{})
	sim.advance(1)
	for sim.leader() == nil || sim.leader() == l || !sim.leader().holdsLease() {
		sim.advance(1)
	}
	assert.Assert(t, sim.now.Sub(before) < 100, "leadership transfer took %d ms", sim.now.Sub(before))
}

// TestPartitionedLeaderLosesLease isolates the leader. Its lease must end before another
// leader's lease begins, and it must not serve reads afterwards.
func TestPartitionedLeaderLosesLease(t *testing.T) {
	sim := newSimulation(3, 3, reliable)
	l := awaitLeader(t, sim, 3*clock.Second)
	for _, m := range sim.machines {
		if m != l {
			sim.net.Cut(l.id, m.id)
			sim.net.Cut(m.id, l.id)
		}
	}
	// advance panics when two machines hold a lease at once.
	sim.advance(3 * clock.Second)
	assert.Assert(t, sim.leader() != l)
	assert.Assert(t, !l.holdsLease())
	var got error
	l.reads[7] = func(_ uint64, err error) { got = err }
	l.inbox = append(l.inbox, raft.ReadMsg{Tag: 7})
	sim.advance(1)
	assert.Assert(t, got != nil || l.reads[7] != nil, "a leader in the minority served a read")
}

// TestPartitionedFollowerKeepsLeader cuts the link between the leader and one
// follower, while the third replica reaches both. The third must withhold its
// vote, because the leader's lease depends on that. advance panics when two
// machines hold a lease at once.
func TestPartitionedFollowerKeepsLeader(t *testing.T) {
	sim := newSimulation(6, 3, reliable)
	l := awaitLeader(t, sim, 3*clock.Second)
	term := l.core.Term()
	for _, m := range sim.machines {
		if m != l {
			sim.net.Cut(l.id, m.id)
			sim.net.Cut(m.id, l.id)
			break
		}
	}
	sim.advance(5 * clock.Second)
	assert.Assert(t, l.holdsLease())
	assert.Equal(t, l.core.Term(), term)
}

// TestReplacedDiskCatchesUpAndVotes replaces a disk and then loses another machine. The
// repaired replica must hold every entry and count towards the quorum.
func TestReplacedDiskCatchesUpAndVotes(t *testing.T) {
	sim := newSimulation(4, 3, reliable)
	l := awaitLeader(t, sim, 3*clock.Second)
	for i := range 50 {
		sim.propose(l, "k", fmt.Sprint(i), nil)
	}
	sim.advance(300)
	var replaced *machine
	for _, m := range sim.machines {
		if m != l {
			replaced = m
		}
	}
	replaced.crash()
	replaced.replaceDisk()
	sim.advance(2 * clock.Second)
	assert.Equal(t, replaced.state["k"], "49")
	assert.Equal(t, len(sim.leader().core.Membership().Voters), 3)
	// A second machine fails permanently right after the repair.
	for _, m := range sim.machines {
		if m != l && m != replaced {
			m.crash()
		}
	}
	sim.propose(sim.leader(), "k", "after", nil)
	sim.advance(clock.Second)
	assert.Equal(t, replaced.state["k"], "after")
}

// TestLeaderLostAsRepairCommits crashes the leader permanently at the moment at
// which another replica learns that the promotion of the replaced one is
// committed. The two remaining replicas must form a majority, so the old
// identifier must not count towards the quorum any more.
func TestLeaderLostAsRepairCommits(t *testing.T) {
	sim := newSimulation(5, 3, reliable)
	l := awaitLeader(t, sim, 3*clock.Second)
	var replaced, other *machine
	for _, m := range sim.machines {
		switch {
		case m == l:
		case replaced == nil:
			replaced = m
		default:
			other = m
		}
	}
	replaced.crash()
	replaced.replaceDisk()
	promoted := func() bool {
		voters := other.core.Membership().Voters
		return other.core.MembershipCommitted() && voters[len(voters)-1].Id == replaced.id
	}
	for end := sim.now.Add(5 * clock.Second); !promoted() && sim.now < end; {
		sim.advance(1)
	}
	assert.Assert(t, promoted() || len(other.core.Membership().Voters) == 3)
	l.crash()
	sim.advance(3 * clock.Second)
	assert.Assert(t, sim.leader() != nil, "the two remaining replicas elected no leader")
}

// TestRandomFaults checks that each term has at most one leader, that at most one
// lease is valid at a time, that logs are equal and that no committed entry is
// lost, in random runs that combine all faults.
func TestRandomFaults(t *testing.T) {
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
	sim := newSimulation(seed, n, lossy.Faults{DropPercent: int(seed % 10), DuplicatePercent: 5, MinDelay: 0, MaxDelay: clock.Duration(2 + seed%40)})
	down := 0
	for step := range 150 {
		sim.advance(clock.Duration(20 + sim.src.IntN(150)))
		m := sim.machines[sim.src.IntN(n)]
		switch sim.src.IntN(12) {
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
			sim.net.Cut(m.id, sim.machines[sim.src.IntN(n)].id)
		case 4, 5:
			sim.net.Heal()
		case 6:
			// A disk is replaced only while all other machines are up and healthy,
			// as an operator would do it.
			if down == 0 && sim.repaired() {
				m.crash()
				m.replaceDisk()
			}
		case 7:
			if l := sim.leader(); l != nil {
				l.inbox = append(l.inbox, raft.TransferMsg{})
			}
		default:
			if l := sim.leader(); l != nil {
				sim.propose(l, fmt.Sprint("k", sim.src.IntN(5)), fmt.Sprint(step), nil)
			}
		}
	}
	sim.net.Heal()
	sim.net.SetFaults(reliable)
	for _, m := range sim.machines {
		if !m.up {
			m.start()
		}
	}
	sim.advance(5 * clock.Second)
	l := sim.leader()
	assert.Assert(t, l != nil, "seed %d: no leader after the faults", seed)
	sim.propose(l, "end", "1", nil)
	sim.advance(2 * clock.Second)
	for _, m := range sim.machines {
		assert.Equal(t, m.state["end"], "1", "seed %d: %s did not catch up", seed, m.id)
	}
	return sim.commits
}

// repaired reports whether every machine is a voter that has caught up and the
// latest membership is committed. Until then an earlier repair is incomplete:
// seed 15364 lost the leader's disk between the promotion of a replaced replica
// and the removal of its old identifier, which amounts to two lost disks of three.
func (sim *simulation) repaired() bool {
	l := sim.leader()
	if l == nil || !l.holdsLease() || !l.core.MembershipCommitted() || len(l.core.Membership().Voters) != len(sim.machines) || len(l.core.Membership().Learners) > 0 {
		return false
	}
	for _, m := range sim.machines {
		if l.core.MatchIndex(m.id) < l.core.CommitIndex() {
			return false
		}
	}
	return true
}

// registerOp is one operation on a single register: a write, or a read.
type registerOp struct {
	write bool
	value string
}

var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		op := input.(registerOp)
		if op.write {
			return true, op.value
		}
		return output.(string) == state.(string), state
	},
}

// TestLinearizableReads records writes and lease or read-index reads through any
// machine in the leader role, under partitions and leadership transfers, and
// checks the history for linearizability.
func TestLinearizableReads(t *testing.T) {
	seeds := seeded.Seeds(t, 40)
	operations := 0
	for _, seed := range seeds {
		history := readWriteRun(seed)
		operations += len(history)
		assert.Assert(t, porcupine.CheckOperations(registerModel, history), "history of seed %d is not linearizable", seed)
	}
	// A single run may lack a leader for most of its time, but not all runs together.
	assert.Assert(t, operations > 20*len(seeds), "%d operations in %d runs, want more than %d", operations, len(seeds), 20*len(seeds))
}

func readWriteRun(seed uint64) []porcupine.Operation {
	sim := newSimulation(seed, 3, lossy.Faults{DropPercent: int(seed % 5), DuplicatePercent: 3, MaxDelay: clock.Duration(1 + seed%20)})
	var history []porcupine.Operation
	pending := map[int]porcupine.Operation{} // Writes that are not known to be applied yet.
	for step := range 200 {
		sim.advance(clock.Duration(5 + sim.src.IntN(60)))
		m := sim.machines[sim.src.IntN(3)]
		switch sim.src.IntN(8) {
		case 0:
			sim.net.Cut(m.id, sim.machines[sim.src.IntN(3)].id)
		case 1:
			sim.net.Heal()
		case 2:
			m.inbox = append(m.inbox, raft.TransferMsg{})
		case 3, 4:
			if m.core.Role() == raft.Leader {
				op := porcupine.Operation{ClientId: step, Input: registerOp{write: true, value: fmt.Sprint(step)}, Call: int64(sim.now) * 1000, Return: math.MaxInt64}
				pending[step] = op
				sim.propose(m, "x", fmt.Sprint(step), nil)
			}
		default:
			if m.core.Role() == raft.Leader {
				sim.readRegister(m, step, &history)
			}
		}
		sim.completeWrites(pending, &history)
	}
	for _, op := range pending {
		history = append(history, op)
	}
	return history
}

// completeWrites sets the return time of writes that a machine has applied.
func (sim *simulation) completeWrites(pending map[int]porcupine.Operation, history *[]porcupine.Operation) {
	for _, e := range sim.committed {
		_, v, _ := splitPair(string(e.Command))
		var step int
		if _, err := fmt.Sscan(v, &step); err != nil {
			continue
		}
		if op, ok := pending[step]; ok {
			op.Return = int64(sim.now)*1000 + 999
			*history = append(*history, op)
			delete(pending, step)
		}
	}
}

func (sim *simulation) readRegister(m *machine, step int, history *[]porcupine.Operation) {
	op := porcupine.Operation{ClientId: step, Input: registerOp{}, Call: int64(sim.now)*1000 + 1}
	sim.nextTag++
	m.reads[sim.nextTag] = func(index uint64, err error) {
		if err != nil || m.applied < index {
			return
		}
		op.Output, op.Return = m.state["x"], int64(sim.now)*1000+500
		*history = append(*history, op)
	}
	m.inbox = append(m.inbox, raft.ReadMsg{Tag: sim.nextTag})
}
