package raft_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/testkit/seeded"
)

// TestDiskLossWhileAllLosePower guards against acknowledged commands that are gone: right after an
// acknowledgement one machine loses its disk and all others lose power. They come back in any order.
func TestDiskLossWhileAllLosePower(t *testing.T) {
	const losses, recoveryTime = 4, 12 * clock.Second
	for _, seed := range seeded.Seeds(t, 60) {
		p := newReplacement(seed)
		awaitLeader(t, p.simulation, 10*clock.Second)
		for range losses {
			for range 1 + p.src.IntN(5) {
				p.write(t, recoveryTime, "before the loss")
			}
			p.advance(clock.Duration(p.src.IntN(6)))
			lost := p.src.IntN(len(p.machines))
			for _, m := range p.machines {
				m.crash()
			}
			for _, i := range p.src.Perm(len(p.machines)) {
				p.advance(clock.Duration(p.src.IntN(1500)))
				if i == lost {
					p.machines[i].replaceDisk()
				} else {
					p.machines[i].start()
				}
			}
			acked := fmt.Sprint(p.acked)
			for end := p.now.Add(recoveryTime); p.leader() == nil || p.leader().state["k"] != acked; p.advance(20) {
				assert.Assert(t, p.now < end, "seed %d: no leader has the newest acknowledged command, %s", seed, acked)
			}
			p.write(t, recoveryTime, "after the loss")
			p.advance(catchUpTime)
			for _, m := range p.machines {
				assert.Equal(t, m.state["k"], fmt.Sprint(p.acked), "seed %d: %s lost a command", seed, m.id)
			}
		}
	}
}
