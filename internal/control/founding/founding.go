// Package founding decides which VMs with a disk form the Raft group of a new fleet, so that a process
// may be killed and start again at any point of it.
//
// A VM first asks the others whether they belong to a group. If none does, the first founder by name
// promises itself to its own group, asks the voters for their promises, and forms the group once it has
// all of them. A VM promises itself to one group at a time. It takes a promise back once the VM that asked
// for it says that it is not forming a group, or has not been seen for a while: if that VM has formed a
// group nevertheless, the group has committed nothing without this VM or another voter, which
// would say that it belongs to it.
package founding

import (
	"sync"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Config configures a Founding.
type Config struct {
	VM     string
	Voters []string // VMs that the settings name as voters, or nil if they are discovered.
	Target int      // Number of voters that a group of discovered VMs should have.
	// FirstStart is set if the settings declare that no group exists yet. Fewer VMs than Target may
	// form a group then.
	FirstStart bool
}

// Founding is one VM's part in forming a group. It is safe for concurrent use.
type Founding struct {
	mu   sync.Mutex
	core core
}

// New returns the Founding of a VM whose process starts now.
func New(cfg Config, now clock.Time) *Founding {
	return &Founding{core: core{cfg: cfg, startedAt: now, liveSince: now}}
}

// Promise promises this VM to the group that a VM forms. It reports whether the promise is given, and
// returns the VM that has it.
func (f *Founding) Promise(now clock.Time, vm string) (ok bool, holder string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.give(now, vm), f.core.holder()
}

// Holder returns the VM that has this VM's promise, or "".
func (f *Founding) Holder() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.holder()
}

// Withdraw ends this VM's own attempt to form a group.
func (f *Founding) Withdraw() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.core.holder() == f.core.cfg.VM {
		f.core.promise = nil
	}
}

// Ask asks the replica of a VM for its state and, with promise, for its promise. It returns false without
// an answer.
type Ask func(vm string, promise bool) (*fleetpb.FormAnswer, bool)

// Outcome is the outcome of an attempt.
type Outcome struct {
	Join bool // A group exists. The replica is to join it.
	// Voters are the replicas, with this VM's, that are to form a group. The caller forms it, or calls
	// Withdraw.
	Voters []*fleetpb.Replica
}

// Attempt asks the other VMs with a disk, which are live, once. founder is set if this VM's replica was
// created at a first start.
func (f *Founding) Attempt(now clock.Time, live []string, self *fleetpb.Replica, founder bool, ask Ask) Outcome {
	held, asked := f.begin(now, live)
	answers := map[string]*fleetpb.FormAnswer{}
	for _, vm := range asked {
		if vm == self.Vm {
			continue
		}
		a, ok := ask(vm, false)
		if ok && a.Formed {
			return Outcome{Join: true}
		}
		if ok {
			answers[vm] = a
		}
	}
	return f.gather(f.decide(now, held, founder, answers), self, ask)
}

func (f *Founding) begin(now clock.Time, live []string) (*promise, []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.begin(now, live)
}

func (f *Founding) decide(now clock.Time, held *promise, founder bool, answers map[string]*fleetpb.FormAnswer) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.decide(now, held, founder, answers)
}

// gather asks voters for their promises.
func (f *Founding) gather(voters []string, self *fleetpb.Replica, ask Ask) Outcome {
	var out Outcome
	for _, vm := range voters {
		if vm == self.Vm {
			out.Voters = append(out.Voters, self)
			continue
		}
		a, ok := ask(vm, true)
		if !ok || a.Formed || !a.Promised {
			f.Withdraw()
			return Outcome{Join: ok && a.Formed}
		}
		out.Voters = append(out.Voters, a.Replica)
	}
	return out
}
