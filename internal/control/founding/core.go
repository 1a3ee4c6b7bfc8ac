package founding

import (
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

const (
	// settleDelay is how long the set of VMs with a disk must stay the same before they form a group.
	settleDelay = 1200 * clock.Millisecond
	// discoveryTimeout bounds the wait at a first start for as many VMs with a disk as the group
	// should have voters. A promise to a VM that has not been seen for as long is taken back.
	discoveryTimeout = 5 * clock.Second
)

// core holds the decisions. It is deterministic and does no I/O.
type core struct {
	cfg       Config
	startedAt clock.Time
	live      []string   // VMs with a disk, as last seen, sorted.
	liveSince clock.Time // When live last changed.
	promise   *promise   // Nil if this VM is free.
}

// promise commits this VM to the group that a VM forms.
type promise struct {
	vm     string
	seenAt clock.Time // When the promise was given, or its VM last seen.
}

// holder returns the VM that has this VM's promise, or "".
func (c *core) holder() string {
	if c.promise == nil {
		return ""
	}
	return c.promise.vm
}

// give gives the promise to a VM, anew if it has it already.
func (c *core) give(now clock.Time, vm string) bool {
	if c.promise != nil && c.promise.vm != vm {
		return false
	}
	c.promise = &promise{vm: vm, seenAt: now}
	return true
}

// begin records which VMs are live. It returns the promise that this VM has given and the VMs to ask.
func (c *core) begin(now clock.Time, live []string) (*promise, []string) {
	live = slices.Sorted(slices.Values(live))
	if !slices.Equal(live, c.live) {
		c.live, c.liveSince = live, now
	}
	if c.promise != nil && slices.Contains(live, c.promise.vm) {
		c.promise.seenAt = now
	}
	if len(c.cfg.Voters) > 0 {
		return c.promise, c.cfg.Voters
	}
	return c.promise, live
}

// decide takes an outdated promise back and returns the voters of the group that this VM is to form,
// itself among them, or nil.
func (c *core) decide(now clock.Time, held *promise, founder bool, answers map[string]*fleetpb.FormAnswer) []string {
	c.release(now, held, answers)
	names := c.voters(now, founder, answers)
	if len(names) == 0 || names[0] != c.cfg.VM || !c.give(now, c.cfg.VM) {
		return nil
	}
	return names
}

// release takes back a promise whose VM is not forming a group any more. A promise that was given
// anew after the questions were sent stays.
func (c *core) release(now clock.Time, held *promise, answers map[string]*fleetpb.FormAnswer) {
	p := c.promise
	if p == nil || p.vm == c.cfg.VM {
		return
	}
	a, answered := answers[p.vm]
	isIdle := answered && p == held && a.PromisedTo != p.vm
	if isIdle || now.Sub(p.seenAt) > discoveryTimeout {
		c.promise = nil
	}
}

// voters returns the VMs that should form a group, the one that does so first, or nil if it is too early.
func (c *core) voters(now clock.Time, founder bool, answers map[string]*fleetpb.FormAnswer) []string {
	if len(c.cfg.Voters) > 0 {
		return slices.Sorted(slices.Values(c.cfg.Voters))
	}
	isEnough := len(c.live) >= c.cfg.Target || c.cfg.FirstStart && now.Sub(c.startedAt) > discoveryTimeout
	if !founder || !isEnough || now.Sub(c.liveSince) < settleDelay {
		return nil
	}
	var founders, others []string
	for _, vm := range c.live {
		if vm == c.cfg.VM || answers[vm].GetFounder() {
			founders = append(founders, vm)
		} else {
			others = append(others, vm)
		}
	}
	all := append(founders, others...)
	return all[:min(len(all), c.cfg.Target)]
}
